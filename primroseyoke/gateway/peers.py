"""Exchange of requests in progress between gateways.

Gateways send each other reports as UDP datagrams. Each report replaces the one
before, so a lost one need not be resent, and an unreachable host does not delay
the others. A gateway learns the addresses of its peers from the store, from the
settings and from the senders of reports.
"""

import asyncio
import collections
import contextlib
import dataclasses
import logging
import math
import time
from collections.abc import Callable, Iterable
from typing import Annotated, Any

import cbor2
import msgspec

from .balancer import Balancer
from .topic_sharing import Announcement, TopicSharing

__all__ = ('PeerReporter',)

log = logging.getLogger(__name__)

# Minimum interval between reports. A report is sent at once when a request
# starts, so that other hosts do not reserve the same slot.
_MIN_REPORT_INTERVAL_SECONDS = 0.01
# Maximum delay of a report after requests have ended.
_MAX_REPORT_DELAY_SECONDS = 0.06
# Interval of reports that are sent without a change, so that the last one does
# not expire at the other hosts.
_HEARTBEAT_INTERVAL_SECONDS = 0.35
# A host that has not reported for this time is no candidate for leadership.
_LEADERSHIP_TIMEOUT_SECONDS = 0.9
# A host that has not reported for this time is not counted in ``host_count``.
# Until then, the hosts of an isolated zone still use their part of the limits.
_PEER_LIFETIME_SECONDS = 10.0
# A host that reported within this time may be on the other side of a network
# partition, and may lead there. Partitions last up to 12 s.
_PARTITION_WINDOW_SECONDS = 20.0
# The address of a silent host is kept for this time, so that hosts reconnect
# after a long partition.
_ADDRESS_LIFETIME_SECONDS = 600.0


class _Report(msgspec.Struct, array_like=True):
    """Report of a gateway to its peers.

    ``running`` has its requests in progress by upstream. A ``draining`` host
    finishes them and cannot be the leader; a host that is ``gone`` has none
    left. ``topics`` tells how far it has read the topics of the store; only
    heartbeats have it.
    """

    host: str
    running: dict[str, Annotated[int, msgspec.Meta(ge=0)]]
    draining: bool = False
    gone: bool = False
    availability_zone: str = ''
    topics: dict[str, Announcement] = {}


@dataclasses.dataclass(slots=True)
class _Peer:
    """Another gateway; times in monotonic seconds.

    ``added_at`` is the time at which its address became known, which does not
    imply that it runs.
    """

    added_at: float
    reported_at: float = -math.inf
    draining: bool = False
    availability_zone: str = ''


