"""Answers on their way from an upstream to a caller."""

import threading
from collections.abc import Callable

import xxhash

from .exceptions import LinkClosed

__all__ = ('AnswerCheck', 'CreditWindow')


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


class CreditWindow:
    """Bytes that an agent may send before the entry grants more."""

    def __init__(self, size: int) -> None:
        """Start with ``size`` bytes."""
        self.available = size
        self.closed = False
        self.changed = threading.Condition()

    def grant(self, size: int) -> None:
        """Add credit."""
        with self.changed:
            self.available += size
            self.changed.notify_all()

    def close(self) -> None:
        """End the wait of the sender, for example when the link has ended."""
        with self.changed:
            self.closed = True
            self.changed.notify_all()

    def spend(self, content: bytes, send: Callable[[bytes], None]) -> None:
        """Send all of ``content`` in pieces as credit allows.

        Raises:
            LinkClosed: nobody waits for the answer any more.
        """
        view = memoryview(content)
        while view:
            size = self._take(len(view))
            send(bytes(view[:size]))
            view = view[size:]

    def _take(self, wanted: int) -> int:
        with self.changed:
            self.changed.wait_for(lambda: self.available > 0 or self.closed)
            if self.closed:
                raise LinkClosed('the answer is no longer wanted')
            size = min(wanted, self.available)
            self.available -= size
        return size
