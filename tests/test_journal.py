"""Logs that are bounded and never wait for their reader."""

import json
import logging
import os

from primroseyoke.journal import BoundedHandler


def make_handler() -> tuple[BoundedHandler, int]:
    reading, writing = os.pipe()
    handler = BoundedHandler(writing)
    handler.setFormatter(logging.Formatter('{"m": "%(message)s"}'))
    return handler, reading


def record(text: str, level: int = logging.INFO) -> logging.LogRecord:
    return logging.LogRecord('x', level, 'x', 1, text, (), None)


def test_lines_above_the_rate_are_dropped_but_not_warnings() -> None:
    handler, reading = make_handler()
    for _ in range(2000):
        handler.handle(record('many'))
    handler.handle(record('urgent', logging.WARNING))
    lines = os.read(reading, 1_000_000).splitlines()
    assert len(lines) < 600
    assert json.loads(lines[-1])['m'] == 'urgent'


def test_a_reader_that_does_not_read_never_blocks() -> None:
    handler, reading = make_handler()
    for _ in range(300):
        handler.handle(record('x' * 1000))
    assert handler.dropped
    os.read(reading, 1_000_000)
    handler.handle(record('after', logging.ERROR))
    assert not handler.dropped
