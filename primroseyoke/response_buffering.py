"""Buffering, integrity checks and memory limits of relayed responses."""

import dataclasses
import re
from collections import Counter
from typing import Any, Literal

import msgspec
import xxhash

__all__ = ('BufferLimits', 'ChatEvent', 'ResponseBuffer', 'ResponseChecksum')

# Some event-stream clients reject lines above 64 KiB, and a merged event must
# fit into one credit window to be sent as a single message.
MAX_MERGED_BYTES = 2048

_EVENT_TERMINATOR = re.compile(rb'\n\n|\r\n\r\n')
# Longest proper prefix of an event terminator (CR LF CR).
_MAX_PARTIAL_END_BYTES = 3
_CHAT_EVENT = re.compile(
    rb'(data: ?\{[^\r\n\\]*"content":[ ]?")((?:[^\r\n"\\]|\\[^\r\n])*)'
    rb'("[^\r\n\\]*\}(?:\n\n|\r\n\r\n))',
)
_EVENT_DOCUMENT = re.compile(rb'data: ?(\{[^\r\n]*\})')


class ResponseChecksum:
    """Running length and digest of a response, kept at both ends of a link."""

    def __init__(self) -> None:
        """Start with no bytes counted."""
        self.length = 0
        self.hasher = xxhash.xxh3_64()

    def add(self, content: bytes) -> int:
        """Count and hash bytes; return their offset in the response."""
        position = self.length
        self.length += len(content)
        self.hasher.update(content)
        return position

    def digest(self) -> int:
        """Return the xxh3-64 digest of the bytes so far."""
        return self.hasher.intdigest()

    def matches(self, length: int, digest: int) -> bool:
        """Return whether length and digest equal those of the sender."""
        return length == self.length and digest == self.digest()


class BufferLimits:
    """Limits on the bytes that responses buffer in one process.

    At a limit, reading pauses and the upstream sees backpressure: for one
    response at the response limit, for all responses of a client with buffered
    bytes at the client limit, and for all responses with buffered bytes at the
    process limit. A response with an empty buffer is always read, so slow
    readers never block fast ones. A limit may therefore be exceeded by one
    chunk for each running response.
    """

    def __init__(
        self, response_limit: int, client_limit: int, process_limit: int
    ) -> None:
        """Set the limits, in bytes."""
        self.response_limit = response_limit
        self.client_limit = client_limit
        self.process_limit = process_limit
        self.held_bytes = 0
        self.held_bytes_by_client: Counter[str] = Counter()

    def may_read(self, client: str, held_bytes: int) -> bool:
        """Return whether a response with ``held_bytes`` may be read further."""
        if not held_bytes:
            return True
        return (
            held_bytes < self.response_limit
            and self.held_bytes_by_client[client] < self.client_limit
            and self.held_bytes < self.process_limit
        )

    def adjust(self, client: str, difference: int) -> None:
        """Add to the bytes held for a client; a negative value releases."""
        self.held_bytes += difference
        self.held_bytes_by_client[client] += difference
        if not self.held_bytes_by_client[client]:
            self.held_bytes_by_client.pop(client)


class _Delta(msgspec.Struct, forbid_unknown_fields=True):
    content: str  # noqa: WPS110 - name on the wire


class _Choice(msgspec.Struct, forbid_unknown_fields=True):
    delta: _Delta
    index: int = 0
    finish_reason: None = None
    logprobs: None = None


class _ChatChunk(msgspec.Struct, forbid_unknown_fields=True):
    """Chat chunk whose only accumulating field is the text.

    Clients concatenate some fields of successive chunks (tool calls, log
    probabilities, reasoning). Merging two chunks with such a field would drop
    a value even if both are equal, so only fields that are known not to
    accumulate are accepted.
    """

    choices: tuple[_Choice]
    object: Literal['chat.completion.chunk']
    id: str = ''
    created: int = 0
    model: str = ''
    system_fingerprint: str | None = None
    service_tier: str | None = None
    usage: None = None


_CHUNK_DECODER = msgspec.json.Decoder(_ChatChunk)
_TEXT_DECODER = msgspec.json.Decoder(str)


