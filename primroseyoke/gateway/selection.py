"""What a request asks of an upstream, and the slot that it gets."""

import dataclasses
import math
from collections.abc import Collection

from ..scheduling.admission import Urgency
from ..scheduling.cost import StatedWork
from ..scheduling.work import Job
from ..shared_rates import SharedRate
from .upstreams import Upstream

__all__ = ('GroupCapacity', 'Reservation', 'SelectionCriteria')


@dataclasses.dataclass(frozen=True, slots=True)
class SelectionCriteria:
    """Constraints on the upstream that a request is sent to.

    ``excluded`` names the upstreams that were tried before, ``regions`` the
    regions that the request is restricted to (None for any). ``urgency``
    decides whether reserved slots and slow groups may be used: late requests
    and those of accounts above their share leave the reserved slots free, and
    only on-time requests avoid slow groups.
    ``longest_gap`` is the longest gap between events that still meets the
    objective, in seconds. ``stated_work`` is what the caller states of the
    length of the request, None if nothing.
    """

    excluded: Collection[str] = ()
    regions: frozenset[str] | None = None
    urgency: Urgency = Urgency.ON_TIME
    longest_gap: float = math.inf
    stated_work: StatedWork | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Reservation:
    """A slot at an upstream that is held by one request.

    ``rates`` are the shared rates that hold at the upstream, ``host_count`` is
    the number of hosts that this host shares them with, itself included.
    ``late_service`` is the service if the request counts as late there, as one
    of an account above its share does.
    ``job`` is the work of the request, None if it is not tracked.
    ``acquired_at`` is in monotonic seconds.
    """

    upstream: Upstream
    rates: tuple[SharedRate, ...] = ()
    host_count: int = 0
    late_service: str = ''
    job: Job | None = None
    acquired_at: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class GroupCapacity:
    """How many more requests a rank group accepts, and its time per pass.

    ``room`` is infinite for upstreams in no group, which have limits of their
    own; a group that is not to be used has none. ``slow`` tells that
    ``pass_time``, in seconds, exceeds the longest gap that the request allows.
    """

    room: float
    slow: bool
    pass_time: float

    @property
    def has_room(self) -> bool:
        """Tell whether the group accepts a request."""
        return self.room > 0
