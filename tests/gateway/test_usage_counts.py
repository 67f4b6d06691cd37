"""Which requests count for the usage reports, once and in which window."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from unittest import mock

import msgspec
import pytest

from primroseyoke.gateway.admin import AdminEndpoints
from primroseyoke.gateway.authorization import AuthorizedRequest
from primroseyoke.gateway.usage_counts import (
    RequestUsage,
    UsageCounter,
    Windows,
)
from primroseyoke.gateway.usage_ledger import RunCounts, UsageLedger
from primroseyoke.gateway.usage_marks import (
    is_mark,
    lost_mark,
    repeated_mark,
)
from primroseyoke.gateway.usage_reports import UsageReports
from primroseyoke.gateway.wall_clock import WallClock
from tests.gateway.deployment import Deployment, deployment, wait_until
from tests.gateway.test_proxy import (
    fail,
    hang,
    reject,
    reset,
    respond_unsigned,
    stream,
    stream_and_break,
    truncate,
)
from tests.standins.platform import RequestHandler, answer_ok

CLIENT = 'workshop'


def run_deployment(
    scenario: Callable[[Deployment], Awaitable[None]],
    **handlers: tuple[RequestHandler, ...],
) -> None:
    """Run a gateway that counts requests."""

    async def run_scenario() -> None:
        async with deployment(**handlers) as system:
            gateway = system.gateway
            lease = mock.Mock()
            lease.held = lambda: None
            gateway.proxy.context.usage = UsageReports(
                'gateway-1',
                Windows(3600, 10),
                gateway.peer_reporter,
                lease,
                mock.Mock(),
                mock.Mock(),
            )
            await scenario(system)

    asyncio.run(run_scenario())


def count(system: Deployment) -> int:
    """Return the number of requests counted for the account."""
    counter = system.gateway.proxy.context.usage.counter
    assert not counter.unsettled
    counts = requests(counter)
    assert all(set(clients) == {CLIENT} for clients in counts.values())
    return sum(clients[CLIENT] for clients in counts.values())


def requests(counter: UsageCounter) -> dict[int, dict[str, int]]:
    """Return the counts without the marks of requests."""
    return {
        window: {
            entry: number
            for entry, number in entries.items()
            if not is_mark(entry)
        }
        for window, entries in counter.counts.items()
    }


async def wait_until_settled(system: Deployment) -> None:
    counter = system.gateway.proxy.context.usage.counter
    await wait_until(lambda: not counter.unsettled)


@pytest.mark.parametrize(
    ('path', 'app', 'expected'),
    [
        ('/lookup/', (answer_ok,), 1),
        # The first attempt failed, or its response was lost.
        ('/lookup/', (fail, answer_ok), 1),
        ('/lookup/', (reset, answer_ok), 1),
        ('/lookup/', (reset, reset), 1),
        ('/book/', (reset, answer_ok), 1),
        ('/lookup/', (truncate, truncate), 1),
        ('/lookup/', (respond_unsigned, respond_unsigned), 1),
        ('/lookup/', (fail, fail), 1),
        # No upstream ran it.
        ('/lookup/', (reject, reject), 0),
        ('/lookup/', (), 0),
        # It has no account.
        ('/open/', (answer_ok,), 0),
    ],
)
def test_request_of_a_plain_service_counts_once_if_it_may_have_run(
    path: str, app: tuple[RequestHandler, ...], expected: int
) -> None:
    """Guards against attempts that are counted instead of requests."""

    async def scenario(system: Deployment) -> None:
        key = '' if path == '/open/' else 'key-of-workshop'
        await system.call(path, request_id='r-1', key=key)
        await wait_until_settled(system)
        assert count(system) == expected

    run_deployment(scenario, app=app)


@pytest.mark.parametrize(
    ('path', 'model', 'expected'),
    [
        ('/draft/', (stream,), 1),
        ('/draft/', (stream_and_break, stream), 1),
        ('/draft/', (reset, stream), 1),
        ('/draft/', (reject, stream), 1),
        ('/once/', (stream_and_break,), 1),
        ('/once/', (reset,), 1),
        ('/draft/', (reject, reject), 0),
    ],
)
def test_stream_counts_once(
    path: str, model: tuple[RequestHandler, ...], expected: int
) -> None:
    """Guards against streams that are counted at each upstream."""

    async def scenario(system: Deployment) -> None:
        await system.call(path, 'POST', request_id='r-1')
        await wait_until_settled(system)
        assert count(system) == expected

    run_deployment(scenario, model=model)


def test_silent_stream_that_another_upstream_takes_over_counts_once() -> None:
    """Guards against a count for each upstream of one stream."""

    async def scenario(system: Deployment) -> None:
        system.gateway.balancer.in_flight.record_start('model-1')
        received = await system.call('/draft/', 'POST', timeout_ms=4000)
        assert received.complete
        await wait_until_settled(system)
        assert count(system) == 1

    run_deployment(scenario, model=(hang, stream))


def test_rest_of_a_stream_that_began_at_another_host_does_not_count() -> None:
    """Guards against streams that count at each host that goes on with them."""

    async def scenario(system: Deployment) -> None:
        received = await system.call('/draft/', 'POST', Last_Event_ID='3')
        assert received.complete
        assert count(system) == 0

    run_deployment(scenario, model=(stream,))


def test_request_that_its_caller_sends_again_counts_once() -> None:
    """Guards against two counts of one request whose response was lost."""

    async def hang_once(upstream, request, response) -> None:
        if len(upstream.received_requests) == 1:
            await hang(upstream, request, response)
        await answer_ok(upstream, request, response)

    async def scenario(system: Deployment) -> None:
        statuses = [
            (
                await system.call('/book/', timeout_ms=300, request_id=name)
            ).status
            for name in ('r-1', 'r-1', 'r-2')
        ]
        assert statuses == [504, 200, 200]
        await wait_until_settled(system)
        assert count(system) == 2

    run_deployment(scenario, app=(hang_once,))


def test_request_counts_before_its_stream_ends() -> None:
    """Guards against long streams that are counted in a later window."""

    async def scenario(system: Deployment) -> None:
        call = asyncio.ensure_future(system.call('/draft/', 'POST'))
        counter = system.gateway.proxy.context.usage.counter
        await wait_until(lambda: bool(counter.counts))
        assert not call.done()
        await call
        assert count(system) == 1

    run_deployment(scenario, model=(stream,))


def test_request_that_times_out_counts_when_it_was_sent() -> None:
    """Guards against requests without a response that are not counted."""

    async def scenario(system: Deployment) -> None:
        counter = system.gateway.proxy.context.usage.counter
        before = counter.completed()
        call = asyncio.ensure_future(
            system.call('/book/', timeout_ms=400, request_id='r-1')
        )
        await wait_until(lambda: bool(counter.unsettled))
        assert not counter.counts
        assert counter.completed() <= before + 1
        response = await call
        assert response.status == 504
        await wait_until_settled(system)
        assert count(system) == 1

    run_deployment(scenario, app=(hang,))


def test_state_shows_what_was_counted() -> None:
    """Guards against operators who can't tell why a window is late."""

    async def scenario(system: Deployment) -> None:
        await system.call('/lookup/')
        state = AdminEndpoints(system.gateway).state(time.monotonic())['usage']
        assert list(state['counted'].values()) == [1]
        assert state['unsettled'] == 0
        assert state['reporter']['fencing_number'] is None
        msgspec.json.encode(state)

    run_deployment(scenario, app=(answer_ok,))


