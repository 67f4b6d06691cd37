"""Keeps the expert maps of rank groups close to what is popular.

One gateway does this for all; see ``peers`` for which. It reads the counts of
one rank of a service, which foretell those of all, and changes the map of each
group when the predicted skew is worth the move.
"""

import asyncio
import dataclasses
import logging
import math
import time
from collections.abc import Callable

from ..exceptions import ServiceUnavailable
from .capacity import USUAL_PASS
from .catalogue import Engine
from .changes import MapChanger
from .engines import Counts, Engines
from .groups import GroupWatch
from .knowledge import Knowledge
from .placement import Limits, Plan, plan_replicas
from .surveys import Group, Surveyor, zero_counts
from .switching import SwitchOutcome
from .upstreams import Upstream

__all__ = ('ExpertDirector',)

log = logging.getLogger(__name__)

# How often counts are read, in seconds. Popularity changes every few seconds
# and one read of a rank costs half as much as a request earns.
_INTERVAL = 0.25
# Counts of a window with fewer choices in all layers are noise.
_MIN_CHOICES = 6000
# Another rank is read only if it has this many more requests: a window needs
# two reads of one rank.
_KEPT_RANK = 2.5
# A map is changed if the mean skew falls by more than this.
_MIN_GAIN = 0.5
_TARGET_SKEW = 1.35
# How long the weights of one change may take to load, in seconds: passes are
# slower meanwhile, and what one change does not level the next one does. To
# relieve a slow rank takes more, and pays for longer.
_LOAD_TIME = 0.3
_RELIEF_TIME = 1.0
# A group whose passes take as long as with this skew may have a slow rank, and
# one that is known to is watched; both this often, in seconds.
_SUSPECT_SKEW = 2.2
_PACE_INTERVAL = 0.6
# A rank that was armed late still refuses to prepare; then it is surveyed.
_MAX_CONFLICTS = 2
# A group that is broken or about to switch is looked at this often, in seconds.
_SURVEY_PAUSE = 0.5
# A gateway that has just started hears of the others first, in seconds.
_LISTEN_FIRST = 0.5


