"""Membership of rank groups, and detection of stalled and broken groups.

All ranks of a group execute each pass together. If one fails or becomes
unreachable, all of them stall, and so do new requests to any of them. The
events that arrive from one rank therefore show the state of the whole group.
"""

import asyncio
import dataclasses
import logging
import math
import time
from collections.abc import (
    Awaitable,
    Callable,
    Collection,
    Hashable,
    Iterable,
    Mapping,
)

from ..exceptions import ServiceUnavailable
from .capacity import PassTimeEstimator
from .engines import EngineClient
from .routing_state import RoutingState
from .upstreams import Upstream

__all__ = ('GroupStatus', 'RankGroupMonitor', 'RankGroupPoller')

log = logging.getLogger(__name__)

# A group is stalled if none of its streams has received an event for this time.
# A pass takes up to 0.15 s under full load.
_STALL_TIMEOUT_SECONDS = 0.45
# Streams without an event for this time no longer show that their group has
# stalled: callers have left by then, and a group that is avoided gets no stream
# that could show the opposite.
_MAX_STALL_SECONDS = 10.0
# A group is silent if a request has waited for its first event, and no other has
# received one, for this time. A request in a working group waits about half of it.
_SILENCE_TIMEOUT_SECONDS = 1.0
# Heartbeats that say that a group is silent count for this time; the next one is
# due after 0.35 s.
_TOLD_SILENCE_SECONDS = 1.0
# A group is avoided for this time after the last sign that it is broken, unless
# a rank reports it open.
_BROKEN_TIMEOUT_SECONDS = 2.0
# Time after a stall or a failure in which callers that were refused return: they
# wait for up to a third of 8 s, and then in the queue.
_RECOVERY_SECONDS = 4.0
# Interval at which ranks of broken and stalled groups are queried.
_POLL_INTERVAL_SECONDS = 0.3
_MICROSECONDS_PER_SECOND = 1_000_000
# A rank whose group no other host knows after this time is asked.
_MAX_UNKNOWN_SECONDS = 1.5

FetchGroups = Callable[[], Awaitable[Mapping[str, str] | None]]


@dataclasses.dataclass(slots=True)
class GroupStatus:
    """State of one group; times in monotonic seconds.

    ``waiting`` has the requests of this host that wait for their first event,
    oldest first, and when each was sent. ``told_silent_at`` is when another host
    last told that the group is silent.

    Each stream keeps the status of the group that it was started in: its rank
    may leave the group, or join another one, before the stream ends.
    """

    stream_count: int = 0
    last_event_at: float = 0
    broken_until: float = 0
    recovered_at: float = -math.inf
    told_silent_at: float = -math.inf
    waiting: dict[Hashable, float] = dataclasses.field(default_factory=dict)
    estimator: PassTimeEstimator = dataclasses.field(
        default_factory=PassTimeEstimator
    )

    def is_stalled(self, now: float) -> bool:
        """Tell whether no stream has received an event recently."""
        silence = now - self.last_event_at
        return (
            self.stream_count > 0
            and _STALL_TIMEOUT_SECONDS < silence < _MAX_STALL_SECONDS
        )

    def is_silent(self, now: float) -> bool:
        """Tell whether nothing on this host shows that the group works.

        Unlike a stalled group, it may be one that merely has much to do.
        """
        oldest = next(iter(self.waiting.values()), math.inf)
        silence = now - max(oldest, self.last_event_at)
        return silence > _SILENCE_TIMEOUT_SECONDS or self.is_stalled(now)

    def record_start(self, now: float) -> None:
        """Record that a stream has started."""
        self.stream_count += 1
        self.last_event_at = now

    def record_event(self, now: float) -> None:
        """Record an event of a stream; the group is no longer broken."""
        if self.is_stalled(now):
            self.recovered_at = now
        self.last_event_at = now
        self.broken_until = 0

    def record_end(self) -> None:
        """Record that a stream has ended."""
        self.stream_count -= 1


