"""Learns rank groups from the reports of their ranks, and ends open changes."""

import asyncio
import dataclasses
import logging
import time
from collections.abc import Iterable, Sequence

from .catalogue import Engine
from .engines import Counts, Engines, RankReport
from .placement import Placement, first_placement
from .switching import MapSwitch
from .upstreams import Upstream

__all__ = ('Group', 'Surveyor')

log = logging.getLogger(__name__)

# Another host may be about to finish what it began, in seconds.
_FOREIGN_CHANGE = 1.0

_Members = Sequence[tuple[Upstream, RankReport]]


@dataclasses.dataclass(slots=True)
class Group:
    """A rank group; ``ranks`` in the order of their rank.

    ``highest`` is the highest version that any rank has had, ``step`` the
    last pass that was reported, ``paces`` how many times as long as usual the
    work of each rank takes, read at ``paced_at`` (monotonic seconds).
    """

    name: str
    service: str
    epoch: int
    ranks: list[Upstream]
    highest: int
    placement: Placement
    step: int
    paces: tuple[float, ...] = ()
    paced_at: float = 0
    busy: bool = False
    conflicts: int = 0

    @property
    def slowest(self) -> float:
        """Return the pace of the slowest rank, 1 if none is slow."""
        return max(self.paces, default=1)


class Surveyor:
    """Finds the groups that are complete and have no open change."""

    def __init__(self, engines: Engines) -> None:
        """Ask ranks through ``engines``."""
        self.engines = engines
        self.open_since: dict[str, float] = {}

    async def survey(
        self,
        upstreams: Iterable[Upstream],
        engine: Engine,
        skipped: Iterable[str],
    ) -> list[Group]:
        """Return the groups of some upstreams but for the ``skipped`` ones.

        Raises:
            ServiceUnavailable: a rank did not tell its placement.
        """
        members = tuple(upstreams)
        reports = await asyncio.gather(
            *(self.engines.report(upstream) for upstream in members),
            return_exceptions=True,
        )
        found: dict[str, dict[int, tuple[Upstream, RankReport]]] = {}
        for upstream, report in zip(members, reports):
            if isinstance(report, RankReport) and report.is_open:
                ranks = found.setdefault(report.group, {})
                ranks[report.rank] = (upstream, report)
        groups = []
        for name in set(found) - set(skipped):
            ordered = [found[name][rank] for rank in sorted(found[name])]
            if _is_complete(ordered):
                groups.append(await self._group(name, ordered, engine))
        return [group for group in groups if group is not None]

    async def read_paces(self, group: Group) -> None:
        """Learn how slow the ranks of a group are."""
        reports = await asyncio.gather(
            *(self.engines.report(rank) for rank in group.ranks),
            return_exceptions=True,
        )
        # A rank that does not answer is taken to be as before.
        known = group.paces or (1.0,) * len(group.ranks)
        group.paces = tuple(
            report.pace if isinstance(report, RankReport) else before
            for report, before in zip(reports, known)
        )

    async def _group(
        self,
        name: str,
        members: _Members,
        engine: Engine,
    ) -> Group | None:
        first = members[0][1]
        upstreams = [upstream for upstream, _ in members]
        group = Group(
            name=name,
            service=upstreams[0].service,
            epoch=first.epoch,
            ranks=upstreams,
            highest=max(_highest_version(report) for _, report in members),
            placement=await self._placement(first, upstreams, engine),
            step=first.step,
            paces=tuple(report.pace for _, report in members),
        )
        reports = [report for _, report in members]
        return group if await self._is_settled(group, reports) else None

    async def _placement(
        self,
        report: RankReport,
        upstreams: Sequence[Upstream],
        engine: Engine,
    ) -> Placement:
        if report.placement == 0:
            return first_placement(
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

    async def _is_settled(
        self,
        group: Group,
        reports: Sequence[RankReport],
    ) -> bool:
        """Tell whether no change is open; end one that was left."""
        held = _held_pass(reports)
        armed = [report for report in reports if report.armed is not None]
        if held is None and not armed:
            self.open_since.pop(group.name, None)
            return True
        if held is None and _agree(armed) and len(armed) == len(reports):
            # The group switches with its next pass; an idle one makes none.
            return False
        now = time.monotonic()
        since = self.open_since.setdefault(group.name, now)
        if now - since >= _FOREIGN_CHANGE:
            await self._end_change(group, held, armed)
        return False

    async def _end_change(
        self,
        group: Group,
        held: int | None,
        armed: Sequence[RankReport],
    ) -> None:
        """Finish a change that another host left, or undo it."""
        log.warning(
            'open map change found',
            extra={'group': group.name, 'held': held, 'armed': len(armed)},
        )
        switch = MapSwitch(self.engines, group.ranks, group.epoch)
        if held is not None and armed and _agree(armed):
            first = armed[0]
            version = first.armed or 0
            step = first.armed_step or held
            if step == held and await switch.finish(version, step):
                return
        undone = await switch.undo(group.highest, group.placement)
        if undone and held is not None:
            await switch.release(held)


def zero_counts(group: Group, engine: Engine) -> dict[str, Counts]:
    """Return the counts of the ranks of a group that has made no pass."""
    if group.step:
        return {}
    nothing = (0,) * (engine.layers * engine.experts)  # noqa: WPS435 - integers
    return {rank.name: Counts(group.epoch, 0, nothing) for rank in group.ranks}


def _is_complete(members: _Members) -> bool:
    reports = [report for _, report in members]
    states = {(report.epoch, report.placement) for report in reports}
    return len(reports) == reports[0].ranks and len(states) == 1


def _highest_version(report: RankReport) -> int:
    return max(report.placement, report.prepared or 0, report.armed or 0)


def _held_pass(reports: Sequence[RankReport]) -> int | None:
    held = [report.held for report in reports if report.held is not None]
    return held[0] if held else None


def _agree(armed: Sequence[RankReport]) -> bool:
    return len({(report.armed, report.armed_step) for report in armed}) == 1
