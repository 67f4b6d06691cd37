"""Connections to model engines."""

import asyncio
import json

import pytest

from primroseyoke.exceptions import ServiceUnavailable
from primroseyoke.gateway.engines import Arm, Hold, OrderResult, Release
from primroseyoke.gateway.listeners import ResponseWriter
from primroseyoke.gateway.requests import CallerRequest
from primroseyoke.gateway.upstreams import Upstream
from primroseyoke.platform.engines import HttpEngines
from tests.gateway.deployment import deployment, wait_until
from tests.gateway.test_endless_messages import EndlessUpstream
from tests.standins.platform import StandInUpstream, answer_ok
from tests.standins.raw_upstreams import RawUpstream

# Far more than a rank reports; sockets and buffers hold the rest.
MAX_REPORT_BYTES = 2 * 2**20
SOCKET_BYTES = 2**20
REPORT = json.dumps({'group': None}).encode()


async def report(
    upstream: StandInUpstream, request: CallerRequest, response: ResponseWriter
) -> None:
    await asyncio.sleep(0.1)
    response.respond(200, (), REPORT)


def known(upstream: StandInUpstream | RawUpstream) -> Upstream:
    return Upstream(
        name=upstream.name,
        service='model',
        host='127.0.0.1',
        port=upstream.port,
        availability_zone='zone-a',
    )


def test_connections_to_upstreams_that_have_gone_are_closed() -> None:
    """Guards against a socket that is kept for each upstream ever known."""

    async def scenario() -> None:
        engines = HttpEngines()
        upstreams = [StandInUpstream(f'rank-{n}', report) for n in range(3)]
        for upstream in upstreams:
            await upstream.start()
            await engines.report(known(upstream))
        engines.retain({'rank-1'})
        for upstream, count in zip(upstreams, (0, 1, 0), strict=True):
            await wait_until(
                lambda upstream=upstream, count=count: (
                    len(upstream.listener.connections) == count
                ),
            )
        assert set(engines.report_connections) == {'rank-1'}
        for upstream in upstreams:
            upstream.stop()

    asyncio.run(scenario())


async def misdirected(
    upstream: StandInUpstream, request: CallerRequest, response: ResponseWriter
) -> None:
    response.respond(421, (), b'{}')


def test_a_refused_connection_does_not_show_that_an_upstream_has_gone() -> None:
    """Guards against a partition that looks like the end of a rank."""

    async def scenario() -> None:
        upstream = StandInUpstream('rank-0', misdirected)
        await upstream.start()
        engines = HttpEngines()
        order = Release(epoch=1, step=2)
        answered = await engines.order(known(upstream), order, 1)
        assert answered is OrderResult.GONE
        upstream.stop()
        await wait_until(lambda: not upstream.listener.connections)
        refused = await engines.order(known(upstream), order, 1)
        assert refused is OrderResult.UNREACHABLE

    asyncio.run(scenario())


def test_a_call_in_progress_is_not_cut_off() -> None:
    async def scenario() -> None:
        engines = HttpEngines()
        upstream = StandInUpstream('rank-0', report)
        await upstream.start()
        call = asyncio.ensure_future(engines.report(known(upstream)))
        await wait_until(lambda: bool(upstream.received_requests))
        engines.retain(())
        assert await call is None
        engines.retain(())
        assert not engines.report_connections
        upstream.stop()

    asyncio.run(scenario())


def test_an_upstream_that_has_moved_is_called_at_its_new_address() -> None:
    async def scenario() -> None:
        engines = HttpEngines()
        first = StandInUpstream('rank-0', report)
        second = StandInUpstream('rank-0', report)
        for upstream in (first, second):
            await upstream.start()
            await engines.report(known(upstream))
        assert len(second.received_requests) == 1
        await wait_until(lambda: not first.listener.connections)
        for upstream in (first, second):
            upstream.stop()

    asyncio.run(scenario())