class RankGroupMonitor:
    """Detects stalled and broken groups from the streams of this host.

    Attributes:
        group_by_upstream: name of the group of each upstream that is a rank.
        ranks_by_group: the upstreams of each group.
        version: changes with the membership of the groups.
    """

    def __init__(self) -> None:
        """Start without groups."""
        self.group_by_upstream: dict[str, str] = {}
        self.ranks_by_group: dict[str, list[str]] = {}
        self.status_by_group: dict[str, GroupStatus] = {}
        self.version = 0

    def ranks_of_group(self, upstream: str) -> list[str]:
        """Return all ranks of the group that an upstream belongs to."""
        group = self.group_by_upstream.get(upstream)
        return self.ranks_by_group.get(group, []) if group else []

    def add_rank(self, upstream: str, group: str) -> None:
        """Register an upstream as a rank of a group."""
        self.version += 1
        self.group_by_upstream[upstream] = group
        self.ranks_by_group.setdefault(group, []).append(upstream)

    def status_of(self, upstream: str) -> GroupStatus | None:
        """Return the status of an upstream's group, None if it is unknown."""
        group = self.group_by_upstream.get(upstream)
        if group is None:
            return None
        return self.status_by_group.setdefault(group, GroupStatus())

    def record_request(
        self, upstream: str, request: Hashable, now: float
    ) -> GroupStatus | None:
        """Record that a request waits for its first event.

        Returns:
            The status whose ``waiting`` has the request until it is removed,
            None if the group is unknown.
        """
        status = self.status_of(upstream)
        if status is not None:
            status.waiting[request] = now
        return status

    def record_stream_start(
        self, upstream: str, now: float
    ) -> GroupStatus | None:
        """Record that a stream has started.

        Returns:
            The status that the events and the end of the stream are to be
            recorded in, None if the group is unknown.
        """
        status = self.status_of(upstream)
        if status is not None:
            status.record_start(now)
        return status

    def pass_estimator(self, upstream: str) -> PassTimeEstimator | None:
        """Return the pass time estimator of an upstream's group, if any."""
        status = self.status_of(upstream)
        return status.estimator if status else None

    def group_estimator(self, group: str) -> PassTimeEstimator:
        """Return the pass time estimator of a group."""
        return self.status_by_group.setdefault(group, GroupStatus()).estimator

    def is_group_avoided(self, group: str, now: float) -> bool:
        """Tell whether a group is stalled or broken."""
        status = self.status_by_group.get(group)
        return status is not None and (
            now < status.broken_until or status.is_stalled(now)
        )

    def pass_costs(self) -> dict[str, int]:
        """Return the measured peak cost of a request by group.

        Returns:
            Microseconds that a request adds to a pass.
        """
        return {
            group: round(status.estimator.peak_cost * _MICROSECONDS_PER_SECOND)
            for group, status in self.status_by_group.items()
            if status.estimator.peak_cost
        }

    def adopt_pass_costs(self, costs: Mapping[str, int], now: float) -> None:
        """Use costs that another host measured where this one has none.

        Args:
            costs: microseconds that a request adds to a pass, by group.
            now: monotonic seconds.
        """
        for group, cost in costs.items():
            if group in self.ranks_by_group:
                self.group_estimator(group).adopt(
                    cost / _MICROSECONDS_PER_SECOND, now
                )

    def silent_groups(self, now: float) -> tuple[str, ...]:
        """Return the groups that are silent for this host."""
        return tuple(
            group
            for group, status in self.status_by_group.items()
            if status.is_silent(now)
        )

    def adopt_silence(self, groups: Iterable[str], now: float) -> None:
        """Record that groups are silent for another host."""
        for group in groups:
            if group in self.ranks_by_group:
                status = self.status_by_group.setdefault(group, GroupStatus())
                status.told_silent_at = now

    def is_silent(self, group: str, now: float) -> bool:
        """Tell whether a group is silent for this host or for another one."""
        status = self.status_by_group.get(group)
        return status is not None and (
            status.is_silent(now)
            or now - status.told_silent_at < _TOLD_SILENCE_SECONDS
        )

    def has_streams(self, group: str) -> bool:
        """Tell whether this host has streams of a group."""
        status = self.status_by_group.get(group)
        return status is not None and status.stream_count > 0

    def is_group_stalled(self, group: str) -> bool:
        """Tell whether the streams of a group have stopped receiving events."""
        status = self.status_by_group.get(group)
        return status is not None and status.is_stalled(time.monotonic())

    @property
    def has_stalled_group(self) -> bool:
        """Tell whether any group has stalled."""
        now = time.monotonic()
        return any(
            status.is_stalled(now) for status in self.status_by_group.values()
        )

    def record_rejection(self, upstream: str, now: float) -> None:
        """Record that a rank rejected a request because of another rank."""
        group = self.group_by_upstream.get(upstream)
        if group is not None:
            self.mark_broken(group, now)

    def mark_broken(self, group: str, now: float) -> None:
        """Mark a group as broken until the timeout or until it is open."""
        status = self.status_by_group.setdefault(group, GroupStatus())
        if now >= status.broken_until:
            log.warning(
                'rank group broken; no requests are sent to it',
                extra={'group': group},
            )
        status.broken_until = now + _BROKEN_TIMEOUT_SECONDS

    def mark_open(self, group: str) -> None:
        """Mark a group as open after a report of one of its ranks."""
        status = self.status_by_group.setdefault(group, GroupStatus())
        if status.broken_until:
            status.recovered_at = time.monotonic()
        status.broken_until = 0

    def has_recovered(self, groups: Iterable[str], now: float) -> bool:
        """Tell whether one of some groups has been back for a few seconds."""
        return any(
            now - status.recovered_at < _RECOVERY_SECONDS
            for group in groups
            if (status := self.status_by_group.get(group))
        )

    def retain(self, upstreams: Collection[str]) -> None:
        """Remove all ranks but those in ``upstreams``."""
        for name in set(self.group_by_upstream) - set(upstreams):
            self.version += 1
            self.ranks_by_group[self.group_by_upstream.pop(name)].remove(name)

    def is_avoided(self, upstream: str, now: float) -> bool:
        """Tell whether the group of an upstream is stalled or broken."""
        group = self.group_by_upstream.get(upstream)
        return group is not None and self.is_group_avoided(group, now)

    def is_broken(self, upstream: str, now: float) -> bool:
        """Tell whether the group of an upstream is known to be broken."""
        status = self.status_of(upstream)
        return status is not None and now < status.broken_until

    def broken_groups(self, now: float) -> list[str]:
        """Return the groups that are known to be broken."""
        return [
            name
            for name, status in self.status_by_group.items()
            if now < status.broken_until
        ]

    def stalled_groups(self, now: float) -> list[str]:
        """Return the groups that are stalled, but not known to be broken."""
        return [
            name
            for name, status in self.status_by_group.items()
            if status.is_stalled(now) and now >= status.broken_until
        ]


