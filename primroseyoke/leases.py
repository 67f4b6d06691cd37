"""A lease with fencing numbers, folded from the records of a log stream.

The log orders the records and stamps each with its own time, and the fold uses
nothing else, so that all hosts decide alike. A claim wins only while the lease
is free at the claim's append time, and only if it names the lease before it
(``against``). Each win changes the fencing number, so a second append of a
winning claim loses by itself and no list of seen claims is needed. A second
append of a claim that lost can win later; its holder then has a lease that it
may not know of, which delays others by one duration and harms nothing.

``skew`` bounds the difference between the clock of any host and the log's. A
holder acts while ``now + skew < expires_at``: the log's clock is then below
``expires_at``, and a claim of another host wins at ``expires_at`` or later. A
holder that is paused between this check and the act is stopped by its fencing
number alone. Times are Unix seconds.
"""

import dataclasses
import functools

__all__ = (
    'Lease',
    'LeaseClaim',
    'LeaseRelease',
    'LeaseRenewal',
    'LeaseStateMachine',
    'MAX_CLOCK_SKEW_SECONDS',
)

# Bounds the difference between a host's clock and the log's, in seconds.
MAX_CLOCK_SKEW_SECONDS = 1.0
# A longer lease would block a successor for too long after a crash, in seconds.
MAX_DURATION_SECONDS = 60.0
# The fencing number before the first claim.
NO_FENCING_NUMBER = -1


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseClaim:
    """Asks for the lease for ``duration`` seconds.

    ``holder`` names one process start. ``against`` is the fencing number of
    the last lease that the claimant knows, -1 if there was none.
    """

    holder: str
    against: int
    duration: float


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRenewal:
    """Extends a lease; ``sequence`` counts its renewals from 1."""

    fencing_number: int
    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRelease:
    """Ends a lease early; its holder has stopped acting."""

    fencing_number: int


LeaseRecord = LeaseClaim | LeaseRenewal | LeaseRelease


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """A lease as of one log offset.

    ``fencing_number`` is the offset of the winning claim, ``duration`` is in
    seconds, ``expires_at`` is on the log's clock.
    """

    holder: str
    fencing_number: int
    duration: float
    expires_at: float
    sequence: int = 0

    def is_held(
        self, holder: str, now: float, skew: float = MAX_CLOCK_SKEW_SECONDS
    ) -> bool:
        """Tell whether ``holder`` may act, by its own clock."""
        return holder == self.holder and now + skew < self.expires_at

    def needs_renewal(self, now: float) -> bool:
        """Tell whether two thirds of the duration remain at most."""
        return now >= self.expires_at - self.duration * 2 / 3

    def is_claimable(
        self, now: float, skew: float = MAX_CLOCK_SKEW_SECONDS
    ) -> bool:
        """Tell whether a claim sent now is sure not to come too early."""
        return now - skew >= self.expires_at


FREE_LEASE = Lease('', NO_FENCING_NUMBER, 0, 0)


class LeaseStateMachine:
    """Decides, record by record, who holds a lease.

    Attributes:
        lease: the last lease; fencing number -1 before the first.
        clock: the highest log time seen; it decides what has expired.
    """

    def __init__(self, lease: Lease = FREE_LEASE) -> None:
        """Start before the first record, or from the lease of a snapshot."""
        self.lease = lease
        self.clock = 0.0

    def apply(
        self,
        record: LeaseRecord,
        offset: int,
        appended_at: float,
    ) -> bool:
        """Fold in the next record; tell whether it took effect.

        The caller passes records in offset order, each offset once.
        """
        self.advance_clock(appended_at)
        lease = _next_lease(record, self.lease, offset, self.clock)
        if lease is None:
            return False
        self.lease = lease
        return True

    def advance_clock(self, log_time: float) -> None:
        """Take the log's time of a read that returned all records so far."""
        self.clock = max(self.clock, log_time)

    def is_current(self, fencing_number: int) -> bool:
        """Tell whether a record under this number takes effect here."""
        return (
            fencing_number == self.lease.fencing_number
            and self.clock < self.lease.expires_at
        )

    def has_ended(self, fencing_number: int) -> bool:
        """Tell whether no later record under this number can take effect.

        True is final: a lease that has expired, was released or has a
        successor does not come back. A number that this fold has not reached
        has not ended, so a read that is behind does not mislead.
        """
        lease = self.lease
        if fencing_number == lease.fencing_number:
            return self.clock >= lease.expires_at
        return fencing_number < lease.fencing_number


@functools.singledispatch
def _next_lease(
    record: LeaseRecord,
    lease: Lease,
    offset: int,
    clock: float,
) -> Lease | None:
    raise TypeError(f'not a lease record: {record!r}')


@_next_lease.register
def _lease_after_claim(
    record: LeaseClaim,
    lease: Lease,
    offset: int,
    clock: float,
) -> Lease | None:
    if record.against != lease.fencing_number or clock < lease.expires_at:
        return None
    if not 0 < record.duration <= MAX_DURATION_SECONDS:
        return None
    return Lease(
        record.holder,
        offset,
        record.duration,
        clock + record.duration,
    )


@_next_lease.register
def _lease_after_renewal(
    record: LeaseRenewal,
    lease: Lease,
    offset: int,
    clock: float,
) -> Lease | None:
    if record.fencing_number != lease.fencing_number:
        return None
    if clock >= lease.expires_at or record.sequence <= lease.sequence:
        return None
    return dataclasses.replace(
        lease,
        expires_at=clock + lease.duration,
        sequence=record.sequence,
    )


@_next_lease.register
def _lease_after_release(
    record: LeaseRelease,
    lease: Lease,
    offset: int,
    clock: float,
) -> Lease | None:
    if record.fencing_number != lease.fencing_number:
        return None
    return dataclasses.replace(lease, expires_at=0)
