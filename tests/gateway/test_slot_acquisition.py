"""Order of waiting requests over all hosts, as the gateway applies it."""

import asyncio
import contextlib
import time
from collections.abc import Coroutine
from typing import Any, TypeVar
from unittest import mock

import pytest
from prometheus_client import CollectorRegistry

from primroseyoke.exceptions import RequestFailed
from primroseyoke.gateway.attempt_history import AttemptHistory
from primroseyoke.gateway.attempts import Progress
from primroseyoke.gateway.authorization import AuthorizedRequest
from primroseyoke.gateway.balancer import Balancer, SelectionCriteria
from primroseyoke.gateway.client_sharing import ClientSharing
from primroseyoke.gateway.configuration import (
    CallerLimits,
    Client,
    Configuration,
    Execution,
    Route,
    Service,
    Target,
)
from primroseyoke.gateway.estimates import Estimate
from primroseyoke.gateway.metrics import Metrics
from primroseyoke.gateway.peer_reports import (
    Report,
    decode_message,
    encode_message,
)
from primroseyoke.gateway.requests import CallerRequest
from primroseyoke.gateway.slot_acquisition import SlotAcquisition
from primroseyoke.gateway.slot_source import SlotSource
from primroseyoke.gateway.wait_queue import WaitQueue
from primroseyoke.scheduling.admission import ServiceAdmission
from primroseyoke.scheduling.backlog import Backlog
from tests.event_loop import VirtualTimeLoop, run
from tests.gateway.test_balancer import make_balancer, make_rank_group
from tests.gateway.test_peers import Network
from tests.standins.simulated_engines import ENGINE

Result = TypeVar('Result')

TIMEOUT_SECONDS = 8.0


def make_route(
    priority: int, service: str = 'app', public: bool = False
) -> Route:
    return Route(
        name=f'p{priority}',
        host='h',
        prefix=f'/{priority}',
        execution=Execution.STREAM,
        targets=(Target(service, 1),),
        timeout=TIMEOUT_SECONDS,
        objective=1.0,
        gap_objective=0.12,
        priority=priority,
        public=public,
    )


def make_configuration(
    *routes: Route, clients: tuple[Client, ...] = ()
) -> Configuration:
    services = {'app': Service('app', 100, engine=ENGINE)}
    return Configuration(1, routes, services, clients, CallerLimits())


class Host:
    """Acquires slots of one rank group, which it knows to be nearly full."""

    def __init__(self, free: int, configuration: Configuration) -> None:
        self.configuration = configuration
        self.balancer = make_rank_group(8)
        self.backlog = Backlog()
        self.queue = WaitQueue()
        self.metrics = Metrics()
        self.reports: list[dict[int, int]] = []
        self.admission = ServiceAdmission(
            'app',
            self.backlog,
            lambda: self.reports.append(dict(self.admission.waiting)),
        )
        limit = self.balancer.free_slots(
            configuration.services['app'],
            0,
            SelectionCriteria(longest_gap=0.12),
            ENGINE.slots,
        )
        self.taken = {
            f'u{number}': (limit - free + number) // 8 for number in range(8)
        }

    def report(self, waiting: dict[int, int]) -> None:
        now = time.monotonic()
        self.balancer.in_flight.apply_report('other', self.taken, now)
        self.backlog.apply_report('other', {'app': waiting}, now)

    def acquire(self, priority: int) -> Coroutine[Any, Any, Any]:
        now = time.monotonic()
        request = CallerRequest('POST', '/', '/', 'h', (), arrived_at=now)
        progress = Progress('')
        slots = SlotAcquisition(
            SlotSource(
                self.queue,
                self.admission,
                ClientSharing(self.balancer.shares, CollectorRegistry()),
                self.balancer,
                self.metrics,
                Estimate(0.2),
                lambda: None,
                lambda deadline, now: None,
            ),
            AuthorizedRequest(
                request,
                self.configuration,
                make_route(priority),
                'app',
                None,
                now + TIMEOUT_SECONDS,
                now,
            ),
            AttemptHistory(request),
            progress,
        )
        return slots.acquire()


def simulate(coroutine: Coroutine[Any, Any, Result]) -> Result:
    loop = VirtualTimeLoop()
    with (
        mock.patch('time.monotonic', loop.time),
        contextlib.closing(loop),
    ):
        return loop.run_until_complete(coroutine)


TWO_PRIORITIES = make_configuration(make_route(0), make_route(2))
ONE_PRIORITY = make_configuration(make_route(2))


