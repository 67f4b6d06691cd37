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
from .capacity import DEFAULT_PASS_SECONDS
from .configuration import Engine
from .engines import EngineClient, ExpertCounts
from .group_discovery import GroupDiscovery, RankGroup, initial_counts
from .placement import PlacementLimits, PlacementPlan, plan_replicas
from .placement_switch import SwitchOutcome
from .placement_updates import PlacementUpdater
from .rank_groups import RankGroupMonitor
from .routing_state import RoutingState
from .upstreams import Upstream

__all__ = ('ExpertRebalancer',)

log = logging.getLogger(__name__)

# How often counts are read, in seconds. Popularity changes every few seconds
# and one read of a rank costs half as much as a request earns.
_SAMPLE_INTERVAL_SECONDS = 0.25
# Counts of a window with fewer choices in all layers are noise.
_MIN_SELECTION_COUNT = 6000
# Another rank is read only if it has this many more requests: a window needs
# two reads of one rank.
_RESAMPLE_BONUS_REQUESTS = 2.5
# A map is changed if the mean skew falls by more than this.
_MIN_SKEW_REDUCTION = 0.5
_TARGET_SKEW_RATIO = 1.35
# How long the weights of one change may take to load, in seconds: passes are
# slower meanwhile, and what one change does not level the next one does. To
# relieve a slow rank takes more, and pays for longer.
_LOAD_BUDGET_SECONDS = 0.3
_SLOW_RANK_LOAD_BUDGET_SECONDS = 1.0
# A group whose passes take as long as with this skew may have a slow rank, and
# one that is known to is watched; both this often, in seconds.
_SUSPECT_SKEW_RATIO = 2.2
_SLOWDOWN_INTERVAL_SECONDS = 0.6
# A rank that was armed late still refuses to prepare; then it is surveyed.
_MAX_FAILED_CHANGES = 2
# A group that is broken or about to switch is looked at this often, in seconds.
_DISCOVERY_INTERVAL_SECONDS = 0.5
# A gateway that has just started hears of the others first, in seconds.
_STARTUP_DELAY_SECONDS = 0.5


