"""Calls of the platform's API under a lease."""

import asyncio
import json

import pytest

from primroseyoke.exceptions import ServiceRefused, ServiceUnavailable
from primroseyoke.gateway.listeners import ResponseWriter
from primroseyoke.gateway.platforms import ApiResult
from primroseyoke.gateway.requests import CallerRequest
from primroseyoke.platform.cloud import HttpPlatformApi
from primroseyoke.settings import Address
from tests.gateway.deployment import free_port
from tests.standins.platform import StandInUpstream

TIMEOUT_SECONDS = 0.5


class StandInApi(StandInUpstream):
    """The platform's API, which answers with ``status`` or not at all."""

    def __init__(self) -> None:
        super().__init__('api', self.respond)
        self.status = 200
        self.silent = False

    async def respond(
        self,
        upstream: StandInUpstream,
        request: CallerRequest,
        response: ResponseWriter,
    ) -> None:
        if self.silent:
            await asyncio.sleep(60)
        response.respond(self.status, (), b'{}')


async def start_api() -> tuple[StandInApi, HttpPlatformApi]:
    standin = StandInApi()
    await standin.start()
    address = Address('127.0.0.1', standin.port)
    return standin, HttpPlatformApi(address, lambda: 7, TIMEOUT_SECONDS)


def test_calls_carry_holder_and_fencing_number() -> None:
    async def scenario() -> None:
        standin, api = await start_api()
        counts = {'b': 2, 'a': 1}
        assert (
            await api.report_usage('edge-1', 7, 12, counts)
            is ApiResult.ACCEPTED
        )
        assert (
            await api.order_upstreams('edge-1', 7, 'model', 'zone-a', 26)
            is ApiResult.ACCEPTED
        )
        usage, order = standin.received_requests
        for received in (usage, order):
            assert received.request.method == 'POST'
            assert received.headers[b'x-primroseyoke-duty-holder'] == b'edge-1'
            assert received.headers[b'x-primroseyoke-fence-token'] == b'7'
        assert usage.request.path == '/usage'
        assert json.loads(bytes(usage.request.body)) == {
            'windowId': 12,
            'counts': counts,
        }
        assert order.request.path == '/scale'
        assert json.loads(bytes(order.request.body)) == {
            'service': 'model',
            'zone': 'zone-a',
            'desired': 26,
        }
        standin.stop()

    asyncio.run(scenario())


def test_repeated_report_is_equal_to_the_byte() -> None:
    """Guards against two different reports for one window."""

    async def scenario() -> None:
        standin, api = await start_api()
        await api.report_usage('edge-1', 7, 12, {'b': 2, 'a': 1})
        await api.report_usage('edge-1', 7, 12, {'a': 1, 'b': 2})
        first, second = standin.received_requests
        assert bytes(first.request.body) == bytes(second.request.body)
        standin.stop()

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ('status', 'expected'),
    [
        (200, ApiResult.ACCEPTED),
        (429, ApiResult.BUSY),
        (503, ApiResult.BUSY),
        (400, ApiResult.INVALID),
        (409, ApiResult.INVALID),
    ],
)
def test_statuses_are_converted(status: int, expected: ApiResult) -> None:
    async def scenario() -> None:
        standin, api = await start_api()
        standin.status = status
        assert await api.report_usage('edge-1', 7, 1, {}) is expected
        assert api.call_counts == {('usage', expected.value): 1}
        standin.stop()

    asyncio.run(scenario())


@pytest.mark.parametrize('status', [500, 502, 504, 302])
def test_other_statuses_leave_the_effect_unknown(status: int) -> None:
    async def scenario() -> None:
        standin, api = await start_api()
        standin.status = status
        with pytest.raises(ServiceUnavailable) as raised:
            await api.report_usage('edge-1', 7, 1, {})
        assert not isinstance(raised.value, ServiceRefused)
        assert api.call_counts == {('usage', 'unanswered'): 1}
        standin.stop()

    asyncio.run(scenario())


def test_call_without_a_response_ends_within_its_time() -> None:
    """Guards against a call that may take effect after the lease has ended."""

    async def scenario() -> None:
        standin, api = await start_api()
        standin.silent = True
        started = asyncio.get_running_loop().time()
        with pytest.raises(ServiceUnavailable):
            await api.order_upstreams('edge-1', 7, 'model', 'zone-a', 26)
        passed = asyncio.get_running_loop().time() - started
        # The margin of a lease of 3 s is 1 s.
        assert passed < 1
        assert api.call_counts == {('scale', 'unanswered'): 1}
        standin.stop()

    asyncio.run(scenario())


def test_call_is_not_sent_once_the_lease_has_ended() -> None:
    """Guards against a call of a holder that was suspended before it."""

    async def scenario() -> None:
        standin, api = await start_api()
        for number in (None, 8):
            api.held = lambda held=number: held  # type: ignore[misc]
            with pytest.raises(ServiceRefused):
                await api.report_usage('edge-1', 7, 1, {})
        assert not standin.received_requests
        assert api.call_counts == {('usage', 'not_sent'): 2}
        standin.stop()

    asyncio.run(scenario())


def test_call_is_not_sent_if_the_lease_ends_while_connecting() -> None:
    """Guards against a check that is made only before the connection."""

    async def scenario() -> None:
        standin, api = await start_api()
        numbers = iter((7,))
        api.held = lambda: next(numbers, None)
        assert api.held() == 7
        with pytest.raises(ServiceRefused):
            await api.report_usage('edge-1', 7, 1, {})
        assert not standin.received_requests
        standin.stop()

    asyncio.run(scenario())


def test_call_that_timed_out_is_not_delivered_later() -> None:
    """Guards against a call that the kernel delivers after the lease's end.

    The receiver stops reading, so the call stays in the buffers of the kernel;
    after the time-out the receiver must see a reset and not the whole call.
    """

    async def scenario() -> None:
        received = asyncio.get_running_loop().create_future()

        async def stall(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await asyncio.sleep(2 * TIMEOUT_SECONDS)
            try:
                received.set_result(len(await reader.read(-1)))
            except ConnectionResetError:
                received.set_result(-1)
            writer.close()

        server = await asyncio.start_server(stall, '127.0.0.1', 0, limit=1024)
        port = server.sockets[0].getsockname()[1]
        api = HttpPlatformApi(
            Address('127.0.0.1', port), lambda: 7, TIMEOUT_SECONDS
        )
        counts = {f'account-{number}': number for number in range(300000)}
        with pytest.raises(ServiceUnavailable):
            await api.report_usage('edge-1', 7, 1, counts)
        assert await received == -1
        server.close()

    asyncio.run(scenario())


def test_refused_connection_counts_as_not_sent() -> None:
    async def scenario() -> None:
        address = Address('127.0.0.1', free_port())
        api = HttpPlatformApi(address, lambda: 7, TIMEOUT_SECONDS)
        with pytest.raises(ServiceRefused):
            await api.report_usage('edge-1', 7, 1, {})
        assert api.call_counts == {('usage', 'not_sent'): 1}

    asyncio.run(scenario())