async def time_to_slot(
    host: Host, priority: int, waiting: dict[int, int], repeat: bool = True
) -> float:
    """Return the time until a slot, in seconds.

    Another host reports ``waiting`` once, or every 0.35 s.
    """
    started = time.monotonic()
    host.report(waiting)
    acquiring = asyncio.ensure_future(host.acquire(priority))
    while not acquiring.done():
        await asyncio.sleep(0.35)
        if repeat:
            host.report(waiting)
    await acquiring
    return time.monotonic() - started


@pytest.mark.parametrize(
    ('free', 'waiting', 'granted'),
    [
        (1, {0: 1}, False),
        (2, {0: 1}, True),
        (1, {22: 1}, True),
        (2, {0: 2}, False),
        (1, {}, True),
    ],
)
def test_slots_are_left_to_more_urgent_requests_elsewhere(
    free: int, waiting: dict[int, int], granted: bool
) -> None:
    """Guards against a priority that counts only within one host."""

    async def scenario() -> None:
        host = Host(free, TWO_PRIORITIES)
        if granted:
            await time_to_slot(host, 2, waiting)
            return
        with pytest.raises(RequestFailed):
            await time_to_slot(host, 2, waiting)

    simulate(scenario())


def test_the_most_urgent_take_the_last_slot() -> None:
    async def scenario() -> float:
        return await time_to_slot(Host(1, TWO_PRIORITIES), 0, {22: 50})

    assert simulate(scenario()) < 0.4


def test_with_one_priority_nothing_is_left_to_others() -> None:
    """Guards against a change for services without priorities."""

    async def scenario() -> float:
        host = Host(1, ONE_PRIORITY)
        waited = await time_to_slot(host, 2, {0: 9, 22: 9})
        assert not host.reports
        return waited

    assert simulate(scenario()) < 0.4


def test_slots_are_taken_once_the_report_is_old() -> None:
    """Guards against a dead host whose waiting requests hold slots back."""

    async def scenario() -> None:
        host = Host(1, TWO_PRIORITIES)
        started = time.monotonic()
        host.report({0: 5})
        # Its requests in progress still count: they do for 1.5 s.
        await host.acquire(2)
        assert 0.45 <= time.monotonic() - started <= 0.65

    simulate(scenario())


def test_waiting_requests_are_counted_while_they_wait() -> None:
    """Guards against reported requests that no longer wait."""

    async def scenario() -> None:
        host = Host(0, TWO_PRIORITIES)
        host.report({})
        acquiring = [
            asyncio.ensure_future(host.acquire(priority))
            for priority in (0, 2, 2)
        ]
        await asyncio.sleep(0.05)
        assert host.admission.waiting == {0: 1, 22: 2}
        assert host.reports[-1] == {0: 1, 22: 2}
        acquiring[0].cancel()
        await asyncio.gather(*acquiring, return_exceptions=True)
        assert not +host.admission.waiting

    simulate(scenario())


def test_a_report_tells_waiting_requests() -> None:
    """Guards against a field that is lost on the wire or never sent."""

    async def scenario() -> None:
        network = Network(2)
        sender, receiver = network.hosts.values()
        await asyncio.sleep(0.2)
        waiting: dict[str, dict[int, int]] = {'app': {0: 3, 2: 1}}
        sender.waiting = lambda: waiting
        sender.report_requested.set()
        await asyncio.sleep(0.015)
        now = time.monotonic()
        assert receiver.backlog.by_priority('app', now) == {0: 3, 2: 1}
        sender.waiting = dict
        await asyncio.sleep(0.1)
        assert not receiver.backlog.by_priority('app', time.monotonic())
        for task in network.tasks:
            task.cancel()

    run(scenario())


def test_waiting_requests_survive_encoding() -> None:
    report = Report('host', {}, waiting={'app': {0: 3, 5: 1}})
    assert decode_message(encode_message(report)) == report


def test_priorities_of_a_service() -> None:
    """Guards against priorities of clients that are overlooked."""
    clients = (
        Client('a', frozenset({'k'}), priority=1),
        Client('b', frozenset({'l'})),
    )
    configuration = make_configuration(
        make_route(3),
        make_route(4, 'other', public=True),
        clients=clients,
    )
    assert configuration.priorities('app') == {13, 33}
    assert configuration.priorities('other') == {44}
    assert not configuration.priorities('unknown')


def test_free_slots_of_a_group_and_of_plain_upstreams() -> None:
    """Guards against requests that are held back while slots are free."""
    group = make_rank_group(2)
    criteria = SelectionCriteria()
    service = TWO_PRIORITIES.services['app']
    assert group.free_slots(service, 1, criteria, 99) == 2 * ENGINE.slots
    group.in_flight.apply_report('other', {'u0': 5, 'u1': 2}, 1)
    assert group.free_slots(service, 1, criteria, 99) == 2 * ENGINE.slots - 7
    plain = make_balancer(3)
    plain.in_flight.apply_report('other', {'u0': 99, 'u1': 11}, 1)
    assert plain.free_slots(Service('app', 9), 1, criteria, 99) == 13
    assert plain.free_slots(Service('app', 9), 1, criteria, 1) >= 1