class ExpertRebalancer:
    """Plans maps and switches to them while this host leads.

    Attributes:
        groups: the groups that are complete, by name.
    """

    def __init__(
        self,
        host: str,
        engines: EngineClient,
        routing_state: RoutingState,
        is_leader: Callable[[], bool],
        requests_in_progress: Callable[[str], int],
        group_watch: RankGroupMonitor,
    ) -> None:
        """Give orders through ``engines`` while ``is_leader``.

        Args:
            host: name of this host.
            engines: calls the ranks.
            routing_state: the upstreams and the configuration.
            is_leader: whether this host gives the orders now.
            requests_in_progress: requests in progress at an upstream, by name.
            group_watch: how the groups of upstreams move.
        """
        self.engines = engines
        self.routing_state = routing_state
        self.is_leader = is_leader
        self.requests_in_progress = requests_in_progress
        self.group_watch = group_watch
        self.discovery = GroupDiscovery(engines)
        self.updater = PlacementUpdater(host, engines, self._pass_time)
        self.groups: dict[str, RankGroup] = {}
        self.known_upstreams: dict[str, frozenset[Upstream]] = {}
        self.last_counts: dict[str, ExpertCounts] = {}
        self.change_tasks: dict[str, asyncio.Task[None]] = {}
        self.discovered_at = -math.inf

    async def run(self) -> None:
        """Work until cancelled."""
        await asyncio.sleep(_STARTUP_DELAY_SECONDS)
        leading = False
        while True:
            await asyncio.sleep(_SAMPLE_INTERVAL_SECONDS)
            if self.is_leader() != leading:
                leading = not leading
                log.info('expert maps', extra={'leading': leading})
                self.groups.clear()
                self.known_upstreams.clear()
            if leading:
                await self._rebalance()

    async def wait_for_changes(self) -> None:
        """Wait until no change is in progress."""
        if self.change_tasks:
            await asyncio.wait(self.change_tasks.values())

    async def _rebalance(self) -> None:
        configuration = self.routing_state.configuration
        if configuration is None:
            return
        for service in configuration.services.values():
            engine = service.engine
            if engine is None or not engine.places_experts:
                continue
            try:
                await self._rebalance_service(service.name, engine)
            except ServiceUnavailable as error:
                log.info('no counts', extra={'reason': str(error)})

    async def _rebalance_service(self, service: str, engine: Engine) -> None:
        """Look at the groups of a service and change their maps if it pays."""
        await self._refresh_groups(service, engine)
        groups = [
            group for group in self.groups.values() if group.service == service
        ]
        for group in groups:
            await self._refresh_slowdowns(group, engine)
        counts = await self._sample_counts(groups)
        if counts is None:
            return
        for group in groups:
            if not group.is_changing:
                self._start_change(group, engine, counts)

    async def _refresh_groups(self, service: str, engine: Engine) -> None:
        upstreams = frozenset(
            dataclasses.replace(upstream, cold_until=0, draining=False)
            for upstream in self.routing_state.registry.upstreams.values()
            if upstream.service == service
        )
        now = time.monotonic()
        if upstreams == self.known_upstreams.get(service):
            active = self._active_ranks()
            if (
                upstreams <= active
                or now - self.discovered_at < _DISCOVERY_INTERVAL_SECONDS
            ):
                return
        self.known_upstreams[service] = upstreams
        self.discovered_at = now
        found = await self.discovery.discover(
            upstreams,
            engine,
            self.change_tasks,
        )
        for name, group in tuple(self.groups.items()):
            if group.service == service and name not in self.change_tasks:
                self.groups.pop(name)
        for found_group in found:
            self.groups[found_group.name] = found_group
            self.last_counts.update(initial_counts(found_group, engine))

    async def _refresh_slowdowns(
        self,
        group: RankGroup,
        engine: Engine,
    ) -> None:
        """Read how slow the ranks of a group are, if one may be slow."""
        now = time.monotonic()
        if now - group.slowdowns_read_at < _SLOWDOWN_INTERVAL_SECONDS:
            return
        meter = self.group_watch.pass_estimator(group.ranks[0].name)
        skew = meter.skew(engine, len(group.ranks)) if meter else 0
        if group.max_slowdown == 1 and skew < _SUSPECT_SKEW_RATIO:
            return
        group.slowdowns_read_at = now
        previous = group.max_slowdown
        await self.discovery.read_slowdowns(group)
        if group.max_slowdown != previous:
            log.info(
                'rank pace',
                extra={
                    'group': group.name,
                    'slowest': group.max_slowdown,
                    'measured_skew': round(skew, 2),
                },
            )

    def _pass_time(self, name: str) -> float:
        meter = self.group_watch.pass_estimator(name)
        return (
            meter.pass_time(time.monotonic()) if meter else DEFAULT_PASS_SECONDS
        )

    def _active_ranks(self) -> set[Upstream]:
        """Return the known ranks but for those whose group stands still.

        A pass may be held by an order that was carried out late.
        """
        now = time.monotonic()
        return {
            rank
            for group in self.groups.values()
            for rank in group.ranks
            if group.is_changing
            or not self.group_watch.is_avoided(rank.name, now)
        }

    async def _sample_counts(
        self,
        groups: list[RankGroup],
    ) -> tuple[int, ...] | None:
        """Return what the busiest rank's requests chose since its last read.

        The counts of a rank that has just started are known to be zero.
        """
        ranks = [rank for group in groups for rank in group.ranks]
        if not ranks:
            return None
        rank = max(ranks, key=self._sample_priority)
        if not self.requests_in_progress(rank.name):
            return None
        found = await self.engines.counts(rank)
        previous = self.last_counts.get(rank.name)
        self.last_counts = {rank.name: found}
        if previous is None or previous.epoch != found.epoch:
            return None
        pairs = zip(found.counts, previous.counts, strict=True)
        counts = tuple(after - earlier for after, earlier in pairs)
        if min(counts) < 0 or sum(counts) < _MIN_SELECTION_COUNT:
            return None
        return counts

    def _sample_priority(self, rank: Upstream) -> float:
        """Rank the candidates for a read: busy, and read before."""
        bonus = _RESAMPLE_BONUS_REQUESTS if rank.name in self.last_counts else 0
        return self.requests_in_progress(rank.name) + bonus

    def _start_change(
        self,
        group: RankGroup,
        engine: Engine,
        counts: tuple[int, ...],
    ) -> None:
        plan = plan_replicas(
            counts,
            group.placement,
            PlacementLimits(
                slots=engine.placement_slots,
                new_per_layer=engine.spare_slots,
                new_per_rank=_max_loads_per_rank(engine, group),
                target_skew=_TARGET_SKEW_RATIO,
            ),
            group.slowdowns,
        )
        if plan.skew_before - plan.skew_after < _MIN_SKEW_REDUCTION:
            return
        group.is_changing = True
        task = asyncio.get_running_loop().create_task(
            self._apply_plan(group, engine, plan),
        )
        self.change_tasks[group.name] = task
        task.add_done_callback(
            lambda finished: self._on_change_done(group, finished),
        )

    def _on_change_done(
        self,
        group: RankGroup,
        task: asyncio.Task[None],
    ) -> None:
        self.change_tasks.pop(group.name, None)
        group.is_changing = False
        if not task.cancelled() and task.exception() is not None:
            log.warning(
                'map change failed',
                extra={'group': group.name, 'reason': str(task.exception())},
            )
            self.groups.pop(group.name, None)

    async def _apply_plan(
        self,
        group: RankGroup,
        engine: Engine,
        plan: PlacementPlan,
    ) -> None:
        outcome = await self.updater.apply_plan(group, engine, plan)
        if outcome is SwitchOutcome.SWITCHED:
            group.failed_changes = 0
            return
        group.failed_changes += 1
        is_state_unknown = outcome is not SwitchOutcome.NOT_PREPARED
        if is_state_unknown or group.failed_changes > _MAX_FAILED_CHANGES:
            self.groups.pop(group.name, None)


def _max_loads_per_rank(engine: Engine, group: RankGroup) -> int:
    """Return how many experts a rank may load in one change."""
    budget = (
        _SLOW_RANK_LOAD_BUDGET_SECONDS
        if group.max_slowdown > 1
        else _LOAD_BUDGET_SECONDS
    )
    if not engine.expert_load_time:
        return engine.spare_slots
    return max(int(budget / engine.expert_load_time), 1)
