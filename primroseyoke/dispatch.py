"""Execution of caller requests by an entry: attempts, retries, verdicts."""

import dataclasses
import functools
import queue
import time
import uuid
from collections.abc import Callable, Iterator
from typing import Any

import pykka
from result import Err, Ok, Result

from .caller_requests import CallerRequest
from .concurrency import ClientConcurrencyLimiter
from .configuration import Configuration, Service
from .exceptions import (
    LinkClosed,
    LinkFailed,
    RequestFailed,
    RequestInvalid,
)
from .idempotency_keys import key_creation_time, route_chain
from .links import Attempt, LinkLost, LinkPool
from .messages import Body, End, Failed, Head, Headers, Refused, Start
from .response_buffering import ResponseChecksum
from .routing_actor import (
    ChooseUpstream,
    RequestEnded,
    RoutingActor,
    SpendRetry,
)
from .suspects import Classification, SuspectTable
from .verdicts import Verdict

__all__ = ('Dispatcher', 'Response', 'combine_verdicts')

# Credit window of a chat stream. It has to cover one round trip to the agent,
# but bytes that were sent into the window can no longer be merged.
CHAT_WINDOW_BYTES = 4096
# Credit window of a plain response. Responses up to this size are received
# completely before their head is sent to the caller.
PLAIN_WINDOW_BYTES = 65536
# Responses with these statuses have no body, even with a Content-Length
# (RFC 9110).
_BODILESS_STATUSES = frozenset((204, 304))
_MAX_ATTEMPTS = 4
_STALL_TIMEOUT_SECONDS = 30.0
_RETRY_DELAY_SECONDS = 0.05
_MAX_RETRY_DELAY_SECONDS = 0.5
# Covers a brief loss of a link. A longer wait gains nothing: a home that was
# restarted answers ``may_have_run`` for keys created before the restart.
_RECONNECT_TIMEOUT_SECONDS = 3.0
# The agent refuses a queued request up to one tick after its deadline. The
# entry waits for that refusal, which says more than a timeout of its own.
_REFUSAL_GRACE_SECONDS = 0.5
# Normally a few generated keys suffice to find one whose home is linked.
_KEY_GENERATION_ATTEMPTS = 64


