"""Splits a stream of server-sent events without changing its bytes."""

import dataclasses
import re

from ..exceptions import ResponseInvalid
from .turns import PARTS_PER_TURN

__all__ = ('Event', 'EventSplitter')

_TERMINATOR = re.compile(rb'\n\n|\r\n\r\n')
# A terminator of four bytes may begin in the last three bytes received.
_TERMINATOR_OVERLAP_BYTES = 3
# Further events are taken later.
_MAX_TAKEN_BYTES = 65536


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

    def feed(self, content: bytes) -> None:
        """Add received bytes."""
        self.pending += content

    def take(self) -> list[Event]:
        """Remove the next complete events; empty if there is none.

        Not more than a few at a time, since the upstream chooses how small they
        are.

        Raises:
            ResponseInvalid: the next event exceeds ``max_event_bytes``.
        """
        events: list[Event] = []
        start = 0
        end = _TERMINATOR.search(self.pending, self.searched_bytes)
        while end is not None:
            event = bytes(self.pending[start : end.end()])
            events.append(Event(event, _event_id(event)))
            start = end.end()
            if len(events) == PARTS_PER_TURN or start >= _MAX_TAKEN_BYTES:
                break
            end = _TERMINATOR.search(self.pending, start)
        self._remove(start, is_searched=end is None)
        if not events and len(self.pending) > self.max_event_bytes:
            raise ResponseInvalid(f'event over {self.max_event_bytes} bytes')
        return events

    def _remove(self, size: int, is_searched: bool) -> None:
        del self.pending[:size]  # noqa: WPS420 - keeps the buffer
        self.searched_bytes = 0
        if is_searched:
            self.searched_bytes = max(
                len(self.pending) - _TERMINATOR_OVERLAP_BYTES, 0
            )


def _event_id(event: bytes) -> str:
    for line in event.splitlines():
        name, _, text = line.partition(b':')
        if name == b'id':
            return text.strip().decode('latin-1')
    return ''
