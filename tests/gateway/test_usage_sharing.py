"""Usage counts between hosts over a network that loses datagrams."""

import asyncio

import cbor2
import pytest

from primroseyoke.gateway.peer_reports import UsageMessage, encode_message
from tests.standins.usage_hosts import START, Network, run_network

MAX_DATAGRAM_BYTES = 1200


async def serve(network: Network, seconds: float, rate: int = 10) -> None:
    """Let each host serve so many requests per second of 20 clients."""
    end = asyncio.get_running_loop().time() + seconds
    number = 0
    while asyncio.get_running_loop().time() < end:
        for host in tuple(network.hosts.values()):
            host.serve(f'client-{number % 20}')
        number += 1
        await asyncio.sleep(1 / rate)


def total(network: Network, window: int) -> int | None:
    counts = network.reported(window)
    return None if counts is None else sum(counts.values())


@pytest.mark.parametrize('seed', range(10))
def test_lost_repeated_and_reordered_datagrams_change_no_count(
    seed: int,
) -> None:
    """Guards against counts that are too low or counted twice."""

    async def scenario(network: Network) -> None:
        network.loss = 0.3
        network.repetition = 0.3
        network.max_delay = 0.4
        await serve(network, 26)

    network = run_network(scenario, count=6, seed=seed)
    assert [total(network, window) for window in (1, 2, 3)] == [300] * 3


@pytest.mark.parametrize('is_late', [False, True])
@pytest.mark.parametrize('wait', [0.3, 2.0, 5.0, 8.0])
@pytest.mark.parametrize('hosts', [(1, 2), (0, 2), (2, 0), (2, 2)])
def test_request_that_is_sent_again_to_another_host_counts_once(
    hosts: tuple[int, int], wait: float, is_late: bool
) -> None:
    """Guards against callers that are billed twice while upstreams stall.

    The first host counted the request because an upstream may have run it.
    Reports are late if a host has crashed.
    """

    async def scenario(network: Network) -> None:
        first, second = (network[number] for number in hosts)
        await serve(network, 6)
        for number in range(20):
            first.add('lost', f'x-{number}', lost=True)
            second.add('other', f'x-{number}', repeated=True)
            second.add('lost', f'y-{number}', repeated=True)
            second.add('both', f'z-{number}', lost=True, repeated=True)
        await serve(network, wait)
        for number in range(20):
            second.add('lost', f'x-{number}', repeated=True)
        if is_late:
            network[3].crash()
        await serve(network, 29 - wait - 6)

    network = run_network(scenario)
    counts = [network.reported(window) or {} for window in (1, 2, 3)]
    assert all(counts)
    assert sum(each.get('lost', 0) for each in counts) == 20 + 20
    assert counts[0]['lost'] == 20 + 20
    assert counts[0]['other'] == 20
    assert counts[0]['both'] == 20


@pytest.mark.parametrize('stopping', [0, 3])
@pytest.mark.parametrize('seed', range(5))
def test_host_that_stops_loses_no_counts(seed: int, stopping: int) -> None:
    """Guards against the counts of the last moments before each release.

    Host 0 holds the lease, and gives it up when it begins to drain.
    """

    async def scenario(network: Network) -> None:
        network.loss = 0.05
        await serve(network, 7)
        if stopping == 0:
            network.store.grant('10.0.0.1')
        await serve(network, 1)
        network[stopping].stop()
        await serve(network, 10)

    network = run_network(scenario, seed=seed)
    assert total(network, 1) == 50 * 3 + 30
    # It has told that it has completed the window, so nobody waits for it.
    assert network.reported_after(1) < 2


