"""Crash evidence by request fingerprint, shared by entries and agents.

A request that crashes its upstream is retried by an entry or its caller and
would crash one upstream after another. A suspected request runs exclusively, so
that the next crash shows whether it is the cause.
"""

import dataclasses
import enum
import types
from collections.abc import Iterable, Mapping

from .messages import Suspect

__all__ = ('Classification', 'SuspectTable')

EVIDENCE_LIFETIME_SECONDS = 600.0
#: A request is refused after crashes of this many distinct upstreams, if it ran
#: alone on at least one of them.
REFUSAL_CRASH_COUNT = 2
# Copies of one crash report arrive over several links with different delays,
# so their times differ. After this interval a report counts as another crash.
_DUPLICATE_REPORT_SECONDS = 10.0


class Classification(enum.Enum):
    """Classification of a request by its crash evidence."""

    CLEAR = 'clear'
    #: It may have caused a crash, so it runs exclusively.
    SUSPECT = 'suspect'
    #: It has caused crashes, so it is not run again.
    REFUSED = 'refused'


@dataclasses.dataclass(frozen=True, slots=True)
class _Crash:
    crashed_at: float
    alone: bool


@dataclasses.dataclass(frozen=True, slots=True)
class _Evidence:
    """Crash evidence of one fingerprint; times are in monotonic seconds."""

    crashes: Mapping[str, _Crash]
    cleared_at: float

    def changed_at(self) -> float:
        times = [crash.crashed_at for crash in self.crashes.values()]
        return max([self.cleared_at, *times])


_NO_EVIDENCE = _Evidence(types.MappingProxyType({}), float('-inf'))


class SuspectTable:
    """Crash evidence known to one process.

    Methods that modify the table must be called from a single thread;
    ``classify`` and ``snapshot`` are thread-safe. ``now`` is the monotonic time
    of this process.
    """

    def __init__(self, max_fingerprints: int = 4096) -> None:
        """Start empty; beyond ``max_fingerprints`` the oldest are evicted."""
        self.max_fingerprints = max_fingerprints
        self.evidence: dict[int, _Evidence] = {}

    def record_crash(
        self,
        fingerprint: int,
        upstream: str,
        alone: bool,
        now: float,
    ) -> tuple[Suspect, ...]:
        """Record a crash; return the evidence to broadcast.

        Args:
            fingerprint: fingerprint of a request that ran on ``upstream``.
            upstream: the upstream that crashed.
            alone: whether no other request ran concurrently at any time.
            now: monotonic seconds.
        """
        suspect = Suspect(
            fingerprint, (upstream,), EVIDENCE_LIFETIME_SECONDS, alone
        )
        return self.merge((suspect,), now)

    def clear(self, fingerprint: int, now: float) -> tuple[Suspect, ...]:
        """Drop the evidence of a request that completed.

        Returns:
            The evidence to broadcast, empty if there was none to drop.
        """
        if self.classify(fingerprint, now) is Classification.CLEAR:
            return ()
        return self.merge(
            (Suspect(fingerprint, (), EVIDENCE_LIFETIME_SECONDS),), now
        )

    def merge(
        self,
        suspects: Iterable[Suspect],
        now: float,
    ) -> tuple[Suspect, ...]:
        """Merge evidence from a peer; return what is new, to be broadcast."""
        changed = []
        for suspect in suspects:
            evidence = self.evidence.get(suspect.fingerprint, _NO_EVIDENCE)
            merged = _merge_evidence(evidence, suspect, now)
            if merged is not evidence:
                self.evidence.pop(suspect.fingerprint, None)
                self.evidence[suspect.fingerprint] = merged
                changed.append(suspect)
        if changed:
            self._evict(now)
        return tuple(changed)

    def classify(self, fingerprint: int, now: float) -> Classification:
        """Classify a request by its evidence.

        Crashes that happened while other requests were running are not enough
        to refuse one: a popular request runs on several upstreams at once and
        may run beside copies of the actual cause on two of them.
        """
        evidence = self.evidence.get(fingerprint)
        crashes = _unexpired_crashes(evidence, now) if evidence else {}
        if not crashes:
            return Classification.CLEAR
        crashed_alone = any(crash.alone for crash in crashes.values())
        if crashed_alone and len(crashes) >= REFUSAL_CRASH_COUNT:
            return Classification.REFUSED
        return Classification.SUSPECT

    def snapshot(self, now: float) -> tuple[Suspect, ...]:
        """Return all evidence for a new peer, clearances included."""
        suspects = []
        for fingerprint, evidence in tuple(self.evidence.items()):
            expires_in = _remaining_lifetime(evidence.cleared_at, now)
            if expires_in > 0:
                suspects.append(Suspect(fingerprint, (), expires_in))
            suspects.extend(
                Suspect(
                    fingerprint,
                    (name,),
                    _remaining_lifetime(crash.crashed_at, now),
                    crash.alone,
                )
                for name, crash in _unexpired_crashes(evidence, now).items()
            )
        return tuple(suspects)

    def _evict(self, now: float) -> None:
        self.evidence = {
            fingerprint: evidence
            for fingerprint, evidence in self.evidence.items()
            if _remaining_lifetime(evidence.changed_at(), now) > 0
        }
        for fingerprint in tuple(self.evidence)[: -self.max_fingerprints]:
            self.evidence.pop(fingerprint)


