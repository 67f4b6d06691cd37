"""Decisions of one host about the duty lease, without sockets and clocks.

All records are appended with the offset at which the log must end, so each was
written with knowledge of the one before. Log time is kept in the records: the
log time of a record is that of the one before plus the time that its writer
measured from when that one had certainly been appended (a response arrived)
until the new one was sent. So log time never runs faster than real time, and a
lease that has expired in log time has expired.

A holder compares the end of its lease with an upper bound of log time, which
it measures from before it sent the record that the store confirmed. Times are
seconds of a clock that counts while the host is suspended.
"""

import dataclasses
import enum
import math

from ..exceptions import MessageInvalid
from ..leases import (
    LeaseClaim,
    LeaseRelease,
    LeaseRenewal,
    LeaseStateMachine,
    lease_margin,
)
from ..positions import Position
from .lease_records import (
    LeaseRecord,
    decode_lease_record,
    encode_lease_record,
    fencing_number_at,
    host_of,
)

__all__ = ('LeaseChain', 'LeaseStep', 'Proposal', 'Tenure')


class LeaseStep(enum.Enum):
    """Next call to the store."""

    WAIT = 'wait'
    READ = 'read'
    CLAIM = 'claim'
    RENEW = 'renew'


@dataclasses.dataclass(frozen=True, slots=True)
class Proposal:
    """Record to append if the log ends at ``end``."""

    record: LeaseRecord
    content: bytes
    end: Position


@dataclasses.dataclass(frozen=True, slots=True)
class Tenure:
    """Newest confirmed record of this host's own lease.

    ``sent_at`` is before it was sent, ``known_at`` after it was appended.
    """

    record: LeaseRecord
    content: bytes
    sent_at: float
    known_at: float


