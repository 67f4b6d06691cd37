"""Exchange of requests in progress between gateways.

Gateways send each other reports as UDP datagrams. Each report replaces the one
before, so a lost one need not be resent, and an unreachable host does not delay
the others.
"""

import asyncio
import contextlib
import logging
import math
import time
from collections.abc import Callable, Iterable, Mapping
from typing import Any

import msgspec

from ..exceptions import MessageInvalid
from ..evidence import Evidence
from ..scheduling.backlog import Backlog
from .balancer import Balancer
from .clocks import boot_time
from .limit_reports import limit_statement, told_limits
from .membership import PEER_LIFETIME_SECONDS, Membership, Peer
from .peer_reports import (
    Batch,
    PeerMessage,
    Report,
    UsageMessage,
    decode_message,
    encode_message,
)
from .report_relay import ReportRelay
from .topic_sharing import TopicSharing

__all__ = ('PeerReporter',)

log = logging.getLogger(__name__)

Waiting = Mapping[str, Mapping[int, int]]
# Requests in progress by upstream, and waiting ones.
_Load = tuple[dict[str, int], Waiting]

# Minimum interval between reports. A report is sent at once when a request
# starts, so that other hosts do not reserve the same slot.
_MIN_REPORT_INTERVAL_SECONDS = 0.01
# Maximum delay of a report after requests have ended.
_MAX_REPORT_DELAY_SECONDS = 0.06
# Interval of reports that are sent without a change, so that the last one does
# not expire at the other hosts.
_HEARTBEAT_INTERVAL_SECONDS = 0.35
# With more hosts than this, reports are passed on by one host in each zone.
_MAX_DIRECT_HOST_COUNT = 48
# A report that was held for longer on its way is out of date.
_MAX_HELD_SECONDS = 1.0
_MS_PER_SECOND = 1000
# A report that was sent before the last one by less than this was overtaken. A
# greater difference shows that the host was restarted.
_MAX_OVERTAKEN_MS = 2000


class PeerReporter(Membership, asyncio.DatagramProtocol):
    """Sends the reports of this gateway and receives those of its peers.

    Attributes:
        draining: whether this host is shutting down.
        report_requested: set to send a report without delay.
        waiting: returns the on-time requests that wait on this host, by
            service and priority.
        backlog: requests that wait at other hosts.
        held_lease: returns the fencing number of the duty lease while this host
            holds it.
        on_lease: called with the fencing number that another host holds.
    """

    def __init__(
        self,
        host: str,
        address: str,
        port: int,
        availability_zone: str = '',
    ) -> None:
        """Report as ``host`` from ``address``; peers listen on ``port``."""
        super().__init__(address, availability_zone)
        self.host = host
        self.sharing: TopicSharing | None = None
        self.port = port
        self.balancer: Balancer | None = None
        self.on_report: Callable[[], None] = _do_nothing
        self.on_evidence: Callable[[Evidence, str], None] = _ignore_evidence
        self.on_peer: Callable[[str], None] = _ignore_peer
        self.held_lease: Callable[[], int | None] = _hold_no_lease
        self.on_lease: Callable[[int], None] = _ignore_lease
        self.on_usage: Callable[[UsageMessage, str], None] = _ignore_usage
        self.transport: Any = None
        self.waiting: Callable[[], Waiting] = dict
        self.backlog = Backlog()
        self.last_sent: _Load = ({}, {})
        self.last_heartbeat_at = -math.inf
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
        address = sender[0]
        try:
            message = decode_message(content)
        except MessageInvalid as error:
            log.warning(
                'malformed peer report ignored',
                extra={'sender': address, 'reason': str(error)},
            )
            return
        if isinstance(message, Evidence):
            self.on_evidence(message, address)
            return
        if isinstance(message, UsageMessage):
            self.on_usage(message, address)
            return
        if isinstance(message, Batch):
            self._receive_batch(message)
        elif message.host != self.host:
            self._apply_report(message, address)
            if message.pass_on:
                self._pass_on(address, message, is_local=True)
        self.on_report()

    def add_peers(self, addresses: Iterable[str]) -> bool:
        """Add addresses; return whether any was not yet known."""
        is_changed = super().add_peers(addresses)
        if is_changed:
            # Makes a heartbeat due at once. The new peers learn this address
            # from it and send their next report to it.
            self.last_heartbeat_at = -math.inf
        return is_changed

    def send_heartbeat(self) -> None:
        """Send a heartbeat, with announcements of topics, to all hosts."""
        self.last_heartbeat_at = -math.inf
        self.report_requested.set()

    async def run(self) -> None:
        """Send reports until cancelled."""
        while True:
            self.remove_expired(time.monotonic())
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
        elif self._load(balancer) != self.last_sent:
            self._send_change(relay_address, balancer)
        self.relay.flush(self.active_by_zone(), self.availability_zone)

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

    def send_usage(
        self, message: UsageMessage, addresses: Iterable[str]
    ) -> None:
        """Send counts of requests to some of the peers."""
        self._send_message(message, addresses)

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
            self._report(balancer),
            limits=told_limits(balancer.limits.notices, time.monotonic()),
            clients=balancer.shares.top_clients(time.monotonic()),
            pass_costs=balancer.groups.pass_costs(),
            silent_groups=balancer.groups.silent_groups(time.monotonic()),
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
                report, self.reported_within(PEER_LIFETIME_SECONDS)
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
        local = self.active_by_zone().get(self.availability_zone, [])
        return min([*local, self.address])

    def _report(self, balancer: Balancer) -> Report:
        self.last_sent = self._load(balancer)
        running, waiting = self.last_sent
        return Report(
            self.host,
            running,
            self.draining,
            availability_zone=self.availability_zone,
            sequence=int(boot_time() * _MS_PER_SECOND),
            waiting=waiting,
            lease=self.held_lease() or 0,
            work=balancer.costs.work.report(),
        )

    def _load(self, balancer: Balancer) -> _Load:
        return dict(balancer.in_flight.running), self.waiting()

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
            self.backlog.drop_report(report.host)
            balancer.shares.drop_report(report.host)
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
        self.peers[address] = Peer(
            now,
            now,
            report.draining,
            report.availability_zone,
            report.sequence,
            report.lease,
        )
        if report.lease:
            self.on_lease(report.lease)
        if self.sharing is not None and report.topics:
            self.sharing.receive(address, report.topics)
        self._apply_load(report, balancer, now - held, now)

    def _apply_load(
        self, report: Report, balancer: Balancer, sent_at: float, now: float
    ) -> None:
        balancer.in_flight.apply_report(
            report.host, report.running, now, report.work
        )
        balancer.groups.adopt_pass_costs(report.pass_costs, now)
        balancer.groups.adopt_silence(report.silent_groups, now)
        self.backlog.apply_report(report.host, report.waiting, sent_at)
        if report.clients:
            balancer.shares.apply_report(report.host, report.clients, now)
        for told in report.limits:
            balancer.limits.notices.record_told(limit_statement(told, sent_at))


def _do_nothing() -> None:
    """Allow calls of ``on_report`` before a callback is set."""


def _ignore_evidence(evidence: Evidence, sender: str) -> None:
    """Allow evidence before a callback is set."""


def _ignore_peer(address: str) -> None:
    """Allow new peers before a callback is set."""


def _hold_no_lease() -> int | None:
    """Report that this host holds no lease, where it takes part in none."""


def _ignore_lease(number: int) -> None:
    """Allow reports of a lease before a callback is set."""


def _ignore_usage(message: UsageMessage, sender: str) -> None:
    """Allow counts of requests before a callback is set."""
