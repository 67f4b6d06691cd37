"""Crash detection by an agent, from broken connections and load reports."""

import dataclasses
import time
from collections.abc import Callable, Iterable

from .admission import UpstreamLoad
from .exceptions import ServiceRefused, ServiceUnavailable
from .links import EntryConnection
from .messages import Suspect, Suspects
from .suspects import Classification, SuspectTable
from .upstream_client import UpstreamClient

__all__ = ('BrokenAttempt', 'CrashDetector', 'LoadPolled', 'poll_load')


@dataclasses.dataclass(frozen=True, slots=True)
class LoadPolled:
    """Result of a load poll; ``report`` is None if there was no response.

    ``requested_at`` is the time of the request in monotonic seconds,
    ``refused`` is true if the upstream refused the connection.
    """

    report: UpstreamLoad | None
    requested_at: float
    refused: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class BrokenAttempt:
    """An attempt whose connection broke, until a load report shows the cause.

    ``alone`` is true if no other request ran concurrently at any time.
    ``restart_count`` is the number of upstream restarts observed by the start
    of the attempt. ``on_resolved`` is called with whether the upstream crashed.
    """

    fingerprint: int
    alone: bool
    restart_count: int
    on_resolved: Callable[[bool], None]
    broken_at: float


class CrashDetector:
    """Crash evidence of one agent, and its unresolved broken attempts."""

    def __init__(self, upstream: str, poll: Callable[[], object]) -> None:
        """Use ``poll`` to request a load report."""
        self.upstream = upstream
        self.poll = poll
        self.suspects = SuspectTable()
        self.peers: set[EntryConnection] = set()
        self.unresolved: list[BrokenAttempt] = []

    def add_peer(self, peer: EntryConnection) -> None:
        """Register an entry that has connected and send it the evidence."""
        self.peers.add(peer)
        rows = self.suspects.snapshot(time.monotonic())
        if rows:
            peer.send(Suspects(rows))

    def classify(self, fingerprint: int) -> Classification:
        """Classify a request by its evidence."""
        return self.suspects.classify(fingerprint, time.monotonic())

    def merge(self, rows: Iterable[Suspect]) -> set[int]:
        """Merge evidence, broadcast what is new and return its fingerprints."""
        changed = self.suspects.merge(rows, time.monotonic())
        self._broadcast(changed)
        return {suspect.fingerprint for suspect in changed}

    def clear(self, fingerprint: int) -> bool:
        """Drop the evidence of a completed request; return False if none."""
        cleared = self.suspects.clear(fingerprint, time.monotonic())
        self._broadcast(cleared)
        return bool(cleared)

    def defer(self, attempt: BrokenAttempt) -> None:
        """Defer the reply to a broken attempt until its cause is known.

        Otherwise the entry would retry the request on another upstream whose
        agent has not received the crash evidence yet.
        """
        self.unresolved.append(attempt)
        if len(self.unresolved) == 1:
            self.poll()

    def resolve(self, polled: LoadPolled, restart_count: int) -> set[int]:
        """Resolve the attempts that broke before a load poll was sent.

        Args:
            polled: the result of the poll. A poll without a response counts as
                a crash, since the upstream has also broken a connection.
            restart_count: number of upstream restarts observed so far.

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
    """Request the load of an upstream and pass the result to ``on_result``."""
    requested_at = time.monotonic()
    try:
        polled = LoadPolled(client.fetch_load(), requested_at)
    except ServiceUnavailable as error:
        refused = isinstance(error, ServiceRefused)
        polled = LoadPolled(None, requested_at, refused)
    on_result(polled)
