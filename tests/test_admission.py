"""Tests of admission: against a reference queue, and rule by rule."""

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
    RequestOutcome,
    Limits,
    Ticket,
    UpstreamLoad,
)

CLIENTS = st.sampled_from('abc')
RESERVED_BYTES = st.integers(1, 40)
LIMITS = st.builds(
    Limits,
    cold_limit=st.integers(1, 3),
    max_running=st.integers(1, 6),
    max_held=st.integers(20, 100),
    max_waiting=st.integers(1, 8),
)


class ReferenceQueue:
    """Waiting queue on plain lists; each choice scans all tickets."""

    def __init__(self):
        self.tickets = []
        self.running = []
        self.last_served = {}
        self.sequence = 0

    def next_sequence(self):
        self.sequence += 1
        return self.sequence

    def count(self, client, idempotent):
        return sum(
            (ticket.client, ticket.idempotent) == (client, idempotent)
            for ticket in self.tickets
        )

    def peek(self):
        return min(
            self.tickets,
            key=lambda ticket: (
                ticket.idempotent,
                sum(other.client == ticket.client for other in self.running),
                self.last_served[ticket.client],
            ),
            default=None,
        )

    def enqueue(self, ticket, limits):
        if ticket.reserved_bytes > limits.max_held:
            return [ticket]
        refused = []
        if len(self.tickets) >= limits.max_waiting:
            refused = self.displace(ticket)
            if refused == [ticket]:
                return refused
        self.last_served.setdefault(ticket.client, self.next_sequence())
        self.tickets.append(ticket)
        return refused

    def displace(self, ticket):
        idempotent_tickets = [
            other for other in self.tickets if other.idempotent
        ]
        candidates = (
            idempotent_tickets
            if idempotent_tickets or ticket.idempotent
            else self.tickets
        )
        if not candidates:
            return [ticket]
        sizes = {
            other.client: self.count(other.client, other.idempotent)
            for other in candidates
        }
        largest = max(sizes.values())
        own_count = self.count(ticket.client, ticket.idempotent)
        if (
            candidates[0].idempotent == ticket.idempotent
            and largest <= own_count + 1
        ):
            return [ticket]
        displaced_client = min(name for name in sizes if sizes[name] == largest)
        last = [
            other for other in candidates if other.client == displaced_client
        ][-1]
        self.remove(last)
        return [last]

    def remove(self, ticket):
        self.tickets.remove(ticket)
        self.drop_idle()

    def start(self, ticket):
        self.last_served[ticket.client] = self.next_sequence()
        self.tickets.remove(ticket)
        self.running.append(ticket)

    def end(self, ticket):
        self.running.remove(ticket)
        self.drop_idle()

    def drop_idle(self):
        active = {ticket.client for ticket in self.tickets + self.running}
        self.last_served = {
            client: sequence
            for client, sequence in self.last_served.items()
            if client in active
        }


