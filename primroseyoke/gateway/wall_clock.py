"""True time from a wall clock that may step and step back."""

import logging
import time
from collections.abc import Callable

from .clocks import boot_time

__all__ = ('WallClock',)

log = logging.getLogger(__name__)

# A change of the wall clock against the boot time below this is drift or
# slewing by NTP and is followed at once.
_MAX_SLEW_SECONDS = 0.1
# A step is followed once it has lasted for this time. Clocks of the platform
# step by seconds and step back.
_STEP_PERSISTENCE_SECONDS = 60.0
_DIGITS = 3


class WallClock:
    """Wall-clock time that ignores short steps.

    Attributes:
        offset: true time minus boot time, in seconds.
    """

    def __init__(
        self,
        wall_time: Callable[[], float] = time.time,
        boot: Callable[[], float] = boot_time,
    ) -> None:
        """Start with the present offset of ``wall_time`` to ``boot``."""
        self.wall_time = wall_time
        self.boot = boot
        self.offset = wall_time() - boot()
        self.step: float | None = None
        self.step_seen_at = 0.0

    def now(self) -> float:
        """Return the true time in seconds since 1970."""
        now = self.boot()
        self._follow(self.wall_time() - now, now)
        return now + self.offset

    def _follow(self, offset: float, now: float) -> None:
        """Take over an offset that is near, or that has lasted."""
        if abs(offset - self.offset) <= _MAX_SLEW_SECONDS:
            self.offset = offset
            self.step = None
            return
        if self.step is None or abs(offset - self.step) > _MAX_SLEW_SECONDS:
            self.step_seen_at = now
            self._log('wall clock differs from true time; not followed', offset)
        # The wall clock may drift after the step, too.
        self.step = offset
        if now - self.step_seen_at >= _STEP_PERSISTENCE_SECONDS:
            self._log('wall clock followed after a step', offset)
            self.offset = offset
            self.step = None

    def _log(self, message: str, offset: float) -> None:
        difference = round(offset - self.offset, _DIGITS)
        log.warning(message, extra={'difference': difference})
