"""Which upstreams form rank groups, and which groups stand still.

All ranks of a group run each pass together. When one is dead or cut off, all
of them stall, and new requests to any of them stall too. So the events that
arrive from one rank tell of all.
"""

import asyncio
import dataclasses
import logging
import time
from collections.abc import Collection

from ..exceptions import ServiceUnavailable
from .capacity import PassTimeEstimator
from .engines import EngineClient
from .routing_state import RoutingState
from .upstreams import Upstream

__all__ = ('RankGroupMonitor', 'RankGroupPoller')

log = logging.getLogger(__name__)

# A pass takes up to 0.15 s under full load. A group from which no stream got
# an event for this time, in seconds, stands still.
_STALL_TIMEOUT_SECONDS = 0.45
# How long a group is avoided after the last sign that it is broken, in seconds,
# unless a rank reports it open.
_BROKEN_TIMEOUT_SECONDS = 2.0
# How often the state of broken groups is read, in seconds.
_POLL_INTERVAL_SECONDS = 0.3


@dataclasses.dataclass(slots=True)
class _GroupStatus:
    """Streams in progress from a group and when one of them last moved."""

    stream_count: int = 0
    last_event_at: float = 0
    broken_until: float = 0
    estimator: PassTimeEstimator = dataclasses.field(
        default_factory=PassTimeEstimator
    )

    def is_stalled(self, now: float) -> bool:
        """Tell whether no stream has moved for some time."""
        return (
            self.stream_count > 0
            and now - self.last_event_at > _STALL_TIMEOUT_SECONDS
        )


class RankGroupMonitor:
    """Judges groups from the streams of this host.

    Attributes:
        group_by_upstream: name of the group of each upstream that is a rank.
        ranks_by_group: the upstreams of each group.
    """

    def __init__(self) -> None:
        """Start without groups."""
        self.group_by_upstream: dict[str, str] = {}
        self.ranks_by_group: dict[str, list[str]] = {}
        self.status_by_group: dict[str, _GroupStatus] = {}

    def ranks_of_group(self, upstream: str) -> list[str]:
        """Return the ranks of an upstream's group, itself included."""
        group = self.group_by_upstream.get(upstream)
        return self.ranks_by_group.get(group, []) if group else []

    def add_rank(self, upstream: str, group: str) -> None:
        """Note which group an upstream is a rank of."""
        self.group_by_upstream[upstream] = group
        self.ranks_by_group.setdefault(group, []).append(upstream)

    def record_stream_start(self, upstream: str, now: float) -> None:
        """Note that a stream has begun."""
        status = self._status(upstream)
        if status is not None:
            status.stream_count += 1
            status.last_event_at = now

    def record_event(self, upstream: str, now: float) -> None:
        """Note that an event of a stream has arrived."""
        status = self._status(upstream)
        if status is not None:
            status.last_event_at = now
            status.broken_until = 0

    def pass_estimator(self, upstream: str) -> PassTimeEstimator | None:
        """Return what measures the passes of an upstream's group, if any."""
        status = self._status(upstream)
        return status.estimator if status else None

    def record_stream_end(self, upstream: str) -> None:
        """Note that a stream has ended."""
        status = self._status(upstream)
        if status is not None:
            status.stream_count = max(status.stream_count - 1, 0)

    def record_rejection(self, upstream: str, now: float) -> None:
        """Note that a rank turned a request away for the sake of another."""
        group = self.group_by_upstream.get(upstream)
        if group is not None:
            self.mark_broken(group, now)

    def mark_broken(self, group: str, now: float) -> None:
        """Note a sign that a group is broken."""
        status = self.status_by_group.setdefault(group, _GroupStatus())
        if now >= status.broken_until:
            log.warning('group broken', extra={'group': group})
        status.broken_until = now + _BROKEN_TIMEOUT_SECONDS

    def mark_open(self, group: str) -> None:
        """Note that a group reports itself open."""
        self.status_by_group.setdefault(group, _GroupStatus()).broken_until = 0

    def retain(self, upstreams: Collection[str]) -> None:
        """Forget the ranks that are gone."""
        for name in set(self.group_by_upstream) - set(upstreams):
            self.ranks_by_group[self.group_by_upstream.pop(name)].remove(name)

    def is_avoided(self, upstream: str, now: float) -> bool:
        """Tell whether the group of an upstream seems to stand still."""
        status = self._status(upstream)
        return status is not None and (
            now < status.broken_until or status.is_stalled(now)
        )

    def is_broken(self, upstream: str, now: float) -> bool:
        """Tell whether the group of an upstream is known to be broken."""
        status = self._status(upstream)
        return status is not None and now < status.broken_until

    def broken_groups(self, now: float) -> list[str]:
        """Return the groups that are known to be broken."""
        return [
            name
            for name, status in self.status_by_group.items()
            if now < status.broken_until
        ]

    def stalled_groups(self, now: float) -> list[str]:
        """Return the groups whose streams do not move, not known as broken."""
        return [
            name
            for name, status in self.status_by_group.items()
            if status.is_stalled(now) and now >= status.broken_until
        ]

    def _status(self, upstream: str) -> _GroupStatus | None:
        group = self.group_by_upstream.get(upstream)
        if group is None:
            return None
        return self.status_by_group.setdefault(group, _GroupStatus())


class RankGroupPoller:
    """Learns the groups of upstreams, and when a broken one is open again."""

    def __init__(
        self,
        engines: EngineClient,
        routing_state: RoutingState,
        monitor: RankGroupMonitor,
    ) -> None:
        """Keep ``monitor`` up to date."""
        self.engines = engines
        self.routing_state = routing_state
        self.monitor = monitor
        self.poll_count = 0

    async def run(self) -> None:
        """Work until cancelled."""
        while True:
            upstreams = self._ranks()
            self.monitor.retain({rank.name for rank in upstreams})
            unknown = [
                upstream
                for upstream in upstreams
                if upstream.name not in self.monitor.group_by_upstream
            ]
            await asyncio.gather(
                *(self._identify_group(rank) for rank in unknown)
            )
            self.poll_count += 1
            await self._check_broken(upstreams)
            await self._check_stalled(upstreams)
            await asyncio.sleep(_POLL_INTERVAL_SECONDS)

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
            log.debug('no report', extra={'reason': str(error)})
            return
        if report is None:
            return
        self.monitor.add_rank(rank.name, report.group)
        if not report.is_open:
            self.monitor.mark_broken(report.group, time.monotonic())

    async def _check_broken(self, upstreams: list[Upstream]) -> None:
        for group in self.monitor.broken_groups(time.monotonic()):
            if await self._is_open(group, upstreams):
                log.info('group open', extra={'group': group})
                self.monitor.mark_open(group)
            else:
                # Also if the rank could not be reached: another is asked next.
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
        """Return what a rank says of its group, None if it says nothing."""
        members = self.monitor.ranks_by_group.get(group, [])
        ranks = [rank for rank in upstreams if rank.name in members]
        if not ranks:
            return None
        try:
            report = await self.engines.report(
                ranks[self.poll_count % len(ranks)]
            )
        except ServiceUnavailable as error:
            log.debug('no report', extra={'reason': str(error)})
            return None
        return report.is_open if report else None
