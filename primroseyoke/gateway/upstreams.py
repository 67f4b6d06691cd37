"""Registry of the known upstreams and whether they accept requests."""

import dataclasses
import logging
from collections.abc import Collection, Iterable, Mapping

__all__ = ('Upstream', 'UpstreamRegistry')

log = logging.getLogger(__name__)

# Time after a store outage within which running upstreams write their entries
# again if these expired during the outage.
STORE_RECOVERY_GRACE_SECONDS = 2.0
# Upstreams that have left are remembered, since an old entry may come back.
_MAX_LEAVING_COUNT = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class Upstream:
    """One incarnation of an upstream, as described by its store entry.

    ``started_at`` (Unix milliseconds) distinguishes incarnations with the same
    name; 0 if it is not stated. ``cold_until`` is in monotonic seconds.
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
    """All known upstreams by name, updated from the store.

    Attributes:
        upstreams: upstreams by name.
        zones_out: availability zones that operators took out of service.
        version: changes with the upstreams.
        leaving: start of each upstream that has said that it leaves, by name.
    """

    def __init__(self) -> None:
        """Start without upstreams."""
        self.upstreams: dict[str, Upstream] = {}
        self.version = 0
        self.zones_out: frozenset[str] = frozenset()
        self.store_recovered_at = -STORE_RECOVERY_GRACE_SECONDS
        self.lapsed_until: dict[str, float] = {}
        self.leaving: dict[str, int] = {}

    def mark_leaving(self, upstream: Upstream) -> None:
        """Treat an upstream as draining until it has started anew.

        Its entry may say for longer that it is ready, for example while the
        store is away.
        """
        if self.leaving.get(upstream.name) == upstream.started_at:
            return
        log.info(
            'upstream says that it leaves', extra={'upstream': upstream.name}
        )
        self.leaving[upstream.name] = upstream.started_at
        if len(self.leaving) > _MAX_LEAVING_COUNT:
            self.leaving.pop(next(iter(self.leaving)))
        known = self.upstreams.get(upstream.name)
        if known is not None:
            self.put(known)

    def record_store_recovery(self, now: float) -> None:
        """Record that the store responds again after an outage."""
        self.store_recovered_at = now

    def put(self, upstream: Upstream) -> None:
        """Add an upstream or replace the one with the same name."""
        self.lapsed_until.pop(upstream.name, None)
        left_at = self.leaving.get(upstream.name, upstream.started_at)
        if left_at != upstream.started_at:
            self.leaving.pop(upstream.name)
        elif upstream.name in self.leaving:
            upstream = dataclasses.replace(upstream, draining=True)
        if self.upstreams.get(upstream.name) != upstream:
            self.version += 1
        self.upstreams[upstream.name] = upstream

    def remove(self, name: str, now: float) -> None:
        """Remove an upstream whose entry no longer exists.

        Shortly after a store outage, the entry may merely have expired during
        the outage; the upstream is then kept until ``expire`` finds that the
        entry was not written again.
        """
        if name not in self.upstreams:
            return
        if now < self.store_recovered_at + STORE_RECOVERY_GRACE_SECONDS:
            self.lapsed_until.setdefault(
                name, self.store_recovered_at + STORE_RECOVERY_GRACE_SECONDS
            )
        else:
            self.version += 1
            self.upstreams.pop(name)

    def replace_all(self, present: Iterable[Upstream], now: float) -> None:
        """Apply a full listing; remove upstreams that it does not contain."""
        listed = {upstream.name: upstream for upstream in present}
        for name in set(self.upstreams) - set(listed):
            self.remove(name, now)
        for upstream in listed.values():
            self.put(upstream)

    def expire(self, now: float) -> None:
        """Remove upstreams whose entries were not written again in time."""
        for name, deadline in tuple(self.lapsed_until.items()):
            if now >= deadline:
                self.lapsed_until.pop(name)
                self.version += 1
                self.upstreams.pop(name, None)

    def accepting(
        self,
        service: str,
        regions: Collection[str] | None = None,
        region_of: Mapping[str, str] | None = None,
    ) -> list[Upstream]:
        """Return the upstreams of a service that accept new requests.

        Args:
            service: name of the service.
            regions: regions that requests are restricted to; None for any.
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
    regions: Collection[str] | None,
    region_of: Mapping[str, str],
) -> bool:
    if regions is None:
        return True
    return region_of.get(upstream.availability_zone) in regions
