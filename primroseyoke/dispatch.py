"""Execution of a caller's request by an entry: attempts, retries, verdicts."""

import logging
import queue
import time
import uuid
from collections.abc import Callable, Iterator
from typing import Any

import pykka

from .answers import AnswerCheck
from .balancing import Choose, Ended, RoutingActor, SpendRetry
from .callers import CallerRequest
from .configuration import Configuration, Service
from .exceptions import LinkClosed, RequestFailed, RequestInvalid
from .keys import home_upstream, route_home
from .links import Attempt, LinkLost, LinkPool
from .messages import Body, End, Failed, Head, Headers, Refused, Start
from .verdicts import Verdict

__all__ = ('Answer', 'Dispatcher')

log = logging.getLogger(__name__)

# A chat stream needs one window for each round trip to the agent, and what
# fills the window can no longer be merged.
CHAT_WINDOW_BYTES = 4096
# A plain answer up to this size is received whole before its head is sent.
PLAIN_WINDOW_BYTES = 65536
# These answers have no body, whatever Content-Length says (RFC 9110).
_BODILESS = frozenset((204, 304))
_MAX_ATTEMPTS = 4
_RETRY_PAUSE = 0.05
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
        """Receive the body of an attempt until ``deadline`` (monotonic)."""
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
            reply = _next_reply(self.attempt, self.deadline)
            if not isinstance(reply, Body):
                self._finish(reply)
                return
            if reply.position != self.check.add(reply.content):
                raise _broken('bytes of the answer are missing')
            if self.check.length == self.length:
                # With its last byte, the caller takes the answer for whole.
                self._finish(_next_reply(self.attempt, self.deadline))
            yield reply.content

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
    ) -> None:
        """Send over ``pool`` what ``routing`` decides."""
        self.pool = pool
        self.routing = routing
        self.configuration: Configuration | None = None
        self.answers: set[Answer] = set()

    def execute(self, request: CallerRequest) -> Answer:
        """Return the answer to a request once its head is there.

        Raises:
            RequestInvalid: the request cannot be executed as it is.
            RequestFailed: there is no answer.
        """
        configuration = self._configuration(request)
        service = _find_service(configuration, request)
        timeout = request.timeout or configuration.defaults.deadline
        deadline = time.monotonic() + timeout
        if service.is_idempotent(request.method, request.path):
            return self._execute_anywhere(request, deadline)
        if request.key:
            return self._execute_at_home(configuration, request, deadline)
        raise RequestInvalid(
            'this call must not repeat: send an Idempotency-Key',
        )

    def issue_key(self, service: str, client: str) -> str:
        """Return a new key whose home is linked.

        Raises:
            RequestFailed: no home of the service can be reached.
            RequestInvalid: the service has no homes.
        """
        homes = self.configuration and self.configuration.homes(service)
        if not homes:
            raise RequestInvalid(f'{service} has no keyed calls', 404)
        for _ in range(_KEY_TRIES):
            key = _uuid7()
            identity = (service, client, key)
            home = home_upstream(homes.members, identity)
            if self.pool.is_linked(home):
                return key
        raise RequestFailed('no home of the service is linked', Verdict.NOT_RUN)

    def _configuration(self, request: CallerRequest) -> Configuration:
        if self.configuration is None:
            verdict = Verdict.NOT_RUN
            if request.key:
                verdict = Verdict.MAY_HAVE_RUN
            raise RequestFailed('no configuration yet', verdict, 503, 1)
        return self.configuration

    def _execute_anywhere(
        self,
        request: CallerRequest,
        deadline: float,
    ) -> Answer:
        failure = RequestFailed(
            'no upstream takes requests',
            Verdict.NOT_RUN,
            retry_after=1,
        )
        tried: tuple[str, ...] = ()
        upstream = self._choose(request, tried)
        while upstream is not None:
            tried += (upstream,)
            try:
                return self._whole_head(upstream, request, deadline)
            except RequestFailed as error:
                failure = error
            upstream = None
            if len(tried) < _MAX_ATTEMPTS:
                upstream = self._choose_again(request, tried, deadline)
        raise failure

    def _choose_again(
        self,
        request: CallerRequest,
        tried: tuple[str, ...],
        deadline: float,
    ) -> str | None:
        if self._may_retry(request, deadline):
            return self._choose(request, tried)
        return None

    def _whole_head(
        self,
        upstream: str,
        request: CallerRequest,
        deadline: float,
    ) -> Answer:
        answer = self._attempt(upstream, request, deadline, True)  # noqa: WPS425
        try:
            answer.prefetch()
        except RequestFailed:
            answer.close()
            raise
        return answer

    def _execute_at_home(
        self,
        configuration: Configuration,
        request: CallerRequest,
        deadline: float,
    ) -> Answer:
        home = _home(configuration, request)
        while True:
            try:
                return self._attempt(home, request, deadline, False)  # noqa: WPS425
            except LinkClosed as error:
                if self._may_retry(request, deadline):
                    continue
                raise RequestFailed(
                    'the home of the key cannot be reached',
                    Verdict.MAY_HAVE_RUN,
                    retry_after=1,
                ) from error

    def _choose(
        self,
        request: CallerRequest,
        tried: tuple[str, ...],
    ) -> str | None:
        choice: Any = self.routing.ask(Choose(request.service, tried))
        if choice is None and tried:
            choice = self.routing.ask(Choose(request.service, ()))
        return str(choice) if choice else None

    def _may_retry(self, request: CallerRequest, deadline: float) -> bool:
        time.sleep(_RETRY_PAUSE)
        if time.monotonic() >= deadline:
            return False
        return bool(self.routing.ask(SpendRetry(request.client)))

    def _attempt(
        self,
        upstream: str,
        request: CallerRequest,
        deadline: float,
        idempotent: bool,
    ) -> Answer:
        start = Start(
            attempt=0,
            service=request.service,
            method=request.method,
            path=request.path,
            headers=request.headers,
            body=request.body,
            client=request.client,
            key='' if idempotent else request.key,
            key_time=request.key_time,
            deadline=max(deadline - time.monotonic(), 0),
            idempotent=idempotent,
            window=CHAT_WINDOW_BYTES if request.chat else PLAIN_WINDOW_BYTES,
            fingerprint=request.fingerprint,
        )
        try:
            attempt = self.pool.start(upstream, start)
        except LinkClosed as error:
            if idempotent:
                raise _failure(LinkLost(sent=False)) from error
            raise
        return self._wait_for_head(attempt, start, deadline)

    def _wait_for_head(
        self,
        attempt: Attempt,
        start: Start,
        deadline: float,
    ) -> Answer:
        ended = Ended(attempt.link.upstream, start.idempotent)
        try:
            reply = _next_reply(attempt, deadline)
        except RequestFailed:
            attempt.cancel()
            self.routing.tell(ended)
            raise
        if isinstance(reply, Head):
            answer = Answer(attempt, reply, start, deadline, self._forget)
            self.answers.add(answer)
            return answer
        self.routing.tell(ended)
        if isinstance(reply, LinkLost) and not start.idempotent:
            raise LinkClosed('the link to the home was lost')
        if isinstance(reply, Body):
            attempt.cancel()
        raise _failure(reply)

    def _forget(self, answer: Answer) -> None:
        self.answers.discard(answer)
        self.routing.tell(Ended(answer.attempt.link.upstream, answer.chosen))


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


def _home(configuration: Configuration, request: CallerRequest) -> str:
    homes = configuration.homes(request.service)
    if homes is None:
        raise RequestFailed('no homes configured', Verdict.MAY_HAVE_RUN)
    return route_home(
        homes,
        (request.service, request.client, request.key),
        request.key_time,
        time.time(),
        configuration.defaults.key_lifetime,
    )


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
    verdict = Verdict.MAY_HAVE_RUN if reply.sent else Verdict.NOT_RUN
    return RequestFailed('the link to the upstream was lost', verdict, 502, 1)


def _broken(reason: str) -> RequestFailed:
    return RequestFailed(reason, Verdict.RAN, 502)


def _uuid7() -> str:
    milliseconds = time.time_ns() // 10**6
    rest = uuid.uuid4().int & ((1 << 76) - 1)
    number = (milliseconds << 80) | (7 << 76) | rest
    number = number & ~(3 << 62) | (2 << 62)
    return str(uuid.UUID(int=number))
