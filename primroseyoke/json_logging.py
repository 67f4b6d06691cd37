"""Logging as one JSON object per line."""

import logging
import os
import sys
import time
from typing import TextIO

from pythonjsonlogger.json import JsonFormatter

__all__ = ('RateLimitedHandler', 'configure_logging')

_LOG_FORMAT = '%(asctime)s %(levelname)s %(name)s %(message)s'
# Sustained rate of a process. The target of 3,300 requests per second on 390
# hosts produces about 20 lines per second and process. Warnings and errors have
# a separate budget of the same size.
_MAX_LINES_PER_SECOND = 100.0
# Allows for bursts of log lines, for example when a zone becomes unreachable.
_BURST_LINES = 400.0


class _TokenBucket:
    """Token bucket that limits the number of lines per second."""

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
    """Writes log lines to a file descriptor at a limited rate, never blocking.

    Lines above the rate limit, and lines that the reader is too slow for, are
    dropped and counted; the next line written contains their number.

    Attributes:
        dropped: number of lines dropped since the last line was written.
    """

    def __init__(self, descriptor: int) -> None:
        """Write to ``descriptor`` and make it non-blocking."""
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
            # The reader is too slow or has closed the pipe, and there is no
            # other place to report it.
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
        level: lowest level that is logged.
        stream: file that is written without blocking; by default, standard
            error with blocking writes.
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
    # websockets logs each connection, in addition to the log lines of links.
    logging.getLogger('websockets').setLevel(logging.WARNING)
    logging.getLogger('urllib3').setLevel(logging.ERROR)
    logging.getLogger('pykka').setLevel(logging.WARNING)