class AdmissionMachine(RuleBasedStateMachine):
    """Drives admission and the reference queue; models untracked requests."""

    @initialize(limits=LIMITS, untracked=st.integers(0, 4))
    def begin(self, limits, untracked):
        self.now = 0.0
        self.limits = limits
        self.admission = Admission(limits)
        self.reference = ReferenceQueue()
        self.number = 0
        self.uptime = 100.0
        self.incarnation = 1
        self.untracked = untracked
        self.reported = False
        self.completed = 0
        self.limit_bound = 0

    @rule(
        client=CLIENTS,
        reserved_bytes=RESERVED_BYTES,
        timeout=st.integers(1, 30),
        idempotent=st.booleans(),
        exclusive=st.sampled_from([False, False, False, True]),
    )
    def enqueue(self, client, reserved_bytes, timeout, idempotent, exclusive):
        self.number += 1
        ticket = Ticket(
            self.number,
            client,
            reserved_bytes,
            self.now + timeout,
            idempotent,
            exclusive,
        )
        expected = self.reference.enqueue(ticket, self.limits)
        assert list(self.admission.enqueue(ticket)) == expected

    @rule(seconds=st.integers(0, 5))
    def advance(self, seconds):
        self.now += seconds
        admitted, expired = self.admission.advance(self.now)
        overdue = [
            ticket
            for ticket in self.reference.tickets
            if ticket.deadline <= self.now
        ]
        assert sorted(each.attempt for each in expired) == [
            ticket.attempt for ticket in overdue
        ]
        for ticket in overdue:
            self.reference.remove(ticket)
        for ticket in admitted:
            assert ticket == self.reference.peek()
            self.reference.start(ticket)
        if admitted:
            self.check_load()
        if not self.reference.running and not self.untracked:
            # Nothing blocks the next ticket, so the queue must make progress.
            assert not self.reference.tickets or not self.reported

    @precondition(lambda self: self.reference.running)
    @rule(choice=st.integers(0), outcome=st.sampled_from(RequestOutcome))
    def end(self, choice, outcome):
        running = self.reference.running
        ticket = running[choice % len(running)]
        self.reference.end(ticket)
        self.admission.finish(ticket.attempt, outcome)
        if outcome is RequestOutcome.COMPLETED:
            self.completed += 1
        elif outcome is RequestOutcome.ABANDONED:
            self.untracked += 1

    @rule(ended=st.integers(0, 4))
    def report(self, ended):
        """Report twice, since one report can predate the end of a request."""
        self.untracked = max(self.untracked - ended, 0)
        self.uptime += 1
        for _ in range(2):
            self.observe()
        assert self.admission.untracked_running == self.untracked

    @rule(signal=st.sampled_from(['incarnation', 'uptime', 'refused']))
    def simulate_restart(self, signal):
        self.uptime += 10
        self.observe()
        for ticket in tuple(self.reference.running):
            self.reference.end(ticket)
            self.admission.finish(ticket.attempt, RequestOutcome.FAILED)
        self.untracked = 0
        if signal == 'refused':
            self.admission.restart_ramp()
        elif signal == 'incarnation':
            self.incarnation += 1
        if signal != 'incarnation':
            self.uptime = 0.0
        self.report(0)
        self.completed = 0
        self.limit_bound = self.limits.cold_limit

    @rule(limits=LIMITS)
    def change_limits(self, limits):
        self.limits = limits
        gone = self.admission.change_limits(limits)
        for ticket in gone:
            assert ticket.reserved_bytes > limits.max_held
            self.reference.remove(ticket)
        self.limit_bound = max(self.limit_bound, limits.cold_limit)

    @rule(choice=st.integers(0), exclusive=st.booleans())
    @precondition(lambda self: self.reference.tickets)
    def set_exclusive(self, choice, exclusive):
        tickets = self.reference.tickets
        index = choice % len(tickets)
        tickets[index] = dataclasses.replace(
            tickets[index], exclusive=exclusive
        )
        self.admission.set_exclusive(tickets[index].attempt, exclusive)

    @invariant()
    def limit_grows_only_with_completed_work(self):
        assert list(self.admission.running.values()) == self.reference.running
        assert len(self.admission.waiting) == len(self.reference.tickets)
        assert self.admission.current_limit <= self.limit_bound + self.completed

    def check_load(self):
        """Check that tracked and untracked requests are within the limits."""
        running = self.reference.running
        total = len(running) + self.untracked
        assert total <= min(
            self.admission.current_limit, self.limits.max_running
        )
        assert (
            sum(each.reserved_bytes for each in running) <= self.limits.max_held
        )
        assert total == 1 or not any(each.exclusive for each in running)

    def observe(self):
        running = self.untracked + len(self.reference.running)
        if not self.reported:
            self.limit_bound = max(self.limits.cold_limit, running)
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
        admission.enqueue(Ticket(attempt, client, 1, 99, **fields))
    return [ticket.attempt for ticket in admission.advance(0)[0]]


def test_ramp_grows_by_one_for_each_full_round_and_not_with_time():
    """Guards against a limit that rises without completed requests."""
    admission = warm()
    rounds = []
    for number in range(5):
        running = fill(admission, 40, first=100 * number)
        rounds.append(len(running))
        admission.advance(10**6)
        for attempt in running:
            admission.finish(attempt, RequestOutcome.COMPLETED)
    assert rounds == [1, 2, 3, 4, 5]


def test_requests_from_before_the_ramp_do_not_raise_the_limit():
    """Guards against requests from before a restart that raise the limit."""
    admission = warm(running=16)
    admission.observe_load(UpstreamLoad('one', 11, 0), 0)
    admission.observe_load(UpstreamLoad('one', 12, 0), 0)
    running = fill(admission, 16)
    admission.restart_ramp()
    for attempt in running:
        admission.finish(attempt, RequestOutcome.COMPLETED)
    assert (len(running), admission.current_limit) == (16, 1)


@pytest.mark.parametrize(('crashed', 'slowdown'), [(True, 2), (False, 1)])
def test_only_a_crash_slows_the_next_ramp(crashed, slowdown):
    """Guards against a slower ramp after each planned outage of a zone."""
    admission = warm(running=8)
    for _ in range(2):
        admission.restart_ramp(crashed=crashed)
    assert (admission.current_limit, admission.ramp_slowdown) == (1, slowdown)


def test_restarted_agent_counts_untracked_requests():
    """Guards against a busy upstream that gets the whole limit again."""
    admission = warm(running=5)
    assert admission.current_limit == 5
    assert not fill(admission, 3)
    admission.observe_load(UpstreamLoad('one', 11, 3), 0)
    assert len(admission.advance(0)[0]) == 2


@pytest.mark.parametrize('requested_at', [4, 6])
def test_report_requested_before_suspension_does_not_resume(requested_at):
    """Guards against a stale report that hides a crash."""
    admission = warm(running=4)
    admission.observe_load(UpstreamLoad('one', 11, 0), 0)
    admission.suspend(5)
    admission.observe_load(UpstreamLoad('one', 12, 0), requested_at)
    assert len(fill(admission, 4)) == (4 if requested_at > 5 else 0)


