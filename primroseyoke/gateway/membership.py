"""The other gateways that a gateway knows, and the roles that follow from them.

A gateway learns the addresses of its peers from the store, from the settings and
from the senders of reports.
"""

import dataclasses
import logging
import math
import time
from collections.abc import Iterable

from .peer_reports import is_ip_address

__all__ = (
    'LEADERSHIP_TIMEOUT_SECONDS',
    'PEER_LIFETIME_SECONDS',
    'Membership',
    'Peer',
)

log = logging.getLogger(__name__)

# A host that has not reported for this time is no candidate for leadership.
LEADERSHIP_TIMEOUT_SECONDS = 0.9
# The same while a rank group has stalled, which the leader may have caused by
# stopping in the middle of a placement change. Hosts report at least every
# 0.35 s; two leaders at once only waste work.
_STALL_TAKEOVER_SECONDS = 0.5
# A host that has not reported for this time is not counted in ``host_count``.
# Until then, the hosts of an isolated zone still use their part of the limits.
PEER_LIFETIME_SECONDS = 10.0
# A host that reported within this time may be on the other side of a network
# partition, and may lead there. Partitions last up to 12 s.
_PARTITION_WINDOW_SECONDS = 20.0
# Time for the heartbeat of a host that has just started to reach the others.
_SETTLING_SECONDS = 2.0
# The address of a silent host is kept for this time, so that hosts reconnect
# after a long partition.
_ADDRESS_LIFETIME_SECONDS = 600.0


@dataclasses.dataclass(slots=True)
class Peer:
    """Another gateway; times in monotonic seconds.

    ``added_at`` is the time at which its address became known, which does not
    imply that it runs. ``lease`` is the fencing number of the duty lease that it
    holds, 0 if none.
    """

    added_at: float
    reported_at: float = -math.inf
    draining: bool = False
    availability_zone: str = ''
    sequence: int = 0
    lease: int = 0


class Membership:
    """The other gateways, by address, and the part of this one among them.

    Attributes:
        address: address of this host.
        peers: the other gateways that are known, by address.
        hosts_known_at: when the addresses of all hosts were read from the store,
            in monotonic seconds; infinite before.
    """

    def __init__(self, address: str, availability_zone: str) -> None:
        """Start with no peers."""
        self.address = address
        self.availability_zone = availability_zone
        self.peers: dict[str, Peer] = {}
        self.hosts_known_at = math.inf

    def add_peers(self, addresses: Iterable[str]) -> bool:
        """Add addresses; return whether any was not yet known."""
        known_count = len(self.peers)
        now = time.monotonic()
        # In a fixed order, so that seeded choices of peers can be repeated.
        for address in sorted(
            set(addresses) - {self.address} - set(self.peers)
        ):
            if not is_ip_address(address):
                # Sending to it would look up a name, or end the transport.
                log.warning(
                    'invalid address of a gateway ignored',
                    extra={'address': address},
                )
                continue
            self.peers[address] = Peer(now)
        return len(self.peers) > known_count

    @property
    def host_count(self) -> int:
        """Return the number of hosts that share the limits, with this one."""
        now = time.monotonic()
        return 1 + sum(
            now - max(peer.added_at, peer.reported_at) < PEER_LIFETIME_SECONDS
            for peer in self.peers.values()
        )

    @property
    def knows_hosts(self) -> bool:
        """Tell whether the addresses of all hosts were read from the store."""
        return math.isfinite(self.hosts_known_at)

    @property
    def hosts(self) -> frozenset[str]:
        """Return the addresses of all hosts that may be running.

        Silent hosts are among them: those on the other side of a partition
        still send requests. It is empty until the hosts have been known for so
        long that they know this one.
        """
        if time.monotonic() - self.hosts_known_at < _SETTLING_SECONDS:
            return frozenset()
        return frozenset((self.address, *self.peers))

    def add_all_hosts(self, addresses: Iterable[str]) -> None:
        """Add the addresses of all hosts, from the store."""
        self.add_peers(addresses)
        self.hosts_known_at = min(self.hosts_known_at, time.monotonic())

    @property
    def is_leader(self) -> bool:
        """Tell whether this host has the lowest address of the active hosts.

        The minority side of a network partition has no leader: two leaders
        would undo each other's changes.
        """
        return self.leads(has_stalled_group=False)

    def leads(self, has_stalled_group: bool) -> bool:
        """Tell whether this host leads, sooner if a rank group has stalled."""
        present = self.reported_within(
            _STALL_TAKEOVER_SECONDS
            if has_stalled_group
            else LEADERSHIP_TIMEOUT_SECONDS
        )
        if 2 * len(present) < len(
            self.reported_within(_PARTITION_WINDOW_SECONDS)
        ):
            return False
        return not any(
            address < self.address and not self.peers[address].draining
            for address in present
        )

    @property
    def lower_host_count(self) -> int:
        """Return the number of active hosts with a lower address."""
        return sum(
            address < self.address and not self.peers[address].draining
            for address in self.reported_within(LEADERSHIP_TIMEOUT_SECONDS)
        )

    @property
    def reader_rank(self) -> int:
        """Return the position of this host in the order of readers.

        The first hosts of all availability zones come first, so that the
        readers are in different zones.
        """
        return self.reader_order().index(self.address)

    def reader_order(self) -> list[str]:
        """Return the addresses of the active hosts in the order of readers."""
        zones = self.active_by_zone()
        zones.setdefault(self.availability_zone, []).append(self.address)
        places = [
            (place, address)
            for addresses in zones.values()
            for place, address in enumerate(sorted(addresses))
        ]
        return [address for _, address in sorted(places)]

    @property
    def active_count(self) -> int:
        """Return the number of hosts that are heard, with this one."""
        return len(self.reported_within(LEADERSHIP_TIMEOUT_SECONDS)) + 1

    def zone_of(self, address: str) -> str:
        """Return the availability zone of a host, '' if it is unknown."""
        peer = self.peers.get(address)
        return peer.availability_zone if peer else ''

    def active_by_zone(self) -> dict[str, list[str]]:
        """Return the addresses of the other active hosts by zone, sorted."""
        zones: dict[str, list[str]] = {}
        for address in sorted(self.reported_within(LEADERSHIP_TIMEOUT_SECONDS)):
            peer = self.peers[address]
            if not peer.draining:
                zones.setdefault(peer.availability_zone, []).append(address)
        return zones

    def reported_within(self, seconds: float) -> list[str]:
        """Return the addresses of the hosts heard in the last ``seconds``."""
        now = time.monotonic()
        return [
            address
            for address, peer in self.peers.items()
            if now - peer.reported_at < seconds
        ]

    def remove_expired(self, now: float) -> None:
        """Remove the hosts that have been silent for too long."""
        for address, peer in tuple(self.peers.items()):
            if (
                now - max(peer.added_at, peer.reported_at)
                > _ADDRESS_LIFETIME_SECONDS
            ):
                self.peers.pop(address)
                log.info(
                    'peer gateway silent for too long; address removed',
                    extra={'peer': address},
                )
