"""Answers on their way from an upstream to a caller."""

import dataclasses
import re
from collections import Counter
from typing import Any, Literal

import msgspec
import xxhash

__all__ = ('AnswerBuffer', 'AnswerCheck', 'ByteLimits', 'ChatEvent')

# Some readers of event streams refuse lines above 64 KiB, and a merged event
# must fit into one credit window to be sent in one piece.
MAX_MERGED_BYTES = 2048

_EVENT_END = re.compile(rb'\n\n|\r\n\r\n')
# The longest part of an event end that does not end the event yet.
_PARTIAL_END = 3
_CHAT_EVENT = re.compile(
    rb'(data: ?\{[^\r\n\\]*"content":[ ]?")((?:[^\r\n"\\]|\\[^\r\n])*)'
    rb'("[^\r\n\\]*\}(?:\n\n|\r\n\r\n))',
)
_EVENT_DATA = re.compile(rb'data: ?(\{[^\r\n]*\})')


class AnswerCheck:
    """Position and digest of an answer, counted at both ends of a link."""

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
        """Tell whether the whole answer was counted."""
        return length == self.length and digest == self.digest()


class ByteLimits:
    """Limits on the bytes that answers hold in one process.

    An answer at any of the limits is not read further, so that its upstream
    waits (backpressure). At the limit of one answer only that answer waits; at
    the limit of a client the answers of that client that hold bytes wait; at
    the limit of the process all answers that hold bytes wait. An answer that
    holds nothing is always read, so that fast readers are served at any time.
    One read may therefore exceed a limit by the size of one chunk for each
    running answer.
    """

    def __init__(self, answer: int, client: int, process: int) -> None:
        """Take the limits in bytes."""
        self.answer = answer
        self.client = client
        self.process = process
        self.held = 0
        self.clients: Counter[str] = Counter()

    def may_read(self, client: str, held: int) -> bool:
        """Tell whether an answer that holds ``held`` bytes may be read on."""
        if not held:
            return True
        return (
            held < self.answer
            and self.clients[client] < self.client
            and self.held < self.process
        )

    def change(self, client: str, difference: int) -> None:
        """Count bytes that an answer of a client took or gave back."""
        self.held += difference
        self.clients[client] += difference
        if not self.clients[client]:
            self.clients.pop(client)


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
        document = _EVENT_DATA.match(event)
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


class AnswerBuffer:
    """Bytes of an answer between their arrival and their sending.

    Waiting events of a chat stream that differ only in the text are merged.
    All other bytes are passed on as they came. What has arrived can be taken
    at once, also the first part of an event.
    """

    def __init__(self, merging: bool) -> None:
        """Merge events if ``merging``, otherwise pass on all bytes."""
        self.merging = merging
        # In order of arrival: settled bytes, the last whole event, and the
        # start of the event that is arriving.
        self.settled = bytearray()
        self.last: bytes | ChatEvent = b''
        self.arriving = bytearray()
        # A part of the arriving event was taken; the rest must follow as is.
        self.split = False
        self.tail = b''
        self.size = 0

    def put(self, content: bytes) -> int:
        """Add bytes; return by how much the buffer grew."""
        before = self.size
        if self.merging:
            self._put_events(content)
        else:
            self.settled += content
            self.size += len(content)
        return self.size - before

    def take(self, size: int) -> bytes:
        """Remove and return up to ``size`` bytes from the front."""
        if len(self.settled) < size:
            self._settle_last()
        if self.arriving and len(self.settled) < size:
            self.settled += self.arriving
            self.arriving.clear()
            self.split = True
        content = bytes(self.settled[:size])
        del self.settled[:size]  # noqa: WPS420 - cheap removal at the front
        self.size -= len(content)
        return content

    def _put_events(self, content: bytes) -> None:
        # An event end may have begun in the content before.
        known = len(self.tail)
        scanned = self.tail + content
        start = 0
        for end in _EVENT_END.finditer(scanned):
            self._put_part(content[start : end.end() - known])
            start = end.end() - known
            self._end_event()
        self._put_part(content[start:])
        rest = scanned[start + known :] if start else scanned
        self.tail = rest[-_PARTIAL_END:]

    def _put_part(self, part: bytes) -> None:
        self.size += len(part)
        if self.split:
            self.settled += part
        else:
            self.arriving += part

    def _end_event(self) -> None:
        if self.split:
            self.split = False
            return
        event = bytes(self.arriving)
        self.arriving.clear()
        if not self._merge(event):
            self._settle_last()
            self.last = event

    def _merge(self, event: bytes) -> bool:
        if isinstance(self.last, bytes):
            parsed = ChatEvent.parse(self.last) if self.last else None
            if parsed is None:
                return False
            self.last = parsed
        merged = self.last.merge(event)
        if merged:
            self.size -= len(self.last.before) + len(self.last.after)
        return merged

    def _settle_last(self) -> None:
        last: Any = self.last
        if isinstance(last, ChatEvent):
            last = last.encode()
        self.settled += last
        self.last = b''