@dataclasses.dataclass(slots=True)
class ChatEvent:
    """Server-sent event of a chat stream that later events can be merged into.

    ``text`` is the content of the JSON string without its quotes; ``before``
    and ``after`` are the bytes around it. Events with equal ``before`` and
    ``after`` differ only in the text.
    """

    before: bytes
    text: bytearray
    after: bytes

    @classmethod
    def parse(cls, event: bytes) -> 'ChatEvent | None':
        """Split an event around its text; None if it cannot be merged."""
        parts = _CHAT_EVENT.fullmatch(event)
        document = _EVENT_DOCUMENT.match(event)
        if parts is None or document is None:
            return None
        try:
            _CHUNK_DECODER.decode(document.group(1))
        except (msgspec.DecodeError, UnicodeDecodeError):
            return None
        before, text, after = parts.groups()
        if (before + after).count(b'"content"') != 1:
            # JSON parsers differ in which of two duplicate names they use.
            return None
        return cls(before, bytearray(text), after)

    def merge(self, event: bytes) -> bool:
        """Append the text of the next event if nothing else differs."""
        if not event.startswith(self.before) or not event.endswith(self.after):
            return False
        size = len(event) - len(self.before) - len(self.after)
        if size < 0 or len(self.text) + size > MAX_MERGED_BYTES:
            return False
        text = event[len(self.before) : -len(self.after)]
        try:
            _TEXT_DECODER.decode(b'"%b"' % text)
        except (msgspec.DecodeError, UnicodeDecodeError):
            return False
        self.text += text
        return True

    def encode(self) -> bytes:
        """Return the event as bytes to send."""
        return b''.join((self.before, self.text, self.after))


class ResponseBuffer:
    """Buffer for response bytes that were received and not yet sent.

    Buffered chat events that differ only in their text are merged; all other
    bytes pass unchanged. Everything received can be taken immediately, even an
    incomplete event.
    """

    def __init__(self, merging: bool) -> None:
        """Merge chat events if ``merging``, else pass all bytes unchanged."""
        self.merging = merging
        # In stream order: bytes that can no longer change, the last complete
        # event (it may still be merged), and the event being received.
        self.ready = bytearray()
        self.last_event: bytes | ChatEvent = b''
        self.partial_event = bytearray()
        # Part of the incomplete event was taken, so its rest passes unmerged.
        self.partial_event_taken = False
        self.scan_tail = b''
        self.size = 0

    def put(self, content: bytes) -> int:
        """Append bytes; return the change in buffer size."""
        before = self.size
        if self.merging:
            self._put_events(content)
        else:
            self.ready += content
            self.size += len(content)
        return self.size - before

    def take(self, size: int) -> bytes:
        """Remove and return up to ``size`` bytes from the front."""
        if len(self.ready) < size:
            self._flush_last_event()
        if self.partial_event and len(self.ready) < size:
            self.ready += self.partial_event
            self.partial_event.clear()
            self.partial_event_taken = True
        content = bytes(self.ready[:size])
        del self.ready[:size]  # noqa: WPS420 - cheap removal at the front
        self.size -= len(content)
        return content

    def _put_events(self, content: bytes) -> None:
        # A terminator may be split across calls.
        tail_size = len(self.scan_tail)
        scanned = self.scan_tail + content
        start = 0
        for end in _EVENT_TERMINATOR.finditer(scanned):
            self._put_part(content[start : end.end() - tail_size])
            start = end.end() - tail_size
            self._end_event()
        self._put_part(content[start:])
        rest = scanned[start + tail_size :] if start else scanned
        self.scan_tail = rest[-_MAX_PARTIAL_END_BYTES:]

    def _put_part(self, part: bytes) -> None:
        self.size += len(part)
        if self.partial_event_taken:
            self.ready += part
        else:
            self.partial_event += part

    def _end_event(self) -> None:
        if self.partial_event_taken:
            self.partial_event_taken = False
            return
        event = bytes(self.partial_event)
        self.partial_event.clear()
        if not self._merge(event):
            self._flush_last_event()
            self.last_event = event

    def _merge(self, event: bytes) -> bool:
        if isinstance(self.last_event, bytes):
            parsed = (
                ChatEvent.parse(self.last_event) if self.last_event else None
            )
            if parsed is None:
                return False
            self.last_event = parsed
        merged = self.last_event.merge(event)
        if merged:
            self.size -= len(self.last_event.before) + len(
                self.last_event.after
            )
        return merged

    def _flush_last_event(self) -> None:
        event: Any = self.last_event
        if isinstance(event, ChatEvent):
            event = event.encode()
        self.ready += event
        self.last_event = b''
