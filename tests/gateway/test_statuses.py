"""What callers get for each status that an upstream can send."""

import asyncio
from collections.abc import Iterable

import pytest

from tests.gateway.deployment import CallerResponse
from tests.gateway.test_faulty_upstreams import SIGNED, deployment_of, head

ROUTES = {'/book/': 'app', '/lookup/': 'app', '/draft/': 'model'}
# RFC 9110, section 15: other statuses are invalid.
INVALID = ('000', '001', '099', '600', '700', '999')
# Final to no request: interim, or a switch to another protocol.
INTERIM = ('100', '101', '102', '103', '199')
NOT_EXECUTED = b'X-Primroseyoke-Not-Executed: 1\r\n'
# Callers take these as a statement that the request has not run.
PROMISES = ('408', '429', '503')
FINAL = ('200', '201', '400', '403', '404', '409', '418', '451', '500', '599')


def answers_to(
    route: str, statuses: Iterable[str], fields: bytes = SIGNED
) -> dict[str, CallerResponse]:
    """Call a service whose upstream answers with one status after another."""

    async def handle(upstream, reader, writer) -> None:
        while True:
            request_id = await upstream.read_request(reader)
            line = request_id.encode() + b' Odd'
            length = b'Content-Length: 4\r\n'
            writer.write(head(line, request_id, fields + length) + b'done')

    async def scenario() -> dict[str, CallerResponse]:
        responses = {}
        async with deployment_of(ROUTES[route], handle) as system:
            for status in statuses:
                # The upstream is used again after a failure.
                system.gateway.balancer.health.entries.clear()
                responses[status] = await system.call(
                    route, 'POST', b'x', timeout_ms=400, request_id=status
                )
            received = system.upstreams['raw-0'].request_ids
            if route == '/book/':
                assert received == list(statuses)
            else:
                assert set(received) == set(statuses)
        return responses

    return asyncio.run(scenario())


def is_signed(response: CallerResponse) -> bool:
    return 'x-primroseyoke-response-signature' in response.headers


@pytest.mark.parametrize('route', ROUTES)
def test_an_invalid_status_is_no_answer(route: str) -> None:
    """Guards against a status that no caller understands, as an answer."""
    responses = answers_to(route, INVALID + INTERIM)
    for status, response in responses.items():
        assert response.status in {502, 504}, status
        assert not is_signed(response), status


def test_a_valid_status_is_forwarded_with_its_signature() -> None:
    responses = answers_to('/book/', FINAL)
    for status, response in responses.items():
        assert response.status == int(status)
        assert response.body == b'done', status
        assert is_signed(response), status


@pytest.mark.parametrize('route', ROUTES)
def test_a_promise_that_the_upstream_did_not_make_is_not_forwarded(
    route: str,
) -> None:
    """Guards against ``not run`` for a request that an upstream has run.

    Without its statement that it did not, the status alone promises nothing.
    """
    responses = answers_to(route, PROMISES)
    for status, response in responses.items():
        assert response.status in {502, 504}, status
        assert not is_signed(response), status


def test_a_rejection_is_forwarded_as_not_run() -> None:
    responses = answers_to('/book/', PROMISES, NOT_EXECUTED)
    for status, response in responses.items():
        assert response.status == 503, status
        assert b'"not_run"' in response.body, status
