"""Execution of a caller's request by an entry: attempts, retries, verdicts."""

import dataclasses
import functools
import queue
import time
import uuid
from collections.abc import Callable, Iterator
from typing import Any

import pykka
from result import Err, Ok, Result

from .answers import AnswerCheck
from .callers import CallerRequest
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
from .routing_actor import (
    ChooseUpstream,
    RequestEnded,
    RoutingActor,
    SpendRetry,
)
from .suspects import Classification, SuspectTable
from .verdicts import Verdict

__all__ = ('Answer', 'Dispatcher', 'true_of_both')

# A chat stream needs one window for each round trip to the agent, and what
# fills the window can no longer be merged.
CHAT_WINDOW_BYTES = 4096
# A plain answer up to this size is received whole before its head is sent.
PLAIN_WINDOW_BYTES = 65536
# These answers have no body, whatever Content-Length says (RFC 9110).
_BODILESS = frozenset((204, 304))
_MAX_ATTEMPTS = 4
_STALL_SECONDS = 30.0
_RETRY_PAUSE = 0.05
_LONGEST_PAUSE = 0.5
# A link that was cut for a moment is back by then. A home that was restarted
# answers ``may_have_run`` for keys made before, so longer waits gain nothing.
_LINK_PATIENCE = 3.0
# A refusal of a request whose deadline passed in the queue takes up to a tick
# of the agent, and tells more than the entry's own timeout.
_REFUSAL_GRACE = 0.5
# An issued key whose home is linked is found after a few tries.
_KEY_TRIES = 64


class Answer:
    """An answer whose head has arrived.

    Its agent may have sent up to ``window`` bytes that the caller has not
    taken; these are all the bytes that the entry holds of it.
    """

    def __init__(
        self,
        attempt: Attempt,
        head: Head,
        start: Start,
        deadline: float,
        on_end: Callable[['Answer'], None],
    ) -> None:
        """Receive the body of an attempt with a deadline (monotonic)."""
        self.on_end = on_end
        self.attempt = attempt
        self.status = head.status
        self.headers: Headers = head.headers
        self.replayed = head.replayed
        self.deadline = deadline
        self.window = start.window
        self.chosen = start.idempotent
        self.length = _declared_length(head, start.method)
        self.check = AnswerCheck()
        self.ended = False
        self.closed = False
        self.taken = 0
        self.granted = 0
        self.prefetched: list[bytes] = []
        #: Gives back the caller's place once the answer is closed.
        self.release: Callable[[], None] = _keep_nothing

    def held_bytes(self) -> int:
        """Return how many received bytes the caller has not taken."""
        return self.attempt.received - self.taken

    def prefetch(self) -> None:
        """Receive the body of a short answer that is not an event stream.

        Until the head is sent to the caller, the request can be retried. An
        answer that does not fit into the window is received only so far.

        Raises:
            RequestFailed: the answer is not whole.
        """
        if _is_event_stream(self.headers):
            return
        for chunk in self._received():
            self.prefetched.append(chunk)
            if self.check.length >= self.window:
                return

    def chunks(self) -> Iterator[bytes]:
        """Yield the body; grants credit for the pieces that were taken.

        Raises:
            RequestFailed: the answer is not whole.
        """
        while self.prefetched:
            yield from self._until_taken(self.prefetched.pop(0))
        for chunk in self._received():
            yield from self._until_taken(chunk)

    def close(self) -> None:
        """Give up an answer that was not taken to its end."""
        if self.closed:
            return
        self.closed = True
        if not self.ended:
            self.attempt.cancel()
        self.on_end(self)
        self.release()

    def _until_taken(self, chunk: bytes) -> Iterator[bytes]:
        yield chunk
        self.taken += len(chunk)
        # Half a window at a time keeps the agent busy with few messages.
        ungranted = self.taken - self.granted
        if not self.ended and ungranted * 2 >= self.window:
            self.granted = self.taken
            self.attempt.grant(ungranted)

    def _received(self) -> Iterator[bytes]:
        while not self.ended:
            reply = self._next_reply()
            if not isinstance(reply, Body):
                self._finish(reply)
                return
            if reply.position != self.check.add(reply.content):
                raise _broken('bytes of the answer are missing')
            if self.check.length == self.length:
                # With its last byte, the caller takes the answer for whole.
                self._finish(self._next_reply())
            yield reply.content

    def _next_reply(self) -> Any:
        """Wait for more of the answer, past the deadline if need be.

        A caller that reads slowly takes its answer long after the deadline,
        which bounds the wait for the head; only a stalled agent is given up.
        """
        patience = time.monotonic() + _STALL_SECONDS
        return _next_reply(self.attempt, max(self.deadline, patience))

    def _finish(self, reply: Any) -> None:
        """Check the reply that ends the answer."""
        self.ended = isinstance(reply, End | Refused | Failed | LinkLost)
        if not isinstance(reply, End):
            raise _failure(reply)
        whole = self.check.matches(reply.length, reply.digest)
        if not whole or self.length not in {None, reply.length}:
            raise _broken('the answer does not match its length and digest')