class Response:
    """A response whose head has arrived.

    The agent sends at most ``window`` bytes beyond what the caller has read,
    which bounds the memory that the entry needs for it.
    """

    def __init__(
        self,
        attempt: Attempt,
        head: Head,
        start: Start,
        deadline: float,
        on_end: Callable[['Response'], None],
    ) -> None:
        """Receive the body of an attempt; ``deadline`` is in monotonic time."""
        self.on_end = on_end
        self.attempt = attempt
        self.status = head.status
        self.headers: Headers = head.headers
        self.replayed = head.replayed
        self.deadline = deadline
        self.window = start.window
        self.load_balanced = start.idempotent
        self.declared_length = _declared_length(head, start.method)
        self.checksum = ResponseChecksum()
        self.ended = False
        self.closed = False
        self.taken_bytes = 0
        self.granted_bytes = 0
        self.prefetched: list[bytes] = []
        #: Releases the concurrency slot of the client when the response closes.
        self.release_slot: Callable[[], None] = _no_slot_to_release

    def held_bytes(self) -> int:
        """Return the number of received bytes that the caller has not read."""
        return self.attempt.received_bytes - self.taken_bytes

    def prefetch(self) -> None:
        """Receive the body of a short response that is not an event stream.

        The request can be retried until the head is sent to the caller. A
        response larger than the window is received up to the window.

        Raises:
            RequestFailed: the response is incomplete or corrupt.
        """
        if _is_event_stream(self.headers):
            return
        for chunk in self._received_chunks():
            self.prefetched.append(chunk)
            if self.checksum.length >= self.window:
                return

    def chunks(self) -> Iterator[bytes]:
        """Yield the body, granting credit as the caller reads it.

        Raises:
            RequestFailed: the response is incomplete or corrupt.
        """
        while self.prefetched:
            yield from self._yield_and_grant(self.prefetched.pop(0))
        for chunk in self._received_chunks():
            yield from self._yield_and_grant(chunk)

    def close(self) -> None:
        """Release the response; cancel the attempt if it has not ended."""
        if self.closed:
            return
        self.closed = True
        if not self.ended:
            self.attempt.cancel()
        self.on_end(self)
        self.release_slot()

    def _yield_and_grant(self, chunk: bytes) -> Iterator[bytes]:
        yield chunk
        self.taken_bytes += len(chunk)
        # Granting half a window at a time needs few messages and does not let
        # the agent run out of credit.
        ungranted_bytes = self.taken_bytes - self.granted_bytes
        if not self.ended and ungranted_bytes * 2 >= self.window:
            self.granted_bytes = self.taken_bytes
            self.attempt.grant_credit(ungranted_bytes)

    def _received_chunks(self) -> Iterator[bytes]:
        while not self.ended:
            reply = self._next_reply()
            if not isinstance(reply, Body):
                self._verify_end(reply)
                return
            if reply.position != self.checksum.add(reply.content):
                raise _corrupt_response('bytes of the answer are missing')
            if self.checksum.length == self.declared_length:
                # The caller regards the response as complete once it has the
                # last byte, so that byte is held until the end is verified.
                self._verify_end(self._next_reply())
            yield reply.content

    def _next_reply(self) -> Any:
        """Wait for the next reply, beyond the deadline if necessary.

        The deadline bounds the wait for the head. The body may take longer if
        the caller reads slowly, so only an agent that stalls ends the wait.
        """
        stall_deadline = time.monotonic() + _STALL_TIMEOUT_SECONDS
        return _next_reply(self.attempt, max(self.deadline, stall_deadline))

    def _verify_end(self, reply: Any) -> None:
        """Verify length and digest with the reply that ends the response."""
        self.ended = isinstance(reply, End | Refused | Failed | LinkLost)
        if not isinstance(reply, End):
            raise _reply_failure(reply)
        is_complete = self.checksum.matches(reply.length, reply.digest)
        if not is_complete or self.declared_length not in {None, reply.length}:
            raise _corrupt_response(
                'the answer does not match its length and digest'
            )