class ExpertDirector:
    """Plans maps and switches to them while this host leads.

    Attributes:
        groups: the groups that are complete, by name.
    """

    def __init__(
        self,
        host: str,
        engines: Engines,
        knowledge: Knowledge,
        is_leader: Callable[[], bool],
        running: Callable[[str], int],
        groups: GroupWatch,
    ) -> None:
        """Give orders through ``engines`` while ``is_leader``.

        Args:
            host: name of this host.
            engines: calls the ranks.
            knowledge: the upstreams and the configuration.
            is_leader: whether this host gives the orders now.
            running: requests in progress at an upstream, by name.
            groups: how the groups of upstreams move.
        """
        self.engines = engines
        self.knowledge = knowledge
        self.is_leader = is_leader
        self.running = running
        self.watch = groups
        self.surveyor = Surveyor(engines)
        self.changer = MapChanger(host, engines, self._pass_time)
        self.groups: dict[str, Group] = {}
        self.members: dict[str, frozenset[Upstream]] = {}
        self.samples: dict[str, Counts] = {}
        self.changes: dict[str, asyncio.Task[None]] = {}
        self.surveyed_at = -math.inf

    async def run(self) -> None:
        """Work until cancelled."""
        await asyncio.sleep(_LISTEN_FIRST)
        leading = False
        while True:
            await asyncio.sleep(_INTERVAL)
            if self.is_leader() != leading:
                leading = not leading
                log.info('expert maps', extra={'leading': leading})
                self.groups.clear()
                self.members.clear()
            if leading:
                await self._step()

    async def finish(self) -> None:
        """Wait until no change is in progress."""
        if self.changes:
            await asyncio.wait(self.changes.values())

    async def _step(self) -> None:
        catalogue = self.knowledge.catalogue
        if catalogue is None:
            return
        for service in catalogue.services.values():
            engine = service.engine
            if engine is None or not engine.places_experts:
                continue
            try:
                await self._adjust(service.name, engine)
            except ServiceUnavailable as error:
                log.info('no counts', extra={'reason': str(error)})

    async def _adjust(self, service: str, engine: Engine) -> None:
        """Look at the groups of a service and change their maps if it pays."""
        await self._refresh(service, engine)
        groups = [
            group for group in self.groups.values() if group.service == service
        ]
        for moving in groups:
            await self._watch_paces(moving, engine)
        counts = await self._sample(groups)
        if counts is None:
            return
        for group in groups:
            if not group.busy:
                self._consider(group, engine, counts)

    async def _refresh(self, service: str, engine: Engine) -> None:
        members = frozenset(
            dataclasses.replace(upstream, cold_until=0, draining=False)
            for upstream in self.knowledge.fleet.upstreams.values()
            if upstream.service == service
        )
        now = time.monotonic()
        if members == self.members.get(service):
            known = self._moving_ranks()
            if members <= known or now - self.surveyed_at < _SURVEY_PAUSE:
                return
        self.members[service] = members
        self.surveyed_at = now
        found = await self.surveyor.survey(members, engine, self.changes)
        for name, group in tuple(self.groups.items()):
            if group.service == service and name not in self.changes:
                self.groups.pop(name)
        for surveyed in found:
            self.groups[surveyed.name] = surveyed
            self.samples.update(zero_counts(surveyed, engine))

    async def _watch_paces(self, group: Group, engine: Engine) -> None:
        """Read how slow the ranks of a group are, if one may be slow."""
        now = time.monotonic()
        if now - group.paced_at < _PACE_INTERVAL:
            return
        meter = self.watch.meter(group.ranks[0].name)
        skew = meter.skew(engine, len(group.ranks)) if meter else 0
        if group.slowest == 1 and skew < _SUSPECT_SKEW:
            return
        group.paced_at = now
        before = group.slowest
        await self.surveyor.read_paces(group)
        if group.slowest != before:
            log.info(
                'rank pace',
                extra={
                    'group': group.name,
                    'slowest': group.slowest,
                    'measured_skew': round(skew, 2),
                },
            )

    def _pass_time(self, name: str) -> float:
        meter = self.watch.meter(name)
        return meter.pass_time(time.monotonic()) if meter else USUAL_PASS

    def _moving_ranks(self) -> set[Upstream]:
        """Return the known ranks but for those whose group stands still.

        A pass may be held by an order that was carried out late.
        """
        now = time.monotonic()
        return {
            rank
            for group in self.groups.values()
            for rank in group.ranks
            if group.busy or not self.watch.is_still(rank.name, now)
        }

    async def _sample(self, groups: list[Group]) -> tuple[int, ...] | None:
        """Return what the busiest rank's requests chose since its last read.

        The counts of a rank that has just started are known to be zero.
        """
        ranks = [rank for group in groups for rank in group.ranks]
        if not ranks:
            return None
        rank = max(ranks, key=self._preference)
        if not self.running(rank.name):
            return None
        found = await self.engines.counts(rank)
        before = self.samples.get(rank.name)
        self.samples = {rank.name: found}
        if before is None or before.epoch != found.epoch:
            return None
        pairs = zip(found.counts, before.counts, strict=True)
        counts = tuple(after - earlier for after, earlier in pairs)
        if min(counts) < 0 or sum(counts) < _MIN_CHOICES:
            return None
        return counts

    def _preference(self, rank: Upstream) -> float:
        """Rank the candidates for a read: busy, and read before."""
        advantage = _KEPT_RANK if rank.name in self.samples else 0
        return self.running(rank.name) + advantage

    def _consider(
        self,
        group: Group,
        engine: Engine,
        counts: tuple[int, ...],
    ) -> None:
        plan = plan_replicas(
            counts,
            group.placement,
            Limits(
                slots=engine.placement_slots,
                new_per_layer=engine.spare_slots,
                new_per_rank=_new_per_rank(engine, group),
                target=_TARGET_SKEW,
            ),
            group.paces,
        )
        if plan.before - plan.after < _MIN_GAIN:
            return
        group.busy = True
        task = asyncio.get_running_loop().create_task(
            self._change(group, engine, plan),
        )
        self.changes[group.name] = task
        task.add_done_callback(lambda done: self._changed(group, done))

    def _changed(self, group: Group, task: asyncio.Task[None]) -> None:
        self.changes.pop(group.name, None)
        group.busy = False
        if not task.cancelled() and task.exception() is not None:
            log.warning(
                'map change failed',
                extra={'group': group.name, 'reason': str(task.exception())},
            )
            self.groups.pop(group.name, None)

    async def _change(self, group: Group, engine: Engine, plan: Plan) -> None:
        outcome = await self.changer.change(group, engine, plan)
        if outcome is SwitchOutcome.SWITCHED:
            group.conflicts = 0
            return
        group.conflicts += 1
        unknown = outcome is not SwitchOutcome.NOT_PREPARED
        if unknown or group.conflicts > _MAX_CONFLICTS:
            self.groups.pop(group.name, None)


def _new_per_rank(engine: Engine, group: Group) -> int:
    """Return how many experts a rank may load in one change."""
    budget = _RELIEF_TIME if group.slowest > 1 else _LOAD_TIME
    if not engine.expert_load_time:
        return engine.spare_slots
    return max(int(budget / engine.expert_load_time), 1)