class LeaseChain:
    """What one run of a host knows of the lease, and what it may append.

    Attributes:
        holder: name of this run, ``host/run``.
        duration: duration of the lease in seconds.
        record: the newest record; None if it is missing, can't be decoded or
            was written in an earlier era. What earlier holders did is then
            unknown.
        known_at: when that record was certainly appended.
        unknown_since: since when the newest record is of no use; from then on
            a whole lease duration must pass before a claim.
        end: where the log ended at the last response.
        is_current: False once a call had no response, or another host may have
            appended a record: the log must be read before the next append.
        tenure: the lease of this host, also after it has expired; None if it
            has had none, or another host was seen to hold it since.
        payload: payload of the newest record that could be decoded.
        payload_known: False if payloads of earlier holders may be lost.
    """

    def __init__(self, holder: str, duration: float) -> None:
        """Start without knowledge of the log."""
        self.holder = holder
        self.duration = duration
        self.margin = lease_margin(duration)
        self.record: LeaseRecord | None = None
        self.content: bytes | None = None
        self.known_at = -math.inf
        self.unknown_since = math.inf
        self.end = Position(0, 0)
        self.is_current = False
        self.tenure: Tenure | None = None
        self.payload = b''
        self.payload_known = False
        self.quiet_until = -math.inf
        self.highest_number = 0
        self.pending: dict[bytes, float] = {}

    def held(self, now: float) -> int | None:
        """Return the fencing number while this host may act."""
        tenure = self.tenure
        if tenure is None:
            return None
        lease = tenure.record.lease
        log_time = tenure.record.log_time + now - tenure.sent_at
        if not lease.is_held(self.holder, log_time, self.margin):
            return None
        return lease.fencing_number

    def next_step(self, now: float, era: int, is_candidate: bool) -> LeaseStep:
        """Return what to do at ``now``.

        Args:
            now: seconds.
            era: highest era that the store has named.
            is_candidate: whether this host should take a free lease.
        """
        is_current = self.is_current and era == self.end.era
        if self.held(now) is not None:
            if not is_current:
                return LeaseStep.READ
            return LeaseStep.RENEW if self._is_due(now) else LeaseStep.WAIT
        if not is_candidate:
            return LeaseStep.WAIT
        if not is_current:
            return LeaseStep.READ
        return LeaseStep.CLAIM if now >= self.claimable_at else LeaseStep.WAIT

    @property
    def claimable_at(self) -> float:
        """Return the earliest time of a claim by this host, in seconds."""
        record = self.record
        if record is None:
            return max(self.unknown_since + self.duration, self.quiet_until)
        host = host_of(self.holder)
        free_at = max(
            record.lease.expires_at,
            record.ended.get(host, -math.inf) + self.duration,
        )
        return max(self.known_at + free_at - record.log_time, self.quiet_until)

    @property
    def next_number(self) -> int | None:
        """Return the fencing number of a claim; None if there is none.

        Without eras, a topic that was emptied gives out its offsets again, and
        a claim could repeat a number.
        """
        number = fencing_number_at(self.end)
        if number is None or number <= self.highest_number:
            return None
        return number

    def is_held_elsewhere(self, now: float) -> bool:
        """Tell whether the newest record shows another holder at ``now``."""
        record = self.record
        return (
            record is not None
            and record.lease.holder != self.holder
            and now - self.known_at < record.lease.expires_at - record.log_time
        )

    def propose_claim(self, now: float) -> Proposal | None:
        """Return the record of a claim; None if it would not succeed."""
        number = self.next_number
        if number is None or now < self.claimable_at:
            return None
        record = self.record
        state_machine = LeaseStateMachine()
        log_time = 0.0
        if record is not None:
            state_machine = LeaseStateMachine(record.lease)
            log_time = record.log_time + now - self.known_at
        claim = LeaseClaim(
            self.holder, state_machine.lease.fencing_number, self.duration
        )
        if not state_machine.apply(claim, number, log_time):
            return None
        return self._propose(
            LeaseRecord(
                state_machine.lease,
                log_time,
                self.end.era,
                self.payload,
                self.payload_known,
                _ended_hosts(record, log_time, self.duration),
            )
        )

    def propose_renewal(
        self, now: float, payload: bytes | None = None
    ) -> Proposal | None:
        """Return a renewal, with a new payload if there is one.

        None if this host does not hold the lease.
        """
        tenure = self.tenure
        if tenure is None or self.held(now) is None:
            return None
        lease = tenure.record.lease
        state_machine = LeaseStateMachine(lease)
        log_time = tenure.record.log_time + now - tenure.known_at
        renewal = LeaseRenewal(lease.fencing_number, lease.sequence + 1)
        if not state_machine.apply(renewal, self.end.offset, log_time):
            return None
        record = dataclasses.replace(
            tenure.record,
            lease=state_machine.lease,
            log_time=log_time,
            era=self.end.era,
        )
        if payload is not None:
            record = dataclasses.replace(
                record, payload=payload, payload_known=True
            )
        return self._propose(record)

    def propose_release(self, now: float) -> Proposal | None:
        """Return a release; None if the lease has expired.

        The caller must not act any more, and no call may be in progress.
        """
        tenure = self.tenure
        if tenure is None or self.held(now) is None:
            return None
        lease = tenure.record.lease
        state_machine = LeaseStateMachine(lease)
        log_time = tenure.record.log_time + now - tenure.known_at
        release = LeaseRelease(lease.fencing_number)
        if not state_machine.apply(release, self.end.offset, log_time):
            return None
        ended = {**tenure.record.ended, host_of(self.holder): log_time}
        return self._propose(
            dataclasses.replace(
                tenure.record,
                lease=state_machine.lease,
                log_time=log_time,
                era=self.end.era,
                ended=ended,
            )
        )

    def record_send(self, proposal: Proposal, now: float) -> None:
        """Record that an append is sent, at ``now``.

        Until it is confirmed, it may have been executed or may still be.
        """
        self.is_current = False
        # A record that was sent so long ago gives no right to act.
        self.pending = {
            content: sent_at
            for content, sent_at in self.pending.items()
            if now - sent_at < self.duration
        }
        self.pending[proposal.content] = now

    def confirm(
        self, proposal: Proposal, position: Position, now: float
    ) -> bool:
        """Record that the store appended a record; ``now`` is after that.

        Returns:
            False if the store has changed its era meanwhile: the record states
            the earlier era, so other hosts can't rely on it.
        """
        if position != proposal.end:
            return False
        end = Position(position.era, position.offset + 1)
        self.receive(proposal.content, end, now)
        return True

    def receive(self, content: bytes | None, end: Position, now: float) -> None:
        """Record the newest record of the log, which arrived by ``now``.

        ``content`` is None if there is no record just before ``end``.
        """
        is_repeated = (
            math.isfinite(self.known_at)
            and content == self.content
            and end == self.end
        )
        self.is_current = True
        self.end = end
        self.content = content
        newest = _decode(content)
        self.record = newest if newest and newest.era == end.era else None
        if newest is not None:
            self.highest_number = max(
                self.highest_number, newest.lease.fencing_number
            )
        if not is_repeated:
            self.known_at = now
            self.unknown_since = now
        self._update_tenure(content or b'')
        self._update_payload(newest, now)

    def has_stored(self, payload: bytes) -> bool:
        """Tell whether the newest record of this host has that payload."""
        tenure = self.tenure
        return (
            tenure is not None
            and tenure.record.payload_known
            and tenure.record.payload == payload
        )

    def _propose(self, record: LeaseRecord) -> Proposal:
        return Proposal(record, encode_lease_record(record), self.end)

    def _is_due(self, now: float) -> bool:
        tenure = self.tenure
        if tenure is None:
            return False
        return tenure.record.lease.needs_renewal(
            tenure.record.log_time + now - tenure.sent_at
        )

    def _update_tenure(self, content: bytes) -> None:
        """Follow the newest record if it is valid."""
        record = self.record
        sent_at = self.pending.get(content)
        if record is None:
            # The last confirmed record still holds: other hosts wait for a
            # whole duration after they see the new era or the lost record.
            return
        if record.lease.holder != self.holder:
            self.tenure = None
            return
        if sent_at is not None:
            self.tenure = Tenure(record, content, sent_at, self.known_at)
            self.quiet_until = sent_at + 2 * self.duration

    def _update_payload(self, newest: LeaseRecord | None, now: float) -> None:
        if self.held(now) is not None and self.tenure is not None:
            newest = self.tenure.record
            self.payload_known = newest.payload_known
        else:
            record = self.record
            self.payload_known = record is not None and record.payload_known
        self.payload = newest.payload if newest else b''


def _decode(content: bytes | None) -> LeaseRecord | None:
    if content is None:
        return None
    try:
        return decode_lease_record(content)
    except MessageInvalid:
        return None


def _ended_hosts(
    record: LeaseRecord | None, log_time: float, duration: float
) -> dict[str, float]:
    """Return the hosts that acted within ``duration`` before ``log_time``."""
    if record is None:
        return {}
    ended = dict(record.ended)
    lease = record.lease
    if lease.expires_at > 0:
        ended[host_of(lease.holder)] = lease.expires_at
    return {host: at for host, at in ended.items() if log_time - at < duration}