def test_stale_report_does_not_block_requests():
    """Guards against capacity lost to requests that have ended."""
    admission = warm(running=4)
    admission.observe_load(UpstreamLoad('one', 11, 0), 0)
    for attempt in fill(admission, 4):
        admission.finish(attempt, RequestOutcome.COMPLETED)
    admission.observe_load(UpstreamLoad('one', 12, 4), 0)
    assert admission.untracked_running == 0


def test_estimate_is_exact_after_two_reports():
    """Guards against slots held by abandoned requests that have ended.

    The estimate used to need a third report if the number of running requests
    had changed twice since the report before.
    """
    admission = Admission(Limits(1, 1, 24, 5))
    for _ in range(2):
        admission.observe_load(UpstreamLoad('one', 10, 0), 0)
    admission.enqueue(Ticket(1, 'a', 1, 99))
    admission.advance(0)
    admission.change_limits(Limits(2, 5, 92, 1))
    admission.enqueue(Ticket(2, 'a', 1, 99))
    admission.advance(0)
    admission.finish(1, RequestOutcome.ABANDONED)
    for _ in range(2):
        admission.observe_load(UpstreamLoad('one', 11, 1), 0)
    assert admission.untracked_running == 0


def test_report_requested_before_the_previous_one_was_processed():
    """Guards against requests counted twice after two reports at once.

    Both reports describe the time before a request ended; the second is
    processed after its end.
    """
    admission = warm(running=4)
    admission.observe_load(UpstreamLoad('one', 11, 0), 1, 1)
    running = fill(admission, 4)
    admission.observe_load(UpstreamLoad('one', 12, 4), 2, 2)
    admission.finish(running[0], RequestOutcome.COMPLETED)
    admission.observe_load(UpstreamLoad('one', 13, 4), 3, 3.2)
    admission.observe_load(UpstreamLoad('one', 13, 4), 2.9, 3.3)
    assert admission.untracked_running == 0


def test_cold_upstream_alternates_between_clients():
    """Guards against one client's long queue that blocks another client."""
    admission = warm(Limits(max_running=1))
    fill(admission, 20, 'large')
    fill(admission, 3, 'small', first=50)
    order = list(admission.running)
    while len(order) < 7:
        admission.finish(order[-1], RequestOutcome.COMPLETED)
        order.append(admission.advance(0)[0][0].attempt)
    assert order == [1, 2, 50, 3, 51, 4, 52]


def test_client_with_fewest_running_is_next():
    """Guards against one client's long requests that use the whole limit."""
    admission = warm(running=4)
    for uptime in (11, 12):
        admission.observe_load(UpstreamLoad('one', uptime, 0), 0)
    fill(admission, 3, 'many')
    fill(admission, 1, 'few', first=10)
    fill(admission, 2, 'many', first=20)
    fill(admission, 2, 'few', first=30)
    admission.finish(1, RequestOutcome.FAILED)
    assert [ticket.attempt for ticket in admission.advance(0)[0]] == [30]


def test_full_queue_keeps_room_for_other_clients():
    """Guards against a client that fills the queue for all others."""
    admission = warm(Limits(max_waiting=10))
    fill(admission, 20, 'large')
    fill(admission, 1, 'large', first=30)
    refused = admission.enqueue(Ticket(50, 'small', 1, 99))
    assert [ticket.attempt for ticket in refused] == [30]
    assert 50 in admission.waiting
    keyed_call = Ticket(60, 'large', 1, 99, idempotent=False)
    assert admission.enqueue(keyed_call)[0].idempotent
    admission.finish(1, RequestOutcome.COMPLETED)
    assert admission.advance(0)[0][0] == keyed_call


def test_upstream_gets_no_more_than_the_rate_that_it_states():
    """Guards against overload of an upstream that asks for fewer requests.

    The users allow 1.5 times the rate and 5 requests in any 4 s.
    """
    admission = warm()
    admission.observe_load(UpstreamLoad('one', 13, 0, rate_limit=1), 0)
    started = []
    for tick in range(200):
        fill(admission, 1, 'many', first=100 + tick)
        for ticket in admission.advance(tick / 10)[0]:
            started.append(tick / 10)
            admission.finish(ticket.attempt, RequestOutcome.COMPLETED)
    assert 15 <= len(started) <= 21
    assert all(
        sum(start <= at < start + 4 for at in started) <= 11
        for start in started
    )
    admission.observe_load(UpstreamLoad('one', 34, 0), 20)
    assert len(admission.advance(20)[0]) > 3


def test_upstream_that_states_no_rate_or_a_restart_has_none():
    admission = warm()
    admission.observe_load(UpstreamLoad('one', 13, 0, rate_limit=0), 0)
    fill(admission, 3, 'many', first=100)
    assert not admission.advance(1)[0]
    admission.observe_load(UpstreamLoad('two', 1, 0), 2)
    assert admission.advance(2)[0]
