"""The duty lease: each failure of hosts and store, in virtual time."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable, Coroutine

import msgspec
import pytest

from primroseyoke.gateway.lease_records import (
    decode_lease_record,
    fencing_number_at,
)
from primroseyoke.positions import EraTracker, Position
from tests.event_loop import run
from tests.standins.duty_store import DutyHost, DutyStore, exchange_heartbeats

LEASE_SECONDS = 3.0
# A host without knowledge of earlier holders waits 1 s for heartbeats and then
# one lease duration.
FIRST_CLAIM_SECONDS = 4.2


@contextlib.asynccontextmanager
async def running_hosts(
    store: DutyStore, count: int = 2
) -> AsyncIterator[list[DutyHost]]:
    """Run hosts that hear each other; the first has claimed the lease."""
    hosts = [DutyHost(store, f'host-{rank}', rank) for rank in range(count)]
    heartbeats = asyncio.ensure_future(exchange_heartbeats(hosts))
    for host in hosts:
        host.start()
    await asyncio.sleep(FIRST_CLAIM_SECONDS)
    assert holders(hosts) == ['host-0']
    yield hosts
    heartbeats.cancel()
    for host in hosts:
        host.stop()


def holders(hosts: list[DutyHost]) -> list[str]:
    return [host.name for host in hosts if host.lease.held() is not None]


def run_hosts(
    scenario: Callable[
        [DutyStore, list[DutyHost]], Coroutine[None, None, None]
    ],
    count: int = 2,
) -> None:
    async def run_scenario() -> None:
        store = DutyStore()
        async with running_hosts(store, count) as hosts:
            await scenario(store, hosts)

    run(run_scenario())


async def next_holder(hosts: list[DutyHost], seconds: float) -> str:
    """Return the first holder from now on; at most one at any time."""
    for _ in range(int(seconds / 0.02)):
        await asyncio.sleep(0.02)
        found = holders(hosts)
        assert len(found) <= 1
        if found:
            return found[0]
    raise AssertionError(f'no holder within {seconds} s')


def test_one_host_claims_and_keeps_the_lease() -> None:
    """Guards against calls to the store by hosts that hear a holder."""

    async def scenario(store: DutyStore, hosts: list[DutyHost]) -> None:
        number = hosts[0].lease.held()
        store.calls = 0
        for _ in range(600):
            await asyncio.sleep(0.05)
            assert hosts[0].lease.held() == number
            assert holders(hosts) == ['host-0']
        # One renewal each second.
        assert 28 <= store.calls <= 31

    run_hosts(scenario, 5)


def test_hosts_without_heartbeats_make_few_calls() -> None:
    """Guards against claims by all hosts after each lease duration.

    Heartbeats are lost for long, while the holder renews its lease.
    """

    async def scenario() -> None:
        store = DutyStore()
        hosts = [DutyHost(store, f'host-{rank}', rank) for rank in range(40)]
        for host in hosts:
            host.start()
        await asyncio.sleep(60)
        assert holders(hosts) == ['host-0']
        store.calls = 0
        await asyncio.sleep(60)
        assert holders(hosts) == ['host-0']
        # The holder makes 60. Host r makes two at most each 1 + r seconds.
        assert store.calls <= 60 + sum(2 * 60 / (1 + r) for r in range(1, 40))
        for host in hosts:
            host.stop()

    run(scenario())


def test_emptied_topic_without_eras_is_not_claimed(caplog) -> None:
    """Guards against a fencing number that was used before."""

    async def scenario(store: DutyStore, hosts: list[DutyHost]) -> None:
        (host,) = hosts
        # A holder may renew its own lease; so this one loses it before.
        host.topic.rejected = True
        await asyncio.sleep(LEASE_SECONDS)
        store.era = 0
        store.records.clear()
        host.topic.eras = EraTracker('store')
        host.topic.rejected = False
        await asyncio.sleep(20)
        assert host.lease.held() is None
        assert not store.records

    run_hosts(scenario, 1)
    assert caplog.text.count('offers no higher number') == 1


def test_of_two_hosts_that_claim_at_once_one_holds_the_lease() -> None:
    """Guards against two hosts that both believe they hold the lease.

    Both hear no heartbeat and append their claims in the same moment.
    """

    async def scenario() -> None:
        store = DutyStore()
        hosts = [DutyHost(store, name) for name in ('a', 'b')]
        for host in hosts:
            host.start()
        winner = await next_holder(hosts, 5)
        for _ in range(400):
            await asyncio.sleep(0.02)
            assert holders(hosts) == [winner]
        for host in hosts:
            host.stop()

    run(scenario())


def test_suspended_holder_does_not_act_afterwards() -> None:
    """Guards against a call by a holder suspended between check and call."""

    async def scenario(store: DutyStore, hosts: list[DutyHost]) -> None:
        first, second = hosts
        number = first.lease.held()
        first.stop()
        first.topic.resumed.clear()
        assert await next_holder([second], 6) == 'host-1'
        # The first host goes on here, before any of its tasks has run.
        assert first.lease.held() is None
        assert second.lease.held() > number
        first.topic.resumed.set()
        first.start()
        await asyncio.sleep(1)
        assert holders(hosts) == ['host-1']

    run_hosts(scenario)


def test_late_append_of_a_former_holder_has_no_effect() -> None:
    """Guards against a renewal that is executed after another host's claim."""

    async def scenario(store: DutyStore, hosts: list[DutyHost]) -> None:
        first, second = hosts
        first.topic.late_appends = [6.0]
        await asyncio.sleep(1.0)
        first.topic.rejected = True
        assert await next_holder([second], 6) == 'host-1'
        length = len(store.records)
        number = second.lease.held()
        for _ in range(100):
            await asyncio.sleep(0.05)
            assert holders(hosts) == ['host-1']
        assert second.lease.held() == number
        written = {
            decode_lease_record(content).lease.holder
            for content in store.records[length:]
        }
        assert written == {second.lease.chain.holder}

    run_hosts(scenario)