class Dispatcher:
    """Executes caller requests at upstreams, with retries."""

    def __init__(
        self,
        pool: LinkPool,
        routing: pykka.ActorRef[RoutingActor],
        limiter: ClientConcurrencyLimiter,
    ) -> None:
        """Send requests over ``pool`` to upstreams chosen by ``routing``."""
        self.limiter = limiter
        self.pool = pool
        self.routing = routing
        # Changed only on the thread of the links.
        self.suspects = SuspectTable()
        self.configuration: Configuration | None = None
        self.responses: set[Response] = set()

    def execute(
        self,
        request: CallerRequest,
    ) -> Result[Response, RequestFailed]:
        """Execute a request; return its response once the head has arrived.

        Raises:
            RequestInvalid: the request cannot be executed as it is.
        """
        if not self.limiter.acquire(request.client):
            failure = RequestFailed(
                'too many requests of this client are in progress',
                Verdict.NOT_RUN,
                429,
                1,
            )
            return Err(_with_key_verdict(request, failure))
        release_slot = functools.partial(self.limiter.release, request.client)
        try:
            outcome = self._execute(request)
        except Exception:
            release_slot()
            raise
        if isinstance(outcome, Ok):
            outcome.ok_value.release_slot = release_slot
        else:
            release_slot()
        return outcome

    def issue_key(self, service: str, client: str) -> str:
        """Return a new idempotency key whose home can be reached.

        Raises:
            RequestFailed: no home of the service can be reached.
            RequestInvalid: the service has no homes.
        """
        configuration = self.configuration
        if configuration is None or not configuration.homes(service):
            raise RequestInvalid(f'{service} has no keyed calls', 404)
        for _ in range(_KEY_GENERATION_ATTEMPTS):
            key = _uuid7()
            identity = (service, client, key)
            home = _home_chain(configuration, identity, key_creation_time(key))[
                0
            ]
            if self.pool.is_linked(home) and configuration.accepts_requests(
                home
            ):
                return key
        raise RequestFailed('no home of the service is linked', Verdict.NOT_RUN)

    def _execute(
        self,
        request: CallerRequest,
    ) -> Result[Response, RequestFailed]:
        configuration = self.configuration
        if configuration is None:
            failure = RequestFailed(
                'no configuration yet',
                Verdict.NOT_RUN,
                retry_after=1,
            )
            return Err(_with_key_verdict(request, failure))
        service = _find_service(configuration, request)
        defaults = configuration.defaults_for(f'service/{request.service}')
        timeout = request.timeout or defaults.deadline
        deadline = time.monotonic() + timeout
        if service.is_idempotent(request.method, request.path):
            outcome = self._execute_idempotent(request, deadline)
            return outcome.map_err(
                lambda error: _with_key_verdict(request, error)
            )
        if request.key:
            return self._execute_keyed(configuration, request, deadline)
        raise RequestInvalid(
            'this call must not repeat: send an Idempotency-Key',
        )

    def _execute_idempotent(
        self,
        request: CallerRequest,
        deadline: float,
    ) -> Result[Response, RequestFailed]:
        outcome: Result[Response, RequestFailed] = Err(
            RequestFailed(
                'no upstream takes requests',
                Verdict.NOT_RUN,
                retry_after=1,
            ),
        )
        tried: tuple[str, ...] = ()
        upstream = self._choose_first_upstream(request, deadline)
        while upstream is not None:
            tried += (upstream,)
            start = _start_message(request, deadline, idempotent=True)
            later = self._attempt(upstream, start, deadline)
            later = later.and_then(_prefetch)
            outcome = combine_verdicts(outcome, later)
            if outcome.is_ok() or len(tried) == _MAX_ATTEMPTS:
                break
            upstream = self._choose_next_upstream(request, tried, deadline)
        return outcome

    def _choose_first_upstream(
        self,
        request: CallerRequest,
        deadline: float,
    ) -> str | None:
        """Choose an upstream; wait briefly for restarted agents.

        A restarted agent reconnects and has a configuration within seconds.
        There is no wait for an agent that refuses requests for another reason,
        since it does so on purpose.
        """
        reconnect_deadline = min(
            deadline, time.monotonic() + _RECONNECT_TIMEOUT_SECONDS
        )
        has_restarted = self._has_restarted_agent(request.service)
        upstream = self._choose_upstream(request, ())
        # An agent may have been lost or become ready during the choice.
        if upstream is None and not has_restarted:
            has_restarted = self._has_restarted_agent(request.service)
        while upstream is None and has_restarted:
            if time.monotonic() + _RETRY_DELAY_SECONDS >= reconnect_deadline:
                break
            time.sleep(_RETRY_DELAY_SECONDS)
            upstream = self._choose_upstream(request, (), repeated=True)
        return upstream

    def _has_restarted_agent(self, service: str) -> bool:
        """Return whether an agent of the service is not linked or not ready."""
        configuration = self.configuration
        if configuration is None:
            return False
        return any(
            upstream.service == service
            and configuration.accepts_requests(name)
            and not self.pool.is_ready(name)
            for name, upstream in configuration.parts_of_kind(
                'upstream'
            ).items()
            if name in self.pool.links
        )

    def _choose_next_upstream(
        self,
        request: CallerRequest,
        tried: tuple[str, ...],
        deadline: float,
    ) -> str | None:
        now = time.monotonic()
        classification = self.suspects.classify(request.traits, now)
        if classification is Classification.REFUSED:
            return None
        time.sleep(_RETRY_DELAY_SECONDS)
        if self._may_retry(request, deadline):
            return self._choose_upstream(request, tried)
        return None

    def _execute_keyed(
        self,
        configuration: Configuration,
        request: CallerRequest,
        deadline: float,
    ) -> Result[Response, RequestFailed]:
        """Try the homes of a key, the upstreams that may run it, in order.

        The next home is tried only after the previous one has recorded that it
        permanently refuses the key. Once all have, ``not_run`` is certain.
        """
        identity = (request.service, request.client, request.key)
        start = _start_message(request, deadline, idempotent=False)
        refusals: list[Result[Response, RequestFailed]] = []
        for home in _home_chain(configuration, identity, request.key_time):
            outcome = self._attempt_at_home(home, start, deadline)
            if not _is_refusal(outcome):
                return outcome
            refusals.append(outcome)
            start = dataclasses.replace(
                start,
                refused_by=(*start.refused_by, home),
                run=self._may_retry(request, deadline),
            )
        if not refusals:
            failure = RequestFailed('no homes configured', Verdict.MAY_HAVE_RUN)
            return Err(failure)
        return refusals[0]

    def _attempt_at_home(
        self,
        home: str,
        start: Start,
        deadline: float,
    ) -> Result[Response, RequestFailed]:
        """Send a keyed call to a home; resend it if the link is lost.

        The home's row for the key ensures that the call runs at most once.
        """
        delay = _RETRY_DELAY_SECONDS
        reconnect_deadline = min(
            deadline, time.monotonic() + _RECONNECT_TIMEOUT_SECONDS
        )
        outcome = self._attempt(home, start, deadline)
        while (
            _is_link_lost(outcome)
            and time.monotonic() + delay < reconnect_deadline
        ):
            time.sleep(delay)
            delay = min(delay * 2, _MAX_RETRY_DELAY_SECONDS)
            outcome = self._attempt(home, start, deadline)
        return outcome

    def _choose_upstream(
        self,
        request: CallerRequest,
        tried: tuple[str, ...],
        repeated: bool = False,
    ) -> str | None:
        query = ChooseUpstream(
            request.service,
            request.client,
            tried,
            request.prompt_prefix_hash,
            repeated,
        )
        choice: Any = self.routing.ask(query)
        return str(choice) if choice else None

    def _may_retry(self, request: CallerRequest, deadline: float) -> bool:
        if time.monotonic() >= deadline:
            return False
        return bool(self.routing.ask(SpendRetry(request.client)))

    def _attempt(
        self,
        upstream: str,
        start: Start,
        deadline: float,
    ) -> Result[Response, RequestFailed]:
        start = dataclasses.replace(
            start,
            deadline=max(deadline - time.monotonic(), 0),
            # Without a creation time, the expiry of a key counts from the
            # arrival of the request.
            sent_at=time.time() if start.key_time else start.sent_at,
        )
        try:
            attempt = self.pool.start(upstream, start)
        except LinkClosed:
            return Err(_link_failure(start, sent=False))
        return self._wait_for_head(attempt, start, deadline)

    def _wait_for_head(
        self,
        attempt: Attempt,
        start: Start,
        deadline: float,
    ) -> Result[Response, RequestFailed]:
        ended = RequestEnded(attempt.link.upstream, start.idempotent)
        try:
            # Leave the agent time to refuse a queued request.
            reply = _next_reply(attempt, deadline + _REFUSAL_GRACE_SECONDS)
        except RequestFailed as error:
            attempt.cancel()
            self.routing.tell(ended)
            return Err(error)
        if isinstance(reply, Head):
            response = Response(
                attempt, reply, start, deadline, self._on_response_closed
            )
            self.responses.add(response)
            return Ok(response)
        self.routing.tell(ended)
        if isinstance(reply, LinkLost):
            return Err(_link_failure(start, reply.sent))
        if isinstance(reply, Body):
            attempt.cancel()
        return Err(_reply_failure(reply))

    def _on_response_closed(self, response: Response) -> None:
        self.responses.discard(response)
        self.routing.tell(
            RequestEnded(response.attempt.link.upstream, response.load_balanced)
        )