class RankGroupPoller:
    """Queries ranks for their group and for whether it is open."""

    def __init__(
        self,
        engines: EngineClient,
        routing_state: RoutingState,
        monitor: RankGroupMonitor,
        fetch_groups: FetchGroups | None = None,
    ) -> None:
        """Update ``monitor`` with the reports of the ranks.

        ``fetch_groups`` returns the groups that another host knows, None if
        this host should ask the ranks.
        """
        self.fetch_groups = fetch_groups
        self.unknown_since: dict[str, float] = {}
        self.engines = engines
        self.routing_state = routing_state
        self.monitor = monitor
        self.poll_count = 0

    async def run(self) -> None:
        """Query the ranks periodically until cancelled."""
        while True:
            upstreams = self._ranks()
            self.monitor.retain({rank.name for rank in upstreams})
            unknown = [
                upstream
                for upstream in upstreams
                if upstream.name not in self.monitor.group_by_upstream
            ]
            await asyncio.gather(
                *(
                    self._identify_group(rank)
                    for rank in await self._without_known(unknown)
                )
            )
            self.poll_count += 1
            await self._check_broken(upstreams)
            await self._check_stalled(upstreams)
            await asyncio.sleep(_POLL_INTERVAL_SECONDS)

    async def _without_known(self, unknown: list[Upstream]) -> list[Upstream]:
        """Add the ranks that another host knows; return those to be asked."""
        now = time.monotonic()
        self.unknown_since = {
            rank.name: self.unknown_since.get(rank.name, now)
            for rank in unknown
        }
        if not unknown or self.fetch_groups is None:
            return unknown
        groups = await self.fetch_groups()
        if groups is None:
            return unknown
        remaining = []
        for rank in unknown:
            group = groups.get(rank.name)
            if group is not None:
                self.monitor.add_rank(rank.name, group)
            elif now - self.unknown_since[rank.name] > _MAX_UNKNOWN_SECONDS:
                remaining.append(rank)
        return remaining

    def _ranks(self) -> list[Upstream]:
        configuration = self.routing_state.configuration
        if configuration is None:
            return []
        return [
            upstream
            for upstream in self.routing_state.registry.upstreams.values()
            if (service := configuration.services.get(upstream.service))
            and service.engine is not None
            and service.engine.places_experts
        ]

    async def _identify_group(self, rank: Upstream) -> None:
        try:
            report = await self.engines.report(rank)
        except ServiceUnavailable as error:
            log.debug(
                'rank did not report its group; it is queried again',
                extra={'reason': str(error)},
            )
            return
        if report is None:
            return
        self.monitor.add_rank(rank.name, report.group)
        if not report.is_open:
            self.monitor.mark_broken(report.group, time.monotonic())

    async def _check_broken(self, upstreams: list[Upstream]) -> None:
        for group in self.monitor.broken_groups(time.monotonic()):
            if await self._is_open(group, upstreams):
                log.info(
                    'rank group open again; requests are sent to it',
                    extra={'group': group},
                )
                self.monitor.mark_open(group)
            else:
                # Also applies if the rank was unreachable: the next poll
                # queries another rank.
                self.monitor.mark_broken(group, time.monotonic())

    async def _check_stalled(self, upstreams: list[Upstream]) -> None:
        for group in self.monitor.stalled_groups(time.monotonic()):
            if await self._is_open(group, upstreams) is False:
                self.monitor.mark_broken(group, time.monotonic())

    async def _is_open(
        self,
        group: str,
        upstreams: list[Upstream],
    ) -> bool | None:
        """Return whether a rank reports its group open, None if unknown."""
        members = self.monitor.ranks_by_group.get(group, [])
        ranks = [rank for rank in upstreams if rank.name in members]
        if not ranks:
            return None
        try:
            report = await self.engines.report(
                ranks[self.poll_count % len(ranks)]
            )
        except ServiceUnavailable as error:
            log.debug(
                'rank did not report the state of its group',
                extra={'reason': str(error)},
            )
            return None
        return report.is_open if report else None
