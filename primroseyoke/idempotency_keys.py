"""At-most-once execution of calls that carry an idempotency key.

Rendezvous hashing assigns each key to an upstream, its home. Another upstream
may execute the key only after the home has refused it for good. The agent of
each upstream keeps one row per key. Key creation times are checked with the
synchronized-clock method of Liskov, Shrira and Wroclawski, "Efficient
at-most-once messages based on synchronized clocks" (1991). Times are Unix
seconds.
"""

import dataclasses
import enum
import heapq
import math
import types
import uuid
from collections.abc import Mapping, Sequence

import xxhash

from .configuration import Homes
from .verdicts import Verdict

__all__ = (
    'Claim',
    'Execute',
    'KeyRow',
    'KeyState',
    'KeyTable',
    'KeyedCall',
    'MAX_CALLER_CLOCK_LEAD_SECONDS',
    'MAX_CLOCK_SKEW_SECONDS',
    'MAX_DELIVERY_DELAY_SECONDS',
    'Reject',
    'Replay',
    'StoredResponse',
    'home_chain',
    'home_chains',
    'initial_floor',
    'key_creation_time',
    'route_chain',
)

# Upper bound on the clock difference between two hosts.
MAX_CLOCK_SKEW_SECONDS = 1.0
# How far a caller's clock may be ahead of the clock of the key's home.
MAX_CALLER_CLOCK_LEAD_SECONDS = 2.0
# A copy of a call whose key has no creation time is accepted up to this long
# after an entry sent it. Older copies are found in the socket buffers of an
# agent that was suspended and resumed; links that miss heartbeats are closed
# sooner.
MAX_DELIVERY_DELAY_SECONDS = 10.0
# Number of upstreams that may be asked about a key in turn. With three, a key
# is still executed when its first home is out of service, and refusing a key
# takes three messages at most.
HOMES_PER_KEY_LIMIT = 3
# A response with a larger body is not stored for replay. A repeated call is
# then only told that the first one was executed.
MAX_STORED_RESPONSE_BYTES = 4096
# Limit for all stored responses of one upstream. A full key table takes another
# 15 MB; together they must fit into the 32 MB available on a node.
MAX_STORED_RESPONSES_TOTAL_BYTES = 2**23
_MS_PER_SECOND = 1000
_UUID_TIME_SHIFT_BITS = 80
_UUID_TIMED_VERSION = 7


@dataclasses.dataclass(frozen=True, slots=True)
class KeyedCall:
    """One copy of a call with a key, sent by an entry at ``sent_at``.

    ``key_time`` is the creation time of the key, 0 if the key has none.
    ``refused_by`` names the upstreams that have recorded a refusal of the key.
    """

    service: str
    client: str
    key: str
    key_time: float
    sent_at: float
    fingerprint: int
    refused_by: tuple[str, ...] = ()

    @property
    def identity(self) -> tuple[str, str, str]:
        """Return the scope of the key and the key itself."""
        return (self.service, self.client, self.key)