def _start_message(
    request: CallerRequest,
    deadline: float,
    idempotent: bool,
) -> Start:
    return Start(
        attempt=0,
        service=request.service,
        method=request.method,
        path=request.path,
        headers=request.headers,
        body=request.body,
        client=request.client,
        key='' if idempotent else request.key,
        key_time=request.key_time,
        deadline=deadline,
        idempotent=idempotent,
        window=CHAT_WINDOW_BYTES if request.chat else PLAIN_WINDOW_BYTES,
        fingerprint=request.fingerprint,
        prompt_parts=request.prompt_parts,
        sent_at=request.received_at,
    )


def _prefetch(response: Response) -> Result[Response, RequestFailed]:
    try:
        response.prefetch()
    except RequestFailed as error:
        response.close()
        return Err(error)
    return Ok(response)


def _is_refusal(outcome: Result[Response, RequestFailed]) -> bool:
    if isinstance(outcome, Err):
        return outcome.err_value.verdict is Verdict.NOT_RUN
    return False


def _is_link_lost(outcome: Result[Response, RequestFailed]) -> bool:
    return isinstance(outcome.err(), LinkFailed)


def _link_failure(start: Start, sent: bool) -> LinkFailed:
    if start.key:
        return LinkFailed(
            'the home of the key cannot be reached',
            Verdict.MAY_HAVE_RUN,
            retry_after=1,
        )
    verdict = Verdict.MAY_HAVE_RUN if sent else Verdict.NOT_RUN
    return LinkFailed('the link to the upstream was lost', verdict, 502, 1)