def test_late_append_that_succeeds_does_not_lengthen_the_lease() -> None:
    """Guards against time to act that counts from a late execution."""

    async def scenario(store: DutyStore, hosts: list[DutyHost]) -> None:
        first = hosts[0]
        first.topic.late_appends = [1.9]
        while first.topic.late_appends:
            await asyncio.sleep(0.01)
        sent_at = asyncio.get_running_loop().time()
        first.topic.rejected = True
        await asyncio.sleep(2.1)
        assert asyncio.get_running_loop().time() > sent_at + 2
        assert first.lease.held() is None

    run_hosts(scenario, 1)


def test_first_claim_in_a_store_without_eras() -> None:
    """Guards against an empty topic that looks as if it had been read before.

    Found with a whole gateway: it waited for ever.
    """

    async def scenario() -> None:
        host = DutyHost(DutyStore(era=0), 'host-0')
        host.start()
        assert await next_holder([host], FIRST_CLAIM_SECONDS) == 'host-0'
        assert host.lease.held() == 1
        host.stop()

    run(scenario())


def test_lost_response_of_a_renewal_keeps_the_lease() -> None:
    """Guards against a holder that gives up after one lost response."""

    async def scenario(store: DutyStore, hosts: list[DutyHost]) -> None:
        number = hosts[0].lease.held()
        hosts[0].topic.lost_responses = 1
        for _ in range(100):
            await asyncio.sleep(0.05)
            assert hosts[0].lease.held() == number
        assert hosts[0].topic.lost_responses == 0

    run_hosts(scenario)


def test_lost_response_of_a_claim_does_not_lose_the_lease() -> None:
    """Guards against a claim that blocks the lease without a holder."""

    async def scenario() -> None:
        store = DutyStore()
        host = DutyHost(store, 'host-0')
        host.topic.lost_responses = 1
        host.start()
        assert await next_holder([host], 7) == 'host-0'
        assert host.topic.lost_responses == 0
        assert host.lease.held() == fencing_number_at(Position(1, 0))
        host.stop()

    run(scenario())


def test_store_outage_ends_the_lease_in_time() -> None:
    """Guards against a holder that acts on while the store is down."""

    async def scenario(store: DutyStore, hosts: list[DutyHost]) -> None:
        number = hosts[0].lease.held()
        store.down = True
        await asyncio.sleep(LEASE_SECONDS)
        assert holders(hosts) == []
        await asyncio.sleep(7)
        store.down = False
        assert await next_holder(hosts, 6) in {'host-0', 'host-1'}
        assert max(host.lease.held() or 0 for host in hosts) > number
        assert hosts[0].lease.lost_count == 1

    run_hosts(scenario)


def test_slow_store_does_not_end_the_lease() -> None:
    """Guards against a lease that is lost to responses after 0.4 s."""

    async def scenario(store: DutyStore, hosts: list[DutyHost]) -> None:
        store.latency = 0.4
        number = hosts[0].lease.held()
        for _ in range(200):
            await asyncio.sleep(0.05)
            assert hosts[0].lease.held() == number

    run_hosts(scenario)


