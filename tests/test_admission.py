"""Admission against a naive version, and the rules of the ramp one by one."""

import dataclasses

import pytest
from hypothesis import settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from primroseyoke.admission import (
    Admission,
    Ending,
    Limits,
    Ticket,
    UpstreamLoad,
)

CLIENTS = st.sampled_from('abc')
BYTES = st.integers(1, 40)
LIMITS = st.builds(
    Limits,
    cold_limit=st.integers(1, 3),
    max_running=st.integers(1, 6),
    max_held=st.integers(20, 100),
    max_waiting=st.integers(1, 8),
)


class NaiveQueue:
    """Lists only: each choice looks at every ticket."""

    def __init__(self):
        self.tickets = []
        self.running = []
        self.turns = {}
        self.clock = 0

    def tick(self):
        self.clock += 1
        return self.clock

    def count(self, client, idempotent):
        return sum(
            (ticket.client, ticket.idempotent) == (client, idempotent)
            for ticket in self.tickets
        )

    def first(self):
        return min(
            self.tickets,
            key=lambda ticket: (
                ticket.idempotent,
                sum(other.client == ticket.client for other in self.running),
                self.turns[ticket.client],
            ),
            default=None,
        )

    def offer(self, ticket, limits):
        if ticket.held > limits.max_held:
            return [ticket]
        refused = []
        if len(self.tickets) >= limits.max_waiting:
            refused = self.displace(ticket)
            if refused == [ticket]:
                return refused
        self.turns.setdefault(ticket.client, self.tick())
        self.tickets.append(ticket)
        return refused

    def displace(self, ticket):
        weak = [other for other in self.tickets if other.idempotent]
        pool = weak if weak or ticket.idempotent else self.tickets
        if not pool:
            return [ticket]
        sizes = {
            other.client: self.count(other.client, other.idempotent)
            for other in pool
        }
        largest = max(sizes.values())
        own = self.count(ticket.client, ticket.idempotent)
        if pool[0].idempotent == ticket.idempotent and largest <= own + 1:
            return [ticket]
        victim = min(name for name in sizes if sizes[name] == largest)
        last = [other for other in pool if other.client == victim][-1]
        self.drop(last)
        return [last]

    def drop(self, ticket):
        self.tickets.remove(ticket)
        self.forget_idle()

    def start(self, ticket):
        self.turns[ticket.client] = self.tick()
        self.tickets.remove(ticket)
        self.running.append(ticket)

    def end(self, ticket):
        self.running.remove(ticket)
        self.forget_idle()

    def forget_idle(self):
        active = {ticket.client for ticket in self.tickets + self.running}
        self.turns = {
            client: turn
            for client, turn in self.turns.items()
            if client in active
        }