def test_free_slots_of_a_group_without_an_engine() -> None:
    """Guards against an infinite limit of a group, which can't be rounded."""
    group = make_rank_group(2)
    free = group.free_slots(Service('app', 9), 1, SelectionCriteria(), 99)
    assert free == 24


def test_without_usable_upstreams_no_slot_is_free() -> None:
    balancer: Balancer = make_balancer(0)
    service = Service('app', 9)
    assert not balancer.free_slots(service, 1, SelectionCriteria(), 9)


async def refusal(host: Host, waiting: dict[int, int]) -> tuple[float, float]:
    """Return the time to the refusal and its Retry-After, in seconds."""
    started = time.monotonic()
    host.report(waiting)
    with pytest.raises(RequestFailed) as raised:
        await host.acquire(2)
    return time.monotonic() - started, raised.value.retry_after


def test_a_request_without_a_prospect_is_refused_early(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against callers that learn after 0.7 s that they get no slot."""

    async def scenario() -> None:
        host = Host(0, TWO_PRIORITIES)
        # About 3 slots become free per second, and 50 requests go first.
        host.admission.hold_time.observe(10)
        waited, retry_after = await refusal(host, {0: 50})
        assert waited <= 1.0 / 8
        assert 0.2 * TIMEOUT_SECONDS < retry_after <= TIMEOUT_SECONDS / 3
        metrics = host.metrics.render().decode()
        assert (
            'gateway_refusals_total{priority="22",reason="no_prospect",'
            'service="app"} 1.0'
        ) in metrics

    with caplog.at_level('INFO'):
        simulate(scenario())
    (record,) = [
        vars(record)
        for record in caplog.records
        if record.message == 'request refused for lack of a slot'
    ]
    assert record['reason'] == 'no_prospect'
    assert record['position'] == 0
    assert record['free_slots'] == 0
    assert record['urgent_elsewhere'] == 50


def test_a_request_with_a_prospect_waits() -> None:
    """Guards against refusals of requests that would be served in time."""

    async def scenario() -> float:
        host = Host(0, TWO_PRIORITIES)
        host.admission.hold_time.observe(0.2)
        waited, _ = await refusal(host, {0: 1})
        return waited

    assert simulate(scenario()) >= 0.7


def test_with_one_priority_requests_wait_as_before() -> None:
    """Guards against a change for services without priorities."""

    async def scenario() -> None:
        host = Host(0, ONE_PRIORITY)
        host.admission.hold_time.observe(10)
        waited, retry_after = await refusal(host, {0: 50})
        assert 0.7 <= waited < 0.8
        assert retry_after == 2.0

    simulate(scenario())


def test_waiting_requests_are_in_the_metrics() -> None:
    async def scenario() -> str:
        host = Host(0, TWO_PRIORITIES)
        host.metrics.admission.add_admissions({'app': host.admission})
        host.report({0: 4})
        acquiring = asyncio.ensure_future(host.acquire(2))
        await asyncio.sleep(0.05)
        metrics = host.metrics.render().decode()
        acquiring.cancel()
        return metrics

    metrics = simulate(scenario())
    name = 'gateway_waiting_requests'
    assert f'{name}{{place="here",priority="22",service="app"}} 1.0' in metrics
    assert (
        f'{name}{{place="elsewhere",priority="0",service="app"}} 4.0' in metrics
    )


def test_route_decides_among_accounts_of_the_same_priority() -> None:
    """Guards against routes without effect where each account has a priority.

    The least urgent kind of request then got slots before the most urgent one.
    """
    urgent, other = make_route(0), make_route(2)
    assert urgent.priority_for(1) < other.priority_for(1)
    assert other.priority_for(0) < urgent.priority_for(1)
    assert urgent.priority_for(None) < other.priority_for(None)


def test_a_caller_that_leaves_does_not_count_as_refused() -> None:
    """Guards against kinds that go first because their callers give up."""

    async def scenario() -> None:
        host = Host(0, TWO_PRIORITIES)
        host.report({})
        acquiring = [asyncio.ensure_future(host.acquire(2)) for _ in range(20)]
        await asyncio.sleep(0.05)
        for each in acquiring:
            each.cancel()
        await asyncio.gather(*acquiring, return_exceptions=True)
        for _ in range(20):
            host.admission.record_decision(0, True, time.monotonic())
        assert not host.admission.history.is_starved(22, time.monotonic())

    simulate(scenario())
