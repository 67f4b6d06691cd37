"""One expert map per step for a rank group, and its change.

A change has three stages. Each rank prepares: it loads the weights, then
promises not to start its step ``h`` or a later one before it knows the decision.
The leader appends one decision record to the stream of the group. The ranks
learn the decision from orders or from the log, and use the new map from the
activation step on. The stream also has the records of the leader's lease and a
``Joined`` record for each start of a rank.

The activation step is the highest ``h``. No rank has passed it when the
decision is recorded, since each stops before its own ``h``. A rank that dies
may have started one step more than its successor knows of; as ranks advance in
lock-step it is at most one step ahead of the slowest, so that step is unfinished
and the successor runs it again, on the same map, before it promises anything.
Lock-step also keeps the ``h`` of ranks that are past the asked step within one
of each other. Ranks that know the decision run the steps below the activation
step on the old map.

The fold accepts a decision only from the lease holder of its offset, on top of
the last decision, and with promises of the last ``Joined`` start of all ranks.
So a promise that a restarted rank forgot cannot count, and a newer claim in the
log ends every promise to an older leader, whether that leader is paused, dead
or cut off. While the log is down nothing is decided: the leader asks for
promises only if the log has just answered, and withdraws them if it has not
sent the decision. Only an outage between this send and its answer makes ranks
wait for the log, because the decision may exist.

Steps count up from 0. They must not restart while a rank of the group lives; a
group that starts anew counts from the activation step of the last decision.
"""

import dataclasses
import enum
import functools
import types
from collections.abc import Mapping
from typing import Any

import msgspec

from .exceptions import MessageInvalid
from .leases import (
    Lease,
    LeaseClaim,
    LeaseRelease,
    LeaseRenewal,
    LeaseStateMachine,
)

__all__ = (
    'Cancel',
    'ChangeStage',
    'DecidedMap',
    'DelayStep',
    'GroupStateMachine',
    'Hold',
    'Holding',
    'Joined',
    'MapChange',
    'MapDecision',
    'Prepare',
    'Prepared',
    'RankMapSelector',
    'Refused',
    'RunStep',
    'Snapshot',
    'parse_record',
    'record_content',
)

# Promises are asked for this many steps ahead, so that the decision usually
# arrives before the ranks stop; 8 steps of 55 ms exceed a slow append.
HOLD_MARGIN_STEPS = 8
# Promises are asked for only if the log answered within this time, in seconds.
MAX_LOG_SILENCE_SECONDS = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class DecidedMap:
    """A map in force from ``step`` on.

    ``offset`` is that of the decision record (-1 for the map that a group
    starts with), ``base`` the offset of the decision before, ``content`` the
    placement.
    """

    offset: int
    base: int
    change: str
    step: int
    content: Any = None


@dataclasses.dataclass(frozen=True, slots=True)
class Joined:
    """Log record: a rank has started; ``incarnation`` names this start.

    ``against`` is the start before it in the log, '' if there is none, so that
    a late second append cannot bring back an earlier start.
    """

    rank: int
    incarnation: str
    against: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class MapDecision:
    """Log record: use ``content`` from ``step`` on; one for each lease.

    ``promises`` has for each rank its incarnation and the first step that it
    does not start without the decision.
    """

    fencing_number: int
    change: str
    base: int
    step: int
    promises: tuple[tuple[str, int], ...]
    content: Any = None


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """Log record: the state of the fold after offset ``covers``.

    It lets a reader start where older records are no longer retained.
    """

    covers: int
    clock: float
    lease: Lease
    incarnations: tuple[str, ...]
    decided: tuple[DecidedMap, ...]


GroupRecord = (
    LeaseClaim | LeaseRenewal | LeaseRelease | Joined | MapDecision | Snapshot
)

