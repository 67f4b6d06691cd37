"""Usage reports while the API, the store and holders of the lease fail."""

import asyncio
import itertools

import pytest

from primroseyoke.gateway.metrics import Metrics
from primroseyoke.gateway.usage import ApiResult
from tests.standins.usage_hosts import Network, boot, run_network


async def serve(network: Network, seconds: float) -> None:
    """Let each host serve one request of each of two clients per 0.1 s."""
    end = asyncio.get_running_loop().time() + seconds
    while asyncio.get_running_loop().time() < end:
        for host in tuple(network.hosts.values()):
            host.serve('anna')
            host.serve('bela', 2)
        await asyncio.sleep(0.1)


def assert_reported(network: Network, *windows: int) -> None:
    """Check the reports of whole windows of ``serve`` with four hosts."""
    for window in windows:
        assert network.reported(window) == {'anna': 200, 'bela': 400}


def test_each_window_is_reported_once_all_hosts_have_completed_it() -> None:
    """Guards against reports that miss counts of other hosts or are late."""

    async def scenario(network: Network) -> None:
        await serve(network, 21)

    network = run_network(scenario)
    assert_reported(network, 1, 2, 3)
    assert max(map(network.reported_after, (1, 2, 3))) < 1.5
    windows = [window for _, _, window in network.api.calls]
    assert windows == sorted(set(windows))


def test_windows_without_requests_are_reported_without_counts() -> None:
    """Guards against a gap that looks like a missing report."""

    async def scenario(network: Network) -> None:
        await network.wait_until(16.5)

    network = run_network(scenario)
    assert [network.reported(window) for window in (1, 2)] == [{}, {}]


def test_report_whose_response_was_lost_is_repeated_unchanged() -> None:
    """Guards against a second, different report of the same window."""

    async def scenario(network: Network) -> None:
        network.api.lost_responses = 3
        await serve(network, 16.5)

    network = run_network(scenario)
    assert_reported(network, 1, 2)
    calls = [window for _, _, window in network.api.calls]
    assert calls.count(calls[0]) == 4


def test_busy_api_gets_the_report_again() -> None:
    """Guards against a window that is lost to a 429."""

    async def scenario(network: Network) -> None:
        network.api.results = [ApiResult.BUSY] * 4
        await serve(network, 16.5)

    network = run_network(scenario)
    assert_reported(network, 1, 2)


def test_refused_report_is_not_repeated() -> None:
    """Guards against a refused report that blocks all later windows."""

    async def scenario(network: Network) -> None:
        await serve(network, 7)
        network.api.results = [ApiResult.INVALID]
        await serve(network, 14.5)
        assert network[0].usage.outcomes['refused'] == 1

    network = run_network(scenario)
    calls = [window for _, _, window in network.api.calls]
    assert len(calls) == len(set(calls))
    assert_reported(network, 2, 3)


def test_all_windows_are_reported_after_an_outage_of_the_api() -> None:
    """Guards against windows that are lost while the API is down for 9 s."""

    async def scenario(network: Network) -> None:
        await serve(network, 10)
        network.api.down = True
        await serve(network, 9)
        network.api.down = False
        await serve(network, 7)

    network = run_network(scenario)
    assert_reported(network, 1, 2, 3, 4)
    assert max(map(network.reported_after, (1, 2, 3, 4))) <= 10


def test_windows_that_are_overdue_are_skipped() -> None:
    """Guards against holders that never catch up after a long outage."""

    async def scenario(network: Network) -> None:
        await serve(network, 10.2)
        network.api.down = True
        await serve(network, 20)
        network.api.down = False
        await serve(network, 6)
        assert network[0].usage.outcomes['skipped'] == 3

    network = run_network(scenario)
    assert network.reported(2) is None
    assert_reported(network, 4, 5, 6)


def test_no_window_is_reported_before_it_is_stored() -> None:
    """Guards against a new holder that does not know of a report."""

    async def scenario(network: Network) -> None:
        await serve(network, 10)
        calls = len(network.api.calls)
        network.store.down = True
        await serve(network, 6)
        assert len(network.api.calls) == calls
        network.store.down = False
        await serve(network, 4)

    network = run_network(scenario)
    assert_reported(network, 1, 2)


@pytest.mark.parametrize('moment', ['stored', 'sent'])
def test_new_holder_repeats_the_stored_report_unchanged(moment: str) -> None:
    """Guards against a different report by a host that has other counts.

    The holder changes after its report was stored, or after it was sent.
    """

    async def scenario(network: Network) -> None:
        await serve(network, 7)
        network.api.lost_responses = 1000

        def change_holder(*window: int) -> None:
            network.store.on_write = lambda: None
            network.api.before_call = lambda window: None
            network.store.grant('10.0.0.1')

        if moment == 'stored':
            network.store.on_write = change_holder
        else:
            network.api.before_call = change_holder
        await serve(network, 4.5)
        assert network.store.holder == '10.0.0.1'
        # Counts that differ from now on must not change the report.
        network[1].ledger.runs.clear()
        network.api.lost_responses = 0
        await serve(network, 8)

    network = run_network(scenario)
    assert_reported(network, 1, 2)


