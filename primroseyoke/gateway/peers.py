"""Gateways tell each other their requests in progress.

The reports are datagrams: each replaces the one before, so a lost one needs no
repetition, and a host that is cut off costs the others nothing. A gateway
learns addresses from the store, from the settings and from whoever reports.
"""

import asyncio
import contextlib
import dataclasses
import logging
import math
import time
from collections.abc import Callable, Iterable
from typing import Any

import cbor2
import msgspec

from .balancer import Balancer

__all__ = ('PeerReporter',)

log = logging.getLogger(__name__)

# A report goes out at once when a request begins, so that others do not take
# the same place, but not before this time has passed since the last.
_MIN_REPORT_INTERVAL_SECONDS = 0.01
# Requests that end are reported within this time, in seconds.
_MAX_REPORT_DELAY_SECONDS = 0.06
# ... and this often without any change, so that the news does not expire.
_HEARTBEAT_INTERVAL_SECONDS = 0.35
# A host that was heard within this time, in seconds, does its duties.
_LEADERSHIP_TIMEOUT_SECONDS = 0.9
# A host that was not heard for this time no longer counts, in seconds: a zone
# that is cut off for longer still has its part of what is shared.
_PEER_LIFETIME_SECONDS = 10.0
# A host that was heard within this time, in seconds, may do duties in another
# part of a partition; those of today last up to 12 s.
_PARTITION_WINDOW_SECONDS = 20.0
# Its address is kept for this time, in seconds, so that hosts find each other
# again after a long partition.
_ADDRESS_LIFETIME_SECONDS = 600.0


class _Report(msgspec.Struct, array_like=True):
    """What a gateway tells the others.

    ``running`` is its requests in progress by upstream. A host that drains
    finishes them and gives up its duties; one that is ``gone`` has none left.
    """

    host: str
    running: dict[str, int]
    draining: bool = False
    gone: bool = False


@dataclasses.dataclass(slots=True)
class _Peer:
    """Another gateway; times in monotonic seconds.

    ``added_at`` is when its address was learned, which says little of whether
    it runs.
    """

    added_at: float
    reported_at: float = -math.inf
    draining: bool = False


class PeerReporter(asyncio.DatagramProtocol):
    """Sends and receives reports.

    Attributes:
        peers: the other gateways that are known, by address.
        draining: whether this host is about to stop.
    """

    def __init__(self, host: str, address: str, port: int) -> None:
        """Report as ``host`` from ``address``; peers listen at ``port``."""
        self.host = host
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
        """Keep the transport."""
        self.transport = transport

    def datagram_received(self, content: bytes, sender: Any) -> None:
        """Take a report."""
        try:
            report = msgspec.convert(cbor2.loads(content), _Report)
        except (cbor2.CBORError, msgspec.ValidationError) as error:
            log.warning(
                'peer report skipped',
                extra={'sender': sender[0], 'reason': str(error)},
            )
            return
        if report.host != self.host and self.balancer is not None:
            self._apply_report(report, sender[0], self.balancer)

    def add_peers(self, addresses: Iterable[str]) -> None:
        """Report to these addresses too."""
        now = time.monotonic()
        for address in set(addresses) - {self.address} - set(self.peers):
            self.peers[address] = _Peer(now)
            # They are told at once, and answer with their next report.
            self.last_heartbeat_at = -math.inf

    @property
    def host_count(self) -> int:
        """Return the number of hosts that share the load, this one included."""
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
        """Tell whether this host comes first of those that do duties now.

        None does in the smaller part of a partition: two leaders undo each
        other's work.
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

    async def run(self) -> None:
        """Report until cancelled."""
        while True:
            self._remove_expired(time.monotonic())
            self.send_if_due()
            await asyncio.sleep(_MIN_REPORT_INTERVAL_SECONDS)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_MAX_REPORT_DELAY_SECONDS):
                    await self.report_requested.wait()
            self.report_requested.clear()

    def send_if_due(self) -> None:
        """Send a report if anything has changed or the last one is old."""
        balancer = self.balancer
        if balancer is None:
            return
        now = time.monotonic()
        if now - self.last_heartbeat_at >= _HEARTBEAT_INTERVAL_SECONDS:
            self.last_heartbeat_at = now
            self._send(tuple(self.peers), balancer)
        elif balancer.in_flight.running != self.last_sent:
            self._send(self._reported_within(_PEER_LIFETIME_SECONDS), balancer)

    def announce_drain(self) -> None:
        """Tell the others that this host is about to stop."""
        self.draining = True
        if self.balancer is not None:
            self._send(tuple(self.peers), self.balancer)

    def announce_exit(self) -> None:
        """Tell the others that this host has stopped."""
        if self.balancer is not None:
            self._send(tuple(self.peers), self.balancer, gone=True)

    def _send(
        self,
        addresses: Iterable[str],
        balancer: Balancer,
        gone: bool = False,
    ) -> None:
        if self.transport is None:
            return
        self.last_sent = dict(balancer.in_flight.running)
        report = _Report(self.host, self.last_sent, self.draining, gone)
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
            log.info('peer found', extra={'peer': report.host})
        self.peers[address] = _Peer(now, now, report.draining)
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
                log.info('peer lost', extra={'peer': address})


def _do_nothing() -> None:
    """Do nothing until somebody wants to know."""