def test_a_gateway_closes_connections_to_engines_that_have_gone() -> None:
    async def scenario() -> None:
        async with deployment(app=(answer_ok, report)) as system:
            gone = system.upstreams['app-1']
            engines = system.gateway.platform.engines
            await engines.report(known(gone))
            assert engines.report_connections
            system.store.put('keyed.servers', 'app-1', b'')
            await wait_until(lambda: not engines.report_connections, 8)

    asyncio.run(scenario())


def test_an_endless_report_is_given_up() -> None:
    """Guards against a host that keeps an answer without end of each rank."""

    async def scenario() -> None:
        endless = EndlessUpstream(
            b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n',
            b'1000\r\n' + b'1' * 4096 + b'\r\n',
        )
        upstream = StandInUpstream('rank-0', endless.respond)
        await upstream.start()
        with pytest.raises(ServiceUnavailable):
            await HttpEngines().report(known(upstream))
        await wait_until(lambda: endless.closed)
        assert endless.sent_bytes < MAX_REPORT_BYTES + SOCKET_BYTES
        upstream.stop()

    asyncio.run(scenario())


class RepeatingRank:
    """Sends each response again where the next one is expected.

    The next request on the connection is not answered.
    """

    def __init__(self, body: bytes) -> None:
        self.body = body

    async def respond(
        self,
        upstream: RawUpstream,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        fields = await upstream.read_fields(reader)
        identity = fields.get('x-primroseyoke-request-id')
        head = f'HTTP/1.1 200 OK\r\nContent-Length: {len(self.body)}\r\n'
        if identity:
            head += f'X-Primroseyoke-Request-Id: {identity}\r\n'
        response = f'{head}\r\n'.encode() + self.body
        writer.write(response)
        await upstream.read_fields(reader)
        writer.write(response)
        await reader.read()


def test_a_copy_of_a_response_is_not_that_of_the_next_order() -> None:
    """Guards against a pass that begins although a rank is not armed."""

    async def scenario() -> None:
        rank = RawUpstream('rank-0', RepeatingRank(b'{}').respond)
        await rank.start()
        engines = HttpEngines()
        hold, arm = Hold(epoch=1, step=2), Arm(epoch=1, version=3, step=2)
        first = await engines.order(known(rank), hold, 1)
        assert first is OrderResult.ACCEPTED
        second = await engines.order(known(rank), arm, 1)
        assert second is OrderResult.UNKNOWN
        # A new connection has no copies.
        third = await engines.order(known(rank), arm, 1)
        assert third is OrderResult.ACCEPTED
        rank.stop()

    asyncio.run(scenario())


def test_a_copy_of_a_report_is_not_the_next_report() -> None:
    """Guards against a state of a rank from before the last orders."""

    async def scenario() -> None:
        rank = RawUpstream('rank-0', RepeatingRank(REPORT).respond)
        await rank.start()
        engines = HttpEngines()
        await engines.report(known(rank))
        with pytest.raises(ServiceUnavailable, match='another call'):
            await engines.report(known(rank))
        rank.stop()

    asyncio.run(scenario())


def test_responses_without_ids_are_accepted_from_a_rank_that_sends_none() -> (
    None
):
    """Guards against a rank that cannot be asked as it names no request."""

    async def scenario() -> None:
        upstream = StandInUpstream('rank-0', report)
        await upstream.start()
        engines = HttpEngines()
        for _ in range(2):
            assert await engines.report(known(upstream)) is None
        assert len(upstream.listener.connections) == 1
        upstream.stop()

    asyncio.run(scenario())


def test_a_response_without_an_id_is_not_accepted_after_one_with_an_id() -> (
    None
):
    async def scenario() -> None:
        async def name_first(
            upstream: StandInUpstream,
            request: CallerRequest,
            response: ResponseWriter,
        ) -> None:
            is_first = len(upstream.received_requests) == 1
            headers = upstream.signature_headers(request) if is_first else ()
            response.respond(200, headers, REPORT)

        upstream = StandInUpstream('rank-0', name_first)
        await upstream.start()
        engines = HttpEngines()
        await engines.report(known(upstream))
        with pytest.raises(ServiceUnavailable, match='another call'):
            await engines.report(known(upstream))
        await engines.report(known(upstream))
        upstream.stop()

    asyncio.run(scenario())
