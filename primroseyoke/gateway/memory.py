"""Limit on the memory that a gateway uses for its callers.

A request counts from its head to the end of its response. Small requests are
never kept waiting: only the larger part of a long body waits for memory, and
it is granted as a whole, so that bodies never wait for each other half way.
"""

import asyncio
import contextlib
import dataclasses
import enum
import gc
import math
import time
from collections.abc import Callable

from ..exceptions import RequestFailed
from ..verdicts import Verdict

__all__ = (
    'SMALL_BODY_BYTES',
    'MemoryBudget',
    'MemoryUse',
    'RequestMemory',
)

# What an open connection takes in the program while it is idle.
_CONNECTION_BYTES = 16384
# Bodies up to this size need no memory beyond that of every request.
SMALL_BODY_BYTES = 65536
# Head, small body, read buffers and the first part of the response.
_REQUEST_BYTES = 131072
# Received data that is not part of a long body yet, and what is being sent.
_BODY_OVERHEAD_BYTES = 262144
# Bodies over this size leave a share of the budget to shorter ones.
_LONG_BODY_BYTES = 2**20
# Shares of the budget up to which long and other bodies may use it. The rest is
# left to small requests.
_LONG_BODY_SHARE = 0.75
_BODY_SHARE = 0.875
# Share of the budget that responses to slow callers may use.
_RESPONSE_SHARE = 0.5
# The program itself, with its configuration and the reports of its peers.
_PROGRAM_BYTES = 48 * 2**20
# Share of the remaining memory that may be planned with: the allocator holds
# more than is in use.
_USABLE_SHARE = 0.85
# Share of a very small memory that is used for callers in any case.
_MIN_SHARE = 0.125
# Share of the budget that ended requests may keep in reference cycles. The
# garbage collector counts objects, and a few of them can hold large bodies.
_GARBAGE_SHARE = 0.0625
# Callers give up an idempotent request that is not read within 1 s, or within a
# third of the time that they have left.
_WAIT_LIMIT_SECONDS = 0.9
_WAIT_SHARE = 0.3
# An upload that is expected to take longer makes room for one that waits.
_SLOW_UPLOAD_SECONDS = 2.0
# An upload has a measured rate after this time.
_MEASURED_SECONDS = 0.25
# How often a body that waits makes room by ending a slow upload, at most.
_SLOW_UPLOAD_CHECK_COUNT = 3
_RETRY_AFTER_SECONDS = 1.0


class MemoryUse(enum.Enum):
    """What memory is held for."""

    CONNECTIONS = 'connections'
    REQUESTS = 'requests'
    BODIES = 'bodies'
    RESPONSES = 'responses'


@dataclasses.dataclass(eq=False, slots=True)
class _Waiter:
    memory: 'RequestMemory'
    size: int
    granted: asyncio.Event


