"""Responses on their way from an upstream to a caller."""

import dataclasses
import re
from collections import Counter
from typing import Any, Literal

import msgspec
import xxhash

__all__ = ('BufferLimits', 'ChatEvent', 'ResponseBuffer', 'ResponseChecksum')

# Some readers of event streams refuse lines above 64 KiB, and a merged event
# must fit into one credit window to be sent in one piece.
MAX_MERGED_BYTES = 2048

_EVENT_TERMINATOR = re.compile(rb'\n\n|\r\n\r\n')
# The longest part of an event end that does not end the event yet.
_MAX_PARTIAL_END_BYTES = 3
_CHAT_EVENT = re.compile(
    rb'(data: ?\{[^\r\n\\]*"content":[ ]?")((?:[^\r\n"\\]|\\[^\r\n])*)'
    rb'("[^\r\n\\]*\}(?:\n\n|\r\n\r\n))',
)
_EVENT_DOCUMENT = re.compile(rb'data: ?(\{[^\r\n]*\})')


class ResponseChecksum:
    """Position and digest of a response, counted at both ends of a link."""

    def __init__(self) -> None:
        """Start at the first byte."""
        self.length = 0
        self.hasher = xxhash.xxh3_64()

    def add(self, content: bytes) -> int:
        """Count bytes; return the position at which they start."""
        position = self.length
        self.length += len(content)
        self.hasher.update(content)
        return position

    def digest(self) -> int:
        """Return the xxh3-64 digest of the bytes so far."""
        return self.hasher.intdigest()

    def matches(self, length: int, digest: int) -> bool:
        """Tell whether the whole response was counted."""
        return length == self.length and digest == self.digest()


class BufferLimits:
    """Limits on the bytes that responses hold in one process.

    A response at any of the limits is not read further, so that its upstream
    waits (backpressure). At the limit of one response only that response waits; at
    the limit of a client the responses of that client that hold bytes wait; at
    the limit of the process all responses that hold bytes wait. A response that
    holds nothing is always read, so that fast readers are served at any time.
    One read may therefore exceed a limit by the size of one chunk for each
    running response.
    """

    def __init__(
        self, response_limit: int, client_limit: int, process_limit: int
    ) -> None:
        """Take the limits in bytes."""
        self.response_limit = response_limit
        self.client_limit = client_limit
        self.process_limit = process_limit
        self.held_bytes = 0
        self.held_by_client: Counter[str] = Counter()

    def may_read(self, client: str, held_bytes: int) -> bool:
        """Tell whether a response that holds ``held_bytes`` bytes may be read on."""
        if not held_bytes:
            return True
        return (
            held_bytes < self.response_limit
            and self.held_by_client[client] < self.client_limit
            and self.held_bytes < self.process_limit
        )

    def adjust(self, client: str, difference: int) -> None:
        """Count bytes that a response of a client took or gave back."""
        self.held_bytes += difference
        self.held_by_client[client] += difference
        if not self.held_by_client[client]:
            self.held_by_client.pop(client)


class _Delta(msgspec.Struct, forbid_unknown_fields=True):
    content: str  # noqa: WPS110 - name on the wire


class _Choice(msgspec.Struct, forbid_unknown_fields=True):
    delta: _Delta
    index: int = 0
    finish_reason: None = None
    logprobs: None = None


class _ChatChunk(msgspec.Struct, forbid_unknown_fields=True):
    """Chunk of a chat stream in which nothing but the text accumulates.

    Callers append some fields of successive chunks to each other (tool calls,
    log probabilities, reasoning), so that two chunks with such a field cannot
    be merged even if they are equal. Therefore only fields that are known not
    to accumulate are accepted.
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
    """Server-sent event of a chat stream that can be merged with others.

    ``text`` is the inside of the JSON string; ``before`` and ``after`` are the
    bytes around it. Events with equal bytes around the text differ only in
    the text.
    """

    before: bytes
    text: bytearray
    after: bytes

    @classmethod
    def parse(cls, event: bytes) -> 'ChatEvent | None':
        """Return the parts of an event, None if it cannot be merged."""
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
            # One of two equal names counts, and readers differ in which.
            return None
        return cls(before, bytearray(text), after)

    def merge(self, event: bytes) -> bool:
        """Add the text of the next event if it differs only in the text."""
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
        """Return the event as it is sent."""
        return b''.join((self.before, self.text, self.after))


class ResponseBuffer:
    """Bytes of a response between their arrival and their sending.

    Waiting events of a chat stream that differ only in the text are merged.
    All other bytes are passed on as they came. What has arrived can be taken
    at once, also the first part of an event.
    """

    def __init__(self, merging: bool) -> None:
        """Merge events if ``merging``, otherwise pass on all bytes."""
        self.merging = merging
        # In order of arrival: settled bytes, the last whole event, and the
        # start of the event that is arriving.
        self.ready = bytearray()
        self.last_event: bytes | ChatEvent = b''
        self.partial_event = bytearray()
        # A part of the arriving event was taken; the rest must follow as is.
        self.partial_event_taken = False
        self.scan_tail = b''
        self.size = 0

    def put(self, content: bytes) -> int:
        """Add bytes; return by how much the buffer grew."""
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
        # An event end may have begun in the content before.
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
