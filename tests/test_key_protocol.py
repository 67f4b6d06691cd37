"""Exhaustive model check of at-most-once execution (design page, 6.2).

The model takes one key through entries, homes, restarts and the log. All
decisions of agents and entries are made by the production code.
"""

import math
import threading
import typing

import msgspec
import pytest
from minicheck import Protocol, check_safety

from primroseyoke import idempotency_keys, key_handover
from primroseyoke.configuration import Homes
from primroseyoke.key_handover import parse_inherited_keys
from primroseyoke.log_service import LogPage, LogRecord
from primroseyoke.verdicts import Verdict

LIFETIME_SECONDS, FRESHNESS_SECONDS = 6, 3
IDENTITY = ('app', 'client', 'key')


class Agent(typing.NamedTuple):
    floor: float = -math.inf
    sealed: bool = False
    row: typing.Any = None
    config: int = 0
    confirmed: float = 0
    handover_records: tuple = ()
    incarnation: str = 'first'


class State(typing.NamedTuple):
    time: float
    first_sent_at: float | None
    key_time: float
    sends: int
    in_flight: frozenset
    restarts: int
    agents: tuple
    logs: tuple
    run_count: int
    reported_not_run: bool


class MemoryLog:
    """The log service as used by ``KeyHandover``, without a network."""

    def __init__(self, contents):
        self.contents = list(contents)

    def append(self, stream, content):
        self.contents.append(msgspec.json.encode(content))
        return LogRecord(len(self.contents) - 1, 0, content)

    def read(self, stream, offset):
        decoded = [msgspec.json.decode(content) for content in self.contents]
        records = [LogRecord(*row) for row in zip(range(99), [0] * 99, decoded)]
        return LogPage(tuple(records[offset:]), 0, len(records), 0)


class UnrecordedRefusalTable(idempotency_keys.KeyTable):
    def refuse(self, call, reason):
        self.rows.pop(call.identity)
        return idempotency_keys.Reject(Verdict.NOT_RUN, 503, reason)


class NoFloorTable(idempotency_keys.KeyTable):
    def open(self, rows, floor):
        super().open(rows, -math.inf)


class UnsealedTable(idempotency_keys.KeyTable):
    def seal(self):
        self.sealed = True
        return dict(self.rows), self.floor


class UnlimitedDelayTable(idempotency_keys.KeyTable):
    def _time_rejection_reason(self, call, now):
        return call.key_time and super()._time_rejection_reason(call, now)


class AnyOrderTable(idempotency_keys.KeyTable):
    def _earlier_homes_refused(self, chain, call):
        return self.upstream in chain


def inherit_without_floor(contents):
    inherited = parse_inherited_keys(contents)
    return inherited and key_handover.InheritedKeys(inherited.rows, -math.inf)


def inherit_from_last_record(contents):
    if contents[-1]['kind'] != 'stopped':
        return None
    started = {**contents[-1], 'kind': 'started'}
    return parse_inherited_keys([*contents, started])