class AdmissionMachine(RuleBasedStateMachine):
    """Drives admission, an upstream with foreign work and the naive queue."""

    @initialize(limits=LIMITS, foreign=st.integers(0, 4))
    def begin(self, limits, foreign):
        self.now = 0.0
        self.limits = limits
        self.admission = Admission(limits)
        self.naive = NaiveQueue()
        self.number = 0
        self.uptime = 100.0
        self.incarnation = 1
        self.foreign = foreign
        self.reported = False
        self.completed = 0
        self.bound = 0

    @rule(
        client=CLIENTS,
        held=BYTES,
        patience=st.integers(1, 30),
        idempotent=st.booleans(),
        alone=st.sampled_from([False, False, False, True]),
    )
    def offer(self, client, held, patience, idempotent, alone):
        self.number += 1
        ticket = Ticket(
            self.number,
            client,
            held,
            self.now + patience,
            idempotent,
            alone,
        )
        expected = self.naive.offer(ticket, self.limits)
        assert list(self.admission.offer(ticket)) == expected

    @rule(seconds=st.integers(0, 5))
    def advance(self, seconds):
        self.now += seconds
        admitted, expired = self.admission.advance(self.now)
        late = [
            ticket
            for ticket in self.naive.tickets
            if ticket.deadline <= self.now
        ]
        assert sorted(each.attempt for each in expired) == [
            ticket.attempt for ticket in late
        ]
        for ticket in late:
            self.naive.drop(ticket)
        for ticket in admitted:
            assert ticket == self.naive.first()
            self.naive.start(ticket)
        if admitted:
            self.check_load()
        if not self.naive.running and not self.foreign:
            # Nothing stops the next ticket, so the queue must not be stuck.
            assert not self.naive.tickets or not self.reported

    @precondition(lambda self: self.naive.running)
    @rule(choice=st.integers(0), ending=st.sampled_from(Ending))
    def end(self, choice, ending):
        running = self.naive.running
        ticket = running[choice % len(running)]
        self.naive.end(ticket)
        self.admission.finish(ticket.attempt, ending)
        if ending is Ending.COMPLETED:
            self.completed += 1
        elif ending is Ending.ABANDONED:
            self.foreign += 1

    @rule(ended=st.integers(0, 4))
    def report(self, ended):
        """Twice, since one report can be older than the end of a request."""
        self.foreign = max(self.foreign - ended, 0)
        self.uptime += 1
        for _ in range(2):
            self.observe()
        assert self.admission.foreign == self.foreign

    @rule(sign=st.sampled_from(['incarnation', 'uptime', 'refused']))
    def turn_cold(self, sign):
        self.uptime += 10
        self.observe()
        for ticket in tuple(self.naive.running):
            self.naive.end(ticket)
            self.admission.finish(ticket.attempt, Ending.FAILED)
        self.foreign = 0
        if sign == 'refused':
            self.admission.restart_ramp()
        elif sign == 'incarnation':
            self.incarnation += 1
        if sign != 'incarnation':
            self.uptime = 0.0
        self.report(0)
        self.completed = 0
        self.bound = self.limits.cold_limit

    @rule(limits=LIMITS)
    def change_limits(self, limits):
        self.limits = limits
        gone = self.admission.change_limits(limits)
        for ticket in gone:
            assert ticket.held > limits.max_held
            self.naive.drop(ticket)
        self.bound = max(self.bound, limits.cold_limit)

    @rule(choice=st.integers(0), alone=st.booleans())
    @precondition(lambda self: self.naive.tickets)
    def set_alone(self, choice, alone):
        tickets = self.naive.tickets
        place = choice % len(tickets)
        tickets[place] = dataclasses.replace(tickets[place], alone=alone)
        self.admission.set_alone(tickets[place].attempt, alone)

    @invariant()
    def limit_grows_only_with_completed_work(self):
        assert list(self.admission.running.values()) == self.naive.running
        assert len(self.admission.waiting) == len(self.naive.tickets)
        assert self.admission.limit <= self.bound + self.completed

    def check_load(self):
        """What the upstream runs, own or foreign, is within the limits."""
        running = self.naive.running
        total = len(running) + self.foreign
        assert total <= min(self.admission.limit, self.limits.max_running)
        assert sum(each.held for each in running) <= self.limits.max_held
        assert total == 1 or not any(each.alone for each in running)

    def observe(self):
        running = self.foreign + len(self.naive.running)
        if not self.reported:
            self.bound = max(self.limits.cold_limit, running)
        self.reported = True
        self.admission.observe_load(
            UpstreamLoad(str(self.incarnation), self.uptime, running),
            self.now,
        )


TestAdmission = AdmissionMachine.TestCase
TestAdmission.settings = settings(max_examples=100, stateful_step_count=40)


def warm(limits=None, running=0):
    admission = Admission(limits or Limits(max_running=100))
    admission.observe_load(UpstreamLoad('one', 10, running), 0)
    return admission


def fill(admission, count, client='a', first=1, **fields):
    for attempt in range(first, first + count):
        admission.offer(Ticket(attempt, client, 1, 99, **fields))
    return [ticket.attempt for ticket in admission.advance(0)[0]]


