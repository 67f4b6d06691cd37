"""Exhaustive model check of expert map changes, with the production classes.

Every message that was sent stays in the network: it may arrive late, more than
once or never. Leaders do not check their clocks, so each may be paused at any
point and resume later. A rank may read any prefix of the log. ``Prepared``
replies arrive together with their order or not at all, since they contain no
promise. The second leader always claims after the first, since the two are
interchangeable.
"""

import dataclasses
import functools
import math
import sys

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from minicheck import Protocol, check_safety

from primroseyoke import expert_maps
from primroseyoke.exceptions import MessageInvalid
from primroseyoke.leases import LeaseClaim, LeaseRelease, LeaseStateMachine
from primroseyoke.expert_maps import DecidedMap, Joined, MapChange, MapDecision
from primroseyoke.expert_maps import (
    ChangeStage,
    GroupStateMachine,
    RankMapSelector,
    RunStep,
)

INITIAL = DecidedMap(-1, -2, 'old', 0)
BEFORE_ANY_EXPIRY = -math.inf
FIELDS = ('log', 'net', 'time', 'leaders', 'ranks', 'steps', 'ran', 'restarts')


def freeze(aggregate):
    items = sorted(vars(aggregate).items())
    return tuple(
        (name, tuple(sorted(part.items())) if isinstance(part, dict) else part)
        for name, part in items
    )


def thaw(owner, kind, frozen):
    aggregate = kind.__new__(kind)
    dicts = {'holding'} if owner is MapChange else ()
    for name, part in frozen:
        vars(aggregate)[name] = dict(part) if name in dicts else part
    return aggregate


