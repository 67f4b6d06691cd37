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
from .capacity import PassMeter
from .engines import EngineClient
from .knowledge import Knowledge
from .upstreams import Upstream

__all__ = ('GroupDirectory', 'GroupWatch')

log = logging.getLogger(__name__)

# A pass takes up to 0.15 s under full load. A group from which no stream got
# an event for this time, in seconds, stands still.
_STILL = 0.45
# How long a group is avoided after the last sign that it is broken, in seconds,
# unless a rank reports it open.
_BROKEN = 2.0
# How often the state of broken groups is read, in seconds.
_INTERVAL = 0.3


@dataclasses.dataclass(slots=True)
class _Pulse:
    """Streams in progress from a group and when one of them last moved."""

    streams: int = 0
    moved_at: float = 0
    broken_until: float = 0
    meter: PassMeter = dataclasses.field(default_factory=PassMeter)

    def is_silent(self, now: float) -> bool:
        """Tell whether no stream has moved for some time."""
        return self.streams > 0 and now - self.moved_at > _STILL


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

    def move(self, upstream: str, now: float) -> None:
        """Note that an event of a stream has arrived."""
        pulse = self._pulse(upstream)
        if pulse is not None:
            pulse.moved_at = now
            pulse.broken_until = 0

    def meter(self, upstream: str) -> PassMeter | None:
        """Return what measures the passes of an upstream's group, if any."""
        pulse = self._pulse(upstream)
        return pulse.meter if pulse else None

    def end(self, upstream: str) -> None:
        """Note that a stream has ended."""
        pulse = self._pulse(upstream)
        if pulse is not None:
            pulse.streams = max(pulse.streams - 1, 0)

    def reject(self, upstream: str, now: float) -> None:
        """Note that a rank turned a request away for the sake of another."""
        group = self.members.get(upstream)
        if group is not None:
            self.break_off(group, now)

    def break_off(self, group: str, now: float) -> None:
        """Note a sign that a group is broken."""
        pulse = self.pulses.setdefault(group, _Pulse())
        if now >= pulse.broken_until:
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
        return pulse is not None and (
            now < pulse.broken_until or pulse.is_silent(now)
        )

    def is_broken(self, upstream: str, now: float) -> bool:
        """Tell whether the group of an upstream is known to be broken."""
        pulse = self._pulse(upstream)
        return pulse is not None and now < pulse.broken_until

    def broken(self, now: float) -> list[str]:
        """Return the groups that are known to be broken."""
        return [
            name
            for name, pulse in self.pulses.items()
            if now < pulse.broken_until
        ]

    def silent(self, now: float) -> list[str]:
        """Return the groups whose streams do not move, not known as broken."""
        return [
            name
            for name, pulse in self.pulses.items()
            if pulse.is_silent(now) and now >= pulse.broken_until
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
        engines: EngineClient,
        knowledge: Knowledge,
        watch: GroupWatch,
    ) -> None:
        """Keep ``watch`` up to date."""
        self.engines = engines
        self.knowledge = knowledge
        self.watch = watch
        self.rounds = 0

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
            self.rounds += 1
            await self._check_broken(upstreams)
            await self._check_silent(upstreams)
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
        if report is None:
            return
        self.watch.learn(rank.name, report.group)
        if not report.is_open:
            self.watch.break_off(report.group, time.monotonic())

    async def _check_broken(self, upstreams: list[Upstream]) -> None:
        for group in self.watch.broken(time.monotonic()):
            if await self._is_open(group, upstreams):
                log.info('group open', extra={'group': group})
                self.watch.reopen(group)
            else:
                # Also if the rank could not be reached: another is asked next.
                self.watch.break_off(group, time.monotonic())

    async def _check_silent(self, upstreams: list[Upstream]) -> None:
        for group in self.watch.silent(time.monotonic()):
            if await self._is_open(group, upstreams) is False:
                self.watch.break_off(group, time.monotonic())

    async def _is_open(
        self,
        group: str,
        upstreams: list[Upstream],
    ) -> bool | None:
        """Return what a rank says of its group, None if it says nothing."""
        members = self.watch.ranks.get(group, [])
        ranks = [rank for rank in upstreams if rank.name in members]
        if not ranks:
            return None
        try:
            report = await self.engines.report(ranks[self.rounds % len(ranks)])
        except ServiceUnavailable as error:
            log.debug('no report', extra={'reason': str(error)})
            return None
        return report.is_open if report else None
