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
from .suspects import Standing, SuspectTable
from .verdicts import Verdict

__all__ = ('Answer', 'Dispatcher', 'later_failure')

log = logging.getLogger(__name__)

WINDOW_BYTES = 16384
_MAX_ATTEMPTS = 4
_RETRY_PAUSE = 0.05
# An answer up to this size is received whole before its head is sent.
_PREFETCH_BYTES = 65536
# An issued key whose home is linked is found after a few tries.
_KEY_TRIES = 64


class Answer:
    """An answer whose head has arrived."""

    def __init__(
        self,
        attempt: Attempt,
        head: Head,
        deadline: float,
        on_end: Callable[[], None],
    ) -> None:
        """Receive the body of an attempt until ``deadline`` (monotonic)."""
        self.on_end = on_end
        self.attempt = attempt
        self.status = head.status
        self.headers: Headers = head.headers
        self.replayed = head.replayed
        self.deadline = deadline
        self.check = AnswerCheck()
        self.ended = False
        self.prefetched: list[bytes] = []

    def prefetch(self) -> None:
        """Receive the body of a short answer that is not an event stream.

        Until the head is sent to the caller, the request can be retried.

        Raises:
            RequestFailed: the answer is not whole.
        """
        if _is_event_stream(self.headers):
            return
        size = 0
        for chunk in self._received():
            self.prefetched.append(chunk)
            size += len(chunk)
            if size > _PREFETCH_BYTES:
                return

    def chunks(self) -> Iterator[bytes]:
        """Yield the body; grants credit for each piece that was taken.

        Raises:
            RequestFailed: the answer is not whole.
        """
        yield from self.prefetched
        self.prefetched.clear()
        yield from self._received()

    def close(self) -> None:
        """Give up an answer that was not taken to its end."""
        if not self.ended:
            self.attempt.cancel()
        self.on_end()

    def _received(self) -> Iterator[bytes]:
        if self.ended:
            return
        reply = _next_reply(self.attempt, self.deadline)
        while isinstance(reply, Body):
            if reply.position != self.check.add(reply.content):
                raise _broken('bytes of the answer are missing')
            yield reply.content
            self.attempt.grant(len(reply.content))
            reply = _next_reply(self.attempt, self.deadline)
        self.ended = True
        if not isinstance(reply, End):
            raise _failure(reply)
        if not self.check.matches(reply.length, reply.digest):
            raise _broken('the answer does not match its digest')


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
        # Changed in the links' thread only.
        self.suspects = SuspectTable()
        self.configuration: Configuration | None = None

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
                failure = later_failure(failure, error)
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
        now = time.monotonic()
        standing = self.suspects.classify(request.fingerprint, now)
        if standing is Standing.REFUSED:
            return None
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
            window=WINDOW_BYTES,
            fingerprint=request.fingerprint,
        )
        try:
            attempt = self.pool.start(upstream, start)
        except LinkClosed as error:
            if idempotent:
                raise _failure(LinkLost(sent=False)) from error
            raise
        return self._wait_for_head(attempt, deadline, idempotent)

    def _wait_for_head(
        self,
        attempt: Attempt,
        deadline: float,
        idempotent: bool,
    ) -> Answer:
        ended = Ended(attempt.link.upstream, idempotent)
        try:
            reply = _next_reply(attempt, deadline)
        except RequestFailed:
            attempt.cancel()
            self.routing.tell(ended)
            raise
        if isinstance(reply, Head):
            return Answer(
                attempt,
                reply,
                deadline,
                lambda: self.routing.tell(ended),
            )
        self.routing.tell(ended)
        if isinstance(reply, LinkLost) and not idempotent:
            raise LinkClosed('the link to the home was lost')
        raise _failure(reply)


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
    verdict = Verdict.MAY_HAVE_RUN if reply.sent else Verdict.NOT_RUN
    return RequestFailed('the link to the upstream was lost', verdict, 502, 1)


def later_failure(
    earlier: RequestFailed,
    failure: RequestFailed,
) -> RequestFailed:
    """Return a failure with a verdict that is true of all attempts."""
    if failure.verdict is Verdict.NOT_RUN:
        failure.verdict = earlier.verdict
    return failure


def _broken(reason: str) -> RequestFailed:
    return RequestFailed(reason, Verdict.RAN, 502)


def _uuid7() -> str:
    milliseconds = time.time_ns() // 10**6
    rest = uuid.uuid4().int & ((1 << 76) - 1)
    number = (milliseconds << 80) | (7 << 76) | rest
    number = number & ~(3 << 62) | (2 << 62)
    return str(uuid.UUID(int=number))
