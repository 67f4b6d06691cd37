"""Shares of client accounts in the queue and in the reports of gateways."""

import asyncio
import dataclasses
import time

import pytest
from prometheus_client import CollectorRegistry, generate_latest

from primroseyoke.gateway.authorization import AuthorizedRequest
from primroseyoke.gateway.balancer import SelectionCriteria
from primroseyoke.gateway.client_sharing import ClientSharing
from primroseyoke.gateway.configuration import (
    CallerLimits,
    Client,
    Configuration,
    Execution,
    Route,
    Target,
)
from primroseyoke.gateway.requests import CallerRequest
from primroseyoke.gateway.wait_queue import WaitQueue
from primroseyoke.scheduling.admission import (
    QueuePosition,
    ServiceAdmission,
    Urgency,
)
from primroseyoke.scheduling.backlog import Backlog
from primroseyoke.scheduling.shares import ClientShares
from tests.event_loop import run
from tests.gateway.deployment import deployment, wait_until
from tests.gateway.test_balancer import fill_slots, make_rank_group
from tests.gateway.test_peers import Network, run_network

ROUTE = Route(
    'r', 'h', '/', Execution.IDEMPOTENT, (Target('app', 1),), 4, objective=0.5
)
ACCOUNT = Client('light', frozenset())


def authorized(client: str, request_id: str = '') -> AuthorizedRequest:
    return AuthorizedRequest(
        request=CallerRequest('GET', '/', '/', 'h', (), request_id),
        configuration=Configuration(
            1, (ROUTE,), {}, (ACCOUNT,), CallerLimits()
        ),
        route=ROUTE,
        service='app',
        client=Client(client, frozenset()) if client else None,
        deadline=1000,
        first_attempt_at=0,
    )


def make_sharing() -> tuple[ClientSharing, float]:
    """Return what a host knows after ``heavy`` requested far more than usual.

    Returns:
        The shares, and the time in seconds.
    """
    sharing = ClientSharing(ClientShares(), CollectorRegistry())
    names = ['heavy', *(f'light-{number}' for number in range(9))]
    for tick in range(1000):
        sharing.record_arrival(authorized(names[tick % 10]), tick / 10)
    for tick in range(1000, 1100):
        is_light = tick % 2
        name = names[tick % 10] if is_light else 'heavy'
        sharing.record_arrival(authorized(name), tick / 10)
    return sharing, 110.0


def test_an_account_above_its_share_waits_behind_others() -> None:
    async def scenario() -> list[str]:
        queue = WaitQueue()
        served: list[str] = []

        async def wait(name: str, position: QueuePosition) -> None:
            await queue.wait(position, 60)
            served.append(name)

        positions = {
            'above': QueuePosition.of(Urgency.ABOVE_SHARE, 0, 1),
            'late': QueuePosition.of(Urgency.LATE, 9, 2),
            'on_time': QueuePosition.of(Urgency.ON_TIME, 9, 3),
        }
        waiting = [
            asyncio.ensure_future(wait(name, position))
            for name, position in positions.items()
        ]
        for _ in positions:
            await asyncio.sleep(1)
            queue.wake_next()
        await asyncio.gather(*waiting)
        return served

    assert run(scenario()) == ['on_time', 'late', 'above']


def test_accounts_above_their_share_leave_reserved_slots_free() -> None:
    """Guards against other hosts' requests that find no slot.

    The queue orders the requests of one host only.
    """
    above = SelectionCriteria(urgency=Urgency.ABOVE_SHARE, longest_gap=0.12)
    balancer = make_rank_group(8)
    assert len(fill_slots(balancer, criteria=above)) > 24
    assert len(fill_slots(balancer)) >= 4


def test_accounts_above_their_share_leave_slots_to_on_time_requests() -> None:
    """Guards against requests that go before more urgent ones elsewhere."""
    backlog = Backlog()
    backlog.apply_report('other', {'app': {0: 1, 2: 3}}, 10)
    admission = ServiceAdmission('app', backlog, lambda: None)
    admission.priorities = (0, 1, 2)
    above = admission.position(Urgency.ABOVE_SHARE, 0, 9, False, 10)
    assert admission.contention(above, 10).ahead == 4
    admission.start_waiting(above)
    assert not +admission.waiting


