"""The task that performs the duties, and the limit on their calls."""

import asyncio
import collections

from primroseyoke.gateway.duties import Duties, DutyRunner
from primroseyoke.gateway.duty_metrics import DutyCollector
from primroseyoke.gateway.metrics import Metrics
from primroseyoke.gateway.peers import PeerReporter
from primroseyoke.gateway.settings import (
    DutyKind,
    DutySettings,
    GatewaySettings,
    StoreSettings,
)
from primroseyoke.gateway.token_bucket import TokenBucket
from primroseyoke.settings import Address
from tests.event_loop import run
from tests.standins.duty_store import DutyHost, DutyStore, HostTopic


class RecordingDuty:
    """Duty that records its calls, and fails if it is told to."""

    def __init__(self, name: str, calls: list[str]) -> None:
        self.name = name
        self.calls = calls
        self.fails = False

    async def perform(self) -> None:
        self.calls.append(self.name)
        if self.fails:
            raise ValueError(self.name)


class FakePlatform:
    """Platform with a store in memory and an API without a server."""

    def __init__(self) -> None:
        self.store = DutyStore()
        self.call_counts = collections.Counter({('usage', 'accepted'): 3})

    def duty_topic(self) -> HostTopic:
        return HostTopic(self.store)

    def duty_api(self, held: object) -> 'FakePlatform':
        return self


def make_settings(duties: DutySettings | None) -> GatewaySettings:
    address = Address('127.0.0.1', 1)
    return GatewaySettings(
        host='host-0',
        availability_zone='zone-a',
        address='127.0.0.1',
        callers=address,
        readiness=address,
        store=StoreSettings(address),
        duties=duties,
        unknown_duties=('sweeping',),
    )


def make_duties(duties: DutySettings | None) -> Duties:
    return Duties(
        make_settings(duties),
        FakePlatform(),  # type: ignore[arg-type]
        PeerReporter('host-0', '127.0.0.1', 1),
    )


USAGE_ONLY = DutySettings(Address('127.0.0.1', 2), frozenset({DutyKind.USAGE}))


def test_duties_run_in_order_only_while_the_lease_is_held() -> None:
    """Guards against calls by hosts that do not hold the lease."""

    async def scenario() -> None:
        calls: list[str] = []
        host = DutyHost(DutyStore(), 'host-0')
        clock = asyncio.get_running_loop().time
        runner = DutyRunner(host.lease, TokenBucket(2), clock)
        runner.add(RecordingDuty('usage', calls))
        runner.add(RecordingDuty('scaling', calls))
        task = asyncio.ensure_future(runner.run())
        await asyncio.sleep(2)
        assert not calls
        host.start()
        # The host has heard nothing for 2 s, so it reads the topic at once,
        # and claims after one lease duration.
        await asyncio.sleep(3 + 2)
        assert calls[:4] == ['usage', 'scaling', 'usage', 'scaling']
        # Two seconds, each with four rounds of two duties.
        assert 14 <= len(calls) <= 18
        host.lease.drain()
        calls.clear()
        await asyncio.sleep(3)
        assert not calls
        task.cancel()

    run(scenario())


def test_failed_duty_does_not_stop_the_others(caplog) -> None:
    async def scenario() -> None:
        calls: list[str] = []
        host = DutyHost(DutyStore(), 'host-0')
        clock = asyncio.get_running_loop().time
        runner = DutyRunner(host.lease, TokenBucket(2), clock)
        for name in ('usage', 'scaling'):
            duty = RecordingDuty(name, calls)
            duty.fails = name == 'usage'
            runner.add(duty)
        host.start()
        await asyncio.sleep(5)
        await runner.perform_all()
        await runner.perform_all()
        assert calls == ['usage', 'scaling'] * 2
        assert caplog.text.count('duty failed') == 2
        host.stop()

    run(scenario())


def test_new_holder_waits_before_its_first_call() -> None:
    """Guards against two holders that exceed the accepted rate together."""

    async def scenario() -> None:
        host = DutyHost(DutyStore(), 'host-0')
        clock = asyncio.get_running_loop().time
        runner = DutyRunner(host.lease, TokenBucket(2), clock)
        runner.add(RecordingDuty('usage', []))
        host.start()
        await asyncio.sleep(5)
        assert host.lease.held() is not None
        await runner.perform_all()
        assert not runner.bucket.try_take(clock())
        await asyncio.sleep(0.7)
        assert runner.bucket.try_take(clock())
        host.stop()

    run(scenario())


def test_bucket_stays_below_the_accepted_rate_in_each_second() -> None:
    for accepted in (1, 2, 3.5, 5, 10):
        bucket = TokenBucket(accepted)
        times = [
            number / 100
            for number in range(1000)
            if bucket.try_take(number / 100)
        ]
        counts = [
            sum(first <= at < first + 1 for at in times) for first in times
        ]
        assert max(counts) <= accepted
        assert len(times) >= 0.6 * accepted * 10


def test_no_call_to_the_store_without_a_duty(caplog) -> None:
    """Guards against costs where the platform asks for no duty."""

    async def scenario() -> None:
        duties = make_duties(None)
        assert duties.lease is None
        assert duties.background_tasks() == []
        assert duties.state() is None
        assert not list(DutyCollector(duties).collect())
        duties.drain()

    run(scenario())
    assert caplog.text.count('unknown duty ignored') == 1


def test_metrics_and_state_show_the_lease() -> None:
    async def scenario() -> None:
        duties = make_duties(USAGE_ONLY)
        assert duties.lease is not None
        duties.lease.clock = asyncio.get_running_loop().time
        duties.lease.heard_at = duties.lease.clock()
        metrics = Metrics()
        metrics.registry.register(DutyCollector(duties))
        assert 'gateway_duty_lease_held 0.0' in metrics.render().decode()
        tasks = [
            asyncio.ensure_future(factory())
            for factory in duties.background_tasks()
        ]
        await asyncio.sleep(5)
        text = metrics.render().decode()
        number = duties.lease.held()
        assert number is not None
        assert 'gateway_duty_lease_held 1.0' in text
        assert 'gateway_duty_leases_lost_total 0.0' in text
        assert (
            'gateway_duty_calls_total{call="usage",result="accepted"} 3.0'
            in text
        )
        state = duties.state()
        assert state is not None
        assert state['lease']['held'] == number
        assert state['calls'] == {'usage accepted': 3}
        for task in tasks:
            task.cancel()

    run(scenario())