@dataclasses.dataclass(frozen=True, slots=True)
class StoredResponse:
    """A complete response that is stored for replay."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    @property
    def size(self) -> int:
        """Return the size of body and headers in bytes."""
        header_fields = (name + text for name, text in self.headers)
        return len(self.body) + sum(map(len, header_fields))


class KeyState(enum.Enum):
    """What is known about the execution of a call with a key."""

    RUNNING = 'running'
    RAN = 'ran'
    MAY_HAVE_RUN = 'may_have_run'
    REFUSED = 'refused'


@dataclasses.dataclass(frozen=True, slots=True)
class KeyRow:
    """State of one key, kept until ``expires_at`` (Unix seconds)."""

    fingerprint: int
    state: KeyState
    expires_at: float
    response: StoredResponse | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Execute:
    """Claim result: execute the call now."""


@dataclasses.dataclass(frozen=True, slots=True)
class Replay:
    """Claim result: the call was executed before, with this response."""

    response: StoredResponse


@dataclasses.dataclass(frozen=True, slots=True)
class Reject:
    """Claim result: do not execute the call; the verdict is about its key.

    ``reason`` is sent to the caller.
    """

    verdict: Verdict
    status: int
    reason: str
    retry_after: float = 0


Claim = Execute | Replay | Reject


def key_creation_time(key: str) -> float:
    """Return the Unix time in a UUIDv7 key, 0 for other keys."""
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return 0
    if parsed.version != _UUID_TIMED_VERSION:
        return 0
    return (parsed.int >> _UUID_TIME_SHIFT_BITS) / _MS_PER_SECOND


def home_chain(
    members: Sequence[str],
    identity: tuple[str, str, str],
) -> tuple[str, ...]:
    """Return the members with the highest rendezvous hashes for a key.

    The first is the home of the key. A later member executes the key only after
    all members before it have recorded a permanent refusal.
    """
    text = '\0'.join(identity)
    ranked = heapq.nlargest(
        HOMES_PER_KEY_LIMIT,
        members,
        key=lambda member: (
            xxhash.xxh3_64_intdigest(f'{member}\0{text}'.encode()),
            member,
        ),
    )
    return tuple(ranked)


def home_chains(
    homes: Homes,
    identity: tuple[str, str, str],
) -> tuple[tuple[str, ...], tuple[str, ...]]:
    """Return the chains that apply before and from ``homes.since`` on."""
    current = home_chain(homes.members, identity)
    if not homes.previous:
        return (current, current)
    return (home_chain(homes.previous, identity), current)


def route_chain(
    homes: Homes,
    identity: tuple[str, str, str],
    key_time: float,
    now: float,
    lifetime: float,
) -> tuple[str, ...]:
    """Return the upstreams to which an entry offers a key, in order."""
    before, after = home_chains(homes, identity)
    routing_time = key_time or now - lifetime
    return after if routing_time >= homes.since else before


def initial_floor(listening_since: float) -> float:
    """Return the floor for a process that has not inherited any rows.

    The floor is the creation time up to which keys are not accepted. The
    previous process accepted keys until ``listening_since`` at the latest,
    since two processes cannot listen on the same address.
    """
    return (
        listening_since + MAX_CLOCK_SKEW_SECONDS + MAX_CALLER_CLOCK_LEAD_SECONDS
    )


class KeyTable:
    """Key rows of one upstream.

    The table starts closed: until ``open`` is called, each new key is rejected
    as ``may_have_run``, since an earlier process may have executed it. The
    lifetime must not change once a key has been accepted.
    """

    def __init__(
        self,
        upstream: str,
        lifetime: float,
        max_rows: int = 50000,
        max_response_bytes: int = MAX_STORED_RESPONSES_TOTAL_BYTES,
    ) -> None:
        """Create a closed table; keys are valid for ``lifetime`` seconds."""
        self.upstream = upstream
        self.lifetime = lifetime
        self.max_rows = max_rows
        self.max_response_bytes = max_response_bytes
        self.response_bytes = 0
        self.floor = math.inf
        self.sealed = False
        self.rows: dict[tuple[str, str, str], KeyRow] = {}

    def open(
        self,
        rows: Mapping[tuple[str, str, str], KeyRow],
        floor: float,
    ) -> None:
        """Start accepting keys, unless the table is sealed.

        Args:
            rows: rows inherited from the previous process.
            floor: keys created until this time (Unix seconds) may have been
                used by a process whose rows are lost; they are rejected.
        """
        if self.sealed:
            return
        self.floor = floor
        self._set_rows({**rows, **self.rows})

    def seal(self) -> tuple[Mapping[tuple[str, str, str], KeyRow], float]:
        """Stop accepting keys for good; return the rows and the floor.

        A refusal recorded after the handover would be unknown to the next
        process, which could then execute the refused key.
        """
        floor = self.floor
        self.floor = math.inf
        self.sealed = True
        return dict(self.rows), floor

    def claim(
        self,
        call: KeyedCall,
        homes: Homes | None,
        configuration_is_fresh: bool,
        now: float,
    ) -> Claim:
        """Decide whether a call is executed, replayed or rejected.

        Args:
            call: the call and its key.
            homes: homes of the service in the configuration of this process.
            configuration_is_fresh: whether that configuration was confirmed
                recently enough.
            now: Unix seconds.
        """
        row = self.rows.get(call.identity)
        if row is not None:
            return _claim_from_row(row, call)
        rejection_reason = self._rejection_reason(
            call, homes, configuration_is_fresh, now
        )
        if rejection_reason:
            return Reject(Verdict.MAY_HAVE_RUN, 409, rejection_reason)
        self._add_row(call, KeyState.RUNNING, now)
        return Execute()

    def invalidate(
        self,
        call: KeyedCall,
        homes: Homes | None,
        configuration_is_fresh: bool,
        now: float,
    ) -> Claim:
        """Record a new key as refused; answer a known key from its row."""
        claim = self.claim(call, homes, configuration_is_fresh, now)
        if isinstance(claim, Execute):
            return self.refuse(call, 'the key was given up')
        return claim

    def refuse(self, call: KeyedCall, reason: str) -> Reject:
        """Record that a claimed call was not and never will be executed."""
        self._update_row(call, KeyState.REFUSED)
        return Reject(Verdict.NOT_RUN, 503, reason)

    def finish(self, call: KeyedCall, response: StoredResponse | None) -> None:
        """Record that a call was executed, and its response if it is small."""
        stored = response
        if response is not None:
            total = self.response_bytes + response.size
            if (
                len(response.body) > MAX_STORED_RESPONSE_BYTES
                or total > self.max_response_bytes
            ):
                stored = None
            else:
                self.response_bytes = total
        self._update_row(call, KeyState.RAN, stored)

    def mark_may_have_run(self, call: KeyedCall) -> None:
        """Record that the outcome of a started call is unknown."""
        self._update_row(call, KeyState.MAY_HAVE_RUN)

    def expire(self, now: float) -> None:
        """Remove rows whose keys would be rejected as too old anyway."""
        self._set_rows(
            {
                identity: row
                for identity, row in self.rows.items()
                if row.expires_at > now or row.state is KeyState.RUNNING
            },
        )

    def _set_rows(self, rows: dict[tuple[str, str, str], KeyRow]) -> None:
        self.rows = rows
        self.response_bytes = sum(
            row.response.size
            for row in rows.values()
            if row.response is not None
        )

    def _rejection_reason(
        self,
        call: KeyedCall,
        homes: Homes | None,
        configuration_is_fresh: bool,
        now: float,
    ) -> str:
        if homes is None or not self._is_home(call, homes, now):
            return 'this upstream is not the home of the key'
        if not configuration_is_fresh:
            return 'the configuration was not confirmed for too long'
        if self._earliest_send_time(call) <= self.floor:
            return 'the key may have been used before this process started'
        if len(self.rows) >= self.max_rows:
            return 'too many keys are in use'
        return self._time_rejection_reason(call, now)

    def _time_rejection_reason(self, call: KeyedCall, now: float) -> str:
        if not call.key_time:
            late = call.sent_at < now - MAX_DELIVERY_DELAY_SECONDS
            return 'the request was delayed for too long' if late else ''
        if call.key_time > now + MAX_CALLER_CLOCK_LEAD_SECONDS:
            return 'the key was created in the future'
        if call.key_time < now - self.lifetime:
            return 'the key is too old'
        return ''

    def _earliest_send_time(self, call: KeyedCall) -> float:
        """Return a time before which no copy of the call can have been sent."""
        return call.key_time or call.sent_at - self.lifetime

    def _is_home(self, call: KeyedCall, homes: Homes, now: float) -> bool:
        before, after = home_chains(homes, call.identity)
        if before == after:
            return self._earlier_homes_refused(after, call)
        if call.key_time:
            chain = after if call.key_time >= homes.since else before
            return self._earlier_homes_refused(chain, call)
        if now < homes.since:
            return self._earlier_homes_refused(before, call)
        if (
            self._earliest_send_time(call)
            > homes.since + MAX_CLOCK_SKEW_SECONDS
        ):
            return self._earlier_homes_refused(after, call)
        # Other copies of the call may have been sent along either chain.
        return self._earlier_homes_refused(
            before, call
        ) and self._earlier_homes_refused(after, call)

    def _earlier_homes_refused(
        self, chain: tuple[str, ...], call: KeyedCall
    ) -> bool:
        """Tell whether it is this upstream's turn in the chain.

        This is so if it is in the chain and all upstreams before it have
        refused the key.
        """
        if self.upstream not in chain:
            return False
        earlier = chain[: chain.index(self.upstream)]
        return set(earlier) <= set(call.refused_by)

    def _add_row(self, call: KeyedCall, state: KeyState, now: float) -> None:
        first_use = max(call.key_time, now)
        expires_at = (
            first_use
            + self.lifetime
            + MAX_DELIVERY_DELAY_SECONDS
            + MAX_CLOCK_SKEW_SECONDS
            + MAX_CALLER_CLOCK_LEAD_SECONDS
        )
        self.rows[call.identity] = KeyRow(call.fingerprint, state, expires_at)

    def _update_row(
        self,
        call: KeyedCall,
        state: KeyState,
        response: StoredResponse | None = None,
    ) -> None:
        row = self.rows[call.identity]
        self.rows[call.identity] = dataclasses.replace(
            row,
            state=state,
            response=response,
        )


def _claim_from_row(row: KeyRow, call: KeyedCall) -> Claim:
    verdict, status, reason = _REPLIES_BY_STATE[row.state]
    if row.fingerprint != call.fingerprint:
        return Reject(verdict, 422, 'the key was used for another request')
    if row.response is not None:
        return Replay(row.response)
    retry_after = 1 if row.state is KeyState.RUNNING else 0
    return Reject(verdict, status, reason, retry_after)


_REPLIES_BY_STATE = types.MappingProxyType(
    {
        KeyState.RUNNING: (
            Verdict.MAY_HAVE_RUN,
            409,
            'the call is being executed',
        ),
        KeyState.RAN: (
            Verdict.RAN,
            409,
            'the call was executed; its answer was not kept',
        ),
        KeyState.MAY_HAVE_RUN: (
            Verdict.MAY_HAVE_RUN,
            409,
            'the call was started and its answer was lost',
        ),
        KeyState.REFUSED: (
            Verdict.NOT_RUN,
            409,
            'the key was refused before; use a new key',
        ),
    }
)
