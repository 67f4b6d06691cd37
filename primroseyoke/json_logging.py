"""JSON-line logs."""

import logging
import os
import sys
import time
from typing import TextIO

from pythonjsonlogger.json import JsonFormatter

__all__ = ('RateLimitedHandler', 'configure_logging')

_LOG_FORMAT = '%(asctime)s %(levelname)s %(name)s %(message)s'
# Lines a second that a process writes; the target of 3,300 requests a second
# over 390 hosts makes about 20. Warnings and errors have as many again.
_MAX_LINES_PER_SECOND = 100.0
# Lines that may be written at once, as when a zone is cut off.
_BURST_LINES = 400.0


class _TokenBucket:
    """Allows some lines a second, and a burst."""

    def __init__(self) -> None:
        self.tokens = _BURST_LINES
        self.updated_at = time.monotonic()

    def try_take(self, now: float) -> bool:
        elapsed = now - self.updated_at
        refilled = self.tokens + elapsed * _MAX_LINES_PER_SECOND
        self.tokens = min(refilled, _BURST_LINES)
        self.updated_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class RateLimitedHandler(logging.Handler):
    """Writes lines to a descriptor without ever waiting for its reader.

    Lines above the rate, and those that the reader is too slow for, are
    dropped and counted; the next line that is written tells how many.

    Attributes:
        dropped: lines dropped since the last one that was written.
    """

    def __init__(self, descriptor: int) -> None:
        """Write to ``descriptor``, which is made non-blocking."""
        super().__init__()
        self.descriptor = descriptor
        self.dropped = 0
        self.buckets = {False: _TokenBucket(), True: _TokenBucket()}
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record, or drop it."""
        urgent = record.levelno >= logging.WARNING
        if not self.buckets[urgent].try_take(time.monotonic()):
            self.dropped += 1
            return
        if self.dropped:
            record.dropped = self.dropped
        line = f'{self.format(record)}\n'.encode()
        try:
            written = os.write(self.descriptor, line)
        except OSError:
            # The reader is too slow or gone; there is nowhere else to say so.
            self.dropped += 1
            return
        self.dropped = 0 if written == len(line) else self.dropped + 1


def configure_logging(
    program: str,
    name: str,
    level: str = 'INFO',
    stream: TextIO | None = None,
) -> None:
    """Write each log record as one JSON line that names the process.

    Args:
        program: ``entry``, ``agent``, ``ctl`` or ``gateway``.
        name: name of the host or upstream.
        level: lowest level that is written.
        stream: a file that is written without waiting for its reader;
            standard error, with waiting, if it is not given.
    """
    handler: logging.Handler = logging.StreamHandler(sys.stderr)
    if stream is not None:
        handler = RateLimitedHandler(stream.fileno())
    handler.setFormatter(
        JsonFormatter(
            _LOG_FORMAT,
            rename_fields={'levelname': 'level', 'asctime': 'time'},
            static_fields={'program': program, 'process': name},
        ),
    )
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level)
    # The library logs each connection; one line per link is ours to write.
    logging.getLogger('websockets').setLevel(logging.WARNING)
    logging.getLogger('urllib3').setLevel(logging.ERROR)
    logging.getLogger('pykka').setLevel(logging.WARNING)