_RECORD_CLASSES: Mapping[str, type[GroupRecord]] = types.MappingProxyType(
    {
        'claim': LeaseClaim,
        'renewal': LeaseRenewal,
        'release': LeaseRelease,
        'joined': Joined,
        'decision': MapDecision,
        'snapshot': Snapshot,
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class _Order:
    """What every order carries.

    ``latest`` is the last decided map in the leader's fold, which includes
    the leader's own claim. An order with the new map as ``latest`` activates.
    """

    fencing_number: int
    latest: DecidedMap


@dataclasses.dataclass(frozen=True, slots=True)
class Prepare(_Order):
    """Load the weights that ``content`` needs."""

    change: str
    content: Any = None


@dataclasses.dataclass(frozen=True, slots=True)
class Hold(_Order):
    """Promise not to start ``step`` before the decision is known."""

    change: str
    step: int
    incarnation: str


@dataclasses.dataclass(frozen=True, slots=True)
class Cancel(_Order):
    """The change is not decided and will not be."""

    change: str


@dataclasses.dataclass(frozen=True, slots=True)
class Activate(_Order):
    """Use the latest map from its activation step on."""


Order = Prepare | Hold | Cancel | Activate


@dataclasses.dataclass(frozen=True, slots=True)
class Prepared:
    """The weights of a change are loaded; ``next_step`` is to be run next."""

    rank: int
    incarnation: str
    fencing_number: int
    change: str
    next_step: int


@dataclasses.dataclass(frozen=True, slots=True)
class Holding:
    """The rank does not start ``step`` before it knows the decision."""

    rank: int
    incarnation: str
    fencing_number: int
    change: str
    step: int


@dataclasses.dataclass(frozen=True, slots=True)
class Activated:
    """The rank knows the decided map with this offset."""

    rank: int
    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The order was not followed; ``fencing_number`` is the highest seen."""

    rank: int
    fencing_number: int
    reason: str


Reply = Prepared | Holding | Activated | Refused


@dataclasses.dataclass(frozen=True, slots=True)
class RunStep:
    """The step is run with this map."""

    decided: DecidedMap


@dataclasses.dataclass(frozen=True, slots=True)
class DelayStep:
    """The step must not start; ``load`` is a map whose weights are missing."""

    reason: str
    load: DecidedMap | None = None


class GroupStateMachine:
    """Folds the stream of a group: its leader's lease, starts and decisions.

    Attributes:
        offset: the last offset folded, -1 before the first.
        leases: the fold of the leader's lease.
        incarnations: the last ``Joined`` start of each rank, '' if none.
        decided: the last two decided maps, oldest first. More are not needed:
            a rank promises only after it has started the last activation step.
    """

    def __init__(self, ranks: int, initial: DecidedMap) -> None:
        """Start before the first record of a group of ``ranks`` ranks."""
        self.offset = -1
        self.lease_state = LeaseStateMachine()
        self.incarnations: tuple[str, ...] = ('',) * ranks
        self.decided: tuple[DecidedMap, ...] = (initial,)

    @property
    def latest(self) -> DecidedMap:
        """Return the last decided map."""
        return self.decided[-1]

    def apply(self, record: Any, offset: int, appended_at: float) -> bool:
        """Fold in the next record; tell whether it took effect.

        Offsets that were folded are skipped. ``appended_at`` is the log's
        time in Unix seconds.

        Raises:
            TypeError: not a record of this stream.
        """
        if offset <= self.offset:
            return False
        self.offset = offset
        self.lease_state.advance_clock(appended_at)
        return self._apply(record)

    def skip(self, offset: int) -> None:
        """Pass over an entry that is not a record."""
        self.offset = max(self.offset, offset)

    def snapshot(self) -> Snapshot:
        """Return the present state as a record."""
        return Snapshot(
            self.offset,
            self.lease_state.clock,
            self.lease_state.lease,
            self.incarnations,
            self.decided,
        )

    def restore(self, snapshot: Snapshot) -> bool:
        """Take over a snapshot if it is newer; tell whether it was.

        The records after ``snapshot.covers`` are to be folded next.
        """
        if snapshot.covers <= self.offset:
            return False
        self.offset = snapshot.covers
        self.lease_state = LeaseStateMachine(snapshot.lease)
        self.lease_state.advance_clock(snapshot.clock)
        self.incarnations = snapshot.incarnations
        self.decided = snapshot.decided
        return True

    @functools.singledispatchmethod
    def _apply(self, record: Any) -> bool:
        raise TypeError(f'not a record of a group: {record!r}')

    @_apply.register(LeaseClaim)
    @_apply.register(LeaseRenewal)
    @_apply.register(LeaseRelease)
    def _apply_lease(
        self,
        record: LeaseClaim | LeaseRenewal | LeaseRelease,
    ) -> bool:
        return self.lease_state.apply(
            record, self.offset, self.lease_state.clock
        )

    @_apply.register
    def _apply_snapshot(self, record: Snapshot) -> bool:
        return False

    @_apply.register
    def _apply_joined(self, record: Joined) -> bool:
        if not 0 <= record.rank < len(self.incarnations):
            return False
        before = self.incarnations
        if before[record.rank] != record.against:
            return False
        self.incarnations = (
            *before[: record.rank],
            record.incarnation,
            *before[record.rank + 1 :],
        )
        return True

    @_apply.register
    def _apply_decision(self, record: MapDecision) -> bool:
        if not self.lease_state.is_current(record.fencing_number):
            return False
        if record.fencing_number < self.latest.offset:
            return False
        if record.base != self.latest.offset or not self._has_valid_promises(
            record
        ):
            return False
        decided = DecidedMap(
            self.offset,
            record.base,
            record.change,
            record.step,
            record.content,
        )
        self.decided = (self.latest, decided)
        return True

    def _has_valid_promises(self, record: MapDecision) -> bool:
        starts = tuple(start for start, _ in record.promises)
        if starts != self.incarnations:
            return False
        held = max(step for _, step in record.promises)
        return record.step >= held and record.step > self.latest.step


def record_content(record: GroupRecord) -> dict[str, Any]:
    """Return a record as the content of a log entry, fit for JSON."""
    kind = next(
        name
        for name, known in _RECORD_CLASSES.items()
        if isinstance(record, known)
    )
    return {'kind': kind, **msgspec.to_builtins(record)}


def parse_record(content: Any) -> GroupRecord:
    """Return the record in the content of a log entry.

    Raises:
        MessageInvalid: it is not a record of a group.
    """
    try:
        return msgspec.convert(content, _RECORD_CLASSES[content['kind']])
    except (msgspec.ValidationError, KeyError, TypeError) as error:
        raise MessageInvalid(f'not a record of a group: {error}') from error


class ChangeStage(enum.Enum):
    """How far a change has come."""

    PREPARING = 'preparing'
    HOLDING = 'holding'
    #: The decision may be in the log; only the log can tell.
    SUBMITTED = 'submitted'
    DECIDED = 'decided'
    #: The change is not decided and never will be.
    CANCELLED = 'cancelled'


class MapChange:
    """The leader's side of one change of one rank group.

    A lease is for one change: the leader claims it, makes the change and
    releases it, so that a fencing number names one change. Orders are sent again until ``orders`` returns none, which makes up for
    lost orders and replies.
    """

    def __init__(
        self,
        change: str,
        content: Any,
        state_machine: GroupStateMachine,
        now: float,
        margin_steps: int = HOLD_MARGIN_STEPS,
    ) -> None:
        """Start a change under the lease in ``fold``.

        Args:
            change: unique id of this change; an id is never used again.
            content: the new placement.
            fold: the records of the group up to the leader's claim at least.
            now: Unix seconds, when the log returned the last record.
            margin: how many steps ahead promises are asked for.
        """
        self.change = change
        self.content = content
        self.margin_steps = margin_steps
        self.lease: Lease = state_machine.lease_state.lease
        self.incarnations = state_machine.incarnations
        self.latest = state_machine.latest
        self.offset = state_machine.offset
        self.confirmed_at = now
        self.stage = ChangeStage.PREPARING
        self.next_step = 0
        self.prepared: frozenset[int] = frozenset()
        self.holding: dict[int, int] = {}
        self.active: frozenset[int] = frozenset()

    def orders(self, now: float) -> list[tuple[int, Order]]:
        """Return the orders to send now, each with its rank.

        None are returned once the lease has ended by the leader's own clock.
        """
        if not self.lease.is_held(self.lease.holder, now):
            return []
        number = self.lease.fencing_number
        if self.stage is ChangeStage.PREPARING:
            prepare = Prepare(number, self.latest, self.change, self.content)
            return [
                (rank, prepare) for rank in self._ranks_without(self.prepared)
            ]
        if self.stage is ChangeStage.HOLDING:
            return self._hold_orders(now)
        if self.stage is ChangeStage.DECIDED:
            activate = Activate(number, self.latest)
            return [
                (rank, activate) for rank in self._ranks_without(self.active)
            ]
        if self.stage is ChangeStage.CANCELLED:
            cancel = Cancel(number, self.latest, self.change)
            return [(rank, cancel) for rank in self._ranks_without(())]
        return []

    def receive(self, reply: Reply) -> None:
        """Take the reply of a rank; late and repeated ones do no harm."""
        if isinstance(reply, Activated):
            if reply.offset == self.latest.offset:
                self.active |= {reply.rank}
        elif isinstance(reply, Prepared | Holding):
            self._receive_reply_to_change(reply)

    def decide(self) -> MapDecision | None:
        """Return the decision record once all ranks hold, to be appended.

        From the first call that returns it, the change can no longer be
        cancelled here. The caller may append it again after a lost answer.
        """
        if self.stage not in {ChangeStage.HOLDING, ChangeStage.SUBMITTED}:
            return None
        if self._ranks_without(self.holding):
            return None
        self.stage = ChangeStage.SUBMITTED
        return MapDecision(
            self.lease.fencing_number,
            self.change,
            self.latest.offset,
            max(self.holding.values()),
            tuple(
                (start, self.holding[rank])
                for rank, start in enumerate(self.incarnations)
            ),
            self.content,
        )

    def cancel(self) -> bool:
        """Give the change up; return False if it may already be decided.

        In that case the holder releases its lease in the log, and the records
        before the release tell the outcome.
        """
        if self.stage in {ChangeStage.PREPARING, ChangeStage.HOLDING}:
            self.stage = ChangeStage.CANCELLED
        return self.stage is ChangeStage.CANCELLED

    def update_from_log(
        self, state_machine: GroupStateMachine, now: float
    ) -> None:
        """Take what the log says at ``now`` (Unix seconds)."""
        if state_machine.offset < self.offset:
            return
        self.offset = state_machine.offset
        self.confirmed_at = now
        number = self.lease.fencing_number
        if state_machine.lease_state.lease.fencing_number == number:
            self.lease = state_machine.lease_state.lease
        if self.stage in {ChangeStage.DECIDED, ChangeStage.CANCELLED}:
            return
        if state_machine.latest.change == self.change:
            self.latest = state_machine.latest
            self.stage = ChangeStage.DECIDED
        elif state_machine.lease_state.has_ended(number):
            self.stage = ChangeStage.CANCELLED
        elif state_machine.incarnations != self.incarnations:
            self.stage = ChangeStage.CANCELLED

    def _ranks_without(self, done: Any) -> list[int]:
        return [
            rank for rank in range(len(self.incarnations)) if rank not in done
        ]

    def _hold_orders(self, now: float) -> list[tuple[int, Order]]:
        if now - self.confirmed_at > MAX_LOG_SILENCE_SECONDS:
            return []
        step = self.next_step + self.margin_steps
        number = self.lease.fencing_number
        return [
            (
                rank,
                Hold(
                    number,
                    self.latest,
                    self.change,
                    step,
                    self.incarnations[rank],
                ),
            )
            for rank in self._ranks_without(self.holding)
        ]

    def _receive_reply_to_change(self, reply: Prepared | Holding) -> None:
        if (reply.fencing_number, reply.change) != (
            self.lease.fencing_number,
            self.change,
        ):
            return
        if reply.incarnation != self.incarnations[reply.rank]:
            return
        if isinstance(reply, Holding):
            if self.stage is ChangeStage.HOLDING:
                self.holding = {**self.holding, reply.rank: reply.step}
        elif self.stage is ChangeStage.PREPARING:
            self.next_step = max(self.next_step, reply.next_step)
            self.prepared |= {reply.rank}
            if not self._ranks_without(self.prepared):
                self.stage = ChangeStage.HOLDING


class RankMapSelector:
    """One rank's side: which map a step uses, or that it must wait.

    The agent keeps it and asks it before each step and about each order, so
    the rules also hold for engines that ignore fencing numbers.
    """

    def __init__(self, rank: int, incarnation: str) -> None:
        """Know nothing; ``incarnation`` is unique to this start."""
        self.rank = rank
        self.incarnation = incarnation
        self.joined = False
        self.fencing_number = -1
        self.next_step = 0
        self.decided: tuple[DecidedMap, ...] = ()
        self.prepared: tuple[str, Any] | None = None
        self.loaded: frozenset[str] = frozenset()
        self.hold: Holding | None = None

    def start_step(self, step: int) -> RunStep | DelayStep:
        """Return the map for a step that starts now, or why it must wait.

        The rank counts as having started the step if a map is returned.
        """
        if not self.joined:
            return DelayStep('own start is not confirmed by the log')
        if self.hold is not None and step >= self.hold.step:
            return DelayStep('decision is not known')
        known = [decided for decided in self.decided if decided.step <= step]
        if not known:
            return DelayStep('step is before the oldest known map')
        if known[-1].change not in self.loaded:
            return DelayStep('weights are not loaded', known[-1])
        self.next_step = max(self.next_step, step + 1)
        return RunStep(known[-1])

    def receive(self, order: Order) -> Reply | None:
        """Follow an order; return the reply, None while weights load."""
        if not self.joined:
            return self._refuse('own start is not confirmed by the log')
        if self._is_stale(order):
            return self._refuse('fencing number is old')
        self.fencing_number = max(self.fencing_number, order.fencing_number)
        self._apply_decided_map(order.latest)
        if self._ends_hold(order):
            self.hold = None
        return self._follow(order)

    def finish_loading(self, change: str) -> Reply | None:
        """Record that the weights of a change are loaded.

        Returns the reply to the leader if the change is being prepared.
        """
        self.loaded = (self.loaded & self._required_changes()) | {change}
        if self.prepared is None or self.prepared[0] != change:
            return None
        return Prepared(
            self.rank,
            self.incarnation,
            self.fencing_number,
            change,
            self.next_step,
        )

    def update_from_log(self, state_machine: GroupStateMachine) -> None:
        """Take what the log says, from a read that began after the start.

        Ignored until the rank's own ``Joined`` record is in the fold.
        """
        if state_machine.incarnations[self.rank] != self.incarnation:
            return
        if not self.joined:
            self.joined = True
            self.decided = state_machine.decided
        self.fencing_number = max(
            self.fencing_number,
            state_machine.lease_state.lease.fencing_number,
        )
        for decided in state_machine.decided:
            self._apply_decided_map(decided)
        hold = self.hold
        if hold and state_machine.lease_state.has_ended(hold.fencing_number):
            self.hold = None

    def _is_stale(self, order: Order) -> bool:
        return order.fencing_number < self.fencing_number

    def _ends_hold(self, order: Order) -> bool:
        # A leader has folded all records up to its claim. If the last decision
        # that it saw is the last one known here, an older leader decided
        # nothing since, and can no longer do so.
        return (
            self.hold is not None
            and self.hold.fencing_number < order.fencing_number
            and self.decided[-1].offset == order.latest.offset
        )

    def _apply_decided_map(self, decided: DecidedMap) -> None:
        if decided.base != self.decided[-1].offset:
            return
        self.decided = (self.decided[-1], decided)
        if self.hold and self.hold.change == decided.change:
            self.hold = None

    def _required_changes(self) -> frozenset[str]:
        prepared = () if self.prepared is None else (self.prepared[0],)
        return frozenset(
            (*(decided.change for decided in self.decided), *prepared),
        )

    def _refuse(self, reason: str) -> Refused:
        return Refused(self.rank, self.fencing_number, reason)

    @functools.singledispatchmethod
    def _follow(self, order: Order) -> Reply | None:
        raise TypeError(f'not an order: {order!r}')

    @_follow.register
    def _prepare(self, order: Prepare) -> Reply | None:
        if order.latest.offset != self.decided[-1].offset:
            return self._refuse('another map was decided since')
        self.prepared = (order.change, order.content)
        if order.change in self.loaded:
            return self.finish_loading(order.change)
        return None

    @_follow.register
    def _hold(self, order: Hold) -> Reply:
        if order.latest.offset != self.decided[-1].offset:
            return self._refuse('another map was decided since')
        if order.incarnation != self.incarnation:
            return self._refuse('order is for an earlier start of this rank')
        if order.change not in self.loaded:
            return self._refuse('weights are not loaded')
        if self.next_step <= self.decided[-1].step:
            return self._refuse('the last decided map has not been used yet')
        if self.hold is None:
            self.hold = Holding(
                self.rank,
                self.incarnation,
                order.fencing_number,
                order.change,
                max(order.step, self.next_step),
            )
        return self.hold

    @_follow.register
    def _cancel(self, order: Cancel) -> Reply:
        # A late order of the same change must not start it again; the next
        # claim has a higher number.
        self.fencing_number = order.fencing_number + 1
        if self.hold and self.hold.fencing_number == order.fencing_number:
            self.hold = None
        self.prepared = None
        return self._refuse('change is cancelled')

    @_follow.register
    def _activate(self, order: Activate) -> Reply:
        return Activated(self.rank, self.decided[-1].offset)