class GroupModel:
    """A rank group, up to two leaders, the log and the network.

    To make the search fast enough, states refer to objects and messages by
    number, and the result of each call is cached.
    """

    state_machine_class = GroupStateMachine
    change_class = MapChange
    rank_class = RankMapSelector

    def __init__(
        self,
        ranks,
        leaders=2,
        restarts=1,
        steps=2,
        ticks=1,
        stale=True,
        cancel=True,
    ):
        self.size = ranks
        self.leaders = leaders
        self.max_step = steps
        self.max_time = ticks
        self.stale = stale
        self.calls = ('update_from_log', 'decide', 'cancel')[
            : 3 if cancel else 2
        ]
        self.numbers = {}
        self.parts = []
        for name in (
            'state_machine',
            'append',
            'lead',
            'receive',
            'order',
            'update_from_log',
            'awaits',
            'is_stale',
            'alive',
        ):
            setattr(self, name, functools.cache(getattr(self, name)))
        self.start = functools.cache(self.start)
        joined = tuple((Joined(rank, f'{rank}.0'), 0) for rank in range(ranks))
        log = self.number(joined)
        started = []
        for rank in range(ranks):
            rank_map = self.rank_class(rank, f'{rank}.0')
            rank_map.update_from_log(self.state_machine(log, 0))
            rank_map.finish_loading('old')
            rank_map.start_step(0)
            started.append(self.number(freeze(rank_map)))
        self.initial = (
            log,
            frozenset(self.number(record) for record, _ in joined),
            0,
            (),
            tuple(started),
            (1,) * ranks,
            frozenset({(0, 'old')}),
            restarts,
        )

    def number(self, part):
        if part not in self.numbers:
            self.numbers[part] = len(self.parts)
            self.parts.append(part)
        return self.numbers[part]

    def state_machine(self, log, time):
        state_machine = self.state_machine_class(self.size, INITIAL)
        for offset, (record, appended_at) in enumerate(self.parts[log]):
            state_machine.apply(record, offset, appended_at)
        state_machine.lease_state.advance_clock(time)
        return state_machine

    def append(self, log, time, number):
        """Return the extended log, None if the record has no effect."""
        record = self.parts[number]
        longer = (*self.parts[log], (record, time))
        state_machine = self.state_machine(log, time)
        offset = len(longer) - 1
        trial = self.state_machine_class(self.size, INITIAL)
        vars(trial).update(vars(state_machine))
        trial.lease_state = type(state_machine.lease_state)(
            state_machine.lease_state.lease
        )
        effect = trial.apply(record, offset, time)
        return self.number(longer) if effect else None

    def transitions(self, state):
        for label, after in self.successors(state):
            log, net, time, leaders, ranks, *rest = after
            alive = self.alive(net, log, time, leaders, ranks, rest[-1])
            yield label, (log, alive, time, leaders, ranks, *rest)

    def alive(self, net, *context):
        return frozenset(
            number for number in net if self.is_alive(number, *context)
        )

    def is_alive(self, number, log, time, leaders, ranks, restarts):
        """Tell whether a message can still have an effect."""
        message = self.parts[number]
        if isinstance(message, expert_maps.Holding):
            return self.awaits(leaders, number)
        if isinstance(message, Joined):
            return True
        if isinstance(message, MapDecision):
            return self.append(log, time, number) is not None
        if restarts:
            return True
        return not self.is_stale(ranks[message[0]], number)

    def awaits(self, leaders, number):
        fencing_number = self.parts[number].fencing_number
        for leader in leaders:
            change = dict(self.parts[leader])
            if change['lease'].fencing_number == fencing_number:
                return change['stage'] is ChangeStage.HOLDING
        return False

    def is_stale(self, number, message):
        rank = thaw(RankMapSelector, self.rank_class, self.parts[number])
        return rank._is_stale(self.parts[message][1])

    def successors(self, state):
        log, net, time, leaders, ranks, steps, ran, restarts = state
        if time < self.max_time:
            yield 'tick', (log, net, time + 1, *state[3:])
        for label, after in self.lead_transitions(state):
            yield label, after
        for message in net:
            yield from self.deliver(state, message)
        for rank in range(self.size):
            yield from self.rank_transitions(state, rank)

    def lead_transitions(self, state):
        log, net, time, leaders, *rest = state
        for index, leader in enumerate(leaders):
            for call in self.calls:
                after, sent = self.lead(leader, call, log, time)
                if after != leader or not sent <= net:
                    changed = replace_item(leaders, index, after)
                    yield (
                        f'{call} {index}',
                        (log, net | sent, time, changed, *rest),
                    )
        if len(leaders) < self.leaders:
            index = len(leaders)
            last = self.state_machine(
                log, time
            ).lease_state.lease.fencing_number
            claim = self.number(LeaseClaim(f'{index}', last, 1))
            longer = self.append(log, time, claim)
            if longer:
                change = self.change_class(
                    f'new{index}',
                    None,
                    self.state_machine(longer, time),
                    0,
                    self.leaders - index - 1,
                )
                leader, sent = self.sent(change)
                yield (
                    f'claim {index}',
                    (longer, net | sent, time, (*leaders, leader), *rest),
                )

    def sent(self, change, *records):
        """Return a leader and the messages that it sends, as numbers."""
        messages = (*change.orders(BEFORE_ANY_EXPIRY), *records)
        if change.stage in {ChangeStage.DECIDED, ChangeStage.CANCELLED}:
            change.prepared, change.holding = frozenset(), {}
            change.next_step = 0
        return (
            self.number(freeze(change)),
            frozenset(self.number(message) for message in messages),
        )

    def lead(self, leader, call, log, time):
        change = thaw(MapChange, self.change_class, self.parts[leader])
        known = change.stage, change.latest
        if call == 'update_from_log':
            change.update_from_log(self.state_machine(log, time), 0)
            if known == (change.stage, change.latest):
                return leader, frozenset()
            return self.sent(change)
        decision = getattr(change, call)()
        if isinstance(decision, MapDecision):
            return self.sent(change, decision)
        return self.sent(change)

    def receive(self, leader, number):
        change = thaw(MapChange, self.change_class, self.parts[leader])
        change.receive(self.parts[number])
        return self.sent(change)

    def deliver(self, state, number):
        log, net, time, leaders, ranks, *rest = state
        message = self.parts[number]
        if isinstance(message, MapDecision | Joined):
            longer = self.append(log, time, number)
            if longer:
                yield f'append {number}', (longer, *state[1:])
        elif isinstance(message, expert_maps.Holding):
            yield from self.reply(state, number, f'reply {number}')
        else:
            rank, order = message
            after, reply = self.order(ranks[rank], number)
            changed = (
                log,
                net,
                time,
                leaders,
                replace_item(ranks, rank, after),
                *rest,
            )
            if isinstance(reply, expert_maps.Holding):
                net |= {self.number(reply)}
                changed = (log, net, *changed[2:])
            if isinstance(reply, expert_maps.Prepared):
                prepared = self.number(reply)
                yield from self.reply(changed, prepared, f'order {number}')
            elif changed != state:
                yield f'order {number}', changed

    def reply(self, state, reply, label):
        log, net, time, leaders, *rest = state
        for index, leader in enumerate(leaders):
            after, sent = self.receive(leader, reply)
            if after != leader:
                changed = replace_item(leaders, index, after)
                yield label, (log, net | sent, time, changed, *rest)

    def order(self, number, message):
        rank = thaw(RankMapSelector, self.rank_class, self.parts[number])
        _, order = self.parts[message]
        reply = rank.receive(order)
        if isinstance(order, expert_maps.Prepare) and reply is None:
            reply = rank.finish_loading(order.change)
        return self.number(freeze(rank)), reply

    def update_from_log(self, number, log, time):
        rank = thaw(RankMapSelector, self.rank_class, self.parts[number])
        rank.update_from_log(self.state_machine(log, time))
        return self.number(freeze(rank))

    def rank_transitions(self, state, rank):
        log, net, time, leaders, ranks, steps, ran, restarts = state
        records = self.parts[log]
        first = self.size if self.stale else len(records)
        for length in range(first, len(records) + 1):
            prefix = self.number(records[:length])
            read_at = time if length == len(records) else 0
            after = self.update_from_log(ranks[rank], prefix, read_at)
            if after != ranks[rank]:
                changed = replace_item(ranks, rank, after)
                yield f'learn {rank}', (*state[:4], changed, *state[5:])
        step = steps[rank]
        if step <= min(*steps, self.max_step):
            after, change = self.start(ranks[rank], step)
            if change:
                yield (
                    f'rank {rank} runs step {step} with {change}',
                    (
                        *state[:4],
                        replace_item(ranks, rank, after),
                        replace_item(steps, rank, step + 1),
                        ran | {(step, change)},
                        restarts,
                    ),
                )
        if restarts:
            yield self.restart(state, rank)

    def start(self, number, step):
        rank = thaw(RankMapSelector, self.rank_class, self.parts[number])
        chosen = rank.start_step(step)
        if not isinstance(chosen, RunStep) and chosen.load:
            rank.finish_loading(chosen.load.change)
            chosen = rank.start_step(step)
        if isinstance(chosen, RunStep):
            return self.number(freeze(rank)), chosen.decided.change
        return number, None

    def restart(self, state, rank):
        """Restart a rank without state; it repeats its unfinished step."""
        log, net, time, leaders, ranks, steps, ran, restarts = state
        fresh = self.rank_class(rank, f'{rank}.{restarts}')
        before = self.state_machine(log, time).incarnations[rank]
        joined = self.number(Joined(rank, fresh.incarnation, before))
        return (
            f'restart {rank}',
            (
                log,
                net | {joined},
                time,
                leaders,
                replace_item(ranks, rank, self.number(freeze(fresh))),
                replace_item(steps, rank, steps[rank] - 1),
                ran,
                restarts - 1,
            ),
        )


