"""Clocks whose readings are compared with those of other hosts."""

import time

__all__ = ('boot_time',)


def boot_time() -> float:
    """Return the seconds since boot, including those of a suspended host.

    The monotonic clock stands still while a host is suspended, so ages that
    are told to other hosts would be too low afterwards.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
