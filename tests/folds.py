"""Configurations for tests and measurements."""

from primroseyoke.configuration import (
    ConfigurationRecord,
    ConfigurationStateMachine,
)


def configuration_of(parts):
    """Return the configuration that one record with ``parts`` makes."""
    record = ConfigurationRecord(
        offset=0,
        appended_at=0,
        change='c',
        author='a',
        reason='r',
        parts=parts,
        against={},
    )
    fold = ConfigurationStateMachine()
    fold.apply(record)
    return fold.current