def _find_service(
    configuration: Configuration,
    request: CallerRequest,
) -> Service:
    service = configuration.service(request.service)
    if service is None:
        raise RequestInvalid(f'unknown service {request.service}', 404)
    if request.chat != (service.kind == 'model'):
        raise RequestInvalid(f'{request.service} is a {service.kind} service')
    return service


def _home_chain(
    configuration: Configuration,
    identity: tuple[str, str, str],
    key_time: float,
) -> tuple[str, ...]:
    homes = configuration.homes(identity[0])
    if homes is None:
        return ()
    return route_chain(
        homes,
        identity,
        key_time,
        time.time(),
        configuration.defaults.key_lifetime,
    )


def _with_key_verdict(
    request: CallerRequest, failure: RequestFailed
) -> RequestFailed:
    """Weaken ``not_run`` to ``may_have_run`` if the request has a key.

    The verdict covers the key, too: an entry with a newer configuration may
    have sent the same key to its home.
    """
    if not request.key or failure.verdict is not Verdict.NOT_RUN:
        return failure
    return RequestFailed(
        str(failure),
        Verdict.MAY_HAVE_RUN,
        failure.status,
        failure.retry_after,
    )


def _no_slot_to_release() -> None:
    """Do nothing: the response holds no concurrency slot."""


def _is_event_stream(headers: Headers) -> bool:
    return any(
        name.lower() == 'content-type' and text.startswith('text/event-stream')
        for name, text in headers
    )


def _declared_length(head: Head, method: str) -> int | None:
    if method == 'HEAD' or head.status in _BODILESS_STATUSES:
        return None
    for name, text in head.headers:
        if name.lower() == 'content-length':
            return int(text)
    return None


def _next_reply(attempt: Attempt, deadline: float) -> Any:
    timeout = max(deadline - time.monotonic(), 0)
    try:
        return attempt.next_reply(timeout)
    except queue.Empty:
        raise RequestFailed(
            'the deadline passed',
            Verdict.MAY_HAVE_RUN,
            504,
        ) from None


def _reply_failure(reply: Any) -> RequestFailed:
    if isinstance(reply, Refused):
        return RequestFailed(
            reply.reason,
            reply.verdict,
            reply.status,
            reply.retry_after,
        )
    if isinstance(reply, Failed):
        return RequestFailed(reply.reason, reply.verdict, reply.status)
    if not isinstance(reply, LinkLost):
        return RequestFailed(
            'a reply of the agent is out of order',
            Verdict.MAY_HAVE_RUN,
            502,
        )
    return RequestFailed(
        'the link to the upstream was lost',
        Verdict.MAY_HAVE_RUN,
        502,
        1,
    )


def combine_verdicts(
    earlier: Result[Response, RequestFailed],
    later: Result[Response, RequestFailed],
) -> Result[Response, RequestFailed]:
    """Return the later outcome with a verdict that holds for both attempts."""
    if isinstance(earlier, Err) and _is_refusal(later):
        return later.map_err(
            lambda failure: RequestFailed(
                str(failure),
                earlier.err_value.verdict,
                failure.status,
                failure.retry_after,
            ),
        )
    return later


def _corrupt_response(reason: str) -> RequestFailed:
    return RequestFailed(reason, Verdict.RAN, 502)


def _uuid7() -> str:
    milliseconds = time.time_ns() // 10**6
    random_bits = uuid.uuid4().int & ((1 << 76) - 1)
    number = (milliseconds << 80) | (7 << 76) | random_bits
    number = number & ~(3 << 62) | (2 << 62)
    return str(uuid.UUID(int=number))
