"""Shares of client accounts, on simulated hosts without a network."""

import collections
import copy
import dataclasses
import heapq
import random
from collections.abc import Callable, Mapping

import pytest

from primroseyoke.gateway.peer_reports import Report, encode_message
from primroseyoke.scheduling.admission import QueuePosition, Urgency
from primroseyoke.scheduling.shares import ClientShares

REPORT_INTERVAL = 0.35
HOST_COUNT = 30
SLOT_COUNT = 100
RESERVED_SLOT_SHARE = 0.2
HOLD_SECONDS = 1.0
# Callers give up waiting after this time; a response must begin within it.
MAX_WAIT_SECONDS = 0.7
# Accounts differ in size: the largest has a seventh of all requests.
RATES = {f'account-{rank:02}': 12 / (rank + 1) for rank in range(24)}
HEAVY = 'account-00'
STEP_SECONDS = 0.04

Rates = Callable[[str, float], float]


@dataclasses.dataclass
class _Request:
    client: str
    arrived_at: float
    request_id: str
    is_retry: bool = False


@dataclasses.dataclass
class _Outcome:
    requested: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    served: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )

    def share_served(self, clients: Mapping[str, object] | list[str]) -> float:
        return sum(self.served[client] for client in clients) / sum(
            self.requested[client] for client in clients
        )


class _Deployment:
    """Hosts that take slots of one service, and tell each other their work.

    A host with a waiting request tries to take a slot in each step, in random
    order, and knows the slots that the others have taken.
    """

    def __init__(self) -> None:
        self.generator = random.Random(1)
        self.enforced = True
        self.loss = 0.2
        self.retries_early = ''
        self.now = 0.0
        self.hosts = [ClientShares() for _ in range(HOST_COUNT)]
        self.queues: list[list[_Request]] = [[] for _ in self.hosts]
        self.next_report = [
            self.generator.random() * REPORT_INTERVAL for _ in self.hosts
        ]
        self.busy_until: list[float] = []
        self.retries: list[tuple[float, int, _Request]] = []
        self.numbers = 0

    def play(self, seconds: float, rates: Rates) -> _Outcome:
        outcome = _Outcome()
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_SECONDS
            while self.busy_until and self.busy_until[0] <= self.now:
                heapq.heappop(self.busy_until)
            self._report()
            self._arrive(rates, outcome)
            for number in self.generator.sample(range(HOST_COUNT), HOST_COUNT):
                self._serve(number, outcome)
        return outcome

    def _report(self) -> None:
        for number, shares in enumerate(self.hosts):
            if self.now < self.next_report[number]:
                continue
            self.next_report[number] = self.now + REPORT_INTERVAL
            top = shares.top_clients(self.now)
            for other in self.hosts:
                if other is not shares and self.generator.random() > self.loss:
                    other.apply_report(f'host-{number}', top, self.now)

    def _arrive(self, rates: Rates, outcome: _Outcome) -> None:
        while self.retries and self.retries[0][0] <= self.now:
            _, _, request = heapq.heappop(self.retries)
            self._enqueue(request)
        for client in RATES:
            expected = rates(client, self.now) * STEP_SECONDS
            while self.generator.random() < expected:
                expected -= 1
                self.numbers += 1
                outcome.requested[client] += 1
                self._enqueue(_Request(client, self.now, f'r{self.numbers}'))

    def _enqueue(self, request: _Request) -> None:
        number = self.generator.randrange(HOST_COUNT)
        self.hosts[number].record_attempt(
            request.client, request.request_id, 1, self.now
        )
        self.queues[number].append(request)

    def _serve(self, number: int, outcome: _Outcome) -> None:
        shares = self.hosts[number]
        queue = self.queues[number]
        for request in tuple(queue):
            if self.now - request.arrived_at > MAX_WAIT_SECONDS:
                queue.remove(request)
                self._refuse(shares, request)
        above = set()
        if shares.is_contended('app', self.now):
            above = {
                client
                for client in {request.client for request in queue}
                if shares.is_above_share(client, self.now)
            }
        while queue:
            request = min(queue, key=lambda each: self._position(above, each))
            urgency = self._position(above, request).urgency
            limit = SLOT_COUNT
            if urgency >= Urgency.LATE:
                limit *= 1 - RESERVED_SLOT_SHARE
            if len(self.busy_until) >= limit:
                break
            queue.remove(request)
            heapq.heappush(self.busy_until, self.now + HOLD_SECONDS)
            outcome.served[request.client] += 1
        for request in queue:
            shares.record_wait(request.client, 'app', self.now)

    def _position(self, above: set[str], request: _Request) -> QueuePosition:
        must_yield = self.enforced and request.client in above
        urgency = Urgency.ABOVE_SHARE if must_yield else Urgency.ON_TIME
        return QueuePosition.of(urgency, 1, request.arrived_at)

    def _refuse(self, shares: ClientShares, request: _Request) -> None:
        delay = 1.0
        shares.record_refusal(
            request.client, request.request_id, self.now + delay
        )
        if request.client == self.retries_early:
            delay = 0.02
        elif request.is_retry:
            return
        self.numbers += 1
        again = _Request(
            request.client, self.now + delay, request.request_id, is_retry=True
        )
        heapq.heappush(self.retries, (self.now + delay, self.numbers, again))


