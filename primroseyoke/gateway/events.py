"""Splits a stream of server-sent events without changing its bytes."""

import dataclasses

__all__ = ('Event', 'EventSplitter')

_TERMINATORS = (b'\n\n', b'\r\n\r\n')


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

    def __init__(self) -> None:
        """Start at the beginning of a stream."""
        self.pending = b''

    def feed(self, content: bytes) -> list[Event]:
        """Add received bytes; return the events that they complete."""
        self.pending += content
        events = []
        end = _event_end(self.pending)
        while end:
            event = self.pending[:end]
            self.pending = self.pending[end:]
            events.append(Event(event, _event_id(event)))
            end = _event_end(self.pending)
        return events


def _event_end(content: bytes) -> int:
    """Return the length of the first event, or 0 if it is incomplete."""
    ends = [
        found + len(end)
        for end in _TERMINATORS
        if (found := content.find(end)) >= 0
    ]
    return min(ends, default=0)


def _event_id(event: bytes) -> str:
    for line in event.splitlines():
        name, _, text = line.partition(b':')
        if name == b'id':
            return text.strip().decode('latin-1')
    return ''
