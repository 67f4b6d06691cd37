"""Crash evidence by the traits of requests, for all processes that forward them.

A request that crashes its upstream is sent again and would crash one upstream
after another, and so would others that have the same cause in common. Evidence
is therefore kept by trait: the fingerprint of a whole request, and each part of
its prompt that other requests may share. Every process keeps a table of its own
and tells the others what is new.
"""

import collections
import dataclasses
import enum
import itertools
from collections.abc import Iterable, Mapping

from .evidence import Clearance, Crash, Evidence, Traits, upstream_of

__all__ = ('Classification', 'SuspectTable')

EVIDENCE_LIFETIME_SECONDS = 600.0
#: A trait is blamed after crashes of this many distinct upstreams if all
#: requests that may have caused one of them have it.
CERTAIN_CRASH_COUNT = 2
#: A trait is blamed after crashes of this many distinct upstreams in any case.
POSSIBLE_CRASH_COUNT = 3
# Copies of one crash report arrive with different delays, so their times
# differ. After this interval a report counts as another crash.
_DUPLICATE_REPORT_SECONDS = 10.0
# Reports of several hosts about one crash differ by less than this. An upstream
# takes longer to start again.
_SAME_CRASH_SECONDS = 1.0
# A refused request may be tried again this long after the last crash. The time
# doubles with each trial that fails.
_TRIAL_DELAY_SECONDS = 30.0
# The same for a trait that this process has seen answered shortly before: many
# sound callers may share it, and one answer clears it.
_PROVEN_TRIAL_DELAY_SECONDS = 1.0
_PROVEN_SECONDS = 60.0
_MAX_PROVEN_TRAITS = 4096
_NEVER = float('-inf')


class Classification(enum.Enum):
    """Classification of a request by its crash evidence."""

    CLEAR = 'clear'
    #: It may have caused a crash.
    SUSPECT = 'suspect'
    #: It has caused crashes, so it is not run again.
    REFUSED = 'refused'


@dataclasses.dataclass(frozen=True, slots=True)
class _Blame:
    """Crashes that one trait may have caused.

    ``crashed_at`` has the time by upstream, or by each of its starts.
    ``companions`` are the traits that were there at each of these crashes.
    """

    crashed_at: Mapping[str, float]
    is_certain: bool
    companions: Traits = frozenset()

    @property
    def count(self) -> int:
        return len(set(map(upstream_of, self.crashed_at)))

    @property
    def round_count(self) -> int:
        """Number of crashes, without those at about the same time."""
        times = sorted(self.crashed_at.values())
        return 1 + sum(
            later - earlier > _SAME_CRASH_SECONDS
            for earlier, later in itertools.pairwise(times)
        )

    @property
    def is_sufficient(self) -> bool:
        if self.is_certain and self.count >= CERTAIN_CRASH_COUNT:
            return True
        return self.count >= POSSIBLE_CRASH_COUNT


_NO_BLAME = _Blame({}, is_certain=False)
# Number of crashes of the most suspicious trait, time of the crash, upstream, and
# traits of a request.
_Row = tuple[int, float, str, Traits]


