"""Hosts that share rates, without a network: calm ones and disturbed ones."""

import dataclasses
import random

from primroseyoke.shared_rates import RateSharing, SharedRate

# The bounds of the users, in any window: 1.5 times the rate and 5 requests.
EXCESS_FACTOR = 1.5
SLACK_REQUESTS = 5
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
