"""Changes of the expert map of a rank group, with one map per step.

A change has three stages. First, each rank prepares: it loads the weights and
then promises not to start its hold step ``h`` or any later step before it
knows the decision. Second, the leader appends one decision record to the log
stream of the group. Third, the ranks learn the decision from orders or from
the log and use the new map from the activation step on. The stream also
contains the records of the leader's lease and a ``Joined`` record for each
start of a rank.

The activation step is the highest ``h``. No rank has passed it when the
decision is recorded, since each rank stops before its own ``h``. A rank that
crashes may have started one step more than its next process knows of. As ranks
advance in lock-step, this is at most one step ahead of the slowest rank. That
step is then unfinished, and the restarted rank runs it again with the same map
before it makes any promise. Lock-step also keeps the hold steps of ranks that
have passed the requested step within one of each other. Ranks that know the
decision run the steps below the activation step with the old map.

The state machine accepts a decision only if it comes from the lease holder at
its offset, is based on the last decision, and has promises from the latest
start of every rank. A promise lost in a restart is therefore not counted, and
a newer claim in the log ends all promises to earlier leaders, whether these
are paused, crashed or partitioned. While the log is down nothing is decided:
the leader requests promises only if the log has answered recently, and cancels
them as long as it has not sent the decision. Ranks have to wait for the log
only if it fails between the sending of the decision and the acknowledgement,
since the decision may exist.

Steps count up from 0. They must not restart while a rank of the group is
running; when a whole group restarts, it counts from the activation step of the
last decision.
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

# Hold step relative to the next step of the ranks. The decision usually arrives
# before the ranks reach it: 8 steps of 55 ms take longer than a slow append.
HOLD_MARGIN_STEPS = 8
# Promises are requested only if the log has answered within this time.
MAX_LOG_SILENCE_SECONDS = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class DecidedMap:
    """A map that is used from ``step`` on.

    ``offset`` is that of the decision record (-1 for the initial map of a
    group), ``base`` the offset of the preceding decision, ``content`` the
    placement.
    """

    offset: int
    base: int
    change: str
    step: int
    content: Any = None


@dataclasses.dataclass(frozen=True, slots=True)
class Joined:
    """Log record: a rank has started; ``incarnation`` identifies the start.

    ``against`` is the preceding incarnation in the log, '' if there is none, so
    that a late duplicate cannot reinstate an earlier incarnation.
    """

    rank: int
    incarnation: str
    against: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class MapDecision:
    """Log record: use ``content`` from ``step`` on; at most one per lease.

    ``promises`` holds for each rank its incarnation and its hold step, the
    first step that it does not start without the decision.
    """

    fencing_number: int
    change: str
    base: int
    step: int
    promises: tuple[tuple[str, int], ...]
    content: Any = None


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """Log record: the state after offset ``covers``.

    It lets a reader start when older records are no longer retained.
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
    """Common fields of all orders.

    ``latest`` is the last decided map that the leader knows from the log, read
    at least up to its own claim. An order whose ``latest`` is the new map also
    activates that map.
    """

    fencing_number: int
    latest: DecidedMap


@dataclasses.dataclass(frozen=True, slots=True)
class Prepare(_Order):
    """Order: load the weights needed for ``content``."""

    change: str
    content: Any = None


@dataclasses.dataclass(frozen=True, slots=True)
class Hold(_Order):
    """Order: promise not to start ``step`` before the decision is known."""

    change: str
    step: int
    incarnation: str


@dataclasses.dataclass(frozen=True, slots=True)
class Cancel(_Order):
    """Order: drop the change; it is not decided and will not be."""

    change: str


@dataclasses.dataclass(frozen=True, slots=True)
class Activate(_Order):
    """Order: use the latest map from its activation step on."""


Order = Prepare | Hold | Cancel | Activate


@dataclasses.dataclass(frozen=True, slots=True)
class Prepared:
    """Reply: the weights are loaded; ``next_step`` is the next step to run."""

    rank: int
    incarnation: str
    fencing_number: int
    change: str
    next_step: int


@dataclasses.dataclass(frozen=True, slots=True)
class Holding:
    """Reply: the rank does not start ``step`` without the decision."""

    rank: int
    incarnation: str
    fencing_number: int
    change: str
    step: int


@dataclasses.dataclass(frozen=True, slots=True)
class Activated:
    """Reply: the rank knows the decided map with this offset."""

    rank: int
    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """Reply: the order is rejected; ``fencing_number`` is the highest seen."""

    rank: int
    fencing_number: int
    reason: str


Reply = Prepared | Holding | Activated | Refused


@dataclasses.dataclass(frozen=True, slots=True)
class RunStep:
    """The step may start and uses this map."""

    decided: DecidedMap


@dataclasses.dataclass(frozen=True, slots=True)
class DelayStep:
    """The step must not start yet; ``load`` is a map without loaded weights."""

    reason: str
    load: DecidedMap | None = None