def usual(client: str, _now: float) -> float:
    return RATES[client]


def heavy(client: str, _now: float) -> float:
    return RATES[client] * (8 if client == HEAVY else 1)


@pytest.fixture(scope='module')
def warm_deployment() -> _Deployment:
    warm = _Deployment()
    warm.play(90, usual)
    return warm


@pytest.fixture
def deployment(warm_deployment: _Deployment) -> _Deployment:
    """Return a deployment that has had the usual traffic for 90 s."""
    return copy.deepcopy(warm_deployment)


LIGHT = [client for client in RATES if client != HEAVY]


def light_losses(without: _Outcome, beside: _Outcome) -> list[float]:
    """Return what each account but the heavy one loses of its share served.

    Accounts with few requests are left out: one refusal is 5 in 100 of them.
    """
    return [
        without.share_served([client]) - beside.share_served([client])
        for client in LIGHT
        if beside.requested[client] > 60
    ]


def test_accounts_within_their_share_are_served_beside_a_heavy_one(
    deployment: _Deployment,
) -> None:
    """Guards against one account that takes the slots of all others.

    One account at eight times its traffic reduced the benefit of a service
    from 1.0 to 0.16. Of 24 accounts, the largest is the heavy one; 20 in 100
    reports are lost.
    """
    without = copy.deepcopy(deployment).play(60, usual)
    beside = deployment.play(60, heavy)
    assert without.share_served(LIGHT) - beside.share_served(LIGHT) <= 0.05
    assert max(light_losses(without, beside)) <= 0.05
    # What the others leave is lent to the heavy account.
    assert beside.served[HEAVY] > 1.5 * without.served[HEAVY]


def test_without_shares_all_accounts_suffer(deployment: _Deployment) -> None:
    """Shows that the heavy account of these tests is harmful."""
    deployment.enforced = False
    assert deployment.play(40, heavy).share_served(LIGHT) < 0.8


def test_callers_that_return_too_early_harm_only_their_account(
    deployment: _Deployment,
) -> None:
    """Guards against retries that take the slots of accounts that wait."""
    deployment.retries_early = HEAVY
    assert deployment.play(40, heavy).share_served(LIGHT) >= 0.95


def test_a_heavy_account_that_becomes_light_is_served_again(
    deployment: _Deployment,
) -> None:
    """Guards against an account that stays behind after its burst."""
    deployment.play(40, heavy)
    assert all(
        shares.above_share(deployment.now) == [HEAVY]
        for shares in deployment.hosts
    )
    deployment.play(15, usual)
    assert not any(
        shares.above_share(deployment.now) for shares in deployment.hosts
    )
    assert deployment.play(30, usual).share_served([HEAVY]) > 0.99


def test_a_host_that_restarts_knows_the_heavy_account_soon(
    deployment: _Deployment,
) -> None:
    """Guards against a host that lends its slots to the heavy account."""
    deployment.play(20, heavy)
    deployment.hosts[0] = ClientShares()
    deployment.play(3, heavy)
    assert deployment.hosts[0].is_above_share(HEAVY, deployment.now)
    assert deployment.play(70, heavy).share_served(LIGHT) >= 0.95
    assert deployment.hosts[0].is_above_share(HEAVY, deployment.now)


def test_restarts_of_all_hosts_keep_accounts_apart(
    deployment: _Deployment,
) -> None:
    """Guards against shares that are learned from the heavy traffic itself."""
    deployment.play(10, heavy)
    deployment.hosts = [ClientShares() for _ in deployment.hosts]
    assert deployment.play(90, heavy).share_served(LIGHT) >= 0.95


def test_accounts_at_their_usual_traffic_are_within_their_shares(
    deployment: _Deployment,
) -> None:
    """Guards against equal shares for accounts of different size."""
    for _ in range(10):
        deployment.play(1, usual)
        for shares in deployment.hosts:
            assert not shares.above_share(deployment.now)


def test_a_long_burst_raises_the_share_slowly() -> None:
    shares = ClientShares()
    for second in range(60, 300):
        for client in ('a', 'b', 'c', 'd'):
            shares.record(client, 1, second)
    now = 300.0
    while now < 420:
        now += 0.125
        shares.record('a', 1, now)
        if now % 1 == 0:
            for client in ('b', 'c', 'd'):
                shares.record(client, 1, now)
    assert shares.is_above_share('a', now)
    assert shares.above_share(now) == ['a']