class PeerReporter(asyncio.DatagramProtocol):
    """Sends the reports of this gateway and receives those of its peers.

    Attributes:
        peers: the other gateways that are known, by address.
        draining: whether this host is shutting down.
        report_requested: set to send a report without delay.
    """

    def __init__(
        self,
        host: str,
        address: str,
        port: int,
        availability_zone: str = '',
    ) -> None:
        """Report as ``host`` from ``address``; peers listen on ``port``."""
        self.host = host
        self.availability_zone = availability_zone
        self.sharing: TopicSharing | None = None
        self.address = address
        self.port = port
        self.balancer: Balancer | None = None
        self.on_report: Callable[[], None] = _do_nothing
        self.transport: Any = None
        self.peers: dict[str, _Peer] = {}
        self.last_sent: dict[str, int] = {}
        self.last_heartbeat_at = -math.inf
        self.draining = False
        self.report_requested = asyncio.Event()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport that reports are sent through."""
        self.transport = transport

    def datagram_received(self, content: bytes, sender: Any) -> None:
        """Apply the report in a datagram; ignore malformed ones."""
        try:
            report = msgspec.convert(cbor2.loads(content), _Report)
        except (cbor2.CBORError, msgspec.ValidationError) as error:
            log.warning(
                'malformed peer report ignored',
                extra={'sender': sender[0], 'reason': str(error)},
            )
            return
        if report.host != self.host and self.balancer is not None:
            self._apply_report(report, sender[0], self.balancer)

    def add_peers(self, addresses: Iterable[str]) -> None:
        """Add the addresses that are not yet known as peers."""
        now = time.monotonic()
        for address in set(addresses) - {self.address} - set(self.peers):
            self.peers[address] = _Peer(now)
            # Makes a heartbeat due at once. The new peers learn this address
            # from it and send their next report to it.
            self.last_heartbeat_at = -math.inf

    @property
    def host_count(self) -> int:
        """Return the number of hosts that share the limits, with this one."""
        now = time.monotonic()
        counted = [
            peer
            for peer in self.peers.values()
            if now - max(peer.added_at, peer.reported_at)
            < _PEER_LIFETIME_SECONDS
        ]
        return len(counted) + 1

    @property
    def is_leader(self) -> bool:
        """Tell whether this host has the lowest address of the active hosts.

        The minority side of a network partition has no leader: two leaders
        would undo each other's changes.
        """
        present = self._reported_within(_LEADERSHIP_TIMEOUT_SECONDS)
        if 2 * len(present) < len(
            self._reported_within(_PARTITION_WINDOW_SECONDS)
        ):
            return False
        return not any(
            address < self.address and not self.peers[address].draining
            for address in present
        )

    @property
    def reader_rank(self) -> int:
        """Return the position of this host in the order of readers.

        The first hosts of all availability zones come first, so that the
        readers are in different zones.
        """
        peers = [
            (peer.availability_zone, address)
            for address in self._reported_within(_LEADERSHIP_TIMEOUT_SECONDS)
            if not (peer := self.peers[address]).draining
        ]
        places: collections.Counter[str] = collections.Counter()
        order = []
        for zone, address in sorted(
            [*peers, (self.availability_zone, self.address)]
        ):
            order.append((places[zone], address))
            places[zone] += 1
        return sorted(order).index(
            next(place for place in order if place[1] == self.address)
        )

    @property
    def active_count(self) -> int:
        """Return the number of hosts that are heard, with this one."""
        return len(self._reported_within(_LEADERSHIP_TIMEOUT_SECONDS)) + 1

    def zone_of(self, address: str) -> str:
        """Return the availability zone of a host, '' if it is unknown."""
        peer = self.peers.get(address)
        return peer.availability_zone if peer else ''

    def send_heartbeat(self) -> None:
        """Send a heartbeat, with announcements of topics, to all hosts."""
        self.last_heartbeat_at = -math.inf
        self.report_requested.set()

    async def run(self) -> None:
        """Send reports until cancelled."""
        while True:
            self._remove_expired(time.monotonic())
            self.send_if_due()
            await asyncio.sleep(_MIN_REPORT_INTERVAL_SECONDS)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_MAX_REPORT_DELAY_SECONDS):
                    await self.report_requested.wait()
            self.report_requested.clear()

    def send_if_due(self) -> None:
        """Send a report if the load has changed or a heartbeat is due."""
        balancer = self.balancer
        if balancer is None:
            return
        now = time.monotonic()
        if now - self.last_heartbeat_at >= _HEARTBEAT_INTERVAL_SECONDS:
            self.last_heartbeat_at = now
            self._send(tuple(self.peers), balancer, heartbeat=True)
        elif balancer.in_flight.running != self.last_sent:
            self._send(self._reported_within(_PEER_LIFETIME_SECONDS), balancer)

    def announce_drain(self) -> None:
        """Report that this host is draining."""
        self.draining = True
        if self.balancer is not None:
            self._send(tuple(self.peers), self.balancer)

    def announce_exit(self) -> None:
        """Report that this host has stopped."""
        if self.balancer is not None:
            self._send(tuple(self.peers), self.balancer, gone=True)

    def _send(
        self,
        addresses: Iterable[str],
        balancer: Balancer,
        gone: bool = False,
        heartbeat: bool = False,
    ) -> None:
        if self.transport is None:
            return
        self.last_sent = dict(balancer.in_flight.running)
        topics = (
            self.sharing.announcements() if self.sharing and heartbeat else {}
        )
        report = _Report(
            self.host,
            self.last_sent,
            self.draining,
            gone,
            self.availability_zone,
            topics,
        )
        content = cbor2.dumps(msgspec.to_builtins(report))
        for address in addresses:
            self.transport.sendto(content, (address, self.port))

    def _apply_report(
        self, report: _Report, address: str, balancer: Balancer
    ) -> None:
        if report.gone:
            self.peers.pop(address, None)
            balancer.in_flight.drop_report(report.host)
            return
        now = time.monotonic()
        if address not in self.peers:
            log.info(
                'peer gateway discovered; reports are sent to it',
                extra={'peer': report.host},
            )
        self.peers[address] = _Peer(
            now, now, report.draining, report.availability_zone
        )
        if self.sharing is not None and report.topics:
            self.sharing.receive(address, report.topics)
        balancer.in_flight.apply_report(report.host, report.running, now)
        self.on_report()

    def _reported_within(self, seconds: float) -> list[str]:
        now = time.monotonic()
        return [
            address
            for address, peer in self.peers.items()
            if now - peer.reported_at < seconds
        ]

    def _remove_expired(self, now: float) -> None:
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


def _do_nothing() -> None:
    """Allow calls of ``on_report`` before a callback is set."""
