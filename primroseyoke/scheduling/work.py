"""Work that is left at each upstream, of this host and of the others.

Work is in seconds at the reference speed.
"""

import dataclasses
import math
from collections.abc import Collection, Mapping

from .cost import Prediction, Rates, StatedWork

__all__ = ('Job', 'Speeds', 'ToldWork', 'WorkLeft')

# A stream that exceeds its prediction is expected to produce this share of
# what it has produced.
_OVERRUN_SHARE = 0.25
_MS_PER_SECOND = 1000
_SPEED_SMOOTHING_FACTOR = 0.05
# A speed expires after this time without events.
_SPEED_LIFETIME_SECONDS = 10.0
# A single gap says little: it may be a stall, or two events in one packet.
_MIN_SPEED = 0.2
_MAX_SPEED = 5.0


@dataclasses.dataclass(eq=False, slots=True)
class Job:
    """A request of this host at an upstream.

    ``stated`` is None if its caller stated no length. ``work_ahead`` is the
    work that was left at the upstream when it was chosen, in seconds.
    ``is_first`` is whether it was not sent anywhere before. ``produced`` is in
    tokens. ``is_read`` is whether its prompt has been read, which is so from
    its first event. ``is_whole`` is whether it ran here from its start to its
    end.
    """

    service: str
    upstream: str
    stated: StatedWork | None
    prediction: Prediction
    rates: Rates
    work_ahead: float = 0
    is_first: bool = True
    produced: float = 0
    is_read: bool = False
    is_whole: bool = False

    @property
    def unread(self) -> float:
        """Return the work of reading the prompt, in seconds."""
        if self.is_read:
            return 0
        return self.prediction.prompt_tokens * self.rates.prompt_token

    @property
    def left(self) -> float:
        """Return the work left, in seconds."""
        output = max(
            self.prediction.output_tokens - self.produced,
            self.produced * _OVERRUN_SHARE,
        )
        return self.unread + output * self.rates.output_token

    @property
    def tokens(self) -> float:
        """Return the memory that it needs at its end, in tokens."""
        return max(
            self.prediction.tokens,
            self.prediction.prompt_tokens + self.produced,
        )


@dataclasses.dataclass(slots=True)
class _Sums:
    count: int = 0
    left: float = 0
    unread: float = 0
    tokens: float = 0

    def add(self, job: Job, sign: int) -> None:
        """Add a job, or remove it with a ``sign`` of -1."""
        self.left += sign * job.left
        self.unread += sign * job.unread
        self.tokens += sign * job.tokens


class WorkLeft:
    """Jobs of this host by upstream.

    Attributes:
        sums: number, work and memory of the jobs, by upstream.
    """

    def __init__(self) -> None:
        """Start without jobs."""
        self.sums: dict[str, _Sums] = {}

    def start(self, job: Job) -> None:
        """Add a job."""
        sums = self.sums.setdefault(job.upstream, _Sums())
        sums.count += 1
        sums.add(job, 1)

    def record_output(self, job: Job, tokens: float) -> None:
        """Record output of a job that has not ended."""
        sums = self.sums[job.upstream]
        sums.add(job, -1)
        job.is_read = True
        job.produced += tokens
        sums.add(job, 1)

    def end(self, job: Job) -> None:
        """Remove a job."""
        sums = self.sums[job.upstream]
        sums.count -= 1
        sums.add(job, -1)
        if not sums.count:
            # Also removes what rounding left.
            self.sums.pop(job.upstream)

    def of(self, name: str) -> _Sums:
        """Return the sums of an upstream."""
        return self.sums.get(name) or _Sums()

    def report(self) -> dict[str, int]:
        """Return the work left by upstream, in milliseconds, rounded up.

        Upstreams without work are left out.
        """
        return {
            name: math.ceil(sums.left * _MS_PER_SECOND)
            for name, sums in self.sums.items()
            if sums.left > 0
        }


class ToldWork:
    """Work left of the requests of other hosts, as they reported it.

    Attributes:
        work: work by upstream, in milliseconds.
        untold: requests by upstream whose work was not reported.
    """

    def __init__(self) -> None:
        """Start without reports."""
        self.work: dict[str, int] = {}
        self.untold: dict[str, int] = {}

    def add(
        self, counts: Mapping[str, int], work: Mapping[str, int], sign: int
    ) -> None:
        """Add a report of a host, or remove it with a ``sign`` of -1.

        Args:
            counts: its requests by upstream.
            work: their work left by upstream, in milliseconds.
            sign: 1 or -1.
        """
        for name, count in counts.items():
            told = work.get(name)
            if told is None:
                _add(self.untold, name, sign * count)
            else:
                _add(self.work, name, sign * told)

    def of(self, name: str, typical: float) -> float:
        """Return the work of other hosts at an upstream, in seconds.

        ``typical`` is the work that is assumed for each request whose work was
        not reported.
        """
        told = self.work.get(name, 0) / _MS_PER_SECOND
        return told + self.untold.get(name, 0) * typical


class Speeds:
    """Speed of each upstream relative to the reference, from its events."""

    def __init__(self) -> None:
        """Start with the reference speed for all."""
        self.learned: dict[str, tuple[float, float]] = {}

    def observe(
        self, name: str, expected: float, gap: float, now: float
    ) -> None:
        """Record a gap between events, and the expected one, in seconds."""
        if gap <= 0 or expected <= 0:
            return
        speed = self.of(name, now)
        measured = min(max(expected / gap, _MIN_SPEED), _MAX_SPEED)
        speed += _SPEED_SMOOTHING_FACTOR * (measured - speed)
        self.learned[name] = (speed, now)

    def of(self, name: str, now: float) -> float:
        """Return the speed of an upstream; 1 if it is not known."""
        speed, observed_at = self.learned.get(name, (1.0, -math.inf))
        return speed if now - observed_at <= _SPEED_LIFETIME_SECONDS else 1.0

    def retain(self, names: Collection[str]) -> None:
        """Discard all upstreams but those in ``names``."""
        for name in self.learned.keys() - set(names):
            self.learned.pop(name)


def _add(totals: dict[str, int], name: str, change: int) -> None:
    total = totals.pop(name, 0) + change
    if total > 0:
        totals[name] = total
