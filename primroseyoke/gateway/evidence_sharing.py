"""Tells other gateways the crash evidence of this one.

New evidence goes to all peers at once: crashes are rare, and each host that does
not know of them may cause another one. Datagrams can be lost and hosts can be
cut off, so each host also tells a few random peers the strongest of what it
knows each second. What a host receives does not grow with the number of hosts.
"""

import asyncio
import random
from collections.abc import Iterable

from ..evidence import Evidence
from .clocks import boot_time
from .crash_detection import CrashDetector
from .peers import PeerReporter

__all__ = ('EvidenceSharing',)

# Interval at which a host tells peers the evidence that it has, and to how many.
# A host that lacks it misses it for 3 s once in 160,000 times.
_GOSSIP_INTERVAL_SECONDS = 1.0
_GOSSIP_PEER_COUNT = 4
# Keeps a datagram below the usual size of a packet on loopback and the maximum
# size of a datagram.
_MAX_MESSAGE_REQUESTS = 8
# A new host gets the evidence from about this many hosts.
_WELCOME_COUNT = 4


class EvidenceSharing:
    """Sends crash evidence to the peers of a gateway and receives theirs."""

    def __init__(
        self,
        detector: CrashDetector,
        reporter: PeerReporter,
        generator: random.Random,
    ) -> None:
        """Share the evidence of ``detector`` with the peers of ``reporter``."""
        self.detector = detector
        self.reporter = reporter
        self.generator = generator
        detector.on_evidence = self.broadcast
        detector.may_try_again = lambda: reporter.is_leader
        reporter.on_evidence = detector.merge
        reporter.on_peer = self.welcome

    async def run(self) -> None:
        """Tell peers the evidence until cancelled."""
        while True:
            await asyncio.sleep(_GOSSIP_INTERVAL_SECONDS)
            self.gossip()

    def broadcast(self, evidence: Evidence) -> None:
        """Send new evidence to all peers."""
        self.reporter.send_evidence(evidence, tuple(self.reporter.peers))

    def gossip(self) -> None:
        """Send the strongest evidence to a few random peers."""
        peers = tuple(self.reporter.peers)
        self._send_summary(
            self.generator.sample(peers, min(len(peers), _GOSSIP_PEER_COUNT))
        )

    def welcome(self, address: str) -> None:
        """Send the strongest evidence to a peer that was not known before."""
        share = _WELCOME_COUNT / self.reporter.active_count
        if self.generator.random() < share:
            self._send_summary([address])

    def _send_summary(self, addresses: Iterable[str]) -> None:
        evidence = self.detector.suspects.snapshot(
            boot_time(), _MAX_MESSAGE_REQUESTS
        )
        if evidence:
            self.reporter.send_evidence(evidence, addresses)
