"""The lease under which one host at a time calls the platform's API."""

import asyncio
import contextlib
import logging
import math
import secrets
from collections.abc import Callable
from typing import Any

from ..exceptions import ServiceUnavailable
from .clocks import boot_time
from .lease_chain import LeaseChain, LeaseStep, Proposal
from .topics import AppendConflict, ConditionalTopic, KeyedPage, TopicMissing

__all__ = ('DutyLease',)

log = logging.getLogger(__name__)

_KEY = 'lease'
_RUN_BYTES = 8
# Interval at which the state of the lease is checked.
_POLL_SECONDS = 0.05
# A host tries to claim when it has heard from no holder for this time, and for
# as much longer for each active host before it. Heartbeats come each 0.35 s.
_HOLDER_SILENCE_SECONDS = 1.0
_SILENCE_PER_HOST_SECONDS = 1.0
# Delay after a failed call. A holder has about one second to renew.
_HOLDER_RETRY_SECONDS = 0.1
_RETRY_SECONDS = 1.0
# A write is repeated once if its response was lost or a delayed append of this
# host came before it.
_WRITE_ATTEMPTS = 3


class DutyLease:
    """Claims, renews and releases the lease, and tells whether it is held.

    The lease is kept in one key of a topic of the store. All times are of a
    clock that counts while the host is suspended.

    Attributes:
        chain: what is known of the lease.
        draining: whether this host stops acting and gives the lease up.
        lost_count: number of leases that ended without a release.
        on_change: called after this host gained or lost the lease.
    """

    def __init__(
        self,
        topic: ConditionalTopic,
        host: str,
        duration: float,
        rank: Callable[[], int] = int,
        clock: Callable[[], float] = boot_time,
    ) -> None:
        """Take part as ``host``.

        Args:
            topic: where the lease is kept.
            host: name of the host.
            duration: duration of the lease in seconds.
            rank: returns the number of hosts that should claim before this one.
            clock: returns the time in seconds.
        """
        self.topic = topic
        self.host = host
        self.rank = rank
        self.clock = clock
        # A host that restarted is a new holder.
        run = secrets.token_hex(_RUN_BYTES)
        self.chain = LeaseChain(f'{host}/{run}', duration)
        self.heard_at = clock()
        self.retry_at = -math.inf
        self.draining = False
        self.lost_count = 0
        self.reported_number: int | None = None
        self.is_unclaimable = False
        self.on_change: Callable[[], None] = _do_nothing
        self.lock = asyncio.Lock()
        self.stopped = asyncio.Event()

    @property
    def payload(self) -> bytes:
        """Return the payload of the newest record that is known."""
        return self.chain.payload

    @property
    def payload_known(self) -> bool:
        """Tell whether no payload of an earlier holder can be missing."""
        return self.chain.payload_known

    def held(self) -> int | None:
        """Return the fencing number while this host may act, else None."""
        return None if self.draining else self.chain.held(self.clock())

    def hear_holder(self, number: int) -> None:
        """Record that another host reported that it holds the lease."""
        if number >= self.chain.highest_number:
            self.heard_at = self.clock()

    def drain(self) -> None:
        """Stop acting; ``run`` releases the lease and returns."""
        self.draining = True
        self.stopped.set()

    async def write(self, payload: bytes) -> bool:
        """Renew the lease with a new payload.

        Returns:
            True once the store has confirmed the payload and the lease is still
            held. After False, the payload may be stored nevertheless, or later
            while this host holds the lease.
        """
        for _ in range(_WRITE_ATTEMPTS):
            async with self.lock:
                if self.held() is None:
                    return False
                with contextlib.suppress(ServiceUnavailable):
                    await self._write_once(payload)
                if self.chain.is_current and self.chain.has_stored(payload):
                    return self.held() is not None
        return False

    async def run(self) -> None:
        """Keep or seek the lease until the host drains, then release it."""
        while not self.draining:
            await self.advance()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_POLL_SECONDS):
                    await self.stopped.wait()
        self._report_change()
        # Calls to the API that are in progress end within the margin.
        await asyncio.sleep(self.chain.margin / 2)
        await self._release()

    async def advance(self) -> None:
        """Make the next call to the store if one is due."""
        async with self.lock:
            now = self.clock()
            self._report_change()
            if now < self.retry_at:
                return
            step = self.chain.next_step(
                now, self.topic.eras.era, self._is_candidate(now)
            )
            try:
                await self._perform(step)
            except ServiceUnavailable as error:
                self._delay_retry(step, error)
            self._report_change()

    def state(self) -> dict[str, Any]:
        """Return the state for operators."""
        record = self.chain.record
        now = self.clock()
        return {
            'held': self.held(),
            'holder': record.lease.holder if record else None,
            'fencing_number': record.lease.fencing_number if record else None,
            'era': self.chain.end.era,
            'known_for': round(now - self.chain.known_at, 3)
            if record
            else None,
            'payload_bytes': len(self.payload),
            'payload_known': self.payload_known,
            'lost': self.lost_count,
            'draining': self.draining,
        }

    def _is_candidate(self, now: float) -> bool:
        silence = now - self.heard_at - _HOLDER_SILENCE_SECONDS
        if self.draining or silence < 0:
            return False
        return silence >= _SILENCE_PER_HOST_SECONDS * self.rank()

    async def _perform(self, step: LeaseStep) -> None:
        if step is LeaseStep.READ:
            await self._read()
        elif step is LeaseStep.CLAIM:
            if self.chain.next_number is None:
                self._report_unclaimable()
            await self._append(self.chain.propose_claim(self.clock()))
        elif step is LeaseStep.RENEW:
            await self._append(self.chain.propose_renewal(self.clock()))

    async def _write_once(self, payload: bytes) -> None:
        chain = self.chain
        if not chain.is_current or self.topic.eras.era != chain.end.era:
            await self._read()
        if not chain.has_stored(payload):
            await self._append(chain.propose_renewal(self.clock(), payload))

    async def _read(self) -> None:
        try:
            page = await self.topic.read_latest()
        except TopicMissing:
            page = KeyedPage((), 0, self.topic.eras.era)
        now = self.clock()
        self.chain.receive(_newest_content(page), page.next_position, now)
        if self.chain.known_at == now and self.chain.is_held_elsewhere(now):
            # A record that is new counts as a heartbeat. Otherwise all hosts
            # that hear no heartbeats would try to claim after each expiry.
            self.heard_at = now

    async def _append(self, proposal: Proposal | None) -> None:
        """Append a record if there is one; a lost response is read later."""
        if proposal is None:
            return
        self.chain.record_send(proposal, self.clock())
        try:
            position = await self.topic.append_at(
                _KEY, proposal.content, proposal.end.offset
            )
        except AppendConflict as error:
            log.info(
                'duty lease: another record came first; reading it',
                extra={'expected': proposal.end.offset, 'reason': str(error)},
            )
        else:
            self.chain.confirm(proposal, position, self.clock())

    def _report_unclaimable(self) -> None:
        if not self.is_unclaimable:
            log.error(
                'duty lease not claimed: the store offers no higher number',
                extra={
                    'era': self.chain.end.era,
                    'offset': self.chain.end.offset,
                    'highest_number': self.chain.highest_number,
                },
            )
        self.is_unclaimable = True

    def _delay_retry(self, step: LeaseStep, error: ServiceUnavailable) -> None:
        now = self.clock()
        is_held = self.held() is not None
        delay = _HOLDER_RETRY_SECONDS if is_held else _RETRY_SECONDS
        self.retry_at = now + delay
        log.info(
            'duty lease: no valid response of the store; retrying',
            extra={'step': step.value, 'held': is_held, 'reason': str(error)},
        )

    async def _release(self) -> None:
        async with self.lock:
            if not self.chain.is_current:
                with contextlib.suppress(ServiceUnavailable):
                    await self._read()
            proposal = self.chain.propose_release(self.clock())
            if proposal is None:
                return
            try:
                await self._append(proposal)
            except ServiceUnavailable as error:
                log.warning(
                    'duty lease not released; it expires',
                    extra={'reason': str(error)},
                )
            else:
                log.info('duty lease released')

    def _report_change(self) -> None:
        """Log a gain or a loss since the last call."""
        number = self.held()
        previous = self.reported_number
        if number == previous:
            return
        self.reported_number = number
        if previous is not None:
            self._report_loss(previous)
        if number is not None:
            log.info(
                'duty lease gained',
                extra={
                    'fencing_number': number,
                    'silent_for': round(self.clock() - self.heard_at, 3),
                    'payload_known': self.payload_known,
                    'payload_bytes': len(self.payload),
                },
            )
        self.on_change()

    def _report_loss(self, number: int) -> None:
        if self.draining:
            reason = 'this host is draining'
        elif self.chain.tenure is None:
            reason = 'another host holds it'
        else:
            reason = 'no renewal was confirmed in time'
        self.lost_count += not self.draining
        # The wait for other hosts to claim starts now.
        self.heard_at = self.clock()
        log.warning(
            'duty lease lost',
            extra={'fencing_number': number, 'reason': reason},
        )


def _newest_content(page: KeyedPage) -> bytes | None:
    """Return the lease's record if it is the last one of the topic.

    Otherwise the page may be older than its end offset, and a claim on this
    basis could follow a record that is not known.
    """
    for record in page.records:
        if record.key == _KEY and record.offset + 1 == page.next_offset:
            return record.value
    return None


def _do_nothing() -> None:
    """Allow changes before a callback is set."""