def test_without_usage_reports_nothing_is_counted() -> None:
    """Guards against a gateway that needs the duties to serve requests."""

    async def scenario() -> None:
        async with deployment(app=(answer_ok,)) as system:
            assert (await system.call('/lookup/')).status == 200

    asyncio.run(scenario())


class Times:
    """Clocks of a counter that a test advances."""

    def __init__(self) -> None:
        self.now = 100.0
        clock = WallClock(lambda: 1_000_000 + self.now, lambda: self.now)
        self.counter = UsageCounter(Windows(5, 10), clock)

    def request(self, request_id: str = 'r') -> RequestUsage:
        authorized = mock.create_autospec(AuthorizedRequest, instance=True)
        authorized.client = mock.Mock()
        authorized.client.name = 'c'
        authorized.first_attempt_at = 0
        authorized.request = mock.Mock(
            last_event_id='', request_id=request_id, arrived_at=0
        )
        return RequestUsage(self.counter, authorized)

    def window(self, now: float) -> int:
        return int((1_000_000 + now) // 5)


@pytest.fixture
def times(monkeypatch: pytest.MonkeyPatch) -> Times:
    created = Times()
    monkeypatch.setattr(time, 'monotonic', lambda: created.now)
    return created


def test_first_event_counts_when_its_token_was_generated(
    times: Times,
) -> None:
    """Guards against tokens that count in the window after theirs."""
    usage = times.request()
    usage.record_sent(104.7)
    times.now = 105.03
    usage.record_first_event(105.03)
    assert requests(times.counter) == {times.window(104.9): {'c': 1}}


def test_request_counts_when_the_attempt_was_sent_that_was_lost(
    times: Times,
) -> None:
    """Guards against a request that counts with its second attempt alone."""
    usage = times.request()
    usage.record_sent(103)
    usage.record_lost(103)
    usage.record_sent(106)
    times.now = 107
    usage.record_first_event(107)
    usage.close()
    assert requests(times.counter) == {times.window(103): {'c': 1}}


def test_window_is_not_complete_while_a_request_of_it_may_count(
    times: Times,
) -> None:
    """Guards against a report before the fate of a request is known."""
    first = times.request('r-1')
    first.record_sent(104)
    times.now = 106
    assert times.counter.completed() == times.window(104) - 1
    second = times.request('r-2')
    second.record_sent(106)
    first.record_lost(104)
    first.close()
    assert times.counter.completed() == times.window(104)
    assert requests(times.counter) == {times.window(104): {'c': 1}}
    times.now = 111
    assert times.counter.completed() == times.window(104)
    second.close()
    assert times.counter.completed() == times.window(106)


def test_window_is_not_complete_before_its_last_event_has_arrived(
    times: Times,
) -> None:
    """Guards against events that arrive after a window was told complete."""
    times.now = 105.01
    assert times.counter.completed() < times.window(104)
    times.now = 105.2
    assert times.counter.completed() == times.window(104)


def test_requests_that_are_lost_or_repeated_are_marked(times: Times) -> None:
    """Guards against two counts of a request that another host had lost."""
    times.now = 102
    lost = times.request('r-1')
    lost.record_sent(102)
    lost.record_lost(102)
    lost.close()
    repeated = times.request('r-2')
    repeated.is_repeated = True
    repeated.record_first_event(102)
    answered = times.request('r-3')
    answered.record_lost(102)
    answered.record_first_event(102)
    answered.close()
    (entries,) = times.counter.counts.values()
    marks = {lost_mark('c', 'r-1'), repeated_mark('c', 'r-2')}
    assert set(entries) == {'c', *marks}
    assert entries['c'] == 3
    assert list(times.counter.request_counts().values()) == [3]


def test_retried_requests_of_many_hosts_are_merged_between_heartbeats(
    times: Times,
) -> None:
    """Guards against a gateway that stands still when it reports a window.

    With 390 hosts and 20 retried requests in each window of each, the counts
    of one window took longer than the time between two heartbeats.
    """
    ledger = UsageLedger(times.counter.windows, times.counter, 'own/run')
    for number in range(390):
        run = RunCounts(f'host-{number}')
        for window in range(6):
            marks = [
                repeated_mark('c', f'{number}-{window}-{request}')
                for request in range(20)
            ]
            run.counts[window] = {'c': 20, **dict.fromkeys(marks, 1)}
        ledger.runs[run.address] = run
    # One host had lost a request that another one counted, and one of its own.
    own = {lost_mark('c', '1-5-0'): 1, repeated_mark('c', '1-5-0'): 1}
    ledger.runs['host-0'].counts[4].update(own)
    ledger.runs['host-2'].counts[5][lost_mark('c', '2-5-0')] = 1
    started = time.process_time()
    counts = ledger.counts(5)
    assert time.process_time() - started < 0.35
    assert counts == {'c': 390 * 20 - 1}


def test_same_id_of_two_clients_counts_for_both(times: Times) -> None:
    """Guards against a client whose requests are billed to nobody."""
    for client in ('c', 'd', 'c'):
        times.counter.add(client, 'r-1', 1_000_100)
    assert list(times.counter.counts.values()) == [{'c': 1, 'd': 1}]


def test_ids_and_windows_expire(times: Times) -> None:
    """Guards against memory that grows with the number of requests."""
    for number in range(60000):
        times.counter.add('c', f'r-{number}', 1_000_100)
    times.counter.expire()
    assert len(times.counter.counted_ids) == 50000
    times.now = 140
    times.counter.expire()
    assert not times.counter.counts
    assert not times.counter.counted_ids
