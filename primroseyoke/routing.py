"""Choice of an upstream by an entry.

The load known to an entry may be stale; the agent of the upstream decides on
admission.
"""

import dataclasses
import heapq
import random
from collections.abc import Collection, Mapping

import xxhash

from .configuration import Configuration, Upstream
from .messages import Load

__all__ = ('Router', 'choose_links')

# A request spills over to another availability zone when the upstream chosen in
# the local zone exceeds this load ratio.
_SPILLOVER_LOAD_RATIO = 1.0
# A prefix stays on its upstream up to this load ratio, and is placed on at most
# this many upstreams (consistent hashing with bounded loads, Mirrokni, Thorup
# and Zadimoghaddam, 2018).
_PREFIX_MAX_LOAD_RATIO = 0.9
_PREFIX_REPLICA_COUNT = 3


@dataclasses.dataclass(slots=True)
class _UpstreamState:
    load: Load
    in_flight: int = 0
    in_flight_then: int = 0

    def update_load(self, load: Load) -> None:
        """Store a newer load report."""
        self.load = load
        self.in_flight_then = self.in_flight

    def load_ratio(self) -> float:
        """Return the load with one more request over the limit of the upstream.

        Above 1 the request would be queued.
        """
        reported = self.load.running + self.load.waiting
        # Adjust the report by the requests that this entry has since started
        # and finished.
        expected = reported + self.in_flight - self.in_flight_then
        occupied = max(expected, self.in_flight)
        return (occupied + 1) / max(self.load.limit, 1)


class Router:
    """Chooses upstreams by the load reported with answers."""

    def __init__(self, availability_zone: str, rng: random.Random) -> None:
        """Prefer upstreams in ``availability_zone``."""
        self.availability_zone = availability_zone
        self.rng = rng
        self.known_upstreams: dict[str, _UpstreamState] = {}

    def add_upstream(self, upstream: str, load: Load) -> None:
        """Add an upstream whose agent is connected."""
        self.known_upstreams[upstream] = _UpstreamState(load)

    def remove_upstream(self, upstream: str) -> None:
        """Remove an upstream whose agent has disconnected."""
        self.known_upstreams.pop(upstream, None)

    def update_load(self, upstream: str, load: Load) -> None:
        """Store load that arrived with an answer or a load report."""
        if upstream in self.known_upstreams:
            self.known_upstreams[upstream].update_load(load)

    def begin_request(self, upstream: str) -> None:
        """Count a request that this entry sends to an upstream."""
        if upstream in self.known_upstreams:
            self.known_upstreams[upstream].in_flight += 1

    def end_request(self, upstream: str) -> None:
        """Count a request of this entry as ended."""
        state = self.known_upstreams.get(upstream)
        if state is not None and state.in_flight:
            state.in_flight -= 1

    def choose(
        self,
        configuration: Configuration,
        service: str,
        excluded: Collection[str] = (),
        prefix: int = 0,
    ) -> str | None:
        """Return an upstream for a request, None if there is no candidate.

        An excluded upstream, or another one in its availability zone, is used
        only as a last resort: when a zone is partitioned, its links fail one by
        one, so the failure of one upstream suggests that others will follow.

        Args:
            configuration: the current configuration.
            service: name of the service.
            excluded: upstreams that this request was already sent to.
            prefix: hash of the prompt prefix, 0 for none. Requests with equal
                prefixes go to the same upstream while its load permits, to hit
                its prefix cache.
        """
        candidates = [
            name
            for name in sorted(self.known_upstreams)
            if self._is_candidate(configuration, service, name)
        ]
        candidates = _prefer_untried(configuration, candidates, excluded)
        local = [
            name for name in candidates if self._is_local(configuration, name)
        ]
        preferred = self._prefix_choice(local or candidates, prefix)
        if preferred is not None:
            return preferred
        choice = self._power_of_two_choice(local)
        if (
            choice
            and self.known_upstreams[choice].load_ratio()
            <= _SPILLOVER_LOAD_RATIO
        ):
            return choice
        remote = self._power_of_two_choice(candidates)
        if choice is None or remote is None:
            return remote
        return min(choice, remote, key=self._load_ratio)

    def _is_candidate(
        self,
        configuration: Configuration,
        service: str,
        name: str,
    ) -> bool:
        upstream = configuration.upstream(name)
        if upstream is None or upstream.service != service:
            return False
        if not self.known_upstreams[name].load.accepting:
            return False
        return configuration.accepts_requests(name)

    def _is_local(self, configuration: Configuration, name: str) -> bool:
        return _zone_of(configuration, name) == self.availability_zone

    def _prefix_choice(self, names: list[str], prefix: int) -> str | None:
        if not prefix or not names:
            return None
        ranked = heapq.nlargest(
            _PREFIX_REPLICA_COUNT,
            names,
            key=lambda name: _rendezvous_weight(str(prefix), name),
        )
        # The next upstream is used once the one before reaches the bound, so a
        # popular prefix spreads to only as many caches as its load requires.
        for name in ranked:
            if (
                self.known_upstreams[name].load_ratio()
                <= _PREFIX_MAX_LOAD_RATIO
            ):
                return name
        return None

    def _power_of_two_choice(self, names: list[str]) -> str | None:
        if not names:
            return None
        pair = self.rng.sample(names, min(len(names), 2))
        return min(pair, key=self._load_ratio)

    def _load_ratio(self, name: str) -> float:
        return self.known_upstreams[name].load_ratio()


def _prefer_untried(
    configuration: Configuration,
    candidates: list[str],
    excluded: Collection[str],
) -> list[str]:
    if not excluded:
        return candidates
    zones = {_zone_of(configuration, name) for name in excluded}
    elsewhere = [
        name
        for name in candidates
        if _zone_of(configuration, name) not in zones
    ]
    untried = [name for name in candidates if name not in excluded]
    return elsewhere or untried or candidates


def _zone_of(configuration: Configuration, name: str) -> str:
    upstream = configuration.upstream(name)
    return upstream.availability_zone if upstream else ''


def choose_links(
    configuration: Configuration,
    host: str,
    availability_zone: str,
    per_service: int,
) -> dict[str, str]:
    """Return the agents (``ip:port`` by upstream) that an entry connects to.

    For each service these are all homes of its keys, and ``per_service``
    upstreams chosen by rendezvous hashing, at least half of them in the
    availability zone of the entry if there are enough. The links of all entries
    are spread evenly, and adding or removing an upstream changes few of them.
    """
    upstreams = configuration.parts_of_kind('upstream')
    chosen: set[str] = set()
    for service in configuration.parts_of_kind('service'):
        homes = configuration.homes(service)
        if homes is not None:
            chosen.update(homes.members, homes.previous)
        ranked = _rank_upstreams(upstreams, service, host)
        local = [
            name
            for name in ranked
            if upstreams[name].availability_zone == availability_zone
        ]
        picked = local[: (per_service + 1) // 2]
        others = [name for name in ranked if name not in picked]
        chosen.update(picked, others[: per_service - len(picked)])
    return {
        name: upstreams[name].agent
        for name in sorted(chosen)
        if name in upstreams
    }


def _rank_upstreams(
    upstreams: Mapping[str, Upstream],
    service: str,
    host: str,
) -> list[str]:
    names = (
        name
        for name, upstream in upstreams.items()
        if upstream.service == service
    )
    return sorted(names, key=lambda name: _rendezvous_weight(host, name))


def _rendezvous_weight(host: str, upstream: str) -> int:
    return xxhash.xxh3_64_intdigest(f'{host}\0{upstream}'.encode())