def replace_item(items, index, item):
    return (*items[:index], item, *items[index + 1 :])


def one_map(state):
    steps = [step for step, _ in state['ran']]
    return len(steps) == len(set(steps))


def never_active(state):
    return all(change == 'old' for _, change in state['ran'])


def search(group, max_states=300000, stop_at_first=False):
    """Check the properties, and print the number of states."""
    violations = []

    def holds(state):
        if one_map(state):
            return True
        violations.append(state)
        return False

    def transitions(state):
        return [] if stop_at_first and violations else group.transitions(state)

    outcome = check_safety(
        Protocol(
            type(group).__name__,
            False,
            FIELDS,
            group.initial,
            transitions,
            {'one_map': holds, 'never_active': never_active},
        ),
        max_states,
    )
    sys.stdout.write(
        f'states={outcome["reachable_states"]}'
        f' exhaustive={outcome["exhaustive"]}\n'
    )
    return outcome


CHECKS = {
    'one leader, restart, stale reads': {'leaders': 1},
    'two leaders': {'restarts': 0, 'stale': False},
    'two leaders, restart': {'steps': 1, 'stale': False, 'cancel': False},
    'three ranks': {'ranks': 3, 'leaders': 1, 'restarts': 0, 'steps': 1},
    'three ranks, two leaders': {
        'ranks': 3,
        'restarts': 0,
        'steps': 1,
        'stale': False,
        'cancel': False,
    },
}


