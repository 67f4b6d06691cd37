"""Server-sent events, split without changing a byte."""

import dataclasses

__all__ = ('Event', 'EventSplitter')

_TERMINATORS = (b'\n\n', b'\r\n\r\n')


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One whole event: its bytes as they arrived, and its id ('' for none)."""

    content: bytes
    event_id: str


class EventSplitter:
    """Collects bytes into whole events (WHATWG HTML, 9.2)."""

    def __init__(self) -> None:
        """Start at the beginning of a stream."""
        self.pending = b''

    def feed(self, content: bytes) -> list[Event]:
        """Return the events that are complete now."""
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
    """Return the length of the first event, 0 if it is incomplete."""
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
