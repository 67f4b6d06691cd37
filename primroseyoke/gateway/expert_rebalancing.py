"""Rebalances the experts of rank groups as their popularity changes.

Only the leading gateway does this; ``peers`` tells which one leads. It samples
how often the requests of one rank of a service selected each expert, which is
representative of all ranks, and changes the placement of a group if that
reduces the predicted skew enough.
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
from .late_orders import LateOrders
from .placement import PlacementLimits, PlacementPlan, plan_replicas
from .placement_switch import SwitchOutcome
from .placement_updates import PlacementUpdater
from .rank_groups import RankGroupMonitor
from .routing_state import RoutingState
from .upstreams import Upstream

__all__ = ('ExpertRebalancer',)

log = logging.getLogger(__name__)

# Interval between reads of the counts. Popularity changes every few seconds,
# and reading the counts of a rank costs half as much as a request earns.
_SAMPLE_INTERVAL_SECONDS = 0.25
# With fewer selections in all layers between two reads, the counts are noise.
_MIN_SELECTION_COUNT = 6000
# The rank that was read last is read again unless another has this many more
# requests, since a difference of counts needs two reads of the same rank.
_RESAMPLE_BONUS_REQUESTS = 2.5
# The smallest reduction of the mean skew for which a placement is changed.
_MIN_SKEW_REDUCTION = 0.5
# Replicas are added to a layer until its skew is at most this.
_TARGET_SKEW_RATIO = 1.35
# Time that one change may take to load weights. Passes are slower meanwhile,
# and the next change can reduce the remaining skew. Offloading a slow rank
# takes more time, and its benefit lasts longer.
_LOAD_BUDGET_SECONDS = 0.3
_SLOW_RANK_LOAD_BUDGET_SECONDS = 1.0
# A group whose passes take as long as with this skew may have a slow rank.
_SUSPECT_SKEW_RATIO = 2.2
# Interval between reads of the slowdowns of a group that has a slow rank or may
# have one.
_SLOWDOWN_INTERVAL_SECONDS = 0.6
# After more failures in a row the group is discovered anew: a rank that was
# armed by a delayed order refuses to prepare.
_MAX_FAILED_CHANGES = 2
# Interval between attempts to discover groups that are broken or about to
# switch.
_DISCOVERY_INTERVAL_SECONDS = 0.5
# A gateway that has just started first waits for the reports of its peers.
_STARTUP_DELAY_SECONDS = 0.5


class ExpertRebalancer:
    """Plans and applies expert placements while this host leads.

    Attributes:
        groups: the complete groups, by name.
        known_upstreams: the upstreams at the last discovery, by service.
        last_counts: the last counts read, by rank.
        late_orders: the orders that may still be executed late.
        change_tasks: the changes in progress, by group.
    """

    def __init__(
        self,
        host: str,
        engines: EngineClient,
        routing_state: RoutingState,
        is_leader: Callable[[], bool],
        requests_in_progress: Callable[[str], int],
        group_monitor: RankGroupMonitor,
    ) -> None:
        """Create a rebalancer for all services with expert placement.

        Args:
            host: name of this host.
            engines: client for reports of the ranks and orders to them.
            routing_state: the upstreams and the configuration.
            is_leader: returns whether this host leads now.
            requests_in_progress: returns the number of requests in progress
                at the upstream with the given name.
            group_monitor: tells the groups of upstreams, their pass durations
                and whether they are stalled or broken.
        """
        self.engines = engines
        self.routing_state = routing_state
        self.is_leader = is_leader
        self.requests_in_progress = requests_in_progress
        self.group_monitor = group_monitor
        self.late_orders = LateOrders()
        self.discovery = GroupDiscovery(
            engines, group_monitor.is_group_stalled, self.late_orders
        )
        self.updater = PlacementUpdater(
            host, engines, self._pass_time, self.late_orders
        )
        self.groups: dict[str, RankGroup] = {}
        self.known_upstreams: dict[str, frozenset[Upstream]] = {}
        self.last_counts: dict[str, ExpertCounts] = {}
        self.change_tasks: dict[str, asyncio.Task[None]] = {}
        self.discovered_at = -math.inf

    async def run(self) -> None:
        """Rebalance the groups of all services until cancelled."""
        await asyncio.sleep(_STARTUP_DELAY_SECONDS)
        leading = False
        while True:
            await asyncio.sleep(_SAMPLE_INTERVAL_SECONDS)
            if self.is_leader() != leading:
                leading = not leading
                log.info(
                    'expert rebalancing leadership changed',
                    extra={'leading': leading},
                )
                self.groups.clear()
                self.known_upstreams.clear()
                # Those of the previous leader are not known.
                self.late_orders.assume()
            if leading:
                await self._rebalance()

    async def wait_for_changes(self, timeout: float) -> None:
        """Wait up to ``timeout`` seconds for the changes in progress."""
        if self.change_tasks:
            await asyncio.wait(
                self.change_tasks.values(), timeout=max(timeout, 0)
            )

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
                log.info(
                    'service not rebalanced: no valid response from a rank',
                    extra={'reason': str(error)},
                )

    async def _rebalance_service(self, service: str, engine: Engine) -> None:
        """Change placements of a service where the skew falls enough."""
        await self._refresh_groups(service, engine)
        for found in self._groups_of(service):
            await self._check_held(found)
        groups = self._groups_of(service)
        for group in groups:
            await self._refresh_slowdowns(group, engine)
        counts = await self._sample_counts(groups)
        if counts is None:
            return
        for group in groups:
            if not group.is_changing:
                self._start_change(group, engine, counts)

    def _groups_of(self, service: str) -> list[RankGroup]:
        return [
            group for group in self.groups.values() if group.service == service
        ]

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

    async def _check_held(self, group: RankGroup) -> None:
        """Discover a group anew if a pass is held, or some ranks are armed.

        An order that was executed late can cause that. Streams of this host
        show that a group works or stands still, so it is asked if there are
        none, or if it is silent for any host.
        """
        now = time.monotonic()
        is_silent = self.group_monitor.is_silent(group.name, now)
        if (
            group.is_changing
            or now - group.checked_at < _DISCOVERY_INTERVAL_SECONDS
            or not (is_silent or self._may_be_held_unseen(group))
        ):
            return
        group.checked_at = now
        if await self.discovery.has_unfinished_change(group):
            log.info(
                'rank group held by an order; discovering it again',
                extra={
                    'group': group.name,
                    'epoch': group.epoch,
                    'silent': is_silent,
                },
            )
            self.groups.pop(group.name, None)

    def _may_be_held_unseen(self, group: RankGroup) -> bool:
        """Tell whether a late order may hold a group without being noticed."""
        return not self.group_monitor.has_streams(group.name) and any(
            map(self.late_orders.may_execute, group.ranks)
        )

    async def _refresh_slowdowns(
        self,
        group: RankGroup,
        engine: Engine,
    ) -> None:
        """Read the slowdowns of a group's ranks if one of them may be slow."""
        now = time.monotonic()
        if now - group.slowdowns_read_at < _SLOWDOWN_INTERVAL_SECONDS:
            return
        estimator = self.group_monitor.pass_estimator(group.ranks[0].name)
        skew = estimator.skew(engine, len(group.ranks)) if estimator else 0
        if group.max_slowdown == 1 and skew < _SUSPECT_SKEW_RATIO:
            return
        group.slowdowns_read_at = now
        previous = group.max_slowdown
        await self.discovery.read_slowdowns(group)
        if group.max_slowdown != previous:
            log.info(
                'slowdown of slowest rank changed',
                extra={
                    'group': group.name,
                    'slowest': group.max_slowdown,
                    'measured_skew': round(skew, 2),
                },
            )

    def _pass_time(self, name: str) -> float:
        estimator = self.group_monitor.pass_estimator(name)
        return (
            estimator.pass_time(time.monotonic())
            if estimator
            else DEFAULT_PASS_SECONDS
        )

    def _active_ranks(self) -> set[Upstream]:
        """Return the ranks whose group is changing, or works normally.

        A group that is stalled or broken is discovered again, since an order
        that was executed late may be holding a pass.
        """
        now = time.monotonic()
        return {
            rank
            for group in self.groups.values()
            for rank in group.ranks
            if group.is_changing
            or not self.group_monitor.is_avoided(rank.name, now)
        }

    async def _sample_counts(
        self,
        groups: list[RankGroup],
    ) -> tuple[int, ...] | None:
        """Return the selections of the sampled rank since its last read.

        No earlier read is needed of a rank that was discovered before its first
        pass, since its counts start at zero.
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
        """Prefer ranks with many requests, and one that was read before."""
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
                'expert placement change failed; discovering the group again',
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
    """Return the number of experts that a rank may load in one change."""
    budget = (
        _SLOW_RANK_LOAD_BUDGET_SECONDS
        if group.max_slowdown > 1
        else _LOAD_BUDGET_SECONDS
    )
    if not engine.expert_load_time:
        return engine.spare_slots
    return max(int(budget / engine.expert_load_time), 1)
