"""The upstreams that are known, and whether they take work."""

import dataclasses
from collections.abc import Collection, Iterable, Mapping

__all__ = ('Upstream', 'UpstreamRegistry')

# An entry that lapsed while the store was away is written again within this
# time of its return, in seconds, if the upstream lives.
STORE_RECOVERY_GRACE_SECONDS = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Upstream:
    """One incarnation of an upstream, as it describes itself.

    ``started_at`` (Unix milliseconds) tells two incarnations under one name
    apart; 0 if it is not stated. ``cold_until`` is in monotonic seconds.
    """

    name: str
    service: str
    host: str
    port: int
    availability_zone: str
    draining: bool = False
    cold_until: float = 0
    started_at: int = 0


class UpstreamRegistry:
    """All upstreams by name, kept up to date from the store.

    Attributes:
        upstreams: those that exist, by name.
        zones_out: availability zones that operators have taken out.
    """

    def __init__(self) -> None:
        """Start without upstreams."""
        self.upstreams: dict[str, Upstream] = {}
        self.zones_out: frozenset[str] = frozenset()
        self.store_recovered_at = -STORE_RECOVERY_GRACE_SECONDS
        self.lapsed_until: dict[str, float] = {}

    def record_store_recovery(self, now: float) -> None:
        """Note that the store answers again after an outage."""
        self.store_recovered_at = now

    def put(self, upstream: Upstream) -> None:
        """Add an upstream or replace what is known of it."""
        self.lapsed_until.pop(upstream.name, None)
        self.upstreams[upstream.name] = upstream

    def remove(self, name: str, now: float) -> None:
        """Remove an upstream whose entry is gone.

        Just after an outage the entry may only have lapsed meanwhile: the
        upstream is kept until ``expire`` finds it still missing.
        """
        if name not in self.upstreams:
            return
        if now < self.store_recovered_at + STORE_RECOVERY_GRACE_SECONDS:
            self.lapsed_until.setdefault(
                name, self.store_recovered_at + STORE_RECOVERY_GRACE_SECONDS
            )
        else:
            self.upstreams.pop(name)

    def replace_all(self, present: Iterable[Upstream], now: float) -> None:
        """Take a full listing: all others are gone."""
        listed = {upstream.name: upstream for upstream in present}
        for name in set(self.upstreams) - set(listed):
            self.remove(name, now)
        for upstream in listed.values():
            self.put(upstream)

    def expire(self, now: float) -> None:
        """Remove upstreams whose entries did not come back."""
        for name, deadline in tuple(self.lapsed_until.items()):
            if now >= deadline:
                self.lapsed_until.pop(name)
                self.upstreams.pop(name, None)

    def accepting(
        self,
        service: str,
        regions: Collection[str] = (),
        region_of: Mapping[str, str] | None = None,
    ) -> list[Upstream]:
        """Return the upstreams of a service that may get new work.

        Args:
            service: name of the service.
            regions: regions that the work is bound to; empty for any.
            region_of: region of each availability zone.
        """
        regions_by_zone = region_of or {}
        return [
            upstream
            for upstream in self.upstreams.values()
            if upstream.service == service
            and not upstream.draining
            and upstream.availability_zone not in self.zones_out
            and _is_in_regions(upstream, regions, regions_by_zone)
        ]


def _is_in_regions(
    upstream: Upstream,
    regions: Collection[str],
    region_of: Mapping[str, str],
) -> bool:
    if not regions:
        return True
    return region_of.get(upstream.availability_zone) in regions