class GroupStateMachine:
    """Replicated state of a group: the leader's lease, starts and decisions.

    Attributes:
        offset: the last offset applied, -1 before the first.
        lease_state: the state of the leader's lease.
        incarnations: the last ``Joined`` start of each rank, '' if none.
        decided: the last two decided maps, oldest first. Older ones are not
            needed, since a rank makes promises only after it has started the
            last activation step.
    """

    def __init__(self, ranks: int, initial: DecidedMap) -> None:
        """Create the state of a group of ``ranks`` ranks without records."""
        self.offset = -1
        self.lease_state = LeaseStateMachine()
        self.incarnations: tuple[str, ...] = ('',) * ranks
        self.decided: tuple[DecidedMap, ...] = (initial,)

    @property
    def latest(self) -> DecidedMap:
        """Return the last decided map."""
        return self.decided[-1]

    def apply(self, record: Any, offset: int, appended_at: float) -> bool:
        """Apply the next record; tell whether it took effect.

        Offsets that were already applied are skipped. ``appended_at`` is the
        log's time in Unix seconds.

        Raises:
            TypeError: the record is not of this stream.
        """
        if offset <= self.offset:
            return False
        self.offset = offset
        self.lease_state.advance_clock(appended_at)
        return self._apply(record)

    def skip(self, offset: int) -> None:
        """Skip a log entry that is not a record of a group."""
        self.offset = max(self.offset, offset)

    def snapshot(self) -> Snapshot:
        """Return the current state as a record."""
        return Snapshot(
            self.offset,
            self.lease_state.clock,
            self.lease_state.lease,
            self.incarnations,
            self.decided,
        )

    def restore(self, snapshot: Snapshot) -> bool:
        """Restore a snapshot if it is newer; tell whether it was.

        The records after ``snapshot.covers`` must be applied next.
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
        raise TypeError(f'expected a record of a rank group, got {record!r}')

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
    """Return a record as JSON-compatible content of a log entry."""
    kind = next(
        name
        for name, known in _RECORD_CLASSES.items()
        if isinstance(record, known)
    )
    return {'kind': kind, **msgspec.to_builtins(record)}


def parse_record(content: Any) -> GroupRecord:
    """Return the record in the content of a log entry.

    Raises:
        MessageInvalid: the content is not a record of a rank group.
    """
    try:
        return msgspec.convert(content, _RECORD_CLASSES[content['kind']])
    except (msgspec.ValidationError, KeyError, TypeError) as error:
        raise MessageInvalid(
            f'log entry is not a record of a rank group: {error}'
        ) from error


class ChangeStage(enum.Enum):
    """Progress of a map change."""

    PREPARING = 'preparing'
    HOLDING = 'holding'
    #: The decision was sent; whether it was recorded is known from the log
    #: only.
    SUBMITTED = 'submitted'
    DECIDED = 'decided'
    #: The change was not decided and never will be.
    CANCELLED = 'cancelled'


class MapChange:
    """Leader's state of one change for one rank group.

    Each change has its own lease, which the leader claims before and releases
    after it, so that a fencing number identifies one change. Orders are resent
    until ``orders`` returns none, so lost orders and replies do no harm.
    """

    def __init__(
        self,
        change: str,
        content: Any,
        state_machine: GroupStateMachine,
        now: float,
        margin_steps: int = HOLD_MARGIN_STEPS,
    ) -> None:
        """Start a change under the lease in ``state_machine``.

        Args:
            change: unique id of this change; ids are never reused.
            content: the new placement.
            state_machine: group state that includes the leader's claim.
            now: Unix seconds, when the log returned the last record.
            margin_steps: distance of the hold step from the next step.
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
        """Return the orders to send now, each with the rank that gets it.

        The list is empty once the lease has ended by the leader's own clock.
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
        """Handle the reply of a rank; late and duplicate replies are safe."""
        if isinstance(reply, Activated):
            if reply.offset == self.latest.offset:
                self.active |= {reply.rank}
        elif isinstance(reply, Prepared | Holding):
            self._receive_reply_to_change(reply)

    def decide(self) -> MapDecision | None:
        """Return the decision record to append once all ranks have promised.

        After the first call that returns a record, the change can no longer be
        cancelled here. The record may be appended again if no answer came.
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
        """Cancel the change; return False if it may already be decided.

        In that case the holder releases its lease in the log, and the records
        before the release show the outcome.
        """
        if self.stage in {ChangeStage.PREPARING, ChangeStage.HOLDING}:
            self.stage = ChangeStage.CANCELLED
        return self.stage is ChangeStage.CANCELLED

    def update_from_log(
        self, state_machine: GroupStateMachine, now: float
    ) -> None:
        """Update the change from the log as read at ``now`` (Unix seconds)."""
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
    """Selects the map for each step of one rank, or delays the step.

    The agent consults it before each step and for each order, so that the rules
    also hold for engines that ignore fencing numbers.
    """

    def __init__(self, rank: int, incarnation: str) -> None:
        """Start without any map; ``incarnation`` is unique to this start."""
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
        """Return the map for a step that starts now, or why it is delayed.

        If a map is returned, the step counts as started.
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
        """Handle an order; return the reply, or None while weights load."""
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

        Returns the reply to the leader, or None if the change is not being
        prepared.
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
        """Update the rank from a log read that began after its start.

        Has no effect until the rank's own ``Joined`` record has been applied.
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
        # A leader has applied all records up to its claim. If the last decision
        # known to it is also the last one known here, earlier leaders have
        # decided nothing since and can no longer do so.
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
        raise TypeError(f'expected an order, got {order!r}')

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
        # Rejects late orders of the cancelled change; the next claim has a
        # higher fencing number anyway.
        self.fencing_number = order.fencing_number + 1
        if self.hold and self.hold.fencing_number == order.fencing_number:
            self.hold = None
        self.prepared = None
        return self._refuse('change is cancelled')

    @_follow.register
    def _activate(self, order: Activate) -> Reply:
        return Activated(self.rank, self.decided[-1].offset)