class ProtocolModel:
    """State space of one key, whose home is ``a`` or ``b``."""

    def __init__(
        self,
        timed,
        homes_changes=(),
        member_lists=(),
        restarts=0,
        sends=2,
        end=24,
        tick=3,
        table=idempotency_keys.KeyTable,
        always_fresh=False,
        inherit=parse_inherited_keys,
        reports_early_refusal=False,
    ):
        self.timed, self.end, self.step = timed, end, tick
        self.table, self.always_fresh = table, always_fresh
        self.inherit = inherit
        self.reports_early_refusal = reports_early_refusal
        member_lists = (
            member_lists or (('a',), ('b',))[: 1 + bool(homes_changes)]
        )
        self.names = sorted(
            {name for members in member_lists for name in members}
        )
        self.versions = [(0, Homes(members=member_lists[0]))]
        for number, (appended, since) in enumerate(homes_changes):
            before, after = member_lists[:: -1 if number % 2 else 1]
            homes = Homes(members=after, previous=before, since=since)
            self.versions.append((appended, homes))
        started = b'{"kind":"started","incarnation":"first"}'
        self.initial = State(
            *(0, None, 0, sends, frozenset(), restarts),
            tuple(Agent() for _ in self.names),
            tuple((started,) for _ in self.names),
            *(0, False),
        )

    def check(self):
        protocol = Protocol(
            name='keys',
            candidate=False,
            fields=State._fields,
            initial=self.initial,
            transitions=self.transitions,
            invariants={
                'runs_once': lambda state: state['run_count'] <= 1,
                'not_run_is_true': lambda state: (
                    not (state['run_count'] and state['reported_not_run'])
                ),
            },
        )
        return check_safety(protocol, max_states=10**6)

    def transitions(self, state):
        if state.time < self.end:
            yield 'tick', self.tick(state)
        if state.sends:
            yield from self.send(state)
        for chain, position, sent_at in state.in_flight:
            yield from self.deliver(state, chain, position, sent_at)
        for home, agent in enumerate(state.agents):
            yield from self.change(state, home, agent)

    def latest(self, state):
        return sum(appended <= state.time for appended, _ in self.versions)

    def clock(self, state, host):
        return state.time + host * idempotency_keys.MAX_CLOCK_SKEW_SECONDS

    def load(self, agent, home):
        table = self.table(self.names[home], LIFETIME_SECONDS)
        table.open({IDENTITY: agent.row} if agent.row else {}, agent.floor)
        table.floor, table.sealed = agent.floor, agent.sealed
        return table

    def store(self, state, home, table, **changes):
        agents = list(state.agents)
        agents[home] = agents[home]._replace(
            floor=table.floor,
            sealed=table.sealed,
            row=table.rows.get(IDENTITY),
            **changes,
        )
        return state._replace(agents=tuple(agents))

    def tick(self, state):
        state = state._replace(time=state.time + self.step)
        for home, agent in enumerate(state.agents):
            table = self.load(agent, home)
            table.expire(self.clock(state, home))
            fresh = state.time - agent.confirmed <= FRESHNESS_SECONDS
            confirmed = agent.confirmed if fresh else -math.inf
            state = self.store(state, home, table, confirmed=confirmed)
        return state

    def send(self, state):
        key_times = {state.key_time}
        if state.first_sent_at is None and self.timed:
            key_times = {
                state.time + idempotency_keys.MAX_CALLER_CLOCK_LEAD_SECONDS,
                state.time + 2 * idempotency_keys.MAX_CALLER_CLOCK_LEAD_SECONDS,
            }
        elif (
            not self.timed
            and state.time > (state.first_sent_at or 0) + LIFETIME_SECONDS
        ):
            # Callers do not resend a key without creation time any later.
            key_times = set() if state.first_sent_at is not None else {0}
        for key_time in key_times:
            for entry in (0, 1):
                now = self.clock(state, entry)
                for _, homes in self.versions[: self.latest(state)]:
                    chain = idempotency_keys.route_chain(
                        *(homes, IDENTITY, key_time, now, LIFETIME_SECONDS)
                    )
                    copy = (chain, 0, 0 if self.timed else now)
                    yield (
                        f'send through entry {entry}',
                        state._replace(
                            first_sent_at=state.time
                            if state.first_sent_at is None
                            else state.first_sent_at,
                            key_time=key_time,
                            sends=state.sends - 1,
                            in_flight=state.in_flight | {copy},
                        ),
                    )

    def deliver(self, state, chain, position, sent_at):
        """Deliver a copy, which stays in flight: it can be delivered again."""
        home = self.names.index(chain[position])
        agent = state.agents[home]
        now = self.clock(state, home)
        refused_by = chain[:position]
        call = idempotency_keys.KeyedCall(
            *(*IDENTITY, state.key_time, sent_at, 1, refused_by)
        )
        homes = self.versions[agent.config][1]
        fresh = self.always_fresh or now - agent.confirmed <= FRESHNESS_SECONDS
        table = self.load(agent, home)
        claim = table.claim(call, homes, fresh, now)
        if isinstance(claim, idempotency_keys.Execute):
            running = state._replace(run_count=state.run_count + 1)
            yield 'run', self.store(running, home, table)
            claim = table.refuse(call, 'not admitted')
        if (
            isinstance(claim, idempotency_keys.Reject)
            and claim.verdict is Verdict.NOT_RUN
        ):
            yield (
                'refuse',
                self.store(
                    *(
                        self.refused(state, chain, position, sent_at),
                        home,
                        table,
                    )
                ),
            )

    def refused(self, state, chain, position, sent_at):
        """Ask the next home; after the last one, report ``not_run``."""
        if position + 1 == len(chain):
            return state._replace(reported_not_run=True)
        if self.reports_early_refusal:
            state = state._replace(reported_not_run=True)
        copy = (chain, position + 1, sent_at)
        return state._replace(in_flight=state.in_flight | {copy})

    def change(self, state, home, agent):
        table = self.load(agent, home)
        running = (
            agent.row and agent.row.state is idempotency_keys.KeyState.RUNNING
        )
        latest = self.latest(state) - 1
        if (agent.config, agent.confirmed) != (latest, state.time):
            yield (
                'confirm',
                self.store(
                    *(state, home, table),
                    config=latest,
                    confirmed=state.time,
                ),
            )
        if agent.handover_records:
            yield 'handover appended', self.append_handover(state, home, agent)
        if running:
            call = idempotency_keys.KeyedCall(*IDENTITY, state.key_time, 0, 1)
            table.finish(call, None)
            yield 'finish', self.store(state, home, table)
        elif not agent.sealed and state.restarts:
            yield 'seal', self.seal(state, home, table)
        if state.restarts:
            yield 'restart', self.restart(state, home)
            yield 'restart unregistered', self.restart(state, home, False)

    def seal(self, state, home, table):
        log = MemoryLog(())
        handover = key_handover.KeyHandover(
            *(log, 'a', state.agents[home].incarnation)
        )
        handover.hand_over(*table.seal(), self.clock(state, home))
        return self.store(
            state, home, table, handover_records=tuple(log.contents)
        )

    def append_handover(self, state, home, agent):
        logs = list(state.logs)
        logs[home] += agent.handover_records
        table = self.load(agent, home)
        landed = state._replace(logs=tuple(logs))
        return self.store(landed, home, table, handover_records=())

    def restart(self, state, home, registers=True):
        state = state._replace(restarts=state.restarts - 1)
        log = MemoryLog(state.logs[home])
        incarnation = f'restart {state.restarts}'
        handover = key_handover.KeyHandover(log, 'a', incarnation)
        table = self.table(self.names[home], LIFETIME_SECONDS)
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(key_handover, 'parse_inherited_keys', self.inherit)
            if registers:
                now = self.clock(state, home)
                opened = handover.register(now, threading.Event())
                table.open(opened.rows, opened.floor)
            else:
                # The record was appended, but the response was lost.
                handover.renew_registration()
        logs = list(state.logs)
        logs[home] = tuple(log.contents)
        return self.store(
            *(state._replace(logs=tuple(logs)), home, table),
            config=0,
            confirmed=-math.inf,
            incarnation=incarnation,
        )


