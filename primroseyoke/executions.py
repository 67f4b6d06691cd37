"""Execution of requests at the upstream, one agent thread for each."""

import dataclasses
import logging
import threading
import time
from collections.abc import Callable
from typing import Any

from .exceptions import RequestFailed
from .idempotency_keys import MAX_STORED_RESPONSE_BYTES, StoredResponse
from .messages import Body, End, Failed, Head, Load, Message, Start
from .response_buffering import BufferLimits, ResponseBuffer, ResponseChecksum
from .send_gate import SendGate
from .upstream_client import UpstreamAnswer, UpstreamClient, UpstreamRequest
from .verdicts import Verdict

__all__ = ('Execution', 'ExecutionEnded', 'SharedBuffers')

log = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class ExecutionEnded:
    """How an execution ended.

    ``failure`` is None if the response is complete. ``stored_response`` is
    kept for replay. ``cancelled`` means that the entry cancelled the attempt.
    ``withheld`` means that the request was not sent, because the upstream may
    have restarted since it was admitted.
    """

    execution: 'Execution'
    failure: RequestFailed | None
    stored_response: StoredResponse | None
    cancelled: bool = False
    withheld: bool = False


class SharedBuffers:
    """Buffer limits shared by the threads of one agent, and their lock."""

    def __init__(self, limits: BufferLimits) -> None:
        """Use ``changed`` as the lock of ``limits`` and all buffers."""
        self.limits = limits
        self.changed = threading.Condition()


