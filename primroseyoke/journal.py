"""JSON-line logs."""

import logging
import sys
from typing import TextIO

from pythonjsonlogger.json import JsonFormatter

__all__ = ('configure_logging',)

_FIELDS = '%(asctime)s %(levelname)s %(name)s %(message)s'


def configure_logging(
    program: str,
    name: str,
    level: str = 'INFO',
    stream: TextIO | None = None,
) -> None:
    """Write each log record as one JSON line that names the process.

    Args:
        program: ``entry``, ``agent`` or ``ctl``.
        name: name of the host or upstream.
        level: lowest level that is written.
        stream: where to write; standard error if it is not given.
    """
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(
        JsonFormatter(
            _FIELDS,
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
