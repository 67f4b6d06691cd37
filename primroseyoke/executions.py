"""Running requests at an agent: one thread each while the upstream answers."""

import dataclasses
import logging
import threading
from collections.abc import Callable
from typing import Any

from .answers import AnswerBuffer, AnswerCheck, ByteLimits
from .exceptions import RequestFailed
from .idempotency_keys import MAX_STORED_RESPONSE_BYTES, StoredResponse
from .messages import Body, End, Failed, Head, Load, Message, Start
from .services import UpstreamAnswer, UpstreamClient, UpstreamRequest
from .verdicts import Verdict

__all__ = ('AnswerMemory', 'Execution', 'ExecutionEnded')

log = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class ExecutionEnded:
    """How an execution ended.

    ``failure`` is None for a whole answer. ``answer`` is kept for replay.
    ``cancelled`` means that nobody waited for the answer.
    """

    execution: 'Execution'
    failure: RequestFailed | None
    answer: StoredResponse | None
    cancelled: bool = False


class AnswerMemory:
    """Limits on held bytes that the threads of one agent share."""

    def __init__(self, limits: ByteLimits) -> None:
        """Guard ``limits`` and the buffers of all executions."""
        self.limits = limits
        self.changed = threading.Condition()


class Execution:
    """One request at the upstream.

    The thread in ``run`` reads the upstream at full speed. What credit allows
    is sent by whichever thread adds bytes or credit, so that no thread waits
    for the entry: the thread of ``run`` is free again once the upstream has
    finished, and the rest of the answer is sent as credit arrives.
    """

    def __init__(
        self,
        number: int,
        start: Start,
        client: UpstreamClient,
        send: Callable[[Message], None],
        on_end: Callable[[ExecutionEnded], None],
        load: Callable[[], Load],
        memory: AnswerMemory,
    ) -> None:
        """Send replies with ``send`` and report the end to ``on_end``."""
        self.number = number
        self.start = start
        self.client = client
        self.send = send
        self.on_end = on_end
        self.load = load
        self.memory = memory
        self.credit = start.window
        self.buffer = AnswerBuffer(merging=False)
        self.check = AnswerCheck()
        self.kept: list[bytes] = []
        self.received = 0
        self.answer: UpstreamAnswer | None = None
        self.cancelled = False

    def cancel(self) -> None:
        """Stop sending the answer and drop what is held of it.

        A call that must not repeat goes on, so that its outcome is known.
        """
        with self.memory.changed:
            self.cancelled = True
            self._drop()
            answer = self.answer
        if self.start.idempotent and answer is not None:
            answer.close()

    def grant(self, size: int) -> None:
        """Send up to ``size`` more bytes of the answer."""
        with self.memory.changed:
            self.credit += size
            if not self.cancelled:
                self._send_held()

    def is_sent(self) -> bool:
        """Tell whether nothing that was received is still held."""
        return self.cancelled or not self.buffer.size

    def run(self, timeout: float) -> None:
        """Execute the request; ``timeout`` is in seconds."""
        failure = None
        stored = None
        try:
            stored = self._relay(timeout)
        except RequestFailed as error:
            failure = error
        except Exception as error:  # noqa: BLE001 - the actor must hear of it
            log.exception('execution failed')
            failure = RequestFailed(repr(error), Verdict.MAY_HAVE_RUN, 500)
        if failure is not None:
            with self.memory.changed:
                self._drop()
        self.on_end(ExecutionEnded(self, failure, stored, self.cancelled))

    def end_message(self, load: Load) -> End:
        """Return the message that ends a whole answer."""
        return End(
            self.start.attempt,
            self.check.length,
            self.check.digest(),
            load,
        )

    def failed_message(self, failure: RequestFailed, load: Load) -> Failed:
        """Return the message that ends an attempt without a whole answer."""
        return Failed(
            self.start.attempt,
            failure.verdict,
            str(failure),
            failure.status,
            False,  # noqa: WPS425 - filled in by the actor
            load,
        )

    def _relay(self, timeout: float) -> StoredResponse:
        start = self.start
        answer = self.client.open_answer(
            UpstreamRequest(
                start.method,
                start.path,
                start.headers,
                start.body,
                timeout,
                start.idempotent,
            ),
        )
        # A slow reader keeps the execution, but need not keep the request.
        self.start = dataclasses.replace(start, body=b'')
        try:
            self._relay_answer(answer)
        finally:
            answer.release()
        return StoredResponse(
            answer.status,
            answer.headers,
            b''.join(self.kept),
        )

    def _relay_answer(self, answer: UpstreamAnswer) -> None:
        self.buffer = AnswerBuffer(answer.is_event_stream())
        with self.memory.changed:
            self.answer = answer
        self.send(
            Head(
                self.start.attempt,
                answer.status,
                answer.headers,
                replayed=False,
                load=self.load(),
            ),
        )
        self._check_wanted()
        for chunk in answer.chunks():
            self._relay_chunk(chunk)
            self._check_wanted()

    def _check_wanted(self) -> None:
        if self.cancelled and self.start.idempotent:
            raise RequestFailed('cancelled', Verdict.MAY_HAVE_RUN, 499)

    def _relay_chunk(self, chunk: bytes) -> None:
        if self.start.key and self.received <= MAX_STORED_RESPONSE_BYTES:
            self.kept.append(chunk)
        self.received += len(chunk)
        with self.memory.changed:
            if self.cancelled:
                return
            self._count(self.buffer.put(chunk))
            self._send_held()
            self.memory.changed.wait_for(self._may_read)

    def _may_read(self) -> bool:
        return self.cancelled or self.memory.limits.may_read(
            self.start.client,
            self.buffer.size,
        )

    def _send_held(self) -> None:
        size = min(self.credit, self.buffer.size)
        if not size:
            return
        content = self.buffer.take(size)
        self.credit -= size
        position = self.check.add(content)
        self.send(Body(self.start.attempt, position, content))
        self._count(-size)

    def _count(self, difference: int) -> None:
        self.memory.limits.change(self.start.client, difference)
        if difference < 0:
            self.memory.changed.notify_all()

    def _drop(self) -> None:
        self._count(-self.buffer.size)
        self.buffer = AnswerBuffer(merging=False)


def replay_messages(start: Start, answer: StoredResponse, load: Load) -> Any:
    """Yield the messages that repeat a stored answer."""
    check = AnswerCheck()
    yield Head(start.attempt, answer.status, answer.headers, True, load)  # noqa: WPS425
    check.add(answer.body)
    yield Body(start.attempt, 0, answer.body)
    yield End(start.attempt, check.length, check.digest(), load)
