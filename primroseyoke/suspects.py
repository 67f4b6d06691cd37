"""Crash evidence per request fingerprint, shared by entries and agents.

A request that crashes its upstream is sent again, by an entry or its caller,
and would crash one upstream after the other. Evidence makes it run alone, so
that the next crash shows whether it was the cause.
"""

import dataclasses
import enum
import types
from collections.abc import Iterable, Mapping

from .messages import Suspect

__all__ = ('Standing', 'SuspectTable')

LIFETIME = 600.0
#: Crashes on this many distinct upstreams, one of them alone, are proof.
PROOF = 2
# The same crash, heard of over several links, is dated later by the delay of
# the links. A crash of the same upstream counts anew only after this time.
_SAME_CRASH = 10.0


class Standing(enum.Enum):
    """What the evidence says about a request."""

    CLEAR = 'clear'
    #: It may have caused a crash: it runs alone.
    SUSPECT = 'suspect'
    #: It has caused crashes: it does not run.
    REFUSED = 'refused'


@dataclasses.dataclass(frozen=True, slots=True)
class _Crash:
    at: float
    alone: bool


@dataclasses.dataclass(frozen=True, slots=True)
class _Row:
    """Evidence against one fingerprint; times are in monotonic seconds."""

    crashes: Mapping[str, _Crash]
    cleared_at: float

    def changed_at(self) -> float:
        times = [crash.at for crash in self.crashes.values()]
        return max([self.cleared_at, *times])


_NO_ROW = _Row(types.MappingProxyType({}), float('-inf'))


class SuspectTable:
    """Crash evidence that one process knows.

    Methods that change it are for one thread; ``classify`` and ``rows_at``
    can be called from any. ``now`` is the process's own monotonic time.
    """

    def __init__(self, max_rows: int = 4096) -> None:
        """Start without evidence; at ``max_rows`` the oldest row is lost."""
        self.max_rows = max_rows
        self.rows: dict[int, _Row] = {}

    def record_crash(
        self,
        fingerprint: int,
        upstream: str,
        alone: bool,
        now: float,
    ) -> tuple[Suspect, ...]:
        """Add evidence; return the rows to pass on.

        Args:
            fingerprint: the request that ran when ``upstream`` crashed.
            upstream: the upstream that crashed.
            alone: whether nothing else ran beside the request at any time.
            now: monotonic seconds.
        """
        suspect = Suspect(fingerprint, (upstream,), LIFETIME, alone)
        return self.merge((suspect,), now)

    def clear(self, fingerprint: int, now: float) -> tuple[Suspect, ...]:
        """Drop the evidence against a request that completed."""
        if self.classify(fingerprint, now) is Standing.CLEAR:
            return ()
        return self.merge((Suspect(fingerprint, (), LIFETIME),), now)

    def merge(
        self,
        suspects: Iterable[Suspect],
        now: float,
    ) -> tuple[Suspect, ...]:
        """Take evidence of a peer; return what was new, to be passed on."""
        changed = []
        for suspect in suspects:
            row = self.rows.get(suspect.fingerprint, _NO_ROW)
            merged = _merge_row(row, suspect, now)
            if merged is not row:
                self.rows.pop(suspect.fingerprint, None)
                self.rows[suspect.fingerprint] = merged
                changed.append(suspect)
        if changed:
            self._trim(now)
        return tuple(changed)

    def classify(self, fingerprint: int, now: float) -> Standing:
        """Return what the evidence says about a request.

        One crash in company is no proof: popular requests run on several
        upstreams at once and can share two crashes with copies of the cause.
        """
        row = self.rows.get(fingerprint)
        crashes = _live_crashes(row, now) if row else {}
        if not crashes:
            return Standing.CLEAR
        proved = any(crash.alone for crash in crashes.values())
        if proved and len(crashes) >= PROOF:
            return Standing.REFUSED
        return Standing.SUSPECT

    def rows_at(self, now: float) -> tuple[Suspect, ...]:
        """Return the evidence for a new peer, what was cleared included."""
        suspects = []
        for fingerprint, row in tuple(self.rows.items()):
            left = _left(row.cleared_at, now)
            if left > 0:
                suspects.append(Suspect(fingerprint, (), left))
            suspects.extend(
                Suspect(fingerprint, (name,), _left(crash.at, now), crash.alone)
                for name, crash in _live_crashes(row, now).items()
            )
        return tuple(suspects)

    def _trim(self, now: float) -> None:
        self.rows = {
            fingerprint: row
            for fingerprint, row in self.rows.items()
            if _left(row.changed_at(), now) > 0
        }
        for fingerprint in tuple(self.rows)[: -self.max_rows]:
            self.rows.pop(fingerprint)


def _left(at: float, now: float) -> float:
    return LIFETIME - (now - at)


def _live_crashes(row: _Row, now: float) -> dict[str, _Crash]:
    return {
        upstream: crash
        for upstream, crash in row.crashes.items()
        if _left(crash.at, now) > 0
    }


def _merge_row(row: _Row, suspect: Suspect, now: float) -> _Row:
    """Return the row with evidence added, the same object if nothing is new."""
    at = now - LIFETIME + min(suspect.expires_in, LIFETIME)
    if not suspect.upstreams:
        return _cleared_row(row, at)
    if at <= row.cleared_at or _left(at, now) <= 0:
        return row
    crashes = {
        upstream: _later_crash(row.crashes.get(upstream), at, suspect.alone)
        for upstream in suspect.upstreams
    }
    if crashes.items() <= row.crashes.items():
        return row
    merged = types.MappingProxyType({**row.crashes, **crashes})
    return _Row(merged, row.cleared_at)


def _cleared_row(row: _Row, at: float) -> _Row:
    remaining = {
        upstream: crash
        for upstream, crash in row.crashes.items()
        if crash.at > at
    }
    # Without evidence to drop, a clearance heard of again is not news.
    news = at > row.cleared_at + _SAME_CRASH
    if len(remaining) == len(row.crashes) and not news:
        return row
    return _Row(types.MappingProxyType(remaining), max(at, row.cleared_at))


def _later_crash(known: _Crash | None, at: float, alone: bool) -> _Crash:
    """Return what is known after hearing of a crash, perhaps again."""
    if known is None:
        return _Crash(at, alone)
    if at > known.at + _SAME_CRASH:
        return _Crash(at, alone or known.alone)
    return dataclasses.replace(known, alone=alone or known.alone)
