"""Splits a stream of server-sent events without changing its bytes."""

import dataclasses
import re

from ..exceptions import ResponseInvalid

__all__ = ('Event', 'EventSplitter')

_TERMINATOR = re.compile(rb'\n\n|\r\n\r\n')
# A terminator of four bytes may begin in the last three bytes received.
_TERMINATOR_OVERLAP_BYTES = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """A complete event: its bytes as received, and its ID ('' for none)."""

    content: bytes
    event_id: str


class EventSplitter:
    """Splits received bytes into events (WHATWG HTML, section 9.2).

    Attributes:
        pending: bytes of the last event, which is incomplete.
    """

    def __init__(self, max_event_bytes: int) -> None:
        """Start at the beginning of a stream."""
        self.max_event_bytes = max_event_bytes
        self.pending = bytearray()
        self.searched_bytes = 0

    def feed(self, content: bytes) -> list[Event]:
        """Add received bytes; return the events that they complete.

        Raises:
            ResponseInvalid: the next event exceeds ``max_event_bytes``.
        """
        self.pending += content
        events = []
        start = 0
        end = _TERMINATOR.search(self.pending, self.searched_bytes)
        while end is not None:
            event = bytes(self.pending[start : end.end()])
            events.append(Event(event, _event_id(event)))
            start = end.end()
            end = _TERMINATOR.search(self.pending, start)
        del self.pending[:start]  # noqa: WPS420 - keeps the buffer
        if len(self.pending) > self.max_event_bytes:
            raise ResponseInvalid(f'event over {self.max_event_bytes} bytes')
        self.searched_bytes = max(
            len(self.pending) - _TERMINATOR_OVERLAP_BYTES, 0
        )
        return events


def _event_id(event: bytes) -> str:
    for line in event.splitlines():
        name, _, text = line.partition(b':')
        if name == b'id':
            return text.strip().decode('latin-1')
    return ''