@pytest.mark.parametrize('name', CHECKS)
def test_no_step_is_run_with_two_maps(name):
    """Guards against two maps in one step, and a model without changes."""
    outcome = search(GroupModel(**{'ranks': 2, **CHECKS[name]}))
    assert outcome['exhaustive']
    assert outcome['properties']['one_map']['holds']
    assert outcome['properties']['never_active']['holds'] is False


class UnheldRank(RankMapSelector):
    def start_step(self, step):
        self.hold = None
        return super().start_step(step)


class UnfencedRank(RankMapSelector):
    """Follows the latest order to arrive, whatever its fencing number."""

    def _is_stale(self, order):
        return False

    def receive(self, order):
        if (
            isinstance(order, expert_maps.Hold)
            and order.latest == self.decided[-1]
        ):
            self.hold = None
        return super().receive(order)


class UndecidedChange(MapChange):
    """Activates without a decision record."""

    def receive(self, reply):
        super().receive(reply)
        if self.stage is ChangeStage.HOLDING and not self._ranks_without(
            self.holding
        ):
            self.latest = DecidedMap(
                99, self.latest.offset, self.change, max(self.holding.values())
            )
            self.stage = ChangeStage.DECIDED


class LowestStepChange(MapChange):
    """Activates at the lowest of the promised steps."""

    def decide(self):
        decision = super().decide()
        return decision and dataclasses.replace(
            decision, step=min(self.holding.values())
        )


class LowestStepGroup(GroupStateMachine):
    def _has_valid_promises(self, record):
        held = max(step for _, step in record.promises)
        return super()._has_valid_promises(
            dataclasses.replace(record, step=held)
        )


class EarlyPromiseRank(RankMapSelector):
    """Makes promises before it has run a step after its start."""

    def receive(self, order):
        self.next_step = max(self.next_step, 1)
        return super().receive(order)


class UncheckedPromisesGroup(GroupStateMachine):
    """Accepts promises of earlier starts of a rank."""

    def _has_valid_promises(self, record):
        return True


class ReinstatedStartGroup(GroupStateMachine):
    """Lets a late duplicate record reinstate an earlier start."""

    def apply(self, record, offset, appended_at):
        if isinstance(record, Joined):
            before = self.incarnations[record.rank]
            if before == record.incarnation or offset > 4:
                return False
            record = dataclasses.replace(record, against=before)
        return super().apply(record, offset, appended_at)


class LeaseVariantGroup(GroupStateMachine):
    lease_state_machine_class = LeaseStateMachine

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.lease_state = self.lease_state_machine_class()


class UnfencedLease(LeaseStateMachine):
    def is_current(self, fencing_number):
        return True


class PrematureEndLease(LeaseStateMachine):
    """Regards a lease that is not in the log read so far as ended."""

    def has_ended(self, fencing_number):
        return not self.is_current(fencing_number)


class UnfencedGroup(LeaseVariantGroup):
    lease_state_machine_class = UnfencedLease


class PrematureEndGroup(LeaseVariantGroup):
    lease_state_machine_class = PrematureEndLease