# ``since`` lies between two ticks, so that hosts with different clocks disagree
# on whether it has passed.
HOMES_CHANGE = ((3, 10),)
TWO_HOMES = (('a', 'b'),)
# With the member list ``a``, ``b``, the home of the key is ``b``.
HOME_ADDED = {
    'member_lists': (('a',), ('a', 'b')),
    'homes_changes': HOMES_CHANGE,
}
HOME_REMOVED = {
    'member_lists': (('a', 'b'), ('a',)),
    'homes_changes': HOMES_CHANGE,
}
# The second change is appended as early as the validation accepts it.
TWO_HOMES_CHANGES = (*HOMES_CHANGE, (10 + LIFETIME_SECONDS + 15, 40))


@pytest.mark.parametrize(
    'bounds',
    [
        {'timed': True, 'restarts': 2, 'end': 9},
        {'timed': True, 'restarts': 3, 'end': 6},
        {'timed': False, 'restarts': 1, 'end': 21},
        {'timed': False, 'restarts': 2, 'end': 9},
        {
            'timed': True,
            'restarts': 1,
            'homes_changes': HOMES_CHANGE,
            'end': 18,
            'tick': 6,
        },
        {'timed': True, 'sends': 3, 'homes_changes': HOMES_CHANGE, 'end': 12},
        {'timed': False, 'sends': 3, 'homes_changes': HOMES_CHANGE, 'end': 21},
        {'timed': True, 'homes_changes': TWO_HOMES_CHANGES, 'end': 42},
        {'timed': True, 'member_lists': TWO_HOMES, 'end': 6},
        {'timed': True, 'member_lists': TWO_HOMES, 'restarts': 1, 'end': 3},
        {'timed': False, 'member_lists': TWO_HOMES, 'end': 9},
        {'timed': True, **HOME_ADDED, 'end': 12},
        {'timed': False, **HOME_ADDED, 'end': 24},
        {'timed': False, **HOME_REMOVED, 'end': 15},
    ],
    ids=str,
)
def test_key_runs_at_most_once_and_not_run_is_true(bounds, record_property):
    """Guards against orders of events that repeat an execution or deny it."""
    checked = ProtocolModel(**bounds).check()
    record_property('states', checked['reachable_states'])
    assert checked['exhaustive']
    assert {
        name: found['holds'] for name, found in checked['properties'].items()
    } == {'runs_once': True, 'not_run_is_true': True}


@pytest.mark.parametrize(
    ('violated', 'bounds'),
    [
        (
            'not_run_is_true',
            {'sends': 1, 'end': 0, 'table': UnrecordedRefusalTable},
        ),
        ('runs_once', {'restarts': 1, 'sends': 1, 'table': NoFloorTable}),
        ('runs_once', {'homes_changes': ((3, 3),), 'end': 6}),
        (
            'runs_once',
            {'homes_changes': HOMES_CHANGE, 'end': 9, 'always_fresh': True},
        ),
        (
            'not_run_is_true',
            {'restarts': 1, 'sends': 1, 'table': UnsealedTable},
        ),
        (
            'runs_once',
            {'timed': False, 'end': 21, 'table': UnlimitedDelayTable},
        ),
        (
            'runs_once',
            {'restarts': 2, 'sends': 1, 'inherit': inherit_without_floor},
        ),
        ('runs_once', {'restarts': 2, 'inherit': inherit_from_last_record}),
        ('runs_once', {'homes_changes': ((3, 9), (9, 15)), 'end': 12}),
        ('runs_once', {**HOME_ADDED, 'end': 12, 'table': AnyOrderTable}),
        (
            'not_run_is_true',
            {
                'member_lists': TWO_HOMES,
                'sends': 1,
                'reports_early_refusal': True,
            },
        ),
    ],
    ids=str,
)
def test_unsafe_variant_has_a_counterexample(violated, bounds):
    """Guards against a model that does not detect a missing rule."""
    checked = ProtocolModel(**{'timed': True, 'end': 3, **bounds}).check()
    assert checked['properties'][violated]['counterexample']
