"""Requests that arrive while a gateway shuts down."""

import asyncio
import signal
import time

from primroseyoke.gateway.listeners import ResponseWriter
from primroseyoke.gateway.requests import CallerRequest
from tests.gateway.deployment import deployment, wait_until
from tests.standins.platform import StandInUpstream, answer_ok

GRACE_SECONDS = 3.0


async def respond_soon(
    upstream: StandInUpstream,
    request: CallerRequest,
    response: ResponseWriter,
) -> None:
    await asyncio.sleep(0.4)
    await answer_ok(upstream, request, response)


async def hang(
    upstream: StandInUpstream,
    request: CallerRequest,
    response: ResponseWriter,
) -> None:
    await asyncio.sleep(60)


def test_request_that_could_not_end_in_time_is_refused_during_a_stop():
    """Guards against requests that are passed on and cut off by the exit."""

    async def scenario() -> None:
        handlers = (respond_soon,)
        async with deployment(app=handlers, grace=GRACE_SECONDS) as system:
            signal.raise_signal(signal.SIGTERM)
            await wait_until(lambda: system.gateway.stopping.is_set())
            responses = []
            stopped_at = time.monotonic()
            while time.monotonic() < stopped_at + GRACE_SECONDS - 0.4:
                number = len(responses)
                responses.append(
                    asyncio.ensure_future(
                        system.call(
                            '/book/x',
                            'POST',
                            request_id=f'r-{number}',
                            timeout_ms=1500,
                        )
                    )
                )
                await asyncio.sleep(0.1)
            received = await asyncio.gather(*responses)
            statuses = [response.status for response in received]
            upstream = system.upstreams['app-0']
            assert set(statuses) == {200, 503}
            assert statuses == sorted(statuses)
            assert statuses.count(200) == len(upstream.received_requests)
            assert all(
                response.headers['retry-after']
                for response in received
                if response.status == 503
            )

    asyncio.run(scenario())


def test_request_that_waited_too_long_for_a_slot_is_refused_during_a_stop():
    """Guards against requests that are passed on late although they came early.

    The upstream is busy for the first part of the grace period.
    """

    async def scenario() -> None:
        async with deployment(
            app=(respond_soon,), grace=GRACE_SECONDS
        ) as system:
            balancer = system.gateway.balancer
            for _ in range(20):
                balancer.in_flight.record_start('app-0')
            signal.raise_signal(signal.SIGTERM)
            await wait_until(lambda: system.gateway.stopping.is_set())
            # It arrives just before such requests are refused.
            await asyncio.sleep(GRACE_SECONDS / 2 - 0.2)
            call = asyncio.ensure_future(
                system.call('/book/x', 'POST', timeout_ms=3000)
            )
            await asyncio.sleep(0.4)
            for _ in range(20):
                balancer.in_flight.record_end('app-0')
            response = await call
            assert response.status == 503
            assert not system.upstreams['app-0'].received_requests

    asyncio.run(scenario())


def test_exit_answers_requests_that_an_upstream_has_not_answered():
    """Guards against connections that the exit closes without an answer."""

    async def scenario() -> None:
        async with deployment(app=(hang,), grace=GRACE_SECONDS) as system:
            call = asyncio.ensure_future(
                system.call('/book/x', 'POST', timeout_ms=9000)
            )
            upstream = system.upstreams['app-0']
            await wait_until(lambda: bool(upstream.received_requests))
            signal.raise_signal(signal.SIGTERM)
            response = await call
            assert (response.status, response.complete) == (504, True)
            assert b'may_have_run' in response.body

    asyncio.run(scenario())
