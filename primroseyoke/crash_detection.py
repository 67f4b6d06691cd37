"""Crash detection by an agent, from broken connections and load reports."""

import dataclasses
import logging
import time
from collections.abc import Callable

from .admission import UpstreamLoad
from .exceptions import ServiceRefused, ServiceUnavailable
from .links import EntryConnection
from .messages import Suspects
from .evidence import (
    Evidence,
    Traits,
    UNKNOWN_REQUEST,
    start_key,
    trait,
)
from .suspects import Classification, SuspectTable
from .upstream_client import UpstreamClient

__all__ = ('BrokenAttempt', 'CrashDetector', 'LoadPolled', 'poll_load')

log = logging.getLogger(__name__)

# Minimum time between two refused requests that are tried again.
_TRIAL_INTERVAL_SECONDS = 1.0


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

    traits: Traits
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
        self.next_trial_at = 0.0
        # Spreads the trials of agents, which do not know of each other.
        self.trial_spread = trait(upstream.encode()) / 2**64

    def add_peer(self, peer: EntryConnection) -> None:
        """Register an entry that has connected and send it the evidence."""
        self.peers.add(peer)
        evidence = self.suspects.snapshot(time.monotonic())
        if evidence:
            peer.send(Suspects(evidence))

    def classify(self, traits: Traits) -> Classification:
        """Classify a request by the evidence against its traits."""
        return self.suspects.classify(traits, time.monotonic())

    def admit(self, traits: Traits) -> Classification:
        """Classify a new request; one that is refused may be tried again.

        It is then a suspect and runs exclusively.
        """
        now = time.monotonic()
        classification = self.suspects.classify(traits, now)
        if classification is not Classification.REFUSED:
            return classification
        trial_at = self.suspects.next_trial_at(traits, self.trial_spread)
        if now < max(trial_at, self.next_trial_at):
            return classification
        self.next_trial_at = now + _TRIAL_INTERVAL_SECONDS
        log.warning('request that is blamed for crashes is tried again')
        return Classification.SUSPECT

    def merge(self, evidence: Evidence) -> set[int]:
        """Merge evidence, broadcast what is new and return its traits."""
        return self._broadcast(self.suspects.merge(evidence, time.monotonic()))

    def clear(self, traits: Traits) -> set[int]:
        """Drop the evidence against a completed request; return its traits."""
        self.suspects.record_answer(traits, time.monotonic())
        return self._broadcast(self.suspects.clear(traits, time.monotonic()))

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
            The traits with new evidence.
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
        changed = self._record_crash(crashed) if crashed else set()
        for attempt in resolved:
            attempt.on_resolved(attempt in crashed)
        return changed

    def _record_crash(self, crashed: list[BrokenAttempt]) -> set[int]:
        start = max(attempt.restart_count for attempt in crashed)
        requests = [attempt.traits for attempt in crashed]
        if not all(attempt.alone for attempt in crashed):
            # The cause may be a request that was given up before.
            requests.append(UNKNOWN_REQUEST)
        return self._broadcast(
            self.suspects.record_crash(
                start_key(self.upstream, start), requests, time.monotonic()
            )
        )

    def _broadcast(self, evidence: Evidence) -> set[int]:
        if evidence:
            for peer in self.peers:
                peer.send(Suspects(evidence))
        return evidence.traits()


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
