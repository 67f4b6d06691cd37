"""Upstreams that a request may be sent to, looked up once for many requests.

Scoring each upstream for each request costs time that grows with their number.
A sample of them finds one that is nearly the least loaded: the load of the best
of several random choices is close to the minimum (Mitzenmacher, "The power of
two choices in randomized load balancing", 2001).
"""

import collections
import random
from collections.abc import Iterator, Mapping

from .rank_groups import RankGroupMonitor
from .upstreams import Upstream, UpstreamRegistry

__all__ = ('SAMPLE_SIZE_PER_SIDE', 'CandidateIndex', 'Candidates')

# Upstreams of the own availability zone and of the others that are compared for
# one request.
SAMPLE_SIZE_PER_SIDE = 8


class Candidates:
    """The upstreams of one service that accept requests.

    Attributes:
        ranks: number of upstreams by rank group; '' for those in no group.
    """

    def __init__(
        self,
        upstreams: list[Upstream],
        availability_zone: str,
        group_of: Mapping[str, str],
    ) -> None:
        """Divide ``upstreams`` into those of the own zone and the others."""
        self.upstreams = upstreams
        self.local: list[Upstream] = []
        self.remote: list[Upstream] = []
        self.ranks: collections.Counter[str] = collections.Counter()
        for upstream in upstreams:
            is_local = upstream.availability_zone == availability_zone
            (self.local if is_local else self.remote).append(upstream)
            self.ranks[group_of.get(upstream.name, '')] += 1

    def samples(
        self, generator: random.Random, size: int = SAMPLE_SIZE_PER_SIDE
    ) -> Iterator[list[Upstream]]:
        """Yield samples, and then all upstreams if none was all of them.

        A small sample is followed by one of the usual size, so that all
        upstreams are rarely compared while most of them are full.

        Args:
            generator: source of the random choices.
            size: upstreams of the own zone and of the others in the first one.
        """
        for each_size in sorted({size, SAMPLE_SIZE_PER_SIDE}):
            sample = [
                *_sample(self.local, generator, each_size),
                *_sample(self.remote, generator, each_size),
            ]
            yield sample
            if len(sample) == len(self.upstreams):
                return
        yield self.upstreams


class CandidateIndex:
    """Candidates by service and regions, until the upstreams change."""

    def __init__(
        self,
        registry: UpstreamRegistry,
        groups: RankGroupMonitor,
        availability_zone: str,
        region_of: Mapping[str, str],
    ) -> None:
        """Look up the upstreams of ``registry``."""
        self.registry = registry
        self.groups = groups
        self.availability_zone = availability_zone
        self.region_of = region_of
        self.version: tuple[object, ...] = ()
        self.found: dict[tuple[str, frozenset[str] | None], Candidates] = {}

    def find(
        self, service: str, regions: frozenset[str] | None = None
    ) -> Candidates:
        """Return the upstreams of a service in ``regions``; None for any.

        Only ranks have a group. While any accepting upstream of the service is
        in one, upstreams in no known group are left out: a rank that has joined
        no group rejects every request, and looks idle for that reason.
        """
        version = (
            self.registry.version,
            self.registry.zones_out,
            self.groups.version,
        )
        if version != self.version:
            self.version = version
            self.found.clear()
        key = (service, regions)
        candidates = self.found.get(key)
        if candidates is None:
            candidates = Candidates(
                self._in_groups_if_any(service, regions),
                self.availability_zone,
                self.groups.group_by_upstream,
            )
            self.found[key] = candidates
        return candidates

    def _in_groups_if_any(
        self, service: str, regions: frozenset[str] | None
    ) -> list[Upstream]:
        group_of = self.groups.group_by_upstream
        upstreams = self.registry.accepting(service, regions, self.region_of)
        has_groups = any(
            upstream.name in group_of
            for upstream in self.registry.accepting(service)
        )
        if not has_groups:
            return upstreams
        return [upstream for upstream in upstreams if upstream.name in group_of]


def _sample(
    upstreams: list[Upstream], generator: random.Random, size: int
) -> list[Upstream]:
    if len(upstreams) <= size:
        return upstreams
    return generator.sample(upstreams, size)
