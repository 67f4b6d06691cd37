"""Exhaustive check of at-most-once execution (design page, 6.2).

The specification moves one key through entries, homes, restarts and the log.
What agents and entries decide is the product's own code.
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

LIFETIME, FRESHNESS = 6, 3
IDENTITY = ('app', 'client', 'key')


class Agent(typing.NamedTuple):
    floor: float = -math.inf
    sealed: bool = False
    row: typing.Any = None
    config: int = 0
    confirmed: float = 0
    left: tuple = ()
    incarnation: str = 'first'


class State(typing.NamedTuple):
    time: float
    used: float | None
    key_time: float
    sends: int
    flight: frozenset
    restarts: int
    agents: tuple
    logs: tuple
    runs: int
    said_not_run: bool


class MemoryLog:
    """The log service as ``Handover`` uses it, without the network."""

    def __init__(self, contents):
        self.contents = list(contents)

    def append(self, stream, content):
        self.contents.append(msgspec.json.encode(content))
        return LogRecord(len(self.contents) - 1, 0, content)

    def read(self, stream, offset):
        decoded = [msgspec.json.decode(content) for content in self.contents]
        records = [LogRecord(*row) for row in zip(range(99), [0] * 99, decoded)]
        return LogPage(tuple(records[offset:]), 0, len(records), 0)


class NoRefusedRow(idempotency_keys.KeyTable):
    def refuse(self, call, reason):
        self.rows.pop(call.identity)
        return idempotency_keys.Reject(Verdict.NOT_RUN, 503, reason)


class NoStartBound(idempotency_keys.KeyTable):
    def open(self, rows, floor):
        super().open(rows, -math.inf)


class NoSeal(idempotency_keys.KeyTable):
    def seal(self):
        self.sealed = True
        return dict(self.rows), self.floor


class NoDelayBound(idempotency_keys.KeyTable):
    def _time_rejection_reason(self, call, now):
        return call.key_time and super()._time_rejection_reason(call, now)


class NoOrder(idempotency_keys.KeyTable):
    def _earlier_homes_refused(self, chain, call):
        return self.upstream in chain


def no_floor(contents):
    left = parse_inherited_keys(contents)
    return left and key_handover.InheritedKeys(left.rows, -math.inf)


def last_record_counts(contents):
    if contents[-1]['kind'] != 'stopped':
        return None
    started = {**contents[-1], 'kind': 'started'}
    return parse_inherited_keys([*contents, started])


class Specification:
    """Names of homes are chosen so that ``a`` and ``b`` each own the key."""

    def __init__(
        self,
        timed,
        moves=(),
        lists=(),
        restarts=0,
        sends=2,
        end=24,
        tick=3,
        table=idempotency_keys.KeyTable,
        always_fresh=False,
        inherit=parse_inherited_keys,
        gives_up=False,
    ):
        self.timed, self.end, self.step = timed, end, tick
        self.table, self.always_fresh = table, always_fresh
        self.inherit = inherit
        self.gives_up = gives_up
        lists = lists or (('a',), ('b',))[: 1 + bool(moves)]
        self.names = sorted({name for members in lists for name in members})
        self.versions = [(0, Homes(members=lists[0]))]
        for number, (appended, since) in enumerate(moves):
            before, after = lists[:: -1 if number % 2 else 1]
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
                'runs_once': lambda state: state['runs'] <= 1,
                'not_run_is_true': lambda state: (
                    not (state['runs'] and state['said_not_run'])
                ),
            },
        )
        return check_safety(protocol, max_states=10**6)

    def transitions(self, state):
        if state.time < self.end:
            yield 'tick', self.tick(state)
        if state.sends:
            yield from self.send(state)
        for chain, position, sent_at in state.flight:
            yield from self.deliver(state, chain, position, sent_at)
        for home, agent in enumerate(state.agents):
            yield from self.change(state, home, agent)

    def latest(self, state):
        return sum(appended <= state.time for appended, _ in self.versions)

    def clock(self, state, host):
        return state.time + host * idempotency_keys.MAX_CLOCK_SKEW_SECONDS

    def load(self, agent, home):
        table = self.table(self.names[home], LIFETIME)
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
            fresh = state.time - agent.confirmed <= FRESHNESS
            confirmed = agent.confirmed if fresh else -math.inf
            state = self.store(state, home, table, confirmed=confirmed)
        return state

    def send(self, state):
        key_times = {state.key_time}
        if state.used is None and self.timed:
            key_times = {
                state.time + idempotency_keys.MAX_CALLER_CLOCK_LEAD_SECONDS,
                state.time + 2 * idempotency_keys.MAX_CALLER_CLOCK_LEAD_SECONDS,
            }
        elif not self.timed and state.time > (state.used or 0) + LIFETIME:
            # A caller does not resend a key without a time any later.
            key_times = set() if state.used is not None else {0}
        for key_time in key_times:
            for entry in (0, 1):
                now = self.clock(state, entry)
                for _, homes in self.versions[: self.latest(state)]:
                    chain = idempotency_keys.route_chain(
                        *(homes, IDENTITY, key_time, now, LIFETIME)
                    )
                    copy = (chain, 0, 0 if self.timed else now)
                    yield (
                        f'send through entry {entry}',
                        state._replace(
                            used=state.time
                            if state.used is None
                            else state.used,
                            key_time=key_time,
                            sends=state.sends - 1,
                            flight=state.flight | {copy},
                        ),
                    )

    def deliver(self, state, chain, position, sent_at):
        """A copy stays in flight: it may come again, or was never lost."""
        home = self.names.index(chain[position])
        agent = state.agents[home]
        now = self.clock(state, home)
        refused_by = chain[:position]
        call = idempotency_keys.KeyedCall(
            *(*IDENTITY, state.key_time, sent_at, 1, refused_by)
        )
        homes = self.versions[agent.config][1]
        fresh = self.always_fresh or now - agent.confirmed <= FRESHNESS
        table = self.load(agent, home)
        claim = table.claim(call, homes, fresh, now)
        if isinstance(claim, idempotency_keys.Execute):
            running = state._replace(runs=state.runs + 1)
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
        """The entry asks the next home; after the last it says ``not_run``."""
        if position + 1 == len(chain):
            return state._replace(said_not_run=True)
        if self.gives_up:
            state = state._replace(said_not_run=True)
        copy = (chain, position + 1, sent_at)
        return state._replace(flight=state.flight | {copy})

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
        if agent.left:
            yield 'stopped arrives', self.land(state, home, agent)
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
        return self.store(state, home, table, left=tuple(log.contents))

    def land(self, state, home, agent):
        logs = list(state.logs)
        logs[home] += agent.left
        table = self.load(agent, home)
        landed = state._replace(logs=tuple(logs))
        return self.store(landed, home, table, left=())

    def restart(self, state, home, registers=True):
        state = state._replace(restarts=state.restarts - 1)
        log = MemoryLog(state.logs[home])
        incarnation = f'restart {state.restarts}'
        handover = key_handover.KeyHandover(log, 'a', incarnation)
        table = self.table(self.names[home], LIFETIME)
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(key_handover, 'parse_inherited_keys', self.inherit)
            if registers:
                now = self.clock(state, home)
                opened = handover.register(now, threading.Event())
                table.open(opened.rows, opened.floor)
            else:
                # The append took effect, and its answer was lost.
                handover.renew_registration()
        logs = list(state.logs)
        logs[home] = tuple(log.contents)
        return self.store(
            *(state._replace(logs=tuple(logs)), home, table),
            config=0,
            confirmed=-math.inf,
            incarnation=incarnation,
        )


# Between two ticks, so that the clocks of hosts disagree about ``since``.
MOVE = ((3, 10),)
CHAIN = (('a', 'b'),)
# With the second list the key goes to ``b`` first.
LONGER_MOVE = {'lists': (('a',), ('a', 'b')), 'moves': MOVE}
SHORTER_MOVE = {'lists': (('a', 'b'), ('a',)), 'moves': MOVE}
# The second change comes as early as ``configuration`` accepts it.
TWO_MOVES = (*MOVE, (10 + LIFETIME + 15, 40))


@pytest.mark.parametrize(
    'bounds',
    [
        {'timed': True, 'restarts': 2, 'end': 9},
        {'timed': True, 'restarts': 3, 'end': 6},
        {'timed': False, 'restarts': 1, 'end': 21},
        {'timed': False, 'restarts': 2, 'end': 9},
        {'timed': True, 'restarts': 1, 'moves': MOVE, 'end': 18, 'tick': 6},
        {'timed': True, 'sends': 3, 'moves': MOVE, 'end': 12},
        {'timed': False, 'sends': 3, 'moves': MOVE, 'end': 21},
        {'timed': True, 'moves': TWO_MOVES, 'end': 42},
        {'timed': True, 'lists': CHAIN, 'end': 6},
        {'timed': True, 'lists': CHAIN, 'restarts': 1, 'end': 3},
        {'timed': False, 'lists': CHAIN, 'end': 9},
        {'timed': True, **LONGER_MOVE, 'end': 12},
        {'timed': False, **LONGER_MOVE, 'end': 24},
        {'timed': False, **SHORTER_MOVE, 'end': 15},
    ],
    ids=str,
)
def test_key_runs_once_and_refusals_stay_true(bounds, record_property):
    """Guards against any order of events that repeats or denies a run."""
    checked = Specification(**bounds).check()
    record_property('states', checked['reachable_states'])
    assert checked['exhaustive']
    assert {
        name: found['holds'] for name, found in checked['properties'].items()
    } == {'runs_once': True, 'not_run_is_true': True}


@pytest.mark.parametrize(
    ('broken', 'bounds'),
    [
        ('not_run_is_true', {'sends': 1, 'end': 0, 'table': NoRefusedRow}),
        ('runs_once', {'restarts': 1, 'sends': 1, 'table': NoStartBound}),
        ('runs_once', {'moves': ((3, 3),), 'end': 6}),
        ('runs_once', {'moves': MOVE, 'end': 9, 'always_fresh': True}),
        ('not_run_is_true', {'restarts': 1, 'sends': 1, 'table': NoSeal}),
        ('runs_once', {'timed': False, 'end': 21, 'table': NoDelayBound}),
        ('runs_once', {'restarts': 2, 'sends': 1, 'inherit': no_floor}),
        ('runs_once', {'restarts': 2, 'inherit': last_record_counts}),
        ('runs_once', {'moves': ((3, 9), (9, 15)), 'end': 12}),
        ('runs_once', {**LONGER_MOVE, 'end': 12, 'table': NoOrder}),
        ('not_run_is_true', {'lists': CHAIN, 'sends': 1, 'gives_up': True}),
    ],
    ids=str,
)
def test_unsafe_variant_has_a_counterexample(broken, bounds):
    """Guards against a specification that finds no fault."""
    checked = Specification(**{'timed': True, 'end': 3, **bounds}).check()
    assert checked['properties'][broken]['counterexample']
