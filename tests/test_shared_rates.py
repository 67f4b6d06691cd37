"""Rates that many hosts share: the sum over the hosts, and how much is used."""

import math

import pytest

from primroseyoke.shared_rates import RateSharing, SharedRate
from tests.standins.rate_sharers import (
    SLACK_REQUESTS,
    TICK_SECONDS,
    Fleet,
    allowed,
    most_in_window,
    names,
    send_all,
)

COLD = SharedRate(17, 1)
SMALL = SharedRate(1, 4)
LARGE = SharedRate(5, 4)
RATES = pytest.mark.parametrize('rate', [COLD, SMALL, LARGE], ids=str)
COUNTS = pytest.mark.parametrize('count', [1, 2, 8, 45, 99, 390])


@COUNTS
@RATES
def test_hosts_that_agree_keep_the_rate_and_use_it(rate, count):
    """Guards against a flood where hosts are many, and against an outage."""
    hosts = [RateSharing(name, names(count)) for name in names(count)]
    seconds = 8 * rate.window
    sent = send_all(hosts, rate, 100, seconds)
    assert most_in_window(sent, rate.window) <= allowed(rate)
    assert len(sent) >= 0.7 * rate.per_second * seconds


@COUNTS
@RATES
def test_idle_hosts_save_up_no_requests(rate, count):
    """Guards against hosts that all become busy in the same second."""
    hosts = [RateSharing(name, names(count)) for name in names(count)]
    send_all(hosts, rate, 0, 4 * rate.window)
    sent = send_all(hosts, rate, 1000, 4 * rate.window)
    assert most_in_window(sent, rate.window) <= allowed(rate)


def test_host_that_knows_no_hosts_sends_nothing():
    """Guards against hosts that each use the whole rate as they start."""
    host = RateSharing('host-0')
    assert math.isinf(host.delay('u', (COLD,), 100))


def test_single_host_uses_the_whole_rate():
    host = RateSharing('host-0', ['host-0'])
    assert len(send_all([host], COLD, 100, 10)) >= 130


def test_each_of_several_rates_must_allow_a_request():
    host = RateSharing('host-0', ['host-0'])
    sent = 0
    for tick in range(400):
        now = 100 + tick * TICK_SECONDS
        if not host.delay('u', (COLD, SMALL), now):
            host.record_send('u', (COLD, SMALL), now)
            sent += 1
    assert 18 <= sent <= 20


@pytest.mark.parametrize('per_second', [0, 1e-9, 0.05])
def test_tiny_rates_leave_a_few_requests_that_may_end_them(per_second):
    """Guards against a wrong rate that takes an upstream away for good."""
    hosts = [RateSharing(name, names(99)) for name in names(99)]
    sent = send_all(hosts, SharedRate(per_second, 4), 100, 60)
    assert 8 <= len(sent) <= 12
    assert most_in_window(sent, 4) <= SLACK_REQUESTS


def test_request_is_allowed_soon_after_a_rate_has_risen():
    host = RateSharing('host-0', ['host-0'])
    host.delay('u', (SharedRate(0, 4),), 100)
    assert host.delay('u', (SharedRate(2, 4),), 102) == 0


def test_senders_change_little_when_a_host_joins():
    def senders(count: int) -> set[str]:
        return {
            name
            for name in names(count)
            if RateSharing(name, names(count)).delay('u', (COLD,), 0) < math.inf
        }

    assert len(senders(99)) == COLD.sender_count
    assert len(senders(100) - senders(99)) <= 1


def test_records_of_other_upstreams_are_discarded():
    host = RateSharing('host-0', ['host-0'])
    for name in ('u', 'v'):
        host.delay(name, (COLD,), 0)
    host.retain({'v'})
    assert {key[0] for key in host.used_until} == {'v'}
    assert {key[0] for key in host.places} == {'v'}


@pytest.mark.parametrize('seed', range(6))
@pytest.mark.parametrize('count', [8, 45, 99])
@RATES
def test_rate_holds_while_hosts_join_leave_freeze_and_are_cut_off(
    rate, count, seed
):
    """Guards against hosts that disagree on who may send to an upstream."""
    fleet = Fleet(count, seed)
    for step in range(600):
        if step % 40 == 20:
            fleet.disturb()
        fleet.tick(rate)
    assert most_in_window(fleet.sent, rate.window) <= allowed(rate)