class Execution:
    """One request in execution at the upstream.

    The thread in ``run`` reads the response as fast as the upstream sends it,
    within the buffer limits. Whichever thread adds bytes or credit also sends
    what the credit allows, so no thread blocks on the entry: ``run`` returns
    once the upstream has finished, and the rest is sent as credit arrives.
    """

    def __init__(
        self,
        number: int,
        start: Start,
        client: UpstreamClient,
        send: Callable[[Message], None],
        on_end: Callable[[ExecutionEnded], None],
        get_load: Callable[[], Load],
        shared_buffers: SharedBuffers,
    ) -> None:
        """Send replies with ``send`` and report the end to ``on_end``."""
        self.number = number
        self.start = start
        self.client = client
        self.send = send
        self.on_end = on_end
        self.get_load = get_load
        self.shared_buffers = shared_buffers
        self.credit_bytes = start.window
        self.buffer = ResponseBuffer(merging=False)
        self.checksum = ResponseChecksum()
        self.stored_chunks: list[bytes] = []
        self.received_bytes = 0
        self.upstream_response: UpstreamAnswer | None = None
        self.cancelled = False

    def cancel(self) -> None:
        """Stop sending the response and discard its buffered bytes.

        A non-idempotent call continues, so that its outcome can be recorded.
        """
        with self.shared_buffers.changed:
            self.cancelled = True
            self._discard_buffer()
            response = self.upstream_response
        if self.start.idempotent and response is not None:
            response.close()

    def grant(self, size: int) -> None:
        """Add ``size`` bytes of credit and send what it allows."""
        with self.shared_buffers.changed:
            self.credit_bytes += size
            if not self.cancelled:
                self._send_buffered()

    def is_fully_sent(self) -> bool:
        """Return whether no received bytes are left to send."""
        return self.cancelled or not self.buffer.size

    def run_confirmed(
        self, timeout: float, gate: SendGate, generation: int
    ) -> None:
        """Execute the request once ``gate`` lets it pass.

        Args:
            timeout: time for the wait and the execution, in seconds.
            gate: tells whether the upstream is known not to have restarted.
            generation: the generation of the gate at the admission.
        """
        deadline = time.monotonic() + timeout
        if not gate.enter(self.number, generation, deadline):
            self.on_end(_withheld(self))
            return
        try:
            self.run(max(deadline - time.monotonic(), 0))
        finally:
            gate.leave(self.number)

    def run(self, timeout: float) -> None:
        """Execute the request; ``timeout`` is in seconds."""
        failure = None
        stored_response = None
        try:
            stored_response = self._relay(timeout)
        except RequestFailed as error:
            failure = error
        except Exception as error:  # noqa: BLE001 - reported to the actor
            log.exception(
                'unexpected error while executing a request at the upstream; '
                'reporting may_have_run',
            )
            failure = RequestFailed(repr(error), Verdict.MAY_HAVE_RUN, 500)
        if failure is not None:
            with self.shared_buffers.changed:
                self._discard_buffer()
        self.on_end(
            ExecutionEnded(self, failure, stored_response, self.cancelled)
        )

    def end_message(self, load: Load) -> End:
        """Return the message that ends a complete response."""
        return End(
            self.start.attempt,
            self.checksum.length,
            self.checksum.digest(),
            load,
        )

    def failed_message(self, failure: RequestFailed, load: Load) -> Failed:
        """Return the message that ends an attempt with a failure."""
        return Failed(
            self.start.attempt,
            failure.verdict,
            str(failure),
            failure.status,
            False,  # noqa: WPS425 - set by the actor
            load,
        )

    def _relay(self, timeout: float) -> StoredResponse:
        start = self.start
        response = self.client.send_request(
            UpstreamRequest(
                start.method,
                start.path,
                start.headers,
                start.body,
                timeout,
                start.idempotent,
            ),
        )
        # The execution outlives the request body if the caller reads slowly.
        self.start = dataclasses.replace(start, body=b'')
        try:
            self._relay_response(response)
        finally:
            response.release()
        return StoredResponse(
            response.status,
            response.headers,
            b''.join(self.stored_chunks),
        )

    def _relay_response(self, response: UpstreamAnswer) -> None:
        self.buffer = ResponseBuffer(response.is_unsized_event_stream())
        with self.shared_buffers.changed:
            self.upstream_response = response
        self.send(
            Head(
                self.start.attempt,
                response.status,
                response.headers,
                replayed=False,
                load=self.get_load(),
            ),
        )
        self._raise_if_cancelled()
        for chunk in response.chunks():
            self._relay_chunk(chunk)
            self._raise_if_cancelled()

    def _raise_if_cancelled(self) -> None:
        if self.cancelled and self.start.idempotent:
            raise RequestFailed('cancelled', Verdict.MAY_HAVE_RUN, 499)

    def _relay_chunk(self, chunk: bytes) -> None:
        if self.start.key and self.received_bytes <= MAX_STORED_RESPONSE_BYTES:
            self.stored_chunks.append(chunk)
        self.received_bytes += len(chunk)
        with self.shared_buffers.changed:
            if self.cancelled:
                return
            self._adjust_held_bytes(self.buffer.put(chunk))
            self._send_buffered()
            self.shared_buffers.changed.wait_for(self._may_read)

    def _may_read(self) -> bool:
        return self.cancelled or self.shared_buffers.limits.may_read(
            self.start.client,
            self.buffer.size,
        )

    def _send_buffered(self) -> None:
        size = min(self.credit_bytes, self.buffer.size)
        if not size:
            return
        content = self.buffer.take(size)
        self.credit_bytes -= size
        position = self.checksum.add(content)
        self.send(Body(self.start.attempt, position, content))
        self._adjust_held_bytes(-size)

    def _adjust_held_bytes(self, difference: int) -> None:
        self.shared_buffers.limits.adjust(self.start.client, difference)
        if difference < 0:
            self.shared_buffers.changed.notify_all()

    def _discard_buffer(self) -> None:
        self._adjust_held_bytes(-self.buffer.size)
        self.buffer = ResponseBuffer(merging=False)


def _withheld(execution: Execution) -> ExecutionEnded:
    failure = RequestFailed(
        'the upstream may have restarted; the request was not sent',
        Verdict.NOT_RUN,
    )
    return ExecutionEnded(
        execution, failure, None, execution.cancelled, withheld=True
    )


def replay_messages(start: Start, response: StoredResponse, load: Load) -> Any:
    """Yield the messages that replay a stored response."""
    checksum = ResponseChecksum()
    yield Head(start.attempt, response.status, response.headers, True, load)  # noqa: WPS425
    checksum.add(response.body)
    yield Body(start.attempt, 0, response.body)
    yield End(start.attempt, checksum.length, checksum.digest(), load)