def test_nothing_yields_without_contention() -> None:
    sharing, now = make_sharing()
    assert sharing.shares.above_share(now) == ['heavy']
    assert not sharing.must_yield(authorized('heavy'), now)
    sharing.record_wait(authorized('heavy'), now)
    assert not sharing.must_yield(authorized('heavy'), now)


def test_only_the_account_above_its_share_yields_under_contention(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level('INFO')
    sharing, now = make_sharing()
    sharing.record_wait(authorized('light-1'), now)
    sharing.record_wait(authorized('heavy'), now)
    assert sharing.must_yield(authorized('heavy'), now)
    assert not sharing.must_yield(authorized('light-1'), now)
    assert not sharing.must_yield(authorized(''), now)
    assert not sharing.must_yield(authorized('heavy'), now + 11)
    sharing.record_wait(authorized('light-1'), now + 30)
    assert not sharing.must_yield(authorized('heavy'), now + 30)
    messages = [record.message for record in caplog.records]
    assert messages == [
        'client account above its share; others go first',
        'client account within its share again',
    ]


def test_metrics_count_waits_and_accounts() -> None:
    registry = CollectorRegistry()
    sharing = ClientSharing(ClientShares(), registry)
    sharing.record_arrival(authorized('light'), time.monotonic())
    sharing.record_wait(authorized('light'), time.monotonic())
    content = generate_latest(registry).decode()
    assert 'gateway_tracked_clients 1.0' in content
    assert 'gateway_clients_above_share 0.0' in content
    assert 'gateway_contended_services 1.0' in content


def test_waits_are_not_told_where_there_are_no_accounts() -> None:
    """Guards against reports that grow in deployments without accounts."""
    sharing = ClientSharing(ClientShares(), CollectorRegistry())
    request = authorized('')
    configuration = dataclasses.replace(request.configuration, clients=())
    without = dataclasses.replace(request, configuration=configuration)
    sharing.record_wait(without, 1)
    assert not sharing.shares.top_clients(1)
    sharing.record_wait(request, 1)
    assert sharing.shares.top_clients(1)


def test_an_early_retry_counts_against_its_account() -> None:
    sharing = ClientSharing(ClientShares(), CollectorRegistry())
    sharing.record_refusal(authorized('light', 'r'), 2, now=1)
    sharing.record_refusal(authorized('other', 'r'), 0, now=1)
    sharing.record_refusal(authorized('', 'r'), 2, now=1)
    sharing.record_arrival(authorized('light', 'r'), 1.5)
    sharing.record_arrival(authorized('other', 'r'), 1.5)
    usages = sharing.shares.usages
    assert usages['light'].current.amount == 2
    assert usages['other'].current.amount == 1


def test_hosts_tell_each_other_the_work_of_accounts() -> None:
    """Guards against shares that hold on one host only."""

    async def scenario(network: Network) -> None:
        hosts = tuple(network.hosts.values())
        loop = asyncio.get_running_loop()
        for reporter in hosts:
            reporter.balancer.shares.record('account', 3, loop.time())
        hosts[0].balancer.shares.record_wait('', 'app', loop.time())
        await asyncio.sleep(0.5)
        for reporter in hosts:
            reporter.balancer.shares.record('account', 0, loop.time())
            assert 100 < reporter.balancer.shares.reported['account'] <= 120
            assert reporter.balancer.shares.is_contended('app', loop.time())
        hosts[0].announce_exit()
        await asyncio.sleep(0.1)
        assert 'host-10.0.0.0' not in hosts[1].balancer.shares.reports

    run_network(scenario)


async def _shares_after_requests() -> dict[str, float]:
    async with deployment() as running:
        for path in ('/lookup/x', '/open/x'):
            response = await running.call(path, timeout_ms=300)
            assert response.status == 503
        gateway = running.gateway
        shares = gateway.proxy.context.client_sharing.shares
        assert gateway.balancer.shares is shares
        await wait_until(lambda: bool(shares.refused))
        return {name: use.current.amount for name, use in shares.usages.items()}


def test_requests_count_for_the_account_of_their_key() -> None:
    """Guards against shares without any requests, and against public ones."""
    assert asyncio.run(_shares_after_requests()) == {'workshop': 1}
