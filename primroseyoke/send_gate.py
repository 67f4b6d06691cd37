"""Limits what is sent to an upstream between two load reports."""

import threading
import time
from collections.abc import Callable

__all__ = ('SendGate',)

# Minimum time between two load reports that are requested for waiting sends.
_POLL_INTERVAL_SECONDS = 0.05


class SendGate:
    """Holds admitted requests until the upstream is known not to have restarted.

    An upstream can restart unnoticed, and requests that were admitted before
    then arrive at a cold one. So at most ``allowance`` requests are in progress
    that were sent after the last load report was requested; the others wait for
    a new report. A suspected restart withholds all that were not sent yet.

    Attributes:
        allowance: maximum number of unconfirmed requests in progress.
        generation: number of suspected restarts so far.
    """

    def __init__(self, poll: Callable[[], object]) -> None:
        """Use ``poll`` to request a load report; it returns after the reply."""
        self.poll = poll
        self.allowance = 1
        self.generation = 0
        self.unconfirmed: dict[int, float] = {}
        self.next_poll_at = 0.0
        self.changed = threading.Condition()

    def enter(self, number: int, generation: int, deadline: float) -> bool:
        """Wait until request ``number`` may be sent.

        Args:
            number: number of the request.
            generation: the generation in which the request was admitted.
            deadline: monotonic time until which to wait, in seconds.

        Returns:
            Whether to send the request. Otherwise a restart is suspected or
            the deadline has passed, and the request must not be sent.
        """
        while True:
            with self.changed:
                now = time.monotonic()
                if generation != self.generation or now >= deadline:
                    return False
                if len(self.unconfirmed) < self.allowance:
                    self.unconfirmed[number] = now
                    return True
                if now < self.next_poll_at:
                    self.changed.wait(min(self.next_poll_at, deadline) - now)
                    continue
                self.next_poll_at = now + _POLL_INTERVAL_SECONDS
            self.poll()

    def leave(self, number: int) -> None:
        """Record that a request has ended or was not sent."""
        with self.changed:
            self.unconfirmed.pop(number, None)
            self.changed.notify_all()

    def confirm(self, requested_at: float) -> None:
        """Record a report, requested at a monotonic time, without a restart."""
        with self.changed:
            for number, sent_at in tuple(self.unconfirmed.items()):
                if sent_at <= requested_at:
                    self.unconfirmed.pop(number)
            self.changed.notify_all()

    def withhold(self) -> None:
        """Withhold the requests that were admitted and not sent yet."""
        with self.changed:
            self.generation += 1
            self.changed.notify_all()