def test_new_holder_goes_on_with_the_next_window() -> None:
    """Guards against windows that are lost when the holder crashes."""

    async def scenario(network: Network) -> None:
        await serve(network, 9)
        network[0].crash()
        network.store.grant(None)
        await serve(network, 4)
        network.store.grant('10.0.0.1')
        await serve(network, 10)

    network = run_network(scenario)
    # The crashed host has served until 9 s, and lost at most 0.5 s of counts.
    counts = network.reported(1)
    assert counts is not None
    assert 190 - 5 <= counts['anna'] <= 190
    assert network.reported(2) == {'anna': 150, 'bela': 300}
    assert network.reported_after(2) <= 10


@pytest.mark.parametrize('count', [1, 2, 9])
def test_windows_that_may_have_been_reported_are_skipped(count: int) -> None:
    """Guards against two reports of a window after the store lost records."""

    async def scenario(network: Network) -> None:
        await serve(network, 11)
        network.store.lose_records(count)
        network.store.grant('10.0.0.2')
        await serve(network, 15.5)

    network = run_network(scenario)
    assert_reported(network, 1, 3, 4)
    calls = [window for _, _, window in network.api.calls]
    assert len(calls) == len(set(calls))


def test_new_holder_with_a_wrong_clock_repeats_no_window() -> None:
    """Guards against two reports by a host that starts 8 s in the past."""

    async def scenario(network: Network) -> None:
        await serve(network, 16.5)
        assert network.reported(2) is not None
        network.store.lose_records(2)
        host = network.add('10.0.0.9')
        host.step = -8
        host.clock.offset -= 8
        network.store.grant(host.address)
        # The wait for its own counts of window 4 ends 3 s before the deadline.
        await serve(network, 17)

    network = run_network(scenario)
    calls = [window for _, _, window in network.api.calls]
    assert len(calls) == len(set(calls))
    assert network.reported(4) is not None


def test_holder_that_lost_and_regained_the_lease_uses_its_new_number() -> None:
    """Guards against calls with a number below that of another holder."""
    numbers: list[int] = []

    async def scenario(network: Network) -> None:
        def regain() -> None:
            network.store.on_write = lambda: None
            network.store.grant('10.0.0.1')
            network.store.grant('10.0.0.0')

        await serve(network, 7)
        network.store.on_write = regain
        network.api.before_call = lambda window: numbers.append(
            network.store.number
        )
        await serve(network, 9.5)

    network = run_network(scenario)
    assert_reported(network, 1, 2)
    assert numbers == [number for _, number, _ in network.api.calls[1:]]


def test_invalid_payload_counts_as_lost() -> None:
    """Guards against a holder that stops at a payload it cannot read."""

    async def scenario(network: Network) -> None:
        await serve(network, 11)
        network.store.payload = b'\xff\x00'
        network.store.grant('10.0.0.2')
        await serve(network, 15.5)

    network = run_network(scenario)
    assert_reported(network, 3, 4)


def test_host_that_holds_no_lease_makes_no_call() -> None:
    """Guards against reports of hosts that have lost the lease."""

    async def scenario(network: Network) -> None:
        await serve(network, 7)
        network.store.grant(None)
        calls = len(network.api.calls)
        writes = len(network.store.payloads)
        await serve(network, 8)
        assert len(network.api.calls) == calls
        assert len(network.store.payloads) == writes

    run_network(scenario)


def test_calls_stay_below_the_limit_of_the_api() -> None:
    """Guards against calls that the API rejects, and scaling orders, too."""
    times: list[float] = []

    async def scenario(network: Network) -> None:
        network.api.before_call = lambda window: times.append(boot())
        network.api.down = True
        await serve(network, 17)
        network.api.down = False
        await serve(network, 4)

    network = run_network(scenario)
    gaps = [later - earlier for earlier, later in itertools.pairwise(times)]
    assert min(gaps) >= 0.5
    assert_reported(network, 1, 2)


def test_metrics_tell_what_became_of_the_windows() -> None:
    """Guards against lost windows that no operator sees."""
    metrics = Metrics()
    read = metrics.registry.get_sample_value
    name = 'gateway_usage_windows_total'

    async def scenario(network: Network) -> None:
        metrics.add_usage(network[0].usage)
        network.api.lost_responses = 1
        await serve(network, 9)
        assert read('gateway_usage_open_age_seconds') == 0
        network.api.down = True
        await serve(network, 15)
        # The window that ended at 10 s was due at 20 s; that of 15 s is open.
        assert read('gateway_usage_open_age_seconds') == pytest.approx(9, 0.05)
        assert read(name, {'outcome': 'skipped'}) == 1
        network.api.down = False
        await serve(network, 3)

    network = run_network(scenario)
    assert read(name, {'outcome': 'reported'}) == len(network.api.accepted) == 4
    assert read(name, {'outcome': 'repeated'}) == len(network.api.calls) - 5
    assert read(name, {'outcome': 'refused'}) == 0


def test_4300_accounts_fit_into_a_record() -> None:
    """Guards against a payload above the 262,144 bytes of a record.

    The lease stores the payload in Base64, which takes a third more.
    """

    async def scenario(network: Network) -> None:
        await network.wait_until(5.1)
        for number in range(4300):
            host = network[number % 4]
            name = f'account-{number * 2654435761 % 2**40:010x}-eu-central'
            host.serve(name, 1 + number % 3)
        await network.wait_until(16.5)

    network = run_network(scenario)
    counts = network.reported(1)
    assert counts is not None
    assert len(counts) == 4300
    assert sum(counts.values()) == 8600 - 1
    assert max(map(len, network.store.payloads)) * 4 / 3 < 262144 / 2
    assert max(network.sizes) <= 1200
