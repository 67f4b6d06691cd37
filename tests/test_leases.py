"""The lease state machine, and mutual exclusion with clock differences."""

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
# 0: valid, 1: outdated fencing number, 2: invalid duration or repeated renewal.
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


def apply_steps(steps):
    """Apply steps; return the result and (offset, record, time) of each."""
    state_machine, stream = LeaseStateMachine(), []
    for offset, (kind, fault, gap) in enumerate(steps):
        record = build(kind, fault, state_machine.lease)
        stream.append((offset, record, state_machine.clock + gap))
        state_machine.apply(record, offset, state_machine.clock + gap)
    return state_machine, stream


def reference_lease(stream):
    """Determine the lease independently, from the whole stream."""
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
def test_state_machine_agrees_with_reference(steps):
    """Guards against hosts with different results for the same records."""
    state_machine, stream = apply_steps(steps)
    lease = state_machine.lease
    assert reference_lease(stream) == (
        lease.holder,
        lease.fencing_number,
        lease.expires_at,
        lease.sequence,
    )


@given(STEPS, TENTHS, TENTHS)
def test_no_claim_succeeds_while_a_holder_may_act(steps, skew_share, gap):
    """Guards against two holders while clocks differ by the allowed maximum.

    The holder may have stopped reading the log after its last renewal.
    """
    state_machine, stream = apply_steps([(LeaseClaim, 0, 0), *steps])
    known = state_machine.lease
    now = max(state_machine.clock, known.expires_at + gap)
    claim = LeaseClaim('other', known.fencing_number, 3)
    is_acquired = state_machine.apply(claim, len(stream), now)
    assert not (
        is_acquired
        and known.is_held(
            known.holder, now + skew_share * MAX_CLOCK_SKEW_SECONDS
        )
    )
    assert is_acquired or not known.is_claimable(
        now + skew_share * MAX_CLOCK_SKEW_SECONDS
    )


@given(STEPS, st.integers(0, 4))
def test_ended_lease_stays_ended(steps, number):
    """Guards against a rank that drops a promise which is still valid."""
    state_machine, ended = LeaseStateMachine(), False
    for offset, record, now in apply_steps(steps)[1]:
        state_machine.apply(record, offset, now)
        assert not (ended and state_machine.is_current(number))
        ended = state_machine.has_ended(number)


def test_duplicate_of_a_successful_claim_fails():
    """Guards against a late duplicate that acquires the lease again."""
    state_machine = LeaseStateMachine()
    claim = LeaseClaim('a', -1, 3)
    assert [
        state_machine.apply(claim, 0, 0),
        state_machine.apply(claim, 1, 9),
    ] == [True, False]
    assert state_machine.lease == Lease('a', 0, 3, 3)