def _remaining_lifetime(occurred_at: float, now: float) -> float:
    return EVIDENCE_LIFETIME_SECONDS - (now - occurred_at)


def _unexpired_crashes(evidence: _Evidence, now: float) -> dict[str, _Crash]:
    return {
        upstream: crash
        for upstream, crash in evidence.crashes.items()
        if _remaining_lifetime(crash.crashed_at, now) > 0
    }


def _merge_evidence(
    evidence: _Evidence, suspect: Suspect, now: float
) -> _Evidence:
    """Return the merged evidence, the same object if nothing is new."""
    occurred_at = (
        now
        - EVIDENCE_LIFETIME_SECONDS
        + min(suspect.expires_in, EVIDENCE_LIFETIME_SECONDS)
    )
    if not suspect.upstreams:
        return _apply_clearance(evidence, occurred_at)
    if (
        occurred_at <= evidence.cleared_at
        or _remaining_lifetime(occurred_at, now) <= 0
    ):
        return evidence
    crashes = {
        upstream: _merge_crash(
            evidence.crashes.get(upstream), occurred_at, suspect.alone
        )
        for upstream in suspect.upstreams
    }
    if crashes.items() <= evidence.crashes.items():
        return evidence
    merged = types.MappingProxyType({**evidence.crashes, **crashes})
    return _Evidence(merged, evidence.cleared_at)


def _apply_clearance(evidence: _Evidence, occurred_at: float) -> _Evidence:
    remaining = {
        upstream: crash
        for upstream, crash in evidence.crashes.items()
        if crash.crashed_at > occurred_at
    }
    # A repeated clearance that drops no evidence is not broadcast again.
    is_new = occurred_at > evidence.cleared_at + _DUPLICATE_REPORT_SECONDS
    if len(remaining) == len(evidence.crashes) and not is_new:
        return evidence
    return _Evidence(
        types.MappingProxyType(remaining), max(occurred_at, evidence.cleared_at)
    )


def _merge_crash(
    known: _Crash | None, occurred_at: float, alone: bool
) -> _Crash:
    """Merge a crash report with the known crash of the same upstream."""
    if known is None:
        return _Crash(occurred_at, alone)
    if occurred_at > known.crashed_at + _DUPLICATE_REPORT_SECONDS:
        return _Crash(occurred_at, alone or known.alone)
    return dataclasses.replace(known, alone=alone or known.alone)
