"""Gateways tell each other their requests in progress.

The reports are datagrams: each replaces the one before, so a lost one needs no
repetition, and a host that is cut off costs the others nothing. A gateway
learns addresses from the store, from the settings and from whoever reports.
"""

import asyncio
import contextlib
import logging
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
_QUIET_INTERVAL = 0.8
# A host that was heard within this time, in seconds, does its duties.
_PRESENT = 1.7
# A host that was not heard for this time is gone, in seconds.
_LIFETIME = 10.0


class _Report(msgspec.Struct, array_like=True):
    """What a gateway tells the others.

    ``running`` is its requests in progress by upstream.
    """

    host: str
    running: dict[str, int]
    stopping: bool = False


class PeerReports(asyncio.DatagramProtocol):
    """Sends and receives reports.

    Attributes:
        heard: when each peer was last heard, by address (monotonic seconds).
    """

    def __init__(self, host: str, address: str, port: int) -> None:
        """Report as ``host`` from ``address``; peers listen at ``port``."""
        self.host = host
        self.address = address
        self.port = port
        self.balancer: Balancer | None = None
        self.on_news: Callable[[], None] = _ignore_news
        self.transport: Any = None
        self.heard: dict[str, float] = {}
        self.last: dict[str, int] = {}
        self.last_sent = 0.0
        self.stopping = False
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
        for address in addresses:
            if address != self.address:
                self.heard.setdefault(address, now)

    @property
    def hosts(self) -> int:
        """Return the number of hosts that share the load, this one included."""
        return len(self.heard) + 1

    @property
    def is_first(self) -> bool:
        """Tell whether this host comes first of those that are heard now."""
        now = time.monotonic()
        return not any(
            address < self.address
            for address, heard_at in self.heard.items()
            if now - heard_at < _PRESENT
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

    def report(self, stopping: bool = False) -> None:
        """Send a report if anything has changed or the last one is old."""
        balancer = self.balancer
        if balancer is None or self.transport is None:
            return
        self.stopping = self.stopping or stopping
        now = time.monotonic()
        unchanged = balancer.usage.running == self.last and not stopping
        if unchanged and now - self.last_sent < _QUIET_INTERVAL:
            return
        self.last = dict(balancer.usage.running)
        self.last_sent = now
        report = _Report(self.host, self.last, self.stopping)
        content = cbor2.dumps(msgspec.to_builtins(report))
        for address in self.heard:
            self.transport.sendto(content, (address, self.port))

    def _take(self, report: _Report, address: str, balancer: Balancer) -> None:
        if report.stopping:
            self.heard.pop(address, None)
            balancer.usage.forget(report.host)
            return
        now = time.monotonic()
        if address not in self.heard:
            log.info('peer found', extra={'peer': report.host})
        self.heard[address] = now
        balancer.usage.hear(report.host, report.running, now)
        self.on_news()

    def _forget_silent(self, now: float) -> None:
        for address, heard_at in tuple(self.heard.items()):
            if now - heard_at > _LIFETIME:
                self.heard.pop(address)
                log.info('peer lost', extra={'peer': address})


def _ignore_news() -> None:
    """Do nothing until somebody wants to know."""
