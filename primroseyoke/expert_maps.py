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
    LeaseFold,
    LeaseRelease,
    LeaseRenewal,
)

__all__ = (
    'Cancel',
    'Decision',
    'DecidedMap',
    'Hold',
    'Holding',
    'Joined',
    'MapChange',
    'MapFold',
    'Prepare',
    'Prepared',
    'RankMap',
    'Refused',
    'Snapshot',
    'Stage',
    'Use',
    'Wait',
    'parse_record',
    'record_content',
)

# Promises are asked for this many steps ahead, so that the decision usually
# arrives before the ranks stop; 8 steps of 55 ms exceed a slow append.
HOLD_MARGIN = 8
# Promises are asked for only if the log answered within this time, in seconds.
LOG_FRESHNESS = 2.0


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
class Decision:
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


Record = LeaseClaim | LeaseRenewal | LeaseRelease | Joined | Decision | Snapshot

_KINDS: Mapping[str, type[Record]] = types.MappingProxyType(
    {
        'claim': LeaseClaim,
        'renewal': LeaseRenewal,
        'release': LeaseRelease,
        'joined': Joined,
        'decision': Decision,
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
class Active:
    """The rank knows the decided map with this offset."""

    rank: int
    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The order was not followed; ``fencing_number`` is the highest seen."""

    rank: int
    fencing_number: int
    reason: str


Reply = Prepared | Holding | Active | Refused


@dataclasses.dataclass(frozen=True, slots=True)
class Use:
    """The step is run with this map."""

    decided: DecidedMap


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """The step must not start; ``load`` is a map whose weights are missing."""

    reason: str
    load: DecidedMap | None = None


class MapFold:
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
        self.leases = LeaseFold()
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
        self.leases.advance(appended_at)
        return self._apply(record)

    def skip(self, offset: int) -> None:
        """Pass over an entry that is not a record."""
        self.offset = max(self.offset, offset)

    def snapshot(self) -> Snapshot:
        """Return the present state as a record."""
        return Snapshot(
            self.offset,
            self.leases.clock,
            self.leases.lease,
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
        self.leases = LeaseFold(snapshot.lease)
        self.leases.advance(snapshot.clock)
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
        return self.leases.apply(record, self.offset, self.leases.clock)

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
    def _apply_decision(self, record: Decision) -> bool:
        if not self.leases.is_current(record.fencing_number):
            return False
        if record.fencing_number < self.latest.offset:
            return False
        if record.base != self.latest.offset or not self._is_promised(record):
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

    def _is_promised(self, record: Decision) -> bool:
        starts = tuple(start for start, _ in record.promises)
        if starts != self.incarnations:
            return False
        held = max(step for _, step in record.promises)
        return record.step >= held and record.step > self.latest.step


def record_content(record: Record) -> dict[str, Any]:
    """Return a record as the content of a log entry, fit for JSON."""
    kind = next(
        name for name, known in _KINDS.items() if isinstance(record, known)
    )
    return {'kind': kind, **msgspec.to_builtins(record)}


def parse_record(content: Any) -> Record:
    """Return the record in the content of a log entry.

    Raises:
        MessageInvalid: it is not a record of a group.
    """
    try:
        return msgspec.convert(content, _KINDS[content['kind']])
    except (msgspec.ValidationError, KeyError, TypeError) as error:
        raise MessageInvalid(f'not a record of a group: {error}') from error


class Stage(enum.Enum):
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
        fold: MapFold,
        now: float,
        margin: int = HOLD_MARGIN,
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
        self.margin = margin
        self.lease: Lease = fold.leases.lease
        self.incarnations = fold.incarnations
        self.latest = fold.latest
        self.offset = fold.offset
        self.confirmed_at = now
        self.stage = Stage.PREPARING
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
        if self.stage is Stage.PREPARING:
            prepare = Prepare(number, self.latest, self.change, self.content)
            return [(rank, prepare) for rank in self._missing(self.prepared)]
        if self.stage is Stage.HOLDING:
            return self._holds(now)
        if self.stage is Stage.DECIDED:
            activate = Activate(number, self.latest)
            return [(rank, activate) for rank in self._missing(self.active)]
        if self.stage is Stage.CANCELLED:
            cancel = Cancel(number, self.latest, self.change)
            return [(rank, cancel) for rank in self._missing(())]
        return []

    def receive(self, reply: Reply) -> None:
        """Take the reply of a rank; late and repeated ones do no harm."""
        if isinstance(reply, Active):
            if reply.offset == self.latest.offset:
                self.active |= {reply.rank}
        elif isinstance(reply, Prepared | Holding):
            self._receive_promise(reply)

    def decide(self) -> Decision | None:
        """Return the decision record once all ranks hold, to be appended.

        From the first call that returns it, the change can no longer be
        cancelled here. The caller may append it again after a lost answer.
        """
        if self.stage not in {Stage.HOLDING, Stage.SUBMITTED}:
            return None
        if self._missing(self.holding):
            return None
        self.stage = Stage.SUBMITTED
        return Decision(
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
        if self.stage in {Stage.PREPARING, Stage.HOLDING}:
            self.stage = Stage.CANCELLED
        return self.stage is Stage.CANCELLED

    def learn(self, fold: MapFold, now: float) -> None:
        """Take what the log says at ``now`` (Unix seconds)."""
        if fold.offset < self.offset:
            return
        self.offset = fold.offset
        self.confirmed_at = now
        number = self.lease.fencing_number
        if fold.leases.lease.fencing_number == number:
            self.lease = fold.leases.lease
        if self.stage in {Stage.DECIDED, Stage.CANCELLED}:
            return
        if fold.latest.change == self.change:
            self.latest = fold.latest
            self.stage = Stage.DECIDED
        elif fold.leases.has_ended(number):
            self.stage = Stage.CANCELLED
        elif fold.incarnations != self.incarnations:
            self.stage = Stage.CANCELLED

    def _missing(self, done: Any) -> list[int]:
        return [
            rank for rank in range(len(self.incarnations)) if rank not in done
        ]

    def _holds(self, now: float) -> list[tuple[int, Order]]:
        if now - self.confirmed_at > LOG_FRESHNESS:
            return []
        step = self.next_step + self.margin
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
            for rank in self._missing(self.holding)
        ]

    def _receive_promise(self, reply: Prepared | Holding) -> None:
        if (reply.fencing_number, reply.change) != (
            self.lease.fencing_number,
            self.change,
        ):
            return
        if reply.incarnation != self.incarnations[reply.rank]:
            return
        if isinstance(reply, Holding):
            if self.stage is Stage.HOLDING:
                self.holding = {**self.holding, reply.rank: reply.step}
        elif self.stage is Stage.PREPARING:
            self.next_step = max(self.next_step, reply.next_step)
            self.prepared |= {reply.rank}
            if not self._missing(self.prepared):
                self.stage = Stage.HOLDING


class RankMap:
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

    def choose(self, step: int) -> Use | Wait:
        """Return the map for a step that starts now, or why it must wait.

        The rank counts as having started the step if a map is returned.
        """
        if not self.joined:
            return Wait('own start is not confirmed by the log')
        if self.hold is not None and step >= self.hold.step:
            return Wait('decision is not known')
        known = [decided for decided in self.decided if decided.step <= step]
        if not known:
            return Wait('step is before the oldest known map')
        if known[-1].change not in self.loaded:
            return Wait('weights are not loaded', known[-1])
        self.next_step = max(self.next_step, step + 1)
        return Use(known[-1])

    def receive(self, order: Order) -> Reply | None:
        """Follow an order; return the reply, None while weights load."""
        if not self.joined:
            return self._refuse('own start is not confirmed by the log')
        if self._is_old(order):
            return self._refuse('fencing number is old')
        self.fencing_number = max(self.fencing_number, order.fencing_number)
        self._adopt(order.latest)
        if self._is_superseded(order):
            self.hold = None
        return self._follow(order)

    def finish_loading(self, change: str) -> Reply | None:
        """Record that the weights of a change are loaded.

        Returns the reply to the leader if the change is being prepared.
        """
        self.loaded = (self.loaded & self._needed()) | {change}
        if self.prepared is None or self.prepared[0] != change:
            return None
        return Prepared(
            self.rank,
            self.incarnation,
            self.fencing_number,
            change,
            self.next_step,
        )

    def learn(self, fold: MapFold) -> None:
        """Take what the log says, from a read that began after the start.

        Ignored until the rank's own ``Joined`` record is in the fold.
        """
        if fold.incarnations[self.rank] != self.incarnation:
            return
        if not self.joined:
            self.joined = True
            self.decided = fold.decided
        self.fencing_number = max(
            self.fencing_number,
            fold.leases.lease.fencing_number,
        )
        for decided in fold.decided:
            self._adopt(decided)
        hold = self.hold
        if hold and fold.leases.has_ended(hold.fencing_number):
            self.hold = None

    def _is_old(self, order: Order) -> bool:
        return order.fencing_number < self.fencing_number

    def _is_superseded(self, order: Order) -> bool:
        # A leader has folded all records up to its claim. If the last decision
        # that it saw is the last one known here, an older leader decided
        # nothing since, and can no longer do so.
        return (
            self.hold is not None
            and self.hold.fencing_number < order.fencing_number
            and self.decided[-1].offset == order.latest.offset
        )

    def _adopt(self, decided: DecidedMap) -> None:
        if decided.base != self.decided[-1].offset:
            return
        self.decided = (self.decided[-1], decided)
        if self.hold and self.hold.change == decided.change:
            self.hold = None

    def _needed(self) -> frozenset[str]:
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
        return Active(self.rank, self.decided[-1].offset)