ONE_LEADER = {'leaders': 1}
TWO_LEADERS = {'restarts': 0, 'stale': False}
VARIANTS = [
    ({'change_class': UndecidedChange}, ONE_LEADER),
    ({'state_machine_class': UnfencedGroup}, TWO_LEADERS),
    ({'rank_class': UnfencedRank}, TWO_LEADERS),
    ({'rank_class': UnheldRank}, ONE_LEADER),
    (
        {
            'change_class': LowestStepChange,
            'state_machine_class': LowestStepGroup,
        },
        ONE_LEADER,
    ),
    ({'rank_class': EarlyPromiseRank}, ONE_LEADER),
    ({'state_machine_class': UncheckedPromisesGroup}, ONE_LEADER),
    (
        {'state_machine_class': ReinstatedStartGroup},
        {**ONE_LEADER, 'stale': False, 'cancel': False},
    ),
    ({'state_machine_class': PrematureEndGroup}, ONE_LEADER),
]


@pytest.mark.parametrize(
    ('classes', 'size'),
    VARIANTS,
    ids=[
        '-'.join(kind.__name__ for kind in row[0].values()) for row in VARIANTS
    ],
)
def test_unsafe_variant_runs_a_step_with_two_maps(classes, size):
    """Guards against a model that does not detect a missing rule."""
    group = type('Variant', (GroupModel,), classes)(2, **size)
    outcome = search(group, stop_at_first=True)
    assert outcome['properties']['one_map']['holds'] is False


STEPS = st.lists(
    st.sampled_from(['claim', 'joined', 'decision', 'decision', 'release']),
    min_size=1,
    max_size=12,
)


def build(kind, state_machine):
    """Return a record that takes effect unless its lease is missing."""
    number = state_machine.lease_state.lease.fencing_number
    if kind == 'claim':
        return LeaseClaim('leader', number, 3)
    if kind == 'release':
        return LeaseRelease(number)
    if kind == 'joined':
        return Joined(
            0, f'start {state_machine.offset}', state_machine.incarnations[0]
        )
    step = state_machine.latest.step + 1
    promises = tuple((start, step) for start in state_machine.incarnations)
    base = state_machine.latest.offset
    return MapDecision(number, 'new', base, step, promises, [[[0, 1], [2]]])


def as_stored(record):
    """Return the content as it is read back from the log service."""
    return msgspec.json.decode(
        msgspec.json.encode(expert_maps.record_content(record))
    )


@given(STEPS, st.integers(0, 11))
def test_state_from_a_snapshot_agrees_with_state_from_the_whole_log(
    steps, covers
):
    """Guards against a late reader that derives a different map."""
    whole, late = GroupStateMachine(2, INITIAL), GroupStateMachine(2, INITIAL)
    covers %= len(steps)
    for offset, kind in enumerate(steps):
        record = expert_maps.parse_record(as_stored(build(kind, whole)))
        whole.apply(record, offset, offset)
        if offset == covers:
            late.restore(expert_maps.parse_record(as_stored(whole.snapshot())))
        elif offset > covers:
            late.apply(record, offset, offset)
    assert late.snapshot() == whole.snapshot()


@pytest.mark.parametrize('content', [None, 3, {}, {'kind': 'claim'}])
def test_log_entry_of_another_kind_is_refused(content):
    """Guards against an unexpected entry that stops a reader."""
    with pytest.raises(MessageInvalid):
        expert_maps.parse_record(content)


def test_leader_requests_promises_only_while_the_log_answers():
    """Guards against ranks that are blocked by an outage of the log."""
    state_machine = GroupStateMachine(1, INITIAL)
    state_machine.apply(Joined(0, 'start'), 0, 100)
    state_machine.apply(LeaseClaim('leader', -1, 60), 1, 100)
    change = MapChange('new', None, state_machine, 100)
    change.receive(expert_maps.Prepared(0, 'start', 1, 'new', 5))
    assert [type(order) for _, order in change.orders(101)] == [
        expert_maps.Hold
    ]
    assert not change.orders(103)
    change.update_from_log(state_machine, 150)
    assert change.orders(151)
    change.update_from_log(state_machine, 159.5)
    assert not change.orders(159.5)
    assert change.cancel()
    assert change.decide() is None
