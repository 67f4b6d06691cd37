"""Running requests at an agent: one thread each, from start to end."""

import dataclasses
import logging
from collections.abc import Callable
from typing import Any

from .answers import AnswerCheck, CreditWindow
from .exceptions import LinkClosed, RequestFailed
from .keys import MAX_STORED_ANSWER, StoredAnswer
from .messages import Body, End, Failed, Head, Load, Message, Start
from .services import UpstreamAnswer, UpstreamClient, UpstreamRequest
from .verdicts import Verdict

__all__ = ('Execution', 'ExecutionEnded')

log = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class ExecutionEnded:
    """How an execution ended.

    ``failure`` is None for a whole answer. ``answer`` is kept for replay.
    ``cancelled`` means that nobody waited for the answer.
    """

    execution: 'Execution'
    failure: RequestFailed | None
    answer: StoredAnswer | None
    cancelled: bool = False


class Execution:
    """One request at the upstream."""

    def __init__(
        self,
        start: Start,
        client: UpstreamClient,
        send: Callable[[Message], None],
        on_end: Callable[[ExecutionEnded], None],
        load: Callable[[], Load],
    ) -> None:
        """Send replies with ``send`` and report the end to ``on_end``."""
        self.start = start
        self.client = client
        self.send = send
        self.on_end = on_end
        self.load = load
        self.window = CreditWindow(start.window)
        self.check = AnswerCheck()
        self.kept: list[bytes] = []
        self.kept_bytes = 0
        self.answer: UpstreamAnswer | None = None
        self.deadline = 0.0
        self.cancelled = False

    def cancel(self) -> None:
        """Stop sending the answer.

        A call that must not repeat goes on, so that its outcome is known.
        """
        self.cancelled = True
        self.window.close()
        if self.start.idempotent and self.answer is not None:
            self.answer.close()

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

    def _relay(self, timeout: float) -> StoredAnswer:
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
        self.answer = answer
        self.send(
            Head(
                start.attempt,
                answer.status,
                answer.headers,
                replayed=False,
                load=self.load(),
            ),
        )
        for chunk in answer.chunks():
            self._relay_chunk(chunk)
        return StoredAnswer(
            answer.status,
            answer.headers,
            b''.join(self.kept),
        )

    def _relay_chunk(self, chunk: bytes) -> None:
        if self.start.key and self.kept_bytes <= MAX_STORED_ANSWER:
            self.kept.append(chunk)
            self.kept_bytes += len(chunk)
        try:
            self.window.spend(chunk, self._send_body)
        except LinkClosed:
            self.check.add(chunk)

    def _send_body(self, content: bytes) -> None:
        position = self.check.add(content)
        self.send(Body(self.start.attempt, position, content))


def replay_messages(start: Start, answer: StoredAnswer, load: Load) -> Any:
    """Yield the messages that repeat a stored answer."""
    check = AnswerCheck()
    yield Head(start.attempt, answer.status, answer.headers, True, load)  # noqa: WPS425
    check.add(answer.body)
    yield Body(start.attempt, 0, answer.body)
    yield End(start.attempt, check.length, check.digest(), load)
