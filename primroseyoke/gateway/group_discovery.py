"""Discovers rank groups from rank reports and ends their unfinished changes."""

import asyncio
import dataclasses
import logging
import time
from collections.abc import Callable, Iterable, Sequence

from .configuration import Engine
from .engines import EngineClient, ExpertCounts, RankReport
from .late_orders import LateOrders
from .placement import Placement, initial_placement
from .placement_switch import PlacementSwitch
from .upstreams import Upstream

__all__ = ('GroupDiscovery', 'RankGroup')

log = logging.getLogger(__name__)

# An unfinished change is left alone for this long, because the host that began
# it may be about to finish it. If the group has stalled, that host has failed.
_TAKEOVER_DELAY_SECONDS = 1.0

_RankReports = Sequence[tuple[Upstream, RankReport]]


@dataclasses.dataclass(slots=True)
class RankGroup:
    """A complete rank group.

    Attributes:
        name: name of the group.
        service: name of the service that its ranks belong to.
        epoch: epoch of the group, which orders have to match.
        ranks: the upstreams, sorted by rank number.
        highest_version: the highest placement version that any rank has had.
        placement: the placement in use.
        step: the last pass that was reported.
        slowdowns: time that each rank takes for its work, relative to normal.
        slowdowns_read_at: when ``slowdowns`` was read, in monotonic seconds.
        checked_at: when the ranks were last asked whether they are held, in
            monotonic seconds.
        is_changing: whether a placement change is in progress.
        failed_changes: changes that failed since the last successful one.
    """

    name: str
    service: str
    epoch: int
    ranks: list[Upstream]
    highest_version: int
    placement: Placement
    step: int
    slowdowns: tuple[float, ...] = ()
    slowdowns_read_at: float = 0
    checked_at: float = 0
    is_changing: bool = False
    failed_changes: int = 0

    @property
    def max_slowdown(self) -> float:
        """Return the slowdown of the slowest rank, 1 if none is slow."""
        return max(self.slowdowns, default=1)


