"""Finds out which upstreams crashed, and which requests may be the cause.

A broken connection alone does not show a crash. Nor does a refused one, since a
host that is cut off may be refused by all upstreams. An upstream has crashed if
it refuses connections while another one of its availability zone accepts them.
The cause is one of the requests whose answers had barely begun.
"""

import asyncio
import dataclasses
import functools
import logging
import random
from collections.abc import Awaitable, Callable

from ..evidence import Evidence, Traits, trait
from ..suspects import Classification, SuspectTable
from .clocks import boot_time
from .connections import connect
from .requests import CallerRequest
from .upstreams import Upstream, UpstreamRegistry

__all__ = ('CrashDetector', 'Candidate', 'can_connect')

log = logging.getLogger(__name__)

# Events after which an answer shows that its request does not crash upstreams.
_SOUND_EVENT_COUNT = 2
# A retry waits for the result, so this is shorter than the timeout of other
# connections.
_CONNECT_TIMEOUT_SECONDS = 0.15
# What an upstream had sent before it crashed may still arrive this late.
_TRANSIT_SECONDS = 0.5
# Time after which a refused request that is tried again without a result, for
# example because its caller disconnected, is given up.
_SECOND_TRY_TIMEOUT_SECONDS = 10.0
# Retry-After while a refused request is being tried again.
_MIN_RETRY_AFTER_SECONDS = 1.0

CanConnect = Callable[[Upstream], Awaitable[bool | None]]


@dataclasses.dataclass(eq=False, slots=True)
class Candidate:
    """A request at an upstream, until it is known not to crash it.

    ``started_at`` is in seconds since boot.
    """

    upstream: Upstream
    request: CallerRequest
    service: str
    client: str
    started_at: float
    is_sound: bool = False

    @property
    def traits(self) -> Traits:
        """Return the traits that crash evidence is kept by."""
        return request_traits(self.request, self.service, self.client)


@functools.lru_cache(maxsize=256)
def _part_trait(service: str, part: str) -> int:
    return trait(service.encode(), part.encode())


def request_traits(request: CallerRequest, service: str, client: str) -> Traits:
    """Return a fingerprint of a request and a trait for each shared part."""
    fingerprint = trait(
        client.encode(),
        request.method.encode(),
        request.host.encode(),
        request.target.encode(),
        *(request.body.blocks or (b'',)),
    )
    return frozenset((fingerprint, *_part_traits(request, service)))


def _part_traits(request: CallerRequest, service: str) -> list[int]:
    return [_part_trait(service, part) for part in request.prompt_parts]


async def can_connect(upstream: Upstream) -> bool | None:
    """Return whether an upstream accepts a connection, None if unknown."""
    try:
        connection = await connect(
            upstream.host, upstream.port, _CONNECT_TIMEOUT_SECONDS
        )
    except ConnectionRefusedError:
        return False
    except (OSError, TimeoutError) as error:
        log.debug(
            'unknown whether an upstream crashed',
            extra={'upstream': upstream.name, 'reason': repr(error)},
        )
        return None
    connection.abort()
    return True


