"""Rates that many hosts share: the sum over the hosts, and how much is used."""

import dataclasses
import math
import random

import pytest

from primroseyoke.shared_rates import RateSharing, SharedRate

# The bounds of the users, in any window: 1.5 times the rate and 5 requests.
EXCESS_FACTOR = 1.5
SLACK_REQUESTS = 5
COLD = SharedRate(17, 1)
SMALL = SharedRate(1, 4)
LARGE = SharedRate(5, 4)
RATES = pytest.mark.parametrize('rate', [COLD, SMALL, LARGE], ids=str)
COUNTS = pytest.mark.parametrize('count', [1, 2, 8, 45, 99, 390])
TICK_SECONDS = 0.05
# A host sends heartbeats and looks at what it knows of the others this often.
HEARTBEAT_TICKS = 7
SWEEP_TICKS = 20
# A heartbeat reaches the other hosts, also through relays, within this time.
NOTICE_SECONDS = 0.5
SETTLING_SECONDS = 2.0


def names(count: int) -> list[str]:
    return [f'host-{number}' for number in range(count)]


def allowed(rate: SharedRate) -> float:
    return EXCESS_FACTOR * rate.per_second * rate.window + SLACK_REQUESTS


def most_in_window(sent_at: list[float], window: float) -> int:
    most = first = 0
    for last, at in enumerate(sent_at):
        while sent_at[first] <= at - window:
            first += 1
        most = max(most, last - first + 1)
    return most


def send_all(
    hosts: list[RateSharing], rate: SharedRate, start: float, seconds: float
) -> list[float]:
    """Return when requests are sent if all hosts want to send all the time."""
    sent = []
    for tick in range(round(seconds / TICK_SECONDS)):
        now = start + tick * TICK_SECONDS
        for host in hosts:
            if not host.delay('u', (rate,), now):
                host.record_send('u', (rate,), now)
                sent.append(now)
    return sent


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


def test_rate_of_zero_allows_nothing():
    host = RateSharing('host-0', ['host-0'])
    assert math.isinf(host.delay('u', (SharedRate(0, 4),), 100))


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
    assert {key[0] for key in host.next_sends} == {'v'}
    assert {key[0] for key in host.places} == {'v'}


@dataclasses.dataclass
class Host:
    """A host as the others see it; times in seconds.

    ``known`` has the address of each host and when it became known.
    """

    name: str
    sharing: RateSharing
    known: dict[str, float]
    settled_at: float
    frozen_until: float = 0
    cut_until: float = 0

    def is_cut_at(self, now: float) -> bool:
        return now < self.cut_until


class Fleet:
    """Hosts that join, leave, restart, freeze and are cut off from each other.

    A host that is cut off still reaches the upstream and the store. Its own
    heartbeats do not reach the others, nor theirs it.
    """

    def __init__(self, count: int, seed: int) -> None:
        self.random = random.Random(seed)
        self.now = 100.0
        self.ticks = 0
        self.created = 0
        self.registered: list[str] = []
        self.hosts: dict[str, Host] = {}
        self.sent: list[float] = []
        for _ in range(count):
            self.join()
        for host in self.hosts.values():
            host.known = dict.fromkeys(self.registered, 0.0)
            host.settled_at = 0

    def join(self, name: str = '') -> None:
        self.created += not name
        name = name or f'host-{self.created}'
        if name not in self.registered:
            self.registered.append(name)
        self.hosts[name] = Host(
            name,
            RateSharing(name),
            dict.fromkeys(self.registered, self.now),
            self.now + SETTLING_SECONDS,
        )
        self.announce(name)

    def announce(self, name: str) -> None:
        """Send heartbeats, which arrive unless one of the hosts is cut off."""
        for other in self.hosts.values():
            if not other.is_cut_at(self.now):
                other.known.setdefault(name, self.now + NOTICE_SECONDS)

    def disturb(self) -> None:
        """Do something to up to a third of the hosts."""
        chosen = self.random.sample(
            sorted(self.hosts),
            self.random.randint(1, max(len(self.hosts) // 3, 1)),
        )
        kind = self.random.choice(
            ('freeze', 'cut', 'restart', 'leave', 'crash', 'join')
        )
        for name in chosen:
            host = self.hosts[name]
            if kind == 'freeze':
                host.frozen_until = self.now + self.random.uniform(1, 5)
            elif kind == 'cut':
                host.cut_until = self.now + self.random.uniform(3, 15)
            elif kind == 'restart':
                self.join(name)
            elif kind == 'join':
                self.join()
            elif len(self.hosts) > 3:
                self.remove(name, gone=kind == 'leave')

    def remove(self, name: str, gone: bool) -> None:
        """Remove a host; only one that leaves tells the others."""
        self.hosts.pop(name)
        if gone:
            self.registered.remove(name)
            for other in self.hosts.values():
                if not other.is_cut_at(self.now):
                    other.known.pop(name, None)

    def tick(self, rate: SharedRate) -> None:
        self.now += TICK_SECONDS
        self.ticks += 1
        for number, host in enumerate(tuple(self.hosts.values())):
            if self.now < host.frozen_until:
                continue
            is_due = (self.ticks + number) % HEARTBEAT_TICKS == 0
            if is_due and not host.is_cut_at(self.now):
                self.announce(host.name)
            is_due = (self.ticks + number) % SWEEP_TICKS == 0
            if is_due and self.now >= host.settled_at:
                host.sharing.update_hosts(
                    {
                        name
                        for name, at in host.known.items()
                        if at <= self.now or name == host.name
                    }
                )
            if not host.sharing.delay('u', (rate,), self.now):
                host.sharing.record_send('u', (rate,), self.now)
                self.sent.append(self.now)


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
