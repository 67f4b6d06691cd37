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

__all__ = ('PeerReports',)

log = logging.getLogger(__name__)

# A report goes out at once when a request begins, so that others do not take
# the same place, but not before this time has passed since the last.
_LEAST_INTERVAL = 0.01
# Requests that end are reported within this time, in seconds.
_INTERVAL = 0.06
# ... and this often without any change, so that the news does not expire.
_QUIET_INTERVAL = 0.35
# A host that was heard within this time, in seconds, does its duties.
_PRESENT = 0.9
# A host that was not heard for this time no longer counts, in seconds: a zone
# that is cut off for longer still has its part of what is shared.
_LIFETIME = 10.0
# A host that was heard within this time, in seconds, may do duties in another
# part of a partition; those of today last up to 12 s.
_PARTITION = 20.0
# Its address is kept for this time, in seconds, so that hosts find each other
# again after a long partition.
_ADDRESS_LIFETIME = 600.0


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

    ``known_at`` is when its address was learned, which says little of whether
    it runs.
    """

    known_at: float
    heard_at: float = -math.inf
    draining: bool = False


class PeerReports(asyncio.DatagramProtocol):
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
        self.on_news: Callable[[], None] = _ignore_news
        self.transport: Any = None
        self.peers: dict[str, _Peer] = {}
        self.last: dict[str, int] = {}
        self.beaten_at = -math.inf
        self.draining = False
        self.begun = asyncio.Event()

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
            self._take(report, sender[0], self.balancer)

    def introduce(self, addresses: Iterable[str]) -> None:
        """Report to these addresses too."""
        now = time.monotonic()
        for address in set(addresses) - {self.address} - set(self.peers):
            self.peers[address] = _Peer(now)
            # They are told at once, and answer with their next report.
            self.beaten_at = -math.inf

    @property
    def hosts(self) -> int:
        """Return the number of hosts that share the load, this one included."""
        now = time.monotonic()
        counted = [
            peer
            for peer in self.peers.values()
            if now - max(peer.known_at, peer.heard_at) < _LIFETIME
        ]
        return len(counted) + 1

    @property
    def is_first(self) -> bool:
        """Tell whether this host comes first of those that do duties now.

        None does in the smaller part of a partition: two leaders undo each
        other's work.
        """
        present = self._heard_within(_PRESENT)
        if 2 * len(present) < len(self._heard_within(_PARTITION)):
            return False
        return not any(
            address < self.address and not self.peers[address].draining
            for address in present
        )

    async def run(self) -> None:
        """Report until cancelled."""
        while True:
            self._forget_silent(time.monotonic())
            self.report()
            await asyncio.sleep(_LEAST_INTERVAL)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_INTERVAL):
                    await self.begun.wait()
            self.begun.clear()

    def report(self) -> None:
        """Send a report if anything has changed or the last one is old."""
        balancer = self.balancer
        if balancer is None:
            return
        now = time.monotonic()
        if now - self.beaten_at >= _QUIET_INTERVAL:
            self.beaten_at = now
            self._send(tuple(self.peers), balancer)
        elif balancer.usage.running != self.last:
            self._send(self._heard_within(_LIFETIME), balancer)

    def drain(self) -> None:
        """Tell the others that this host is about to stop."""
        self.draining = True
        if self.balancer is not None:
            self._send(tuple(self.peers), self.balancer)

    def leave(self) -> None:
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
        self.last = dict(balancer.usage.running)
        report = _Report(self.host, self.last, self.draining, gone)
        content = cbor2.dumps(msgspec.to_builtins(report))
        for address in addresses:
            self.transport.sendto(content, (address, self.port))

    def _take(self, report: _Report, address: str, balancer: Balancer) -> None:
        if report.gone:
            self.peers.pop(address, None)
            balancer.usage.forget(report.host)
            return
        now = time.monotonic()
        if address not in self.peers:
            log.info('peer found', extra={'peer': report.host})
        self.peers[address] = _Peer(now, now, report.draining)
        balancer.usage.hear(report.host, report.running, now)
        self.on_news()

    def _heard_within(self, seconds: float) -> list[str]:
        now = time.monotonic()
        return [
            address
            for address, peer in self.peers.items()
            if now - peer.heard_at < seconds
        ]

    def _forget_silent(self, now: float) -> None:
        for address, peer in tuple(self.peers.items()):
            if now - max(peer.known_at, peer.heard_at) > _ADDRESS_LIFETIME:
                self.peers.pop(address)
                log.info('peer lost', extra={'peer': address})


def _ignore_news() -> None:
    """Do nothing until somebody wants to know."""
