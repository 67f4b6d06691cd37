"""What an agent learns from broken connections, and shares with its peers."""

import dataclasses
import time
from collections.abc import Callable, Iterable

from .admission import UpstreamLoad
from .exceptions import ServiceRefused, ServiceUnavailable
from .links import Peer
from .messages import Suspect, Suspects
from .services import UpstreamClient
from .suspects import Standing, SuspectTable

__all__ = ('BrokenAttempt', 'CrashWatch', 'LoadPolled', 'poll_load')


@dataclasses.dataclass(frozen=True, slots=True)
class LoadPolled:
    """A load report, None if there was no answer.

    ``asked_at`` is when it was asked for, in monotonic seconds. ``refused``
    tells that the upstream accepted no connection.
    """

    report: UpstreamLoad | None
    asked_at: float
    refused: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class BrokenAttempt:
    """An attempt whose connection broke; a later load report shows why.

    ``alone`` tells that nothing else ran beside it at any time, ``restarts``
    how many restarts of the upstream had been seen when it started.
    ``answer`` takes whether the upstream crashed.
    """

    fingerprint: int
    alone: bool
    restarts: int
    answer: Callable[[bool], None]
    at: float


class CrashWatch:
    """Suspects of one agent, and broken attempts that are not yet explained."""

    def __init__(self, upstream: str, poll: Callable[[], object]) -> None:
        """Call ``poll`` to ask for a load report."""
        self.upstream = upstream
        self.poll = poll
        self.suspects = SuspectTable()
        self.peers: set[Peer] = set()
        self.broken: list[BrokenAttempt] = []

    def join(self, peer: Peer) -> None:
        """Send the evidence to an entry that has connected."""
        self.peers.add(peer)
        rows = self.suspects.rows_at(time.monotonic())
        if rows:
            peer.send(Suspects(rows))

    def standing(self, fingerprint: int) -> Standing:
        """Return what the evidence says about a request."""
        return self.suspects.classify(fingerprint, time.monotonic())

    def merge(self, rows: Iterable[Suspect]) -> set[int]:
        """Take evidence and pass on what is new; return its fingerprints."""
        changed = self.suspects.merge(rows, time.monotonic())
        self._pass_on(changed)
        return {suspect.fingerprint for suspect in changed}

    def clear(self, fingerprint: int) -> bool:
        """Drop the evidence against a request that completed, if any."""
        cleared = self.suspects.clear(fingerprint, time.monotonic())
        self._pass_on(cleared)
        return bool(cleared)

    def hold(self, attempt: BrokenAttempt) -> None:
        """Keep the answer to a broken attempt back until it is explained.

        Otherwise the entry sends the request to the next upstream before that
        one has heard of the crash.
        """
        self.broken.append(attempt)
        if len(self.broken) == 1:
            self.poll()

    def resolve(self, polled: LoadPolled, restarts: int) -> set[int]:
        """Explain broken attempts by a load report, and answer them.

        Args:
            polled: the report. None is taken for a crash: the upstream broke
                a connection and does not answer.
            restarts: how many restarts of the upstream have been seen.

        Returns:
            The fingerprints with new evidence.
        """
        resolved = [each for each in self.broken if each.at <= polled.asked_at]
        if not resolved:
            return set()
        self.broken = [
            each for each in self.broken if each.at > polled.asked_at
        ]
        if self.broken:
            self.poll()
        crashed = [
            each
            for each in resolved
            if polled.report is None or each.restarts != restarts
        ]
        for suspect in crashed:
            rows = self.suspects.record_crash(
                suspect.fingerprint,
                self.upstream,
                suspect.alone,
                time.monotonic(),
            )
            self._pass_on(rows)
        for broken in resolved:
            broken.answer(broken in crashed)
        return {each.fingerprint for each in crashed}

    def _pass_on(self, rows: tuple[Suspect, ...]) -> None:
        if rows:
            for peer in self.peers:
                peer.send(Suspects(rows))


def poll_load(
    client: UpstreamClient,
    tell: Callable[[LoadPolled], object],
) -> None:
    """Ask an upstream for its load and tell the outcome."""
    asked_at = time.monotonic()
    try:
        polled = LoadPolled(client.load(), asked_at)
    except ServiceUnavailable as error:
        refused = isinstance(error, ServiceRefused)
        polled = LoadPolled(None, asked_at, refused)
    tell(polled)