def test_one_account_alone_is_never_above_its_share() -> None:
    """Guards against refusals when nobody else needs the slots."""
    shares = ClientShares()
    for tick in range(10000):
        shares.record('only', 1 if tick < 5000 else 8, tick / 10)
    assert not shares.above_share(1000)


def test_reports_expire_and_replace_each_other() -> None:
    shares = ClientShares()
    shares.record('a', 1, 1)
    shares.apply_report('other', {'a': 50, '': 50}, 1)
    shares.apply_report('other', {'a': 70, 'b': 5, '': 80}, 1.3)
    assert shares.reported == {'a': 70, 'b': 5, '': 80}
    shares.record('a', 1, 9)
    assert not shares.reported and not shares.reports
    shares.apply_report('other', {'a': 70}, 9)
    shares.drop_report('other')
    assert not shares.reported


def test_contention_is_told_but_not_told_on() -> None:
    """Guards against hosts that keep each other's contention alive forever."""
    first, second = ClientShares(), ClientShares()
    first.record_wait('', 'app', 1)
    second.apply_report('first', first.top_clients(1.1), 1.1)
    assert second.is_contended('app', 2)
    assert not second.is_contended('other', 2)
    assert not second.top_clients(2)
    assert not second.is_contended('app', 3)
    assert not first.is_contended('app', 12)


def test_an_account_above_its_share_does_not_begin_contention() -> None:
    """Guards against an effect while an account has the slots to itself."""
    shares = ClientShares()
    for tick in range(1200):
        client = 'abcd'[tick % 4] if tick < 800 else 'aaaaaabcd'[tick % 9]
        shares.record(client, 1, tick / 10)
        if tick > 800:
            shares.record('a', 2, tick / 10)
    for client in ('e', 'f'):
        shares.record(client, 1, 120)
    shares.usages['a'].usual = 1
    assert shares.above_share(120) == ['a']
    shares.record_wait('a', 'app', 120)
    assert not shares.is_contended('app', 120)
    shares.record_wait('b', 'app', 120)
    shares.record_wait('a', 'app', 129)
    assert shares.is_contended('app', 138)


def test_an_early_retry_counts_twice() -> None:
    shares = ClientShares()
    shares.record_refusal('a', 'r', retry_at=2)
    shares.record_refusal('b', 'r', retry_at=2)
    shares.record_attempt('a', 'r', 1, now=1.5)
    shares.record_attempt('b', 'r', 1, now=2.5)
    shares.record_attempt('c', 'r', 1, now=2.5)
    work = {name: usage.current.amount for name, usage in shares.usages.items()}
    assert work == {'a': 2, 'b': 1, 'c': 1}


@pytest.mark.parametrize('heavy_share', [0, 0.3])
def test_state_and_reports_are_small_with_many_accounts(
    heavy_share: float,
) -> None:
    """Guards against state that grows with 4,300 accounts on 390 hosts."""
    generator = random.Random(2)
    shares = ClientShares()
    names = [f'account-{number:04}' for number in range(4300)]
    now = 0.0
    for _ in range(20000):
        now += 0.02
        is_heavy = now > 200 and generator.random() < heavy_share
        client = names[7] if is_heavy else generator.choice(names)
        shares.record(client, 1, now)
        if now > 200:
            shares.record_wait('', 'app', now)
        shares.record_refusal(client, str(now), now + 1)
        top = {generator.choice(names): 10 for _ in range(11)}
        if now > 200 and heavy_share:
            top[names[7]] = 150
        shares.apply_report(
            f'host-{generator.randrange(389)}', {**top, '': 500}, now
        )
    assert len(shares.usages) <= 64
    assert len(shares.reports) <= 389
    assert len(shares.reported) <= 389 * 13
    assert len(shares.refused) <= 1024
    assert (names[7] in shares.above_share(now)) == bool(heavy_share)
    plain = encode_message(Report('host', {}))
    report = encode_message(Report('host', {}, clients=shares.top_clients(now)))
    # With 600 upstreams in it, a report must fit in a datagram of 64 KB.
    assert len(report) - len(plain) < 256


def test_a_report_from_too_many_hosts_is_ignored() -> None:
    shares = ClientShares()
    for number in range(600):
        clients = {f'{number}-{each}': 1 for each in range(100)}
        shares.apply_report(f'host-{number}', clients, 1)
    assert len(shares.reports) <= 512
    assert len(shares.reported) <= 512 * 13


def test_a_large_account_is_within_its_share_from_the_start() -> None:
    """Guards against a large account that waits behind all others at a start.

    Its share was eight times the mean until a host knew what is usual, and the
    largest of 24 accounts has a third of the requests.
    """
    shares = ClientShares()
    for step in range(1, 500):
        now = step / 10
        for number in range(24):
            shares.record(f'account-{number:02}', (number + 1) ** -1.2, now)
        shares.record_wait('account-01', 'model', now)
    assert not shares.is_above_share('account-00', now)
