"""What an agent learns from broken connections, and shares with its peers."""

import dataclasses
import time
from collections.abc import Callable, Iterable

from .admission import UpstreamLoad
from .exceptions import ServiceRefused, ServiceUnavailable
from .links import Peer
from .messages import Suspect, Suspects
from .services import UpstreamClient
from .suspects import Classification, SuspectTable

__all__ = ('BrokenAttempt', 'CrashDetector', 'LoadPolled', 'poll_load')


@dataclasses.dataclass(frozen=True, slots=True)
class LoadPolled:
    """A load report, None if there was no answer.

    ``requested_at`` is when it was asked for, in monotonic seconds. ``refused``
    tells that the upstream accepted no connection.
    """

    report: UpstreamLoad | None
    requested_at: float
    refused: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class BrokenAttempt:
    """An attempt whose connection broke; a later load report shows why.

    ``alone`` tells that nothing else ran beside it at any time, ``restart_count``
    how many restarts of the upstream had been seen when it started.
    ``answer`` takes whether the upstream crashed.
    """

    fingerprint: int
    alone: bool
    restart_count: int
    on_resolved: Callable[[bool], None]
    broken_at: float


class CrashDetector:
    """Suspects of one agent, and broken attempts that are not yet explained."""

    def __init__(self, upstream: str, poll: Callable[[], object]) -> None:
        """Call ``poll`` to ask for a load report."""
        self.upstream = upstream
        self.poll = poll
        self.suspects = SuspectTable()
        self.peers: set[Peer] = set()
        self.unresolved: list[BrokenAttempt] = []

    def add_peer(self, peer: Peer) -> None:
        """Send the evidence to an entry that has connected."""
        self.peers.add(peer)
        rows = self.suspects.snapshot(time.monotonic())
        if rows:
            peer.send(Suspects(rows))

    def classify(self, fingerprint: int) -> Classification:
        """Return what the evidence says about a request."""
        return self.suspects.classify(fingerprint, time.monotonic())

    def merge(self, rows: Iterable[Suspect]) -> set[int]:
        """Take evidence and pass on what is new; return its fingerprints."""
        changed = self.suspects.merge(rows, time.monotonic())
        self._broadcast(changed)
        return {suspect.fingerprint for suspect in changed}

    def clear(self, fingerprint: int) -> bool:
        """Drop the evidence against a request that completed, if any."""
        cleared = self.suspects.clear(fingerprint, time.monotonic())
        self._broadcast(cleared)
        return bool(cleared)

    def defer(self, attempt: BrokenAttempt) -> None:
        """Keep the answer to a broken attempt back until it is explained.

        Otherwise the entry sends the request to the next upstream before that
        one has heard of the crash.
        """
        self.unresolved.append(attempt)
        if len(self.unresolved) == 1:
            self.poll()

    def resolve(self, polled: LoadPolled, restart_count: int) -> set[int]:
        """Explain broken attempts by a load report, and answer them.

        Args:
            polled: the report. None is taken for a crash: the upstream broke
                a connection and does not answer.
            restart_count: how many restarts of the upstream have been seen.

        Returns:
            The fingerprints with new evidence.
        """
        resolved = [
            broken
            for broken in self.unresolved
            if broken.broken_at <= polled.requested_at
        ]
        if not resolved:
            return set()
        self.unresolved = [
            broken
            for broken in self.unresolved
            if broken.broken_at > polled.requested_at
        ]
        if self.unresolved:
            self.poll()
        crashed = [
            broken
            for broken in resolved
            if polled.report is None or broken.restart_count != restart_count
        ]
        for attempt in crashed:
            rows = self.suspects.record_crash(
                attempt.fingerprint,
                self.upstream,
                attempt.alone,
                time.monotonic(),
            )
            self._broadcast(rows)
        for attempt in resolved:
            attempt.on_resolved(attempt in crashed)
        return {broken.fingerprint for broken in crashed}

    def _broadcast(self, rows: tuple[Suspect, ...]) -> None:
        if rows:
            for peer in self.peers:
                peer.send(Suspects(rows))


def poll_load(
    client: UpstreamClient,
    on_result: Callable[[LoadPolled], object],
) -> None:
    """Ask an upstream for its load and tell the outcome."""
    requested_at = time.monotonic()
    try:
        polled = LoadPolled(client.load(), requested_at)
    except ServiceUnavailable as error:
        refused = isinstance(error, ServiceRefused)
        polled = LoadPolled(None, requested_at, refused)
    on_result(polled)