def test_holder_that_the_store_rejects_is_replaced() -> None:
    """Guards against duties that stop while only the holder is rejected."""

    async def scenario(store: DutyStore, hosts: list[DutyHost]) -> None:
        first, second = hosts
        number = first.lease.held()
        first.topic.rejected = True
        await asyncio.sleep(2.1)
        assert holders(hosts) == []
        # It waits 2 s without a holder, and then one lease duration.
        assert await next_holder(hosts, 5.3) == 'host-1'
        assert second.lease.held() > number
        first.topic.rejected = False
        await asyncio.sleep(5)
        assert holders(hosts) == ['host-1']

    run_hosts(scenario)


def test_new_era_without_lost_records_keeps_the_holder() -> None:
    """Guards against a change of the holder at each restored copy."""

    async def scenario(store: DutyStore, hosts: list[DutyHost]) -> None:
        number = hosts[0].lease.held()
        assert await hosts[0].lease.write(b'window 7')
        store.restore(0)
        for _ in range(100):
            await asyncio.sleep(0.05)
            assert hosts[0].lease.held() == number
        assert decode_lease_record(store.records[-1]).era == 2
        assert hosts[0].lease.payload == b'window 7'
        assert hosts[0].lease.payload_known

    run_hosts(scenario)


def test_new_era_with_a_lost_claim_delays_the_next_one() -> None:
    """Guards against a second holder while the first one may still act.

    The store loses the claim and all renewals of the holder, which is cut off
    from the store; so another host finds an earlier record or none.
    """

    async def scenario(store: DutyStore, hosts: list[DutyHost]) -> None:
        first, second = hosts
        number = first.lease.held()
        assert await first.lease.write(b'window 7')
        first.topic.rejected = True
        second.lease.heard_at = -100
        restored_at = asyncio.get_running_loop().time()
        store.restore(len(store.records))
        hosts.remove(first)
        assert await next_holder([second], 6) == 'host-1'
        passed = asyncio.get_running_loop().time() - restored_at
        assert passed >= LEASE_SECONDS
        assert second.lease.held() > number
        assert not second.lease.payload_known
        assert await second.lease.write(b'window 9')
        assert second.lease.payload_known

    run_hosts(scenario)


def test_append_of_an_earlier_era_gives_no_right_to_act() -> None:
    """Guards against a claim that is executed at the same offset in a new era.

    Its record states the earlier era, and its fencing number may be repeated.
    """

    async def scenario() -> None:
        store = DutyStore()
        host = DutyHost(store, 'host-0')
        host.topic.eras.learn(1, 0)
        host.lease.heard_at = -100
        append_at = host.topic.append_at
        eras = iter((2,))

        async def append_after_restore(*arguments: object) -> Position:
            store.era = next(eras, store.era)
            return await append_at(*arguments)  # type: ignore[arg-type]

        host.topic.append_at = append_after_restore  # type: ignore[method-assign]
        host.start()
        while not store.records:
            await asyncio.sleep(0.01)
            assert host.lease.held() is None
        assert decode_lease_record(store.records[0]).era == 1
        claimed_at = asyncio.get_running_loop().time()
        await next_holder([host], 8)
        assert asyncio.get_running_loop().time() >= claimed_at + LEASE_SECONDS
        assert host.lease.held() == fencing_number_at(Position(2, 1))
        host.stop()

    run(scenario())


def test_restarted_hosts_use_a_higher_number_after_the_expiry() -> None:
    """Guards against a restart of all hosts that repeats a fencing number."""

    async def scenario(store: DutyStore, hosts: list[DutyHost]) -> None:
        number = hosts[0].lease.held()
        assert await hosts[0].lease.write(b'window 7')
        written_at = asyncio.get_running_loop().time()
        for host in hosts:
            host.restart()
        await next_holder(hosts, 6)
        passed = asyncio.get_running_loop().time() - written_at
        assert passed >= LEASE_SECONDS
        (holder,) = [each for each in hosts if each.lease.held() is not None]
        assert holder.lease.held() > number
        assert (holder.lease.payload, holder.lease.payload_known) == (
            b'window 7',
            True,
        )

    run_hosts(scenario)


def test_former_holder_waits_before_it_claims_again() -> None:
    """Guards against a host that calls soon after it lost the lease.

    Another holder may have made a call meanwhile that this host can't see.
    """

    async def scenario(store: DutyStore, hosts: list[DutyHost]) -> None:
        (host,) = hosts
        host.topic.rejected = True
        while host.lease.held() is not None:
            await asyncio.sleep(0.01)
        lost_at = asyncio.get_running_loop().time()
        host.topic.rejected = False
        assert await next_holder(hosts, 6) == 'host-0'
        passed = asyncio.get_running_loop().time() - lost_at
        assert passed >= LEASE_SECONDS

    run_hosts(scenario, 1)