@pytest.mark.parametrize('at', [8.0, 8.13, 8.27, 8.41])
def test_host_that_dies_loses_half_a_second_of_counts(
    at: float, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against a window that is lost, or late, with one host."""

    async def scenario(network: Network) -> None:
        await serve(network, at)
        network[3].crash()
        await serve(network, 21 - at)

    network = run_network(scenario)
    served = 50 * 3 + round((at - 5) * 10)
    counted = total(network, 1)
    assert counted is not None
    assert served - 6 <= counted <= served + 1
    assert network.reported_after(1) <= 7.5
    assert total(network, 2) == 150
    lines = [
        (record.window, record.hosts)
        for record in caplog.records
        if 'without all counts' in record.message
    ]
    first = int(START // 5)
    assert (first + 1, ['10.0.0.3']) in lines


@pytest.mark.parametrize(
    ('start', 'seconds'), [(4.0, 6), (6.0, 6), (8.0, 6), (4.0, 9)]
)
def test_partition_loses_no_counts(start: float, seconds: float) -> None:
    """Guards against reports without a zone that goes on to serve requests."""

    async def scenario(network: Network) -> None:
        await serve(network, start)
        network.cut = {'10.0.0.4', '10.0.0.5'}
        await serve(network, seconds)
        network.cut = set()
        await serve(network, 33 - start - seconds)

    network = run_network(scenario, count=6)
    assert [total(network, window) for window in (1, 2, 3, 4)] == [300] * 4
    for window in (1, 2, 3, 4):
        assert network.reported_after(window) < 8


def test_holder_that_dies_loses_half_a_second_of_its_counts() -> None:
    """Guards against a holder that keeps its own counts for itself."""

    async def scenario(network: Network) -> None:
        await serve(network, 9)
        network[0].crash()
        network.store.grant(None)
        await serve(network, 5)
        network.store.grant('10.0.0.1')
        await serve(network, 7)

    network = run_network(scenario)
    counted = total(network, 1)
    assert counted is not None
    assert 150 + 40 - 6 <= counted <= 150 + 40


def test_successor_that_was_not_expected_gets_all_counts() -> None:
    """Guards against a holder without the counts of earlier windows."""

    async def scenario(network: Network) -> None:
        await serve(network, 9.8)
        network.store.grant('10.0.0.5')
        await serve(network, 11)

    network = run_network(scenario, count=6)
    assert [total(network, window) for window in (1, 2)] == [300] * 2


def test_restarted_host_counts_anew() -> None:
    """Guards against counts of a new process that hide those of the old."""

    async def scenario(network: Network) -> None:
        await serve(network, 7)
        network[3].stop()
        network.add('10.0.0.3')
        await serve(network, 14)

    network = run_network(scenario)
    assert [total(network, window) for window in (1, 2)] == [200] * 2


@pytest.mark.parametrize('step', [-4.0, 4.0])
def test_clock_of_a_host_that_steps_and_steps_back_changes_nothing(
    step: float,
) -> None:
    """Guards against counts in wrong windows and reports that are too early.

    The clock of the holder and that of another host step.
    """

    async def scenario(network: Network) -> None:
        await serve(network, 6)
        network[0].step = step
        network[2].step = step
        await serve(network, 10)
        network[0].step = 0
        network[2].step = 0
        await serve(network, 5)

    network = run_network(scenario)
    assert [total(network, window) for window in (1, 2)] == [200] * 2


@pytest.mark.parametrize('step', [-11.0, -4.0, 4.0, 8.0])
def test_holder_that_starts_with_a_wrong_clock_reports_in_time(
    step: float,
) -> None:
    """Guards against a report before the end of a window, or a late one."""

    async def scenario(network: Network) -> None:
        await serve(network, 6)
        network[0].crash()
        host = network.add('10.0.0.0')
        host.step = step
        host.clock.offset += step
        network.store.grant('10.0.0.0')
        await serve(network, 26)

    network = run_network(scenario, count=8)
    for window in (2, 3):
        assert 0 < network.reported_after(window) <= 10
        # Its own counts are in other windows; those of the others are whole.
        counted = total(network, window)
        assert counted is not None
        assert counted >= 350


def test_counts_go_to_the_holder_and_the_next_host_alone() -> None:
    """Guards against traffic that grows with the square of the hosts."""

    async def scenario(network: Network) -> None:
        network.store.grant('10.0.0.4')
        await serve(network, 3)
        for host in network.hosts.values():
            receivers = {'10.0.0.4', '10.0.0.0', '10.0.0.1'}
            assert set(host.sharing.targets()) <= receivers - {host.address}
        assert network[3].sharing.targets() == ['10.0.0.4', '10.0.0.0']
        assert network[4].sharing.targets() == ['10.0.0.0']
        assert network[0].sharing.targets() == ['10.0.0.4']
        network.store.grant(None)
        await serve(network, 1)
        assert network[3].sharing.targets() == ['10.0.0.0', '10.0.0.1']

    run_network(scenario, count=6)


def test_counts_of_one_host_take_little_bandwidth() -> None:
    """Guards against hosts that send all counts again and again.

    A host that starts 50 requests a second may use 17 KB/s for control in all,
    of which this is to take a third at most.
    """

    async def scenario(network: Network) -> None:
        await serve(network, 6, rate=50)
        network.sizes.clear()
        await serve(network, 10, rate=50)

    network = run_network(scenario)
    assert sum(network.sizes) / 10 / 4 < 17000 / 3


def test_datagrams_of_4300_accounts_are_small() -> None:
    """Guards against datagrams that are fragmented, or sent all at once."""

    async def scenario(network: Network) -> None:
        await network.wait_until(5.5)
        for number in range(4300):
            network[3].serve(f'account-{number:05}-of-a-long-name')
        network.sizes.clear()
        await network.wait_until(6.1)
        # Two receivers, two intervals, 40 datagrams each.
        assert sum(size > 500 for size in network.sizes) <= 2 * 2 * 40
        await network.wait_until(21)

    network = run_network(scenario)
    assert total(network, 1) == 4300
    assert max(network.sizes) <= MAX_DATAGRAM_BYTES
    assert network.reported_after(1) < 4


def test_state_is_bounded_and_expires() -> None:
    """Guards against windows and processes that are kept forever."""

    async def scenario(network: Network) -> None:
        for _ in range(12):
            await serve(network, 5)
            network[3].stop()
            network.add('10.0.0.3')
        for host in network.hosts.values():
            assert len(host.counter.counts) <= 6
            assert len(host.counter.counted_ids) <= 6 * 50
            assert len(host.ledger.runs) <= 3 + 6
            for told in host.ledger.runs.values():
                assert len(told.counts) <= 6
                assert len(told.totals) <= 6

    run_network(scenario)


def test_counts_of_other_times_are_ignored() -> None:
    """Guards against a host with a wrong clock that fills the memory."""

    async def scenario(network: Network) -> None:
        host = network[0]
        for window in (0, 5, 10**12):
            message = UsageMessage(
                'x/1', {window: {'c': 1}}, int(START * 1000), 0, {window: 1}
            )
            host.reporter.datagram_received(
                encode_message(message), ('10.0.0.9', 1)
            )
        assert not host.ledger.runs['x/1'].counts
        assert not host.ledger.runs['x/1'].totals

    run_network(scenario)


def test_malformed_counts_are_ignored() -> None:
    """Guards against a datagram that stops the exchange of reports."""

    async def scenario(network: Network) -> None:
        for message in (
            {'usage': 1},
            {'usage': {}},
            {'usage': {}, 'run': ''},
            {'usage': {-1: {'c': 1}}, 'run': 'x/1'},
            {'usage': {1: {'c': -1}}, 'run': 'x/1'},
            {'usage': {1: {2: 1}}, 'run': 'x/1'},
            {'usage': {}, 'run': 'x/1', 'missing': ['x']},
        ):
            network[0].reporter.datagram_received(
                cbor2.dumps(message), ('10.0.0.9', 1)
            )
        assert not network[0].ledger.runs

    run_network(scenario)