class GroupDiscovery:
    """Finds the groups that are complete and have no unfinished change.

    Attributes:
        unfinished_since: when an unfinished change of a group was first seen,
            in monotonic seconds, by group.
    """

    def __init__(
        self,
        engines: EngineClient,
        is_stalled: Callable[[str], bool] | None = None,
        late_orders: LateOrders | None = None,
    ) -> None:
        """Query the ranks through ``engines``.

        ``is_stalled`` tells whether the streams of a group, by its name, have
        received no event for longer than a pass takes. ``late_orders`` records
        the orders that get no response.
        """
        self.engines = engines
        self.late_orders = late_orders
        self.is_stalled = is_stalled or _is_never_stalled
        self.unfinished_since: dict[str, float] = {}

    async def discover(
        self,
        upstreams: Iterable[Upstream],
        engine: Engine,
        skipped: Iterable[str],
    ) -> list[RankGroup]:
        """Return the groups that the upstreams form.

        Args:
            upstreams: the upstreams to query.
            engine: the model engine of each rank.
            skipped: names of groups to leave out.

        Raises:
            ServiceUnavailable: a rank did not return its placement.
        """
        members = tuple(upstreams)
        reports = await self._reports(members)
        ranks_by_group: dict[str, dict[int, tuple[Upstream, RankReport]]] = {}
        for upstream, report in zip(members, reports):
            if isinstance(report, RankReport) and report.is_open:
                ranks = ranks_by_group.setdefault(report.group, {})
                ranks[report.rank] = (upstream, report)
        groups = []
        for name in set(ranks_by_group) - set(skipped):
            ordered = [
                ranks_by_group[name][rank]
                for rank in sorted(ranks_by_group[name])
            ]
            if _is_complete(ordered):
                groups.append(await self._build_group(name, ordered, engine))
        return [group for group in groups if group is not None]

    async def read_slowdowns(self, group: RankGroup) -> None:
        """Update the slowdowns of the ranks of a group."""
        reports = await self._reports(group.ranks)
        # A rank that does not respond keeps its previous slowdown.
        previous = group.slowdowns or (1.0,) * len(group.ranks)
        group.slowdowns = tuple(
            report.slowdown if isinstance(report, RankReport) else before
            for report, before in zip(reports, previous)
        )

    async def has_unfinished_change(self, group: RankGroup) -> bool:
        """Tell whether a pass of a group is held, or some ranks are armed.

        Ranks that do not respond are left out.
        """
        found = [
            report
            for report in await self._reports(group.ranks)
            if isinstance(report, RankReport)
        ]
        return not _is_settled(found) and not _is_switching(found)

    async def _reports(
        self, upstreams: Iterable[Upstream]
    ) -> list[RankReport | BaseException | None]:
        return await asyncio.gather(
            *(self.engines.report(upstream) for upstream in upstreams),
            return_exceptions=True,
        )

    async def _build_group(
        self,
        name: str,
        members: _RankReports,
        engine: Engine,
    ) -> RankGroup | None:
        first = members[0][1]
        upstreams = [upstream for upstream, _ in members]
        group = RankGroup(
            name=name,
            service=upstreams[0].service,
            epoch=first.epoch,
            ranks=upstreams,
            highest_version=max(
                report.highest_version for _, report in members
            ),
            placement=await self._placement(first, upstreams, engine),
            step=first.step,
            slowdowns=tuple(report.slowdown for _, report in members),
            checked_at=time.monotonic(),
        )
        reports = [report for _, report in members]
        return (
            group
            if await self._resolve_unfinished_change(group, reports)
            else None
        )

    async def _placement(
        self,
        report: RankReport,
        upstreams: Sequence[Upstream],
        engine: Engine,
    ) -> Placement:
        if report.placement_version == 0:
            return initial_placement(
                engine.layers,
                engine.experts,
                report.ranks,
            )
        by_rank = await asyncio.gather(
            *(self.engines.placement(upstream) for upstream in upstreams),
        )
        return tuple(
            tuple(tuple(rank[layer]) for rank in by_rank)
            for layer in range(engine.layers)
        )

    async def _resolve_unfinished_change(
        self,
        group: RankGroup,
        reports: Sequence[RankReport],
    ) -> bool:
        """Return whether no change is unfinished; end an abandoned one."""
        if _is_settled(reports):
            self.unfinished_since.pop(group.name, None)
            return True
        if _is_switching(reports):
            return False
        now = time.monotonic()
        unfinished_since = self.unfinished_since.setdefault(group.name, now)
        is_abandoned = now - unfinished_since >= _TAKEOVER_DELAY_SECONDS
        if is_abandoned or self.is_stalled(group.name):
            await self._end_unfinished_change(group, reports)
        return False

    async def _end_unfinished_change(
        self,
        group: RankGroup,
        reports: Sequence[RankReport],
    ) -> None:
        """Complete or undo a change that was abandoned."""
        held_step = _held_step(reports)
        armed = [
            report for report in reports if report.armed_version is not None
        ]
        log.warning(
            'completing or undoing unfinished expert placement change',
            extra={
                'group': group.name,
                'held': held_step,
                'armed': len(armed),
                'armed_versions': sorted(
                    {report.armed_version or 0 for report in armed}
                ),
                'highest_version': group.highest_version,
            },
        )
        switch = PlacementSwitch(
            self.engines, group.ranks, group.epoch, self.late_orders
        )
        switch.held_step = held_step
        switch.holders = [
            rank
            for rank, report in zip(group.ranks, reports)
            if report.held_step == held_step or rank is group.ranks[0]
        ]
        version = group.highest_version
        if (
            held_step is not None
            and _may_finish(group, reports, held_step)
            and await switch.finish(version, held_step)
        ):
            return
        is_undone = await switch.undo(version, group.placement)
        if is_undone and held_step is not None:
            await switch.release(held_step)


def _is_never_stalled(group: str) -> bool:
    return False


def initial_counts(group: RankGroup, engine: Engine) -> dict[str, ExpertCounts]:
    """Return zero counts for a group that has not run a pass yet."""
    if group.step:
        return {}
    zeros = (0,) * (engine.layers * engine.experts)  # noqa: WPS435 - integers
    return {
        rank.name: ExpertCounts(group.epoch, 0, zeros) for rank in group.ranks
    }


def _is_complete(members: _RankReports) -> bool:
    reports = [report for _, report in members]
    states = {(report.epoch, report.placement_version) for report in reports}
    return len(reports) == reports[0].ranks and len(states) == 1


def _held_step(reports: Sequence[RankReport]) -> int | None:
    held_steps = [
        report.held_step for report in reports if report.held_step is not None
    ]
    return held_steps[0] if held_steps else None


def _may_finish(
    group: RankGroup,
    reports: Sequence[RankReport],
    held_step: int,
) -> bool:
    """Return whether the change of a held pass may be completed.

    A later version than the armed one, or a pass that is held at a rank other
    than the first, shows that an undo has begun.
    """
    if any(report.held_step is not None for report in reports[1:]):
        return False
    targets = {
        (report.armed_version, report.armed_step or held_step)
        for report in reports
        if report.armed_version is not None
    }
    return targets == {(group.highest_version, held_step)}


def _is_settled(reports: Sequence[RankReport]) -> bool:
    """Return whether no pass is held and no rank is armed."""
    return _held_step(reports) is None and all(
        report.armed_version is None for report in reports
    )


def _is_switching(reports: Sequence[RankReport]) -> bool:
    """Return whether the group switches with a pass that may begin.

    An idle group does not run that pass yet.
    """
    targets = {(report.armed_version, report.armed_step) for report in reports}
    return (
        _held_step(reports) is None
        and len(targets) == 1
        and reports[0].armed_version is not None
    )
