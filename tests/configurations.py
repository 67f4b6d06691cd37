"""Configurations for tests and benchmarks."""

from primroseyoke.configuration import (
    ConfigurationRecord,
    ConfigurationStateMachine,
)


def build_configuration(parts):
    """Return the configuration after one record with ``parts``."""
    record = ConfigurationRecord(
        offset=0,
        appended_at=0,
        change='c',
        author='a',
        reason='r',
        parts=parts,
        against={},
    )
    state_machine = ConfigurationStateMachine()
    state_machine.apply(record)
    return state_machine.current