class CrashDetector:
    """Crash evidence of a gateway, from its own requests and from its peers.

    Attributes:
        suspects: the evidence; its times are in seconds since boot.
        on_evidence: called with new evidence of this host, to be broadcast.
        may_try_again: tells whether this host may send a refused request again
            when a trial is due.
    """

    def __init__(
        self,
        registry: UpstreamRegistry,
        generator: random.Random,
        check_connection: CanConnect = can_connect,
    ) -> None:
        """Check upstreams of ``registry`` with ``check_connection``."""
        self.registry = registry
        self.generator = generator
        self.check_connection = check_connection
        self.suspects = SuspectTable()
        self.on_evidence: Callable[[Evidence], None] = _ignore
        self.may_try_again: Callable[[], bool] = _never
        self.candidates: dict[str, set[Candidate]] = {}
        self.checks: dict[str, asyncio.Task[None]] = {}
        self.second_try_id = ''
        self.second_try_until = 0.0

    def start(
        self,
        upstream: Upstream,
        request: CallerRequest,
        service: str,
        client: str,
    ) -> Candidate:
        """Record that a request is sent to an upstream."""
        candidate = Candidate(upstream, request, service, client, boot_time())
        self.candidates.setdefault(_key(upstream), set()).add(candidate)
        return candidate

    def record_event(self, candidate: Candidate, count: int) -> None:
        """Record that ``count`` events of an answer have arrived."""
        if count >= _SOUND_EVENT_COUNT and not candidate.is_sound:
            self.record_sound(candidate)

    def record_sound(self, candidate: Candidate) -> None:
        """Record that an upstream has answered a request and not crashed."""
        is_first = not candidate.is_sound
        candidate.is_sound = True
        self.end(candidate)
        now = boot_time()
        if is_first:
            parts = _part_traits(candidate.request, candidate.service)
            self.suspects.record_answer(parts, now)
        if not self.suspects.blame:
            return
        self._refute(candidate, now)
        if is_first:
            self._publish(self.suspects.clear(candidate.traits, now))

    def end(self, candidate: Candidate) -> None:
        """Record that a request has ended, whatever its result."""
        candidates = self.candidates.get(_key(candidate.upstream), set())
        candidates.discard(candidate)
        if not candidates:
            self.candidates.pop(_key(candidate.upstream), None)

    async def record_break(self, candidate: Candidate) -> bool:
        """Find out whether the upstream crashed when a connection broke.

        It returns when the evidence has been recorded, so that the request is
        not sent to another upstream before. The check goes on if the caller
        disconnects.

        Returns:
            Whether the upstream crashed and no other request is known that may
            be the cause.
        """
        key = _key(candidate.upstream)
        if candidate.is_sound or not self._is_in_service(candidate.upstream):
            return False
        check = self.checks.get(key)
        if check is None:
            candidates = frozenset(self.candidates.get(key, ()))
            check = asyncio.get_running_loop().create_task(
                self._check(
                    candidate.upstream, candidates | {candidate}, boot_time()
                )
            )
            self.checks[key] = check
            check.add_done_callback(lambda _: self.checks.pop(key))
        await asyncio.shield(check)
        return self.suspects.crashes.get(key, {}).keys() == {candidate.traits}

    def refusal_delay(
        self, request: CallerRequest, service: str, client: str
    ) -> float | None:
        """Return after which time a refused request may be tried again.

        Returns:
            Seconds, None if the request is not refused.
        """
        if not self.suspects.blame or self._is_second_try(request):
            return None
        traits = request_traits(request, service, client)
        now = boot_time()
        classification = self.suspects.classify(traits, now)
        if classification is not Classification.REFUSED:
            return None
        delay = self.suspects.next_trial_at(traits) - now
        if delay <= 0 and now >= self.second_try_until and self.may_try_again():
            self.second_try_id = request.request_id
            self.second_try_until = now + _SECOND_TRY_TIMEOUT_SECONDS
            log.warning(
                'request that is blamed for crashes is tried again',
                extra={'request': request.request_id},
            )
            return None
        return max(delay, _MIN_RETRY_AFTER_SECONDS)

    def merge(self, evidence: Evidence, sender: str) -> None:
        """Merge the evidence of another host."""
        new = self.suspects.merge(evidence, boot_time())
        if new:
            log.info(
                'crash evidence of another host',
                extra={
                    'peer': sender,
                    'crashed': sorted({each.upstream for each in new.crashes}),
                    'cleared': len(new.clearances),
                },
            )

    def expire(self) -> None:
        """Drop evidence that is too old."""
        self.suspects.expire(boot_time())

    def refute_false_crashes(self, expiry: float) -> None:
        """Drop crashes of upstreams that are still registered.

        Args:
            expiry: time in seconds for which the store has been reachable and
                after which a crashed upstream is no longer registered.
        """
        now = boot_time()
        for upstream in self.registry.upstreams.values():
            requests = self.suspects.crashes.get(_key(upstream))
            if requests and now - max(requests.values()) > expiry:
                self._drop(_key(upstream), 'it is still registered', now)

    async def _check(
        self,
        upstream: Upstream,
        candidates: frozenset[Candidate],
        broken_at: float,
    ) -> None:
        """Record a crash if the upstream is down and this host is not cut."""
        if await self.check_connection(upstream) is not False:
            return
        if not await self._is_zone_reachable(upstream):
            log.info(
                'upstream not reachable, nor others of its zone',
                extra={'upstream': upstream.name},
            )
            return
        log.warning(
            'upstream crashed while answers began',
            extra={
                'upstream': upstream.name,
                'requests': sorted(
                    candidate.request.request_id for candidate in candidates
                ),
            },
        )
        self._publish(
            self.suspects.record_crash(
                _key(upstream),
                [candidate.traits for candidate in candidates],
                broken_at,
            )
        )

    async def _is_zone_reachable(self, upstream: Upstream) -> bool:
        """Return whether another upstream of the zone accepts connections.

        Without any other upstream in the zone, it is unknown and taken as true.
        """
        others = [
            other
            for other in self.registry.upstreams.values()
            if other.availability_zone == upstream.availability_zone
            and other.name != upstream.name
        ]
        if not others:
            return True
        chosen = self.generator.sample(others, min(len(others), 2))
        reached = await asyncio.gather(*map(self.check_connection, chosen))
        return any(reached)

    def _is_second_try(self, request: CallerRequest) -> bool:
        """Return whether this is the refused request that is tried again."""
        return (
            bool(self.second_try_id)
            and request.request_id == self.second_try_id
            and boot_time() < self.second_try_until
        )

    def _is_in_service(self, upstream: Upstream) -> bool:
        """Return whether an upstream has not announced that it leaves."""
        known = self.registry.upstreams.get(upstream.name)
        return known is not None and not known.draining

    def _refute(self, candidate: Candidate, now: float) -> None:
        """Drop crashes of an upstream that an older connection contradicts."""
        requests = self.suspects.crashes.get(_key(candidate.upstream))
        if not requests:
            return
        crashed_at = max(requests.values())
        if candidate.started_at < crashed_at < now - _TRANSIT_SECONDS:
            self._drop(_key(candidate.upstream), 'it answers', now)

    def _drop(self, key: str, reason: str, now: float) -> None:
        log.info(
            'upstream has not crashed; evidence dropped',
            extra={'upstream': key, 'reason': reason},
        )
        self.suspects.refute(key, now)

    def _publish(self, evidence: Evidence) -> None:
        if evidence:
            self.on_evidence(evidence)


def _key(upstream: Upstream) -> str:
    """Return a key that differs for each start of an upstream."""
    if not upstream.started_at:
        return upstream.name
    return f'{upstream.name}@{upstream.started_at}'


def _ignore(evidence: Evidence) -> None:
    """Allow evidence before a callback is set."""


def _never() -> bool:
    """Try no refused request again before a callback is set."""
    return False