def test_ramp_grows_by_one_for_each_full_round_and_not_with_time():
    """Guards against a limit that grows without completed work."""
    admission = warm()
    rounds = []
    for number in range(5):
        running = fill(admission, 40, first=100 * number)
        rounds.append(len(running))
        admission.advance(10**6)
        for attempt in running:
            admission.finish(attempt, Ending.COMPLETED)
    assert rounds == [1, 2, 3, 4, 5]


def test_work_from_before_the_ramp_does_not_raise_it():
    """Guards against a cold upstream that is warmed by old answers."""
    admission = warm(running=16)
    admission.observe_load(UpstreamLoad('one', 11, 0), 0)
    admission.observe_load(UpstreamLoad('one', 12, 0), 0)
    running = fill(admission, 16)
    admission.restart_ramp()
    for attempt in running:
        admission.finish(attempt, Ending.COMPLETED)
    assert (len(running), admission.limit) == (16, 1)


@pytest.mark.parametrize(('crashed', 'pace'), [(True, 2), (False, 1)])
def test_only_a_crash_slows_the_next_ramp(crashed, pace):
    """Guards against a zone that returns more slowly each time it was out."""
    admission = warm(running=8)
    for _ in range(2):
        admission.restart_ramp(crashed=crashed)
    assert (admission.limit, admission.pace) == (1, pace)


def test_restarted_agent_counts_what_still_runs():
    """Guards against a full upstream that gets the whole limit again."""
    admission = warm(running=5)
    assert admission.limit == 5
    assert not fill(admission, 3)
    admission.observe_load(UpstreamLoad('one', 11, 3), 0)
    assert len(admission.advance(0)[0]) == 2


@pytest.mark.parametrize('asked_at', [4, 6])
def test_report_from_before_the_break_does_not_resume(asked_at):
    """Guards against a late report that hides a crash."""
    admission = warm(running=4)
    admission.observe_load(UpstreamLoad('one', 11, 0), 0)
    admission.suspend(5)
    admission.observe_load(UpstreamLoad('one', 12, 0), asked_at)
    assert len(fill(admission, 4)) == (4 if asked_at > 5 else 0)


def test_late_report_holds_back_no_request():
    """Guards against capacity lost to requests that ended meanwhile."""
    admission = warm(running=4)
    admission.observe_load(UpstreamLoad('one', 11, 0), 0)
    for attempt in fill(admission, 4):
        admission.finish(attempt, Ending.COMPLETED)
    admission.observe_load(UpstreamLoad('one', 12, 4), 0)
    assert admission.foreign == 0


def test_cold_upstream_alternates_between_clients():
    """Guards against one client's long queue that holds up another client."""
    admission = warm(Limits(max_running=1))
    fill(admission, 20, 'large')
    fill(admission, 3, 'small', first=50)
    order = list(admission.running)
    while len(order) < 7:
        admission.finish(order[-1], Ending.COMPLETED)
        order.append(admission.advance(0)[0][0].attempt)
    assert order == [1, 2, 50, 3, 51, 4, 52]


def test_client_with_fewest_running_is_next():
    """Guards against one client's long requests that take every place."""
    admission = warm(running=4)
    for uptime in (11, 12):
        admission.observe_load(UpstreamLoad('one', uptime, 0), 0)
    fill(admission, 3, 'many')
    fill(admission, 1, 'few', first=10)
    fill(admission, 2, 'many', first=20)
    fill(admission, 2, 'few', first=30)
    admission.finish(1, Ending.FAILED)
    assert [ticket.attempt for ticket in admission.advance(0)[0]] == [30]


def test_full_queue_keeps_room_for_other_clients():
    """Guards against a client whose queue keeps all others out."""
    admission = warm(Limits(max_waiting=10))
    fill(admission, 20, 'large')
    fill(admission, 1, 'large', first=30)
    refused = admission.offer(Ticket(50, 'small', 1, 99))
    assert [ticket.attempt for ticket in refused] == [30]
    assert 50 in admission.waiting
    booking = Ticket(60, 'large', 1, 99, idempotent=False)
    assert admission.offer(booking)[0].idempotent
    admission.finish(1, Ending.COMPLETED)
    assert admission.advance(0)[0][0] == booking
