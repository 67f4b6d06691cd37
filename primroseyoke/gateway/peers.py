"""Exchange of requests in progress between gateways.

Gateways send each other reports as UDP datagrams. Each report replaces the one
before, so a lost one need not be resent, and an unreachable host does not delay
the others. A gateway learns the addresses of its peers from the store, from the
settings and from the senders of reports.
"""

import asyncio
import contextlib
import dataclasses
import logging
import math
import time
from collections.abc import Callable, Iterable
from typing import Any

import msgspec

from ..exceptions import MessageInvalid
from ..evidence import Evidence
from .balancer import Balancer
from .clocks import boot_time
from .notices import LimitStatement
from .peer_reports import (
    Batch,
    PeerMessage,
    Report,
    ToldLimit,
    decode_message,
    encode_message,
    is_ip_address,
)
from .report_relay import ReportRelay
from .topic_sharing import TopicSharing

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
# With more hosts than this, reports are passed on by one host in each zone.
_MAX_DIRECT_HOST_COUNT = 48
# A report that was held for longer on its way is out of date.
_MAX_HELD_SECONDS = 1.0
# Time for the heartbeat of a host that has just started to reach the others.
_SETTLING_SECONDS = 2.0
_MS_PER_SECOND = 1000
# A report that was sent before the last one by less than this was overtaken. A
# greater difference shows that the host was restarted.
_MAX_OVERTAKEN_MS = 2000
# The address of a silent host is kept for this time, so that hosts reconnect
# after a long partition.
_ADDRESS_LIFETIME_SECONDS = 600.0


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
    sequence: int = 0