class MemoryBudget:
    """Memory that the requests of all callers share, in bytes.

    Attributes:
        limit: the size of the budget, infinite for no limit.
        held: the memory in use.
        refusals: number of requests that got no memory.
        waiters: bodies that wait for memory, longest waiting first.
        uploads: requests whose long body is being read.
        garbage: the most that requests may hold that have ended since the last
            collection of reference cycles.
    """

    def __init__(self, memory_bytes: float = math.inf) -> None:
        """Start with the budget of a process that may use ``memory_bytes``."""
        self.garbage = 0
        self.limit = _usable_bytes(memory_bytes)
        self.held = dict.fromkeys(MemoryUse, 0)
        self.refusals = 0
        self.waiters: list[_Waiter] = []
        self.uploads: set[RequestMemory] = set()

    @property
    def total(self) -> int:
        """Return the memory in use for all purposes, in bytes."""
        return sum(self.held.values())

    def resize(self, memory_bytes: float) -> None:
        """Adapt to a process that may use ``memory_bytes``."""
        self.limit = _usable_bytes(memory_bytes)
        self.grant_waiting()

    def record_garbage(self, size: int) -> None:
        """Record that ``size`` bytes may be left in reference cycles.

        Their memory counts as free at once, so they are collected before they
        take a considerable part of it.
        """
        self.garbage += size
        if self.garbage > self.limit * _GARBAGE_SHARE:
            self.garbage = 0
            gc.collect()

    def add_connection(self) -> None:
        """Record a new connection; descriptors limit their number."""
        self.held[MemoryUse.CONNECTIONS] += _CONNECTION_BYTES

    def remove_connection(self) -> None:
        """Record that a connection was closed."""
        self.held[MemoryUse.CONNECTIONS] -= _CONNECTION_BYTES
        self.grant_waiting()

    def fits(self, size: int, share: float = 1) -> bool:
        """Return whether ``size`` more bytes stay within ``share``."""
        return self.total + size <= self.limit * share

    def refusal(self, detail: str, retry_after: float) -> RequestFailed:
        """Count a refusal and return it; ``retry_after`` in seconds."""
        self.refusals += 1
        return RequestFailed(detail, Verdict.NOT_RUN, retry_after=retry_after)

    async def wait_for_body(
        self, memory: 'RequestMemory', size: int, timeout: float
    ) -> None:
        """Wait until a body of ``size`` bytes fits; ``timeout`` in seconds.

        Raises:
            RequestFailed: it does not fit within ``timeout``.
        """
        waiter = _Waiter(memory, size, asyncio.Event())
        self.waiters.append(waiter)
        try:
            for _ in range(_SLOW_UPLOAD_CHECK_COUNT):
                if await _is_set_within(
                    waiter.granted, timeout / _SLOW_UPLOAD_CHECK_COUNT
                ):
                    return
                self._revoke_slowest_upload()
        finally:
            if waiter in self.waiters:
                self.waiters.remove(waiter)
                self.grant_waiting()
        raise self.refusal('no memory became free', _RETRY_AFTER_SECONDS)

    def must_wait(self, size: int) -> bool:
        """Return whether a body does not fit yet, or others are before it."""
        share = body_share(size)
        return not self.fits(size, share) or any(
            body_share(waiter.size) >= share for waiter in self.waiters
        )

    def is_backlogged(self, size: int) -> bool:
        """Return whether bodies that wait already need all the memory."""
        waiting = sum(waiter.size for waiter in self.waiters)
        return waiting + size > self.limit * body_share(size)

    def grant_waiting(self) -> None:
        """Grant memory to waiting bodies, in order, as far as they fit."""
        blocked_share = 0.0
        for waiter in tuple(self.waiters):
            share = body_share(waiter.size)
            if share <= blocked_share:
                continue
            if self.fits(waiter.size, share):
                self.waiters.remove(waiter)
                waiter.memory.hold(MemoryUse.BODIES, waiter.size)
                waiter.granted.set()
            else:
                blocked_share = share

    def _revoke_slowest_upload(self) -> None:
        """Refuse the upload that is expected to hold its memory longest."""
        now = time.monotonic()
        slowest = max(
            self.uploads,
            key=lambda upload: upload.expected_seconds(now),
            default=None,
        )
        if slowest and slowest.expected_seconds(now) > _SLOW_UPLOAD_SECONDS:
            slowest.revoke()


def _usable_bytes(memory_bytes: float) -> float:
    available = max(memory_bytes - _PROGRAM_BYTES, memory_bytes * _MIN_SHARE)
    return available * _USABLE_SHARE


async def _is_set_within(event: asyncio.Event, timeout: float) -> bool:
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(timeout):
            await event.wait()
    return event.is_set()


def body_share(size: int) -> float:
    """Return the share of the budget up to which a body may use it."""
    return _LONG_BODY_SHARE if size > _LONG_BODY_BYTES else _BODY_SHARE


