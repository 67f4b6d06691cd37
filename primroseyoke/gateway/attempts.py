"""One attempt at an upstream, and what the caller has of all attempts."""

import dataclasses

from .balancer import Reservation
from .connection_pool import UpstreamConnection
from .crash_detection import Candidate
from .events import EventSplitter
from .rank_groups import GroupStatus
from .requests import ResponseHead
from .upstreams import Upstream

__all__ = ('Attempt', 'Progress')


@dataclasses.dataclass(eq=False, slots=True)
class Attempt:
    """A request that was sent to an upstream and has not ended there.

    Reading its answer may be interrupted and continued: all that was received
    is kept here. ``sent_at`` is in monotonic seconds. ``splitter`` is None
    unless the answer is a stream, ``body`` is what was received of any other
    answer. ``event_count`` is the number of events sent to the caller.
    ``may_have_run`` is whether it counts as an attempt that the upstream may
    have run, which is so once it was silent for too long. ``held_bytes`` is the
    memory that is held for what was received of it.

    ``waits_in`` is the status of the rank group in which it waits for its first
    event, and ``group`` that of the group in which it counts as a stream from
    then on. Both are None if the group is unknown, and ``group`` also while the
    upstream has been silent for too long.
    """

    reservation: Reservation
    connection: UpstreamConnection
    candidate: Candidate
    sent_at: float
    head: ResponseHead | None = None
    splitter: EventSplitter | None = None
    body: bytearray = dataclasses.field(default_factory=bytearray)
    event_count: int = 0
    may_have_run: bool = False
    group: GroupStatus | None = None
    waits_in: GroupStatus | None = None
    held_bytes: int = 0

    def end_waiting(self) -> None:
        """Record that it no longer waits for its first event."""
        if self.waits_in is not None:
            self.waits_in.waiting.pop(self, None)
            self.waits_in = None

    @property
    def upstream(self) -> Upstream:
        """Return the upstream that it was sent to."""
        return self.reservation.upstream


@dataclasses.dataclass(slots=True)
class Progress:
    """How much of the response the caller has; times in monotonic seconds.

    ``last_event_id`` is the ID of the last event that was sent to the caller.
    ``longest_gap`` is the longest time between two parts of a stream, in
    seconds.
    """

    last_event_id: str
    first_event_at: float = 0
    last_event_at: float = 0
    longest_gap: float = 0