class SuspectTable:
    """Crash evidence known to one process.

    Methods that modify the table must be called from a single thread;
    ``classify`` and ``snapshot`` are thread-safe. ``now`` is in seconds, on a
    clock that does not jump; if the process can be suspended, on one that
    counts that time.

    Attributes:
        crashes: time of the crash by upstream, or by its start, and by the
            traits of a request that may have caused it.
        cleared_at: time of the last answer by trait.
        refuted_at: time at which an upstream was known not to have crashed.
        answered_at: time at which a request with a trait was last answered, as
            far as this process has seen.
    """

    def __init__(self, max_requests: int = 512) -> None:
        """Start empty; keep the traits of at most ``max_requests``."""
        self.max_requests = max_requests
        self.crashes: dict[str, dict[Traits, float]] = {}
        self.cleared_at: dict[int, float] = {}
        self.refuted_at: dict[str, float] = {}
        self.blame: dict[int, _Blame] = {}
        self.answered_at: dict[int, float] = {}

    def record_answer(self, traits: Iterable[int], now: float) -> None:
        """Remember that requests with these traits are answered as a rule."""
        answered_at = self.answered_at
        for each in traits:
            answered_at.pop(each, None)
            answered_at[each] = now
        while len(answered_at) > _MAX_PROVEN_TRAITS:
            answered_at.pop(next(iter(answered_at)))

    def record_crash(
        self,
        upstream: str,
        requests: Iterable[Traits],
        now: float,
    ) -> Evidence:
        """Record a crash; return the evidence to broadcast.

        Args:
            upstream: the upstream that crashed, or its start (``start_key``).
                Crashes of one upstream within a second are told apart only by
                their starts.
            requests: traits of each request that may have caused the crash.
            now: time of the crash in seconds.
        """
        rows = tuple(tuple(sorted(traits)) for traits in requests)
        return self.merge(Evidence((Crash(upstream, rows, 0),)), now)

    def clear(self, traits: Traits, now: float) -> Evidence:
        """Drop the evidence against the traits of a request that was answered.

        Returns:
            The evidence to broadcast, empty if there was none to drop.
        """
        known = sorted(traits & self.blame.keys())
        return self.merge(
            Evidence((), tuple(Clearance(each, 0) for each in known)), now
        )

    def refute(self, upstream: str, now: float) -> None:
        """Drop all crashes of an upstream until now: it has not crashed."""
        if upstream in self.crashes:
            self.refuted_at[upstream] = now
            self._update(now)

    def expire(self, now: float) -> None:
        """Drop the evidence that has reached the end of its lifetime."""
        times = (at for _, _, at in self._rows())
        if now - min(times, default=now) >= EVIDENCE_LIFETIME_SECONDS:
            self._update(now)

    def merge(self, evidence: Evidence, now: float) -> Evidence:
        """Merge evidence of a peer; return what is new, to be broadcast."""
        crashes = tuple(
            crash
            for crash in evidence.crashes
            if self._merge_crash(crash, now - crash.age, now)
        )
        clearances = tuple(
            clearance
            for clearance in evidence.clearances
            if self._merge_clearance(clearance.trait, now - clearance.age, now)
        )
        if crashes or clearances:
            self._update(now)
        return Evidence(crashes, clearances)

    def classify(self, traits: Traits, now: float) -> Classification:
        """Classify a request by the evidence against its traits.

        A trait with sufficient evidence is no reason to refuse a request if
        another trait, which the request does not have, was there at each of
        these crashes: sound requests share parts with crashing ones.
        """
        blame = self.blame
        suspected = [each for each in traits if each in blame]
        if not any(_is_current(blame[each], now) for each in suspected):
            return Classification.CLEAR
        for each in suspected:
            is_explained_by_others = any(
                other in blame for other in blame[each].companions - traits
            )
            if blame[each].is_sufficient and not is_explained_by_others:
                return Classification.REFUSED
        return Classification.SUSPECT

    def next_trial_at(self, traits: Traits, spread: float = 0) -> float:
        """Return when a refused request may be tried again, in seconds.

        The cause may have been removed, or the evidence be a coincidence.

        Args:
            traits: the traits of the request.
            spread: share of the delay that is added to it, between 0 and 1.
                With different shares, processes do not try at the same time.
        """
        return max(
            (
                self._next_trial_at(each, blame, 1 + spread)
                for each in traits
                if (blame := self.blame.get(each, _NO_BLAME)).is_sufficient
            ),
            default=0,
        )

    def snapshot(self, now: float, max_requests: int | None = None) -> Evidence:
        """Return the evidence for a peer, clearances included.

        Args:
            now: time in seconds.
            max_requests: maximum number of requests at crashed upstreams;
                those that suffice to blame a trait come first.
        """
        rows = sorted(
            (
                (self._weight(requests), crashed_at, upstream, requests)
                for upstream, requests, crashed_at in self._rows()
            ),
            key=lambda row: row[:2],
            reverse=True,
        )
        if max_requests is not None:
            rows = self._sufficient_first(rows)
        chosen = rows[:max_requests]
        traits = {each for row in chosen for each in row[3]}
        return Evidence(
            tuple(
                Crash(
                    upstream,
                    (tuple(sorted(requests)),),
                    max(now - crashed_at, 0),
                )
                for _, crashed_at, upstream, requests in chosen
            ),
            tuple(
                Clearance(each, max(now - cleared_at, 0))
                for each, cleared_at in tuple(self.cleared_at.items())
                if max_requests is None or each in traits
            ),
        )

    def _sufficient_first(self, rows: list[_Row]) -> list[_Row]:
        """Move what goes beyond sufficient evidence for a trait to the end."""
        counts: collections.Counter[int] = collections.Counter()
        ordered = []
        for place, row in enumerate(rows):
            leading = max(row[3], key=self._count_of, default=0)
            counts[leading] += 1
            is_surplus = counts[leading] > POSSIBLE_CRASH_COUNT
            ordered.append((is_surplus, place, row))
        return [item[2] for item in sorted(ordered, key=lambda item: item[:2])]

    def _next_trial_at(self, each: int, blame: _Blame, factor: float) -> float:
        last_crash_at = max(blame.crashed_at.values())
        proven_at = self.answered_at.get(each, _NEVER)
        is_proven = last_crash_at - proven_at < _PROVEN_SECONDS
        delay = (
            _PROVEN_TRIAL_DELAY_SECONDS if is_proven else _TRIAL_DELAY_SECONDS
        )
        doublings = blame.round_count - 1
        return last_crash_at + delay * factor * float(2**doublings)

    def _count_of(self, each: int) -> int:
        return self.blame.get(each, _NO_BLAME).count

    def _merge_crash(self, crash: Crash, crashed_at: float, now: float) -> bool:
        """Add a crash; return whether it is new."""
        if now - crashed_at >= EVIDENCE_LIFETIME_SECONDS:
            return False
        if crashed_at <= self.refuted_at.get(crash.upstream, _NEVER):
            return False
        known = self.crashes.get(crash.upstream, {})
        is_new = False
        for traits in map(frozenset, crash.requests):
            # Once all is cleared, the report would be kept for nothing.
            cleared = traits and all(
                crashed_at <= self.cleared_at.get(each, _NEVER)
                for each in traits
            )
            previous = known.get(traits, _NEVER)
            if not cleared and crashed_at > (
                previous + _DUPLICATE_REPORT_SECONDS
            ):
                known[traits] = crashed_at
                is_new = True
        if is_new:
            self.crashes[crash.upstream] = known
        return is_new

    def _merge_clearance(self, each: int, at: float, now: float) -> bool:
        """Add a clearance; return whether it is new."""
        if now - at >= EVIDENCE_LIFETIME_SECONDS:
            return False
        previous = self.cleared_at.get(each, _NEVER)
        drops_evidence = any(
            crashed_at <= at
            for crashed_at in self.blame.get(
                each, _NO_BLAME
            ).crashed_at.values()
        )
        # A repeated clearance that drops no evidence is not broadcast again.
        is_new = drops_evidence or at > previous + _DUPLICATE_REPORT_SECONDS
        if is_new:
            self.cleared_at[each] = max(at, previous)
        return is_new

    def _update(self, now: float) -> None:
        """Remove what has expired and count the crashes of each trait."""
        self._expire(now)
        self.blame = self._count_crashes()
        excess = sum(map(len, self.crashes.values())) - self.max_requests
        if excess > 0:
            self._evict(excess)
            self.blame = self._count_crashes()

    def _expire(self, now: float) -> None:
        oldest = now - EVIDENCE_LIFETIME_SECONDS
        self.cleared_at = {
            each: at for each, at in self.cleared_at.items() if at > oldest
        }
        self.refuted_at = {
            name: at for name, at in self.refuted_at.items() if at > oldest
        }
        crashes = {
            upstream: {
                traits: crashed_at
                for traits, crashed_at in requests.items()
                if crashed_at
                > max(oldest, self.refuted_at.get(upstream, oldest))
            }
            for upstream, requests in self.crashes.items()
        }
        self.crashes = {
            upstream: requests
            for upstream, requests in crashes.items()
            if requests
        }

    def _evict(self, excess: int) -> None:
        """Remove the oldest of the requests with the weakest evidence."""
        rows = sorted(
            self._rows(),
            key=lambda row: (self._weight(row[1]), row[2]),
        )
        for upstream, traits, _ in rows[:excess]:
            self.crashes[upstream].pop(traits)

    def _rows(self) -> list[tuple[str, Traits, float]]:
        return [
            (upstream, traits, crashed_at)
            for upstream, requests in tuple(self.crashes.items())
            for traits, crashed_at in tuple(requests.items())
        ]

    def _weight(self, traits: Traits) -> int:
        """Return the number of crashes of the most suspicious trait."""
        return max(map(self._count_of, traits), default=0)

    def _count_crashes(self) -> dict[int, _Blame]:
        times: dict[int, dict[str, float]] = {}
        companions: dict[int, Traits] = {}
        for upstream, traits, crashed_at in self._rows():
            present = self._traits_at(upstream, crashed_at)
            for each in traits:
                if crashed_at > self.cleared_at.get(each, _NEVER):
                    companions[each] = present & companions.get(each, present)
                    by_upstream = times.setdefault(each, {})
                    by_upstream[upstream] = max(
                        crashed_at, by_upstream.get(upstream, crashed_at)
                    )
        return {
            suspected: _Blame(
                found,
                self._is_certain(suspected, found),
                companions[suspected],
            )
            for suspected, found in times.items()
        }

    def _is_certain(self, each: int, crashed_at: Mapping[str, float]) -> bool:
        """Return whether all requests at one of the crashes have the trait."""
        return any(
            all(
                each in traits
                for traits, at in self.crashes[upstream].items()
                if abs(at - crash_time) < _SAME_CRASH_SECONDS
            )
            for upstream, crash_time in crashed_at.items()
        )

    def _traits_at(self, upstream: str, crash_time: float) -> Traits:
        """Return all traits that may have caused one crash."""
        return frozenset().union(
            *(
                traits
                for traits, at in self.crashes[upstream].items()
                if abs(at - crash_time) < _SAME_CRASH_SECONDS
            )
        )


def _is_current(blame: _Blame, now: float) -> bool:
    newest = max(blame.crashed_at.values())
    return now - newest < EVIDENCE_LIFETIME_SECONDS
