"""Leases with fencing numbers, as a replicated state machine over a log stream.

The log orders the records and stamps each with its own time. The state machine
uses nothing else, so that all hosts come to the same result. A claim succeeds
only if the lease is free at the append time of the claim and if it names the
preceding lease (``against``). Each successful claim changes the fencing
number, so a duplicate of it fails without a list of known claims. A duplicate
of a failed claim can succeed later. Its holder may then not know that it has
the lease, which only delays other claimants by one lease duration.

``skew`` bounds the difference between the clock of a host and that of the log.
A holder acts while ``now + skew < expires_at``: the log's clock is then below
``expires_at``, and no claim of another host succeeds before ``expires_at``. If
a holder is paused between this check and its action, only the fencing number
prevents the late action from taking effect. Times are Unix seconds.
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
    'MAX_DURATION_SECONDS',
    'lease_margin',
)

# Upper bound on the clock difference between a host and the log.
MAX_CLOCK_SKEW_SECONDS = 1.0
# A longer lease would block the next holder for too long after a crash.
MAX_DURATION_SECONDS = 60.0
# Fencing number of the state before the first claim.
NO_FENCING_NUMBER = -1


# A short lease needs a smaller margin, or no time to act would be left.
_MAX_MARGIN_SHARE = 1 / 3


def lease_margin(duration: float) -> float:
    """Return how long before the end of a lease its holder stops acting.

    It suits leases whose log time is not taken from another host's clock.
    """
    return min(MAX_CLOCK_SKEW_SECONDS, duration * _MAX_MARGIN_SHARE)


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseClaim:
    """Log record: requests the lease for ``duration`` seconds.

    ``holder`` identifies one run of a process. ``against`` is the fencing
    number of the last lease known to the claimant, -1 if there was none.
    """

    holder: str
    against: int
    duration: float


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRenewal:
    """Log record: extends a lease; ``sequence`` counts renewals from 1."""

    fencing_number: int
    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRelease:
    """Log record: ends a lease early; its holder no longer acts."""

    fencing_number: int


LeaseRecord = LeaseClaim | LeaseRenewal | LeaseRelease


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """State of the lease at one log offset.

    ``fencing_number`` is the offset of the successful claim, ``duration`` is in
    seconds, ``expires_at`` refers to the log's clock.
    """

    holder: str
    fencing_number: int
    duration: float
    expires_at: float
    sequence: int = 0

    def is_held(
        self, holder: str, now: float, skew: float = MAX_CLOCK_SKEW_SECONDS
    ) -> bool:
        """Tell whether ``holder`` may act; ``now`` is from its own clock."""
        return holder == self.holder and now + skew < self.expires_at

    def needs_renewal(self, now: float) -> bool:
        """Tell whether at most two thirds of the duration remain."""
        return now >= self.expires_at - self.duration * 2 / 3

    def is_claimable(
        self, now: float, skew: float = MAX_CLOCK_SKEW_SECONDS
    ) -> bool:
        """Tell whether the lease has ended whatever the clock difference."""
        return now - skew >= self.expires_at


FREE_LEASE = Lease('', NO_FENCING_NUMBER, 0, 0)


class LeaseStateMachine:
    """Determines the lease holder from the records of a log stream.

    Attributes:
        lease: the latest lease, with fencing number -1 before the first claim.
        clock: the highest log time seen, against which expiry is checked.
    """

    def __init__(self, lease: Lease = FREE_LEASE) -> None:
        """Start before the first record, or with the lease of a snapshot."""
        self.lease = lease
        self.clock = 0.0

    def apply(
        self,
        record: LeaseRecord,
        offset: int,
        appended_at: float,
    ) -> bool:
        """Apply the next record; tell whether it took effect.

        Records must be passed in offset order, each offset once.
        """
        self.advance_clock(appended_at)
        lease = _next_lease(record, self.lease, offset, self.clock)
        if lease is None:
            return False
        self.lease = lease
        return True

    def advance_clock(self, log_time: float) -> None:
        """Advance the clock to the log time of a read of all records."""
        self.clock = max(self.clock, log_time)

    def is_current(self, fencing_number: int) -> bool:
        """Tell whether a record with this fencing number is valid now."""
        return (
            fencing_number == self.lease.fencing_number
            and self.clock < self.lease.expires_at
        )

    def has_ended(self, fencing_number: int) -> bool:
        """Tell whether no later record with this number can be valid.

        Once true, it stays true: a lease that has expired, was released or was
        superseded is never valid again. A number above the latest one counts
        as not ended, so that reading only part of the log gives no wrong
        result.
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
    raise TypeError(f'expected a lease record, got {record!r}')


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