class Dispatcher:
    """Executes requests of callers."""

    def __init__(
        self,
        pool: LinkPool,
        routing: pykka.ActorRef[RoutingActor],
        limiter: ClientConcurrencyLimiter,
    ) -> None:
        """Send over ``pool`` what ``routing`` decides."""
        self.limiter = limiter
        self.pool = pool
        self.routing = routing
        # Changed in the links' thread only.
        self.suspects = SuspectTable()
        self.configuration: Configuration | None = None
        self.answers: set[Answer] = set()

    def execute(
        self,
        request: CallerRequest,
    ) -> Result[Answer, RequestFailed]:
        """Return the answer to a request once its head is there.

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
            return Err(_about_key(request, failure))
        release = functools.partial(self.limiter.release, request.client)
        try:
            outcome = self._execute(request)
        except Exception:
            release()
            raise
        if isinstance(outcome, Ok):
            outcome.ok_value.release = release
        else:
            release()
        return outcome

    def issue_key(self, service: str, client: str) -> str:
        """Return a new key whose home is linked.

        Raises:
            RequestFailed: no home of the service can be reached.
            RequestInvalid: the service has no homes.
        """
        configuration = self.configuration
        if configuration is None or not configuration.homes(service):
            raise RequestInvalid(f'{service} has no keyed calls', 404)
        for _ in range(_KEY_TRIES):
            key = _uuid7()
            identity = (service, client, key)
            home = _chain(configuration, identity, key_creation_time(key))[0]
            if self.pool.is_linked(home) and configuration.accepts_requests(
                home
            ):
                return key
        raise RequestFailed('no home of the service is linked', Verdict.NOT_RUN)

    def _execute(
        self,
        request: CallerRequest,
    ) -> Result[Answer, RequestFailed]:
        configuration = self.configuration
        if configuration is None:
            failure = RequestFailed(
                'no configuration yet',
                Verdict.NOT_RUN,
                retry_after=1,
            )
            return Err(_about_key(request, failure))
        service = _find_service(configuration, request)
        defaults = configuration.defaults_for(f'service/{request.service}')
        timeout = request.timeout or defaults.deadline
        deadline = time.monotonic() + timeout
        if service.is_idempotent(request.method, request.path):
            outcome = self._execute_anywhere(request, deadline)
            return outcome.map_err(lambda error: _about_key(request, error))
        if request.key:
            return self._execute_at_home(configuration, request, deadline)
        raise RequestInvalid(
            'this call must not repeat: send an Idempotency-Key',
        )

    def _execute_anywhere(
        self,
        request: CallerRequest,
        deadline: float,
    ) -> Result[Answer, RequestFailed]:
        outcome: Result[Answer, RequestFailed] = Err(
            RequestFailed(
                'no upstream takes requests',
                Verdict.NOT_RUN,
                retry_after=1,
            ),
        )
        tried: tuple[str, ...] = ()
        upstream = self._choose_first(request, deadline)
        while upstream is not None:
            tried += (upstream,)
            start = _start(request, deadline, idempotent=True)
            later = self._attempt(upstream, start, deadline)
            later = later.and_then(_prefetched)
            outcome = true_of_both(outcome, later)
            if outcome.is_ok() or len(tried) == _MAX_ATTEMPTS:
                break
            upstream = self._choose_again(request, tried, deadline)
        return outcome

    def _choose_first(
        self,
        request: CallerRequest,
        deadline: float,
    ) -> str | None:
        """Choose an upstream; wait for links that are being made again.

        An agent that was restarted is linked within seconds. One that is
        linked and refuses work has its reasons, so nothing waits for it.
        """
        patience = min(deadline, time.monotonic() + _LINK_PATIENCE)
        awaits_link = self._awaits_link(request.service)
        upstream = self._choose(request, ())
        while upstream is None and awaits_link:
            if time.monotonic() + _RETRY_PAUSE >= patience:
                break
            time.sleep(_RETRY_PAUSE)
            upstream = self._choose(request, (), repeated=True)
        return upstream

    def _awaits_link(self, service: str) -> bool:
        """Tell whether an upstream of a service has lost its link."""
        configuration = self.configuration
        if configuration is None:
            return False
        return any(
            upstream.service == service
            and configuration.accepts_requests(name)
            and not self.pool.is_linked(name)
            for name, upstream in configuration.parts_of_kind(
                'upstream'
            ).items()
            if name in self.pool.links
        )

    def _choose_again(
        self,
        request: CallerRequest,
        tried: tuple[str, ...],
        deadline: float,
    ) -> str | None:
        now = time.monotonic()
        classification = self.suspects.classify(request.fingerprint, now)
        if classification is Classification.REFUSED:
            return None
        time.sleep(_RETRY_PAUSE)
        if self._may_retry(request, deadline):
            return self._choose(request, tried)
        return None

    def _execute_at_home(
        self,
        configuration: Configuration,
        request: CallerRequest,
        deadline: float,
    ) -> Result[Answer, RequestFailed]:
        """Ask the homes of a key in turn.

        The next home is asked only after the one before has recorded that it
        refused the key for good. So ``not_run`` is true once all have.
        """
        identity = (request.service, request.client, request.key)
        start = _start(request, deadline, idempotent=False)
        refusals: list[Result[Answer, RequestFailed]] = []
        for home in _chain(configuration, identity, request.key_time):
            outcome = self._ask_home(home, start, deadline)
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

    def _ask_home(
        self,
        home: str,
        start: Start,
        deadline: float,
    ) -> Result[Answer, RequestFailed]:
        """Send a keyed call; after a lost link again, as its row allows."""
        pause = _RETRY_PAUSE
        patience = min(deadline, time.monotonic() + _LINK_PATIENCE)
        outcome = self._attempt(home, start, deadline)
        while _is_link_lost(outcome) and time.monotonic() + pause < patience:
            time.sleep(pause)
            pause = min(pause * 2, _LONGEST_PAUSE)
            outcome = self._attempt(home, start, deadline)
        return outcome

    def _choose(
        self,
        request: CallerRequest,
        tried: tuple[str, ...],
        repeated: bool = False,
    ) -> str | None:
        ask = ChooseUpstream(
            request.service,
            request.client,
            tried,
            request.prefix,
            repeated,
        )
        choice: Any = self.routing.ask(ask)
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
    ) -> Result[Answer, RequestFailed]:
        start = dataclasses.replace(
            start,
            deadline=max(deadline - time.monotonic(), 0),
            # A key without a time expires by the time of the caller's copy.
            sent_at=time.time() if start.key_time else start.sent_at,
        )
        try:
            attempt = self.pool.start(upstream, start)
        except LinkClosed:
            return Err(_lost_link(start, sent=False))
        return self._wait_for_head(attempt, start, deadline)

    def _wait_for_head(
        self,
        attempt: Attempt,
        start: Start,
        deadline: float,
    ) -> Result[Answer, RequestFailed]:
        ended = RequestEnded(attempt.link.upstream, start.idempotent)
        try:
            # The agent refuses a queued request shortly after its deadline.
            reply = _next_reply(attempt, deadline + _REFUSAL_GRACE)
        except RequestFailed as error:
            attempt.cancel()
            self.routing.tell(ended)
            return Err(error)
        if isinstance(reply, Head):
            answer = Answer(attempt, reply, start, deadline, self._forget)
            self.answers.add(answer)
            return Ok(answer)
        self.routing.tell(ended)
        if isinstance(reply, LinkLost):
            return Err(_lost_link(start, reply.sent))
        if isinstance(reply, Body):
            attempt.cancel()
        return Err(_failure(reply))

    def _forget(self, answer: Answer) -> None:
        self.answers.discard(answer)
        self.routing.tell(
            RequestEnded(answer.attempt.link.upstream, answer.chosen)
        )


def _start(
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
        sent_at=request.received_at,
    )


def _prefetched(answer: Answer) -> Result[Answer, RequestFailed]:
    try:
        answer.prefetch()
    except RequestFailed as error:
        answer.close()
        return Err(error)
    return Ok(answer)


def _is_refusal(outcome: Result[Answer, RequestFailed]) -> bool:
    if isinstance(outcome, Err):
        return outcome.err_value.verdict is Verdict.NOT_RUN
    return False


def _is_link_lost(outcome: Result[Answer, RequestFailed]) -> bool:
    return isinstance(outcome.err(), LinkFailed)


def _lost_link(start: Start, sent: bool) -> LinkFailed:
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


def _chain(
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


def _about_key(request: CallerRequest, failure: RequestFailed) -> RequestFailed:
    """Return the failure of an unkeyed call as a statement about its key.

    An entry with a newer configuration may have sent the key to its home.
    """
    if not request.key or failure.verdict is not Verdict.NOT_RUN:
        return failure
    return RequestFailed(
        str(failure),
        Verdict.MAY_HAVE_RUN,
        failure.status,
        failure.retry_after,
    )


def _keep_nothing() -> None:
    """Stand in for a place that was not taken."""


def _is_event_stream(headers: Headers) -> bool:
    return any(
        name.lower() == 'content-type' and text.startswith('text/event-stream')
        for name, text in headers
    )


def _declared_length(head: Head, method: str) -> int | None:
    if method == 'HEAD' or head.status in _BODILESS:
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


def _failure(reply: Any) -> RequestFailed:
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


def true_of_both(
    earlier: Result[Answer, RequestFailed],
    later: Result[Answer, RequestFailed],
) -> Result[Answer, RequestFailed]:
    """Return the later outcome with a verdict that is true of both."""
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


def _broken(reason: str) -> RequestFailed:
    return RequestFailed(reason, Verdict.RAN, 502)


def _uuid7() -> str:
    milliseconds = time.time_ns() // 10**6
    rest = uuid.uuid4().int & ((1 << 76) - 1)
    number = (milliseconds << 80) | (7 << 76) | rest
    number = number & ~(3 << 62) | (2 << 62)
    return str(uuid.UUID(int=number))
