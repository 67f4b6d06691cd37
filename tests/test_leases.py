"""The lease fold against a naive version, and exclusion under clock skew."""

from hypothesis import given
from hypothesis import strategies as st

from primroseyoke.leases import (
    MAX_CLOCK_SKEW_SECONDS,
    Lease,
    LeaseClaim,
    LeaseStateMachine,
)
from primroseyoke.leases import LeaseRelease, LeaseRenewal

KINDS = st.sampled_from([LeaseClaim, LeaseRenewal, LeaseRelease])
# 0: no fault, 1: an old fencing number, 2: a bad duration or a repeated renewal.
FAULTS = st.sampled_from([0, 0, 0, 1, 2])
TENTHS = st.integers(-10, 10).map(lambda tenths: tenths / 10)
STEPS = st.lists(st.tuples(KINDS, FAULTS, st.integers(0, 4)), max_size=10)


def build(kind, fault, lease):
    number = lease.fencing_number - (fault == 1)
    if kind is LeaseClaim:
        return LeaseClaim('a', number, 61 if fault == 2 else 3)
    if kind is LeaseRenewal:
        return LeaseRenewal(number, lease.sequence + (fault != 2))
    return LeaseRelease(number)


def folded(steps):
    """Return the fold of steps, and (offset, record, append time) of each."""
    fold, stream = LeaseStateMachine(), []
    for offset, (kind, fault, gap) in enumerate(steps):
        record = build(kind, fault, fold.lease)
        stream.append((offset, record, fold.clock + gap))
        fold.apply(record, offset, fold.clock + gap)
    return fold, stream


def naive_lease(stream):
    """Search backwards for the claim in force and add up its renewals."""
    holder, number, end, renewals = '', -1, 0, 0
    for offset, record, now in stream:
        if isinstance(record, LeaseClaim):
            free = end <= now
            if free and number == record.against and record.duration == 3:
                holder, number, end, renewals = (
                    record.holder,
                    offset,
                    now + 3,
                    0,
                )
        elif record.fencing_number != number:
            continue
        elif isinstance(record, LeaseRelease):
            end = 0
        elif end > now and record.sequence > renewals:
            end, renewals = now + 3, record.sequence
    return (holder, number, end, renewals)


@given(STEPS)
def test_fold_agrees_with_naive_version(steps):
    """Guards against hosts that decide differently about one lease."""
    fold, stream = folded(steps)
    lease = fold.lease
    assert naive_lease(stream) == (
        lease.holder,
        lease.fencing_number,
        lease.expires_at,
        lease.sequence,
    )


@given(STEPS, TENTHS, TENTHS)
def test_no_claim_wins_while_a_holder_may_act(steps, ahead, gap):
    """Guards against two holders while clocks differ by up to the bound.

    The holder may have stopped reading the log after its last renewal.
    """
    fold, stream = folded([(LeaseClaim, 0, 0), *steps])
    known = fold.lease
    now = max(fold.clock, known.expires_at + gap)
    claim = LeaseClaim('other', known.fencing_number, 3)
    won = fold.apply(claim, len(stream), now)
    assert not (
        won
        and known.is_held(known.holder, now + ahead * MAX_CLOCK_SKEW_SECONDS)
    )
    assert won or not known.is_claimable(now + ahead * MAX_CLOCK_SKEW_SECONDS)


@given(STEPS, st.integers(0, 4))
def test_ended_lease_stays_ended(steps, number):
    """Guards against a rank that drops a promise which still counts."""
    fold, ended = LeaseStateMachine(), False
    for offset, record, now in folded(steps)[1]:
        fold.apply(record, offset, now)
        assert not (ended and fold.is_current(number))
        ended = fold.has_ended(number)


def test_repeated_winning_claim_loses():
    """Guards against a late second append that takes the lease again."""
    fold = LeaseStateMachine()
    claim = LeaseClaim('a', -1, 3)
    assert [fold.apply(claim, 0, 0), fold.apply(claim, 1, 9)] == [True, False]
    assert fold.lease == Lease('a', 0, 3, 3)
