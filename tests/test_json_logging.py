"""The log handler limits the rate of lines and never blocks."""

import json
import logging
import os

from primroseyoke.json_logging import RateLimitedHandler


def make_handler() -> tuple[RateLimitedHandler, int]:
    read_descriptor, write_descriptor = os.pipe()
    handler = RateLimitedHandler(write_descriptor)
    handler.setFormatter(logging.Formatter('{"m": "%(message)s"}'))
    return handler, read_descriptor


def make_record(text: str, level: int = logging.INFO) -> logging.LogRecord:
    return logging.LogRecord('x', level, 'x', 1, text, (), None)


def test_lines_above_the_rate_limit_are_dropped_but_not_warnings() -> None:
    handler, read_descriptor = make_handler()
    for _ in range(2000):
        handler.handle(make_record('many'))
    handler.handle(make_record('urgent', logging.WARNING))
    lines = os.read(read_descriptor, 1_000_000).splitlines()
    assert len(lines) < 600
    assert json.loads(lines[-1])['m'] == 'urgent'


def test_handler_does_not_block_on_a_full_pipe() -> None:
    handler, read_descriptor = make_handler()
    for _ in range(300):
        handler.handle(make_record('x' * 1000))
    assert handler.dropped
    os.read(read_descriptor, 1_000_000)
    handler.handle(make_record('after', logging.ERROR))
    assert not handler.dropped
