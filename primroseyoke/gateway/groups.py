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
from .engines import Engines
from .knowledge import Knowledge
from .upstreams import Upstream

__all__ = ('USUAL_PASS', 'GroupDirectory', 'GroupWatch')

log = logging.getLogger(__name__)

# A pass takes up to 0.15 s under full load. A group from which no stream got
# an event for this time, in seconds, stands still.
_STILL = 0.45
# How long a group is avoided after it turned requests away, in seconds, unless
# its state was read since.
_BROKEN = 2.0
# A pass until it is measured, in seconds, and the weight of a measurement.
USUAL_PASS = 0.05
_SMOOTHING = 0.1
# A measurement tells nothing after this time, in seconds.
_MEASURED = 1.0
# A longer pause is no pass but a group that stands still, in seconds.
_LONGEST_PASS = 0.25
# How often the state of broken groups is read, in seconds.
_INTERVAL = 0.3


@dataclasses.dataclass(slots=True)
class _Pulse:
    """Streams in progress from a group and when one of them last moved."""

    streams: int = 0
    moved_at: float = 0
    pass_time: float = USUAL_PASS
    broken_until: float = 0


class GroupWatch:
    """Judges groups from the streams of this host.

    Attributes:
        members: name of the group of each upstream that is a rank.
        ranks: the upstreams of each group.
    """

    def __init__(self) -> None:
        """Start without groups."""
        self.members: dict[str, str] = {}
        self.ranks: dict[str, list[str]] = {}
        self.pulses: dict[str, _Pulse] = {}

    def group_of(self, upstream: str) -> list[str]:
        """Return the ranks of an upstream's group, itself included."""
        group = self.members.get(upstream)
        return self.ranks.get(group, []) if group else []

    def learn(self, upstream: str, group: str) -> None:
        """Note which group an upstream is a rank of."""
        self.members[upstream] = group
        self.ranks.setdefault(group, []).append(upstream)

    def begin(self, upstream: str, now: float) -> None:
        """Note that a stream has begun."""
        pulse = self._pulse(upstream)
        if pulse is not None:
            pulse.streams += 1
            pulse.moved_at = now

    def move(self, upstream: str, now: float, gap: float) -> None:
        """Note that an event of a stream has arrived.

        ``gap`` is the time since the event before, 0 for the first, in
        seconds: a pass makes one event of each stream.
        """
        pulse = self._pulse(upstream)
        if pulse is None:
            return
        pulse.moved_at = now
        pulse.broken_until = 0
        if gap:
            gap = min(gap, _LONGEST_PASS)
            pulse.pass_time += _SMOOTHING * (gap - pulse.pass_time)

    def pass_time(self, upstream: str, now: float) -> float:
        """Return how long a pass of an upstream's group takes, in seconds."""
        pulse = self._pulse(upstream)
        if pulse is None or now - pulse.moved_at > _MEASURED:
            return USUAL_PASS
        return pulse.pass_time

    def end(self, upstream: str) -> None:
        """Note that a stream has ended."""
        pulse = self._pulse(upstream)
        if pulse is not None:
            pulse.streams = max(pulse.streams - 1, 0)

    def reject(self, upstream: str, now: float) -> None:
        """Note that a rank turned a request away for the sake of another."""
        pulse = self._pulse(upstream)
        if pulse is None:
            return
        if now >= pulse.broken_until:
            group = self.members[upstream]
            log.warning('group broken', extra={'group': group})
        pulse.broken_until = now + _BROKEN

    def reopen(self, group: str) -> None:
        """Note that a group reports itself open."""
        self.pulses.setdefault(group, _Pulse()).broken_until = 0

    def keep(self, upstreams: Collection[str]) -> None:
        """Forget the ranks that are gone."""
        for name in set(self.members) - set(upstreams):
            self.ranks[self.members.pop(name)].remove(name)

    def is_still(self, upstream: str, now: float) -> bool:
        """Tell whether the group of an upstream seems to stand still."""
        pulse = self._pulse(upstream)
        if pulse is None:
            return False
        if now < pulse.broken_until:
            return True
        return pulse.streams > 0 and now - pulse.moved_at > _STILL

    def broken(self, now: float) -> list[str]:
        """Return the groups that turned requests away lately."""
        return [
            name
            for name, pulse in self.pulses.items()
            if now < pulse.broken_until
        ]

    def _pulse(self, upstream: str) -> _Pulse | None:
        group = self.members.get(upstream)
        if group is None:
            return None
        return self.pulses.setdefault(group, _Pulse())


class GroupDirectory:
    """Learns the groups of upstreams, and when a broken one is open again."""

    def __init__(
        self,
        engines: Engines,
        knowledge: Knowledge,
        watch: GroupWatch,
    ) -> None:
        """Keep ``watch`` up to date."""
        self.engines = engines
        self.knowledge = knowledge
        self.watch = watch

    async def run(self) -> None:
        """Work until cancelled."""
        while True:
            upstreams = self._ranks()
            self.watch.keep({rank.name for rank in upstreams})
            unknown = [
                upstream
                for upstream in upstreams
                if upstream.name not in self.watch.members
            ]
            await asyncio.gather(*(self._learn(rank) for rank in unknown))
            await self._check_broken(upstreams)
            await asyncio.sleep(_INTERVAL)

    def _ranks(self) -> list[Upstream]:
        catalogue = self.knowledge.catalogue
        if catalogue is None:
            return []
        return [
            upstream
            for upstream in self.knowledge.fleet.upstreams.values()
            if (service := catalogue.services.get(upstream.service))
            and service.engine is not None
            and service.engine.places_experts
        ]

    async def _learn(self, rank: Upstream) -> None:
        try:
            report = await self.engines.report(rank)
        except ServiceUnavailable as error:
            log.debug('no report', extra={'reason': str(error)})
            return
        if report is not None:
            self.watch.learn(rank.name, report.group)

    async def _check_broken(self, upstreams: list[Upstream]) -> None:
        for group in self.watch.broken(time.monotonic()):
            members = self.watch.ranks.get(group, [])
            ranks = [rank for rank in upstreams if rank.name in members]
            if ranks and await self._is_open(ranks[0]):
                log.info('group open', extra={'group': group})
                self.watch.reopen(group)

    async def _is_open(self, rank: Upstream) -> bool:
        try:
            report = await self.engines.report(rank)
        except ServiceUnavailable as error:
            log.debug('no report', extra={'reason': str(error)})
            return False
        return report is not None and report.is_open