class RequestMemory:
    """Memory that one request holds.

    Attributes:
        held: the memory in use, in bytes.
        missing: largest size of the rest of the body, in bytes.
        received: how much of the body arrived since memory was reserved.
        reading_since: when that was, in monotonic seconds.
        revoked: whether the body must not be read any further.
        on_revoke: called when that happens.
    """

    def __init__(self, budget: MemoryBudget) -> None:
        """Hold nothing yet."""
        self.budget = budget
        self.held = dict.fromkeys(MemoryUse, 0)
        self.missing = 0
        self.received = 0
        self.reading_since = 0.0
        self.revoked = False
        self.on_revoke: Callable[[], None] | None = None

    def start(self) -> None:
        """Hold what every request needs.

        Raises:
            RequestFailed: there is too little memory.
        """
        if not self.budget.fits(_REQUEST_BYTES):
            raise self.budget.refusal('out of memory', _RETRY_AFTER_SECONDS)
        self.hold(MemoryUse.REQUESTS, _REQUEST_BYTES)

    @property
    def has_body(self) -> bool:
        """Return whether memory for a long body is held."""
        return self.held[MemoryUse.BODIES] > 0

    async def reserve_body(
        self, expected: int, received: int, timeout: float
    ) -> None:
        """Hold the memory of a long body, waiting for it if necessary.

        Args:
            expected: the largest size that the body may have, in bytes.
            received: how much of it has been read already, in bytes.
            timeout: how long its caller waits for the response, in seconds.

        Raises:
            RequestFailed: there is too little memory.
        """
        budget = self.budget
        size = expected + _BODY_OVERHEAD_BYTES
        if size > budget.limit * body_share(size):
            raise budget.refusal('the host has no memory for such a body', 0)
        if budget.must_wait(size):
            if budget.is_backlogged(size):
                raise budget.refusal('out of memory', _RETRY_AFTER_SECONDS)
            await budget.wait_for_body(
                self, size, min(_WAIT_LIMIT_SECONDS, _WAIT_SHARE * timeout)
            )
        else:
            self.hold(MemoryUse.BODIES, size)
        self.missing = expected - received
        self.received = 0
        self.reading_since = time.monotonic()
        budget.uploads.add(self)

    def record_received(self, size: int) -> None:
        """Record that ``size`` bytes of the body have arrived."""
        self.missing -= size
        self.received += size

    def finish_body(self, size: int) -> None:
        """Keep only what a body takes that has been read completely."""
        self.budget.uploads.discard(self)
        excess = self.held[MemoryUse.BODIES] - size
        if excess > 0:
            self.hold(MemoryUse.BODIES, -excess)
            self.budget.grant_waiting()

    def extend_response(self, size: int) -> bool:
        """Hold ``size`` more bytes of the response; return whether they fit."""
        budget = self.budget
        responses = budget.held[MemoryUse.RESPONSES] + size
        if responses > budget.limit * _RESPONSE_SHARE or not budget.fits(size):
            return False
        self.hold(MemoryUse.RESPONSES, size)
        return True

    def release_response(self, size: int) -> None:
        """Release ``size`` bytes that ``extend_response`` has held."""
        if size:
            self.hold(MemoryUse.RESPONSES, -size)
            self.budget.record_garbage(size)
            self.budget.grant_waiting()

    def hold(self, use: MemoryUse, size: int) -> None:
        """Add ``size`` bytes to the memory in use."""
        self.held[use] += size
        self.budget.held[use] += size

    def close(self) -> None:
        """Release all memory of the request."""
        self.budget.uploads.discard(self)
        large = self.held[MemoryUse.BODIES] + self.held[MemoryUse.RESPONSES]
        for use, size in self.held.items():
            self.hold(use, -size)
        self.budget.record_garbage(large)
        self.budget.grant_waiting()

    def expected_seconds(self, now: float) -> float:
        """Return how long the rest of the body is expected to take."""
        elapsed = now - self.reading_since
        if elapsed < _MEASURED_SECONDS:
            return 0
        return self.missing * elapsed / max(self.received, 1)

    def revoke(self) -> None:
        """Stop reading the body: its memory is needed for others."""
        self.revoked = True
        self.budget.uploads.discard(self)
        if self.on_revoke is not None:
            self.on_revoke()

    def revoked_error(self) -> RequestFailed:
        """Return the failure of a request whose body arrives too slowly."""
        return self.budget.refusal(
            'out of memory, and the body arrives too slowly',
            _RETRY_AFTER_SECONDS,
        )