def test_claim_that_was_lost_is_repeated_without_another_wait() -> None:
    """Guards against a whole lease duration of delay for each lost call."""

    async def scenario() -> None:
        host = DutyHost(DutyStore(), 'host-0')
        host.topic.late_appends = [100.0]
        host.start()
        # After the first claim: a time-out of 0.8 s and a pause of 1 s.
        assert await next_holder([host], FIRST_CLAIM_SECONDS + 2) == 'host-0'
        assert not host.topic.late_appends
        host.stop()

    run(scenario())


def test_expired_history_leaves_one_sufficient_record() -> None:
    """Guards against a new holder that needs records the store has dropped."""

    async def scenario(store: DutyStore, hosts: list[DutyHost]) -> None:
        assert await hosts[0].lease.write(b'window 7')
        number = hosts[0].lease.held()
        hosts[0].stop()
        store.records[:-1] = [b''] * (len(store.records) - 1)
        assert await next_holder([hosts[1]], 6) == 'host-1'
        assert hosts[1].lease.held() > number
        assert hosts[1].lease.payload == b'window 7'

    run_hosts(scenario)


def test_draining_holder_releases_the_lease() -> None:
    """Guards against duties that wait for the expiry at each planned stop."""

    async def scenario(store: DutyStore, hosts: list[DutyHost]) -> None:
        hosts[0].lease.drain()
        assert hosts[0].lease.held() is None
        assert await next_holder(hosts, 2.6) == 'host-1'
        await asyncio.sleep(5)
        assert holders(hosts) == ['host-1']
        assert hosts[0].task is not None
        assert hosts[0].task.done()
        assert hosts[0].lease.lost_count == 0

    run_hosts(scenario)


def test_host_does_not_return_within_the_duration_after_a_release() -> None:
    """Guards against the order A, B, A within a lease duration."""

    async def scenario(store: DutyStore, hosts: list[DutyHost]) -> None:
        first, second = hosts
        released_at = asyncio.get_running_loop().time()
        first.lease.drain()
        assert await next_holder(hosts, 2.6) == 'host-1'
        second.lease.drain()
        while second.is_running:
            await asyncio.sleep(0.02)
        first.restart()
        first.lease.heard_at = -100
        assert await next_holder([first], 6) == 'host-0'
        passed = asyncio.get_running_loop().time() - released_at
        assert passed >= LEASE_SECONDS

    run_hosts(scenario)


@pytest.mark.parametrize(
    'content',
    [
        b'',
        b'{',
        b'{"lease": 1}',
        b'\xff\x00',
    ],
)
def test_undecodable_record_delays_the_claim(content: bytes) -> None:
    """Guards against a claim while an unknown holder may still act."""

    async def scenario() -> None:
        store = DutyStore(records=[content])
        host = DutyHost(store, 'host-0')
        host.start()
        await asyncio.sleep(3.9)
        assert host.lease.held() is None
        assert await next_holder([host], 1) == 'host-0'
        assert not host.lease.payload_known
        host.stop()

    run(scenario())


@pytest.mark.parametrize(
    ('field', 'number'),
    [('expires_at', 1e12), ('duration', 1e9), ('fencing_number', 2**53)],
)
def test_record_with_an_endless_lease_is_rejected(
    field: str, number: float
) -> None:
    """Guards against a record that blocks the lease for ever."""

    async def scenario(store: DutyStore, hosts: list[DutyHost]) -> None:
        for host in hosts:
            host.stop()
        record = msgspec.json.decode(store.records[-1])
        record['lease'][field] = number
        store.records.append(msgspec.json.encode(record))
        hosts[1].restart()
        assert await next_holder([hosts[1]], 6) == 'host-1'

    run_hosts(scenario)


def test_write_is_confirmed_despite_a_lost_response() -> None:
    """Guards against a report that is not sent though its record is stored."""

    async def scenario(store: DutyStore, hosts: list[DutyHost]) -> None:
        hosts[0].topic.lost_responses = 1
        assert await hosts[0].lease.write(b'window 8')
        assert hosts[0].lease.payload == b'window 8'
        assert decode_lease_record(store.records[-1]).payload == b'window 8'

    run_hosts(scenario)


def test_write_is_not_confirmed_without_the_lease() -> None:
    """Guards against a report of a host that lost the lease meanwhile."""

    async def scenario(store: DutyStore, hosts: list[DutyHost]) -> None:
        assert not await hosts[1].lease.write(b'window 8')
        hosts[0].topic.rejected = True
        assert not await hosts[0].lease.write(b'window 8')
        store.latency = 2.5
        hosts[0].topic.rejected = False
        assert not await hosts[0].lease.write(b'window 9')

    run_hosts(scenario)