class PeerReporter(asyncio.DatagramProtocol):
    """Sends the reports of this gateway and receives those of its peers.

    Attributes:
        peers: the other gateways that are known, by address.
        hosts_known_at: when the addresses of all hosts were read from the store,
            in monotonic seconds; infinite before.
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
        self.on_evidence: Callable[[Evidence, str], None] = _ignore_evidence
        self.on_peer: Callable[[str], None] = _ignore_peer
        self.transport: Any = None
        self.peers: dict[str, _Peer] = {}
        self.last_sent: dict[str, int] = {}
        self.last_heartbeat_at = -math.inf
        self.hosts_known_at = math.inf
        self.draining = False
        self.report_requested = asyncio.Event()
        self.relay = ReportRelay(self._send_message)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport that reports are sent through."""
        self.transport = transport

    def datagram_received(self, content: bytes, sender: Any) -> None:
        """Apply the report in a datagram; ignore malformed ones."""
        if self.balancer is None:
            return
        try:
            message = decode_message(content)
        except MessageInvalid as error:
            log.warning(
                'malformed peer report ignored',
                extra={'sender': sender[0], 'reason': str(error)},
            )
            return
        if isinstance(message, Evidence):
            self.on_evidence(message, sender[0])
            return
        if isinstance(message, Batch):
            self._receive_batch(message)
        elif message.host != self.host:
            self._apply_report(message, sender[0])
            if message.pass_on:
                self._pass_on(sender[0], message, is_local=True)
        self.on_report()

    def add_peers(self, addresses: Iterable[str]) -> None:
        """Add the addresses that are not yet known as peers."""
        now = time.monotonic()
        for address in set(addresses) - {self.address} - set(self.peers):
            if not is_ip_address(address):
                # Sending to it would look up a name, or end the transport.
                log.warning(
                    'invalid address of a gateway ignored',
                    extra={'address': address},
                )
                continue
            self.peers[address] = _Peer(now)
            # Makes a heartbeat due at once. The new peers learn this address
            # from it and send their next report to it.
            self.last_heartbeat_at = -math.inf

    @property
    def host_count(self) -> int:
        """Return the number of hosts that share the limits, with this one."""
        now = time.monotonic()
        return 1 + sum(
            now - max(peer.added_at, peer.reported_at) < _PEER_LIFETIME_SECONDS
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
        self.hosts_known_at = time.monotonic()

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
        return self.reader_order().index(self.address)

    def reader_order(self) -> list[str]:
        """Return the addresses of the active hosts in the order of readers."""
        zones = self._active_by_zone()
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
        relay_address = self._relay_address()
        if now - self.last_heartbeat_at >= _HEARTBEAT_INTERVAL_SECONDS:
            self.last_heartbeat_at = now
            self._send_heartbeat(relay_address, balancer)
        elif balancer.in_flight.running != self.last_sent:
            self._send_change(relay_address, balancer)
        self.relay.flush(self._active_by_zone(), self.availability_zone)

    def announce_drain(self) -> None:
        """Report that this host is draining."""
        self.draining = True
        if self.balancer is not None:
            report = self._report(self.balancer)
            self._send_message(report, tuple(self.peers))

    def announce_exit(self) -> None:
        """Report that this host has stopped."""
        if self.balancer is not None:
            report = msgspec.structs.replace(
                self._report(self.balancer), gone=True
            )
            self._send_message(report, tuple(self.peers))

    def send_evidence(
        self, evidence: Evidence, addresses: Iterable[str]
    ) -> None:
        """Send crash evidence to some of the peers."""
        self._send_message(evidence, addresses)

    def _send_heartbeat(
        self, relay_address: str | None, balancer: Balancer
    ) -> None:
        """Send a heartbeat.

        Hosts that pass on reports or read the store send it to all others
        themselves, so that a delay of another host does not hide them.
        """
        sharing = self.sharing
        is_direct = relay_address in {None, self.address}
        report = msgspec.structs.replace(
            self._report(balancer), limits=_told_limits(balancer)
        )
        if sharing and (is_direct or sharing.is_announcing):
            report = msgspec.structs.replace(
                report, topics=sharing.announcements()
            )
            self._send_message(report, tuple(self.peers))
        elif is_direct or relay_address is None:
            self._send_message(report, tuple(self.peers))
        else:
            self._send_to_relay(report, relay_address)

    def _send_change(
        self, relay_address: str | None, balancer: Balancer
    ) -> None:
        report = self._report(balancer)
        if relay_address is None:
            self._send_message(
                report, self._reported_within(_PEER_LIFETIME_SECONDS)
            )
        elif relay_address == self.address:
            self._pass_on(self.address, report, is_local=True)
        else:
            self._send_to_relay(report, relay_address)

    def _send_to_relay(self, report: Report, relay_address: str) -> None:
        self._send_message(
            msgspec.structs.replace(report, pass_on=True), [relay_address]
        )

    def _relay_address(self) -> str | None:
        """Return the host that passes on the reports of this zone.

        It is None if there are so few hosts that each reports to all.
        """
        if self.active_count <= _MAX_DIRECT_HOST_COUNT or self.draining:
            return None
        local = self._active_by_zone().get(self.availability_zone, [])
        return min([*local, self.address])

    def _active_by_zone(self) -> dict[str, list[str]]:
        """Return the addresses of the other active hosts by zone, sorted."""
        zones: dict[str, list[str]] = {}
        for address in sorted(
            self._reported_within(_LEADERSHIP_TIMEOUT_SECONDS)
        ):
            peer = self.peers[address]
            if not peer.draining:
                zones.setdefault(peer.availability_zone, []).append(address)
        return zones

    def _report(self, balancer: Balancer) -> Report:
        self.last_sent = dict(balancer.in_flight.running)
        return Report(
            self.host,
            self.last_sent,
            self.draining,
            availability_zone=self.availability_zone,
            sequence=int(boot_time() * _MS_PER_SECOND),
        )

    def _send_message(
        self, message: PeerMessage, addresses: Iterable[str]
    ) -> None:
        if self.transport is None:
            return
        content = encode_message(message)
        for address in addresses:
            self.transport.sendto(content, (address, self.port))

    def _receive_batch(self, batch: Batch) -> None:
        for relayed in batch.reports:
            if (
                relayed.address == self.address
                or relayed.held > _MAX_HELD_SECONDS
            ):
                continue
            self._apply_report(relayed.report, relayed.address, relayed.held)
            if batch.pass_on:
                self._pass_on(
                    relayed.address,
                    relayed.report,
                    is_local=False,
                    held=relayed.held,
                )

    def _pass_on(
        self,
        address: str,
        report: Report,
        is_local: bool,
        held: float = 0,
    ) -> None:
        passed_on = msgspec.structs.replace(report, pass_on=False, topics={})
        self.relay.add(address, passed_on, is_local, held)
        self.report_requested.set()

    def _apply_report(
        self, report: Report, address: str, held: float = 0
    ) -> None:
        balancer = self.balancer
        if balancer is None:
            return
        if report.gone:
            self.peers.pop(address, None)
            balancer.in_flight.drop_report(report.host)
            return
        now = time.monotonic()
        known = self.peers.get(address)
        if known is None:
            log.info(
                'peer gateway discovered; reports are sent to it',
                extra={'peer': report.host},
            )
            self.on_peer(address)
        elif 0 < known.sequence - report.sequence < _MAX_OVERTAKEN_MS:
            # A report that was passed on arrives after a later direct one.
            return
        self.peers[address] = _Peer(
            now,
            now,
            report.draining,
            report.availability_zone,
            report.sequence,
        )
        if self.sharing is not None and report.topics:
            self.sharing.receive(address, report.topics)
        balancer.in_flight.apply_report(report.host, report.running, now)
        for told in report.limits:
            balancer.notices.record_told(_limit_statement(told, held, now))

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


def _told_limits(balancer: Balancer) -> tuple[ToldLimit, ...]:
    now = time.monotonic()
    return tuple(
        ToldLimit(
            stated.upstream,
            stated.started_at,
            stated.per_second if math.isfinite(stated.per_second) else None,
            now - stated.stated_at,
        )
        for stated in balancer.notices.recent(now)
    )


def _limit_statement(
    told: ToldLimit, held: float, now: float
) -> LimitStatement:
    return LimitStatement(
        told.upstream,
        told.started_at,
        math.inf if told.per_second is None else told.per_second,
        now - told.age - held,
        is_own=False,
    )


def _do_nothing() -> None:
    """Allow calls of ``on_report`` before a callback is set."""


def _ignore_evidence(evidence: Evidence, sender: str) -> None:
    """Allow evidence before a callback is set."""


def _ignore_peer(address: str) -> None:
    """Allow new peers before a callback is set."""
