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
import zlib
from collections.abc import Callable

from ..exceptions import ServiceUnavailable
from .catalogue import Engine
from .engines import Counts, Engines
from .knowledge import Knowledge
from .placement import Limits, Plan, plan_replicas
from .surveys import Group, Surveyor, zero_counts
from .switching import VERSION_STEP, MapSwitch, SwitchOutcome
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
_MIN_GAIN = 0.25
_TARGET_SKEW = 1.35
# Each new expert of a rank takes 0.15 s to load; what two replicas a rank do
# not level, the next change does.
_NEW_PER_RANK = 2
# Reports are up to this old, in seconds.
_REPORT_AGE = 0.25
# A few orders take this long if one answer is lost, in seconds.
_ORDERS_TIME = 0.08
# Loading is a little slower than the link allows, in seconds.
_LOAD_MARGIN = 0.04
# Bounds of a pass, in seconds: idle, and under full load with a slow rank.
_SHORTEST_PASS = 0.02
_LONGEST_PASS = 0.3
_HOLD_TRIES = 3
# A rank that was armed late still refuses to prepare; then it is surveyed.
_MAX_CONFLICTS = 2
# A group that is broken or about to switch is looked at this often, in seconds.
_SURVEY_PAUSE = 0.5
# A gateway that has just started hears of the others first, in seconds.
_LISTEN_FIRST = 1.2


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
        is_still: Callable[[str], bool],
    ) -> None:
        """Give orders through ``engines`` while ``is_leader``.

        Args:
            host: name of this host.
            engines: calls the ranks.
            knowledge: the upstreams and the configuration.
            is_leader: whether this host gives the orders now.
            running: requests in progress at an upstream, by name.
            is_still: whether the group of an upstream seems to stand still.
        """
        self.host_number = zlib.crc32(host.encode()) % VERSION_STEP
        self.engines = engines
        self.knowledge = knowledge
        self.is_leader = is_leader
        self.running = running
        self.is_still = is_still
        self.surveyor = Surveyor(engines)
        self.groups: dict[str, Group] = {}
        self.members: dict[str, frozenset[Upstream]] = {}
        self.samples: dict[str, Counts] = {}
        self.changes: dict[str, asyncio.Task[None]] = {}
        self.last_version = 0
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

    def _moving_ranks(self) -> set[Upstream]:
        """Return the known ranks but for those whose group stands still.

        A pass may be held by an order that was carried out late.
        """
        return {
            rank
            for group in self.groups.values()
            for rank in group.ranks
            if group.busy or not self.is_still(rank.name)
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
                new_per_rank=_NEW_PER_RANK,
                target=_TARGET_SKEW,
            ),
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
        started = time.monotonic()
        version = self._next_version(group)
        outcome = await self._switch(group, engine, plan, version)
        log.info(
            'map change',
            extra={
                'outcome': outcome.value,
                'group': group.name,
                'epoch': group.epoch,
                'version': version,
                'copies': sum(plan.copies),
                'skew_before': round(plan.before, 2),
                'skew_after': round(plan.after, 2),
                'seconds': round(time.monotonic() - started, 2),
            },
        )
        if outcome is SwitchOutcome.SWITCHED:
            group.placement = plan.placement
            group.conflicts = 0
            # Until that pass the ranks take no further order to prepare.
            await asyncio.sleep(_REPORT_AGE)
            return
        group.conflicts += 1
        unknown = outcome is not SwitchOutcome.NOT_PREPARED
        if unknown or group.conflicts > _MAX_CONFLICTS:
            self.groups.pop(group.name, None)

    async def _switch(
        self,
        group: Group,
        engine: Engine,
        plan: Plan,
        version: int,
    ) -> SwitchOutcome:
        switch = MapSwitch(self.engines, group.ranks, group.epoch)
        if not await switch.prepare(version, plan.placement):
            return SwitchOutcome.NOT_PREPARED
        load_time = max(plan.copies) * engine.expert_load_time
        await asyncio.sleep(load_time + _LOAD_MARGIN)
        outcome = SwitchOutcome.NOT_HELD
        for attempt in range(_HOLD_TRIES):
            step = await self._next_step(group, attempt)
            outcome = await switch.switch(version, group.placement, step)
            if outcome is not SwitchOutcome.NOT_HELD:
                break
        return outcome

    def _next_version(self, group: Group) -> int:
        """Return a version that no host has used for this group."""
        highest = max(group.highest, self.last_version)
        version = (highest // VERSION_STEP + 1) * VERSION_STEP
        version += self.host_number
        group.highest = version
        self.last_version = version
        return version

    async def _next_step(self, group: Group, attempt: int) -> int:
        """Return a pass that has not begun but soon will."""
        report = await self.engines.report(group.ranks[0])
        now = time.monotonic()
        if report is None:
            raise ServiceUnavailable(f'{group.name}: rank 0 left its group')
        passes = report.step - group.step
        if passes > 0:
            measured = (now - group.stepped_at) / passes
            group.pass_time = min(max(measured, _SHORTEST_PASS), _LONGEST_PASS)
            group.step = report.step
            group.stepped_at = now
        ahead = (_REPORT_AGE + _ORDERS_TIME) / group.pass_time
        # An idle group may have begun many short passes since its report.
        return report.step + math.ceil(ahead * (attempt + 1)) + 1
