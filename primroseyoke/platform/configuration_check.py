"""Command ``primroseyoke-gateway check``: checks a configuration file."""

import dataclasses
import pathlib
import sys
from collections.abc import Sequence

import msgspec

from ..exceptions import ConfigurationFieldInvalid, ConfigurationInvalid
from ..gateway.configuration import Configuration
from ..gateway.configuration_difference import compare_configurations
from ..gateway.configuration_findings import (
    InvalidAutoscale,
    RepeatedService,
    Finding,
    find_contradictions,
)
from .difference_texts import DifferenceText, describe_difference
from .entries import decode_configuration
from .entry_errors import count_services, find_invalid_fields
from .finding_texts import FindingText, describe_finding

__all__ = ('CheckResult', 'check_content', 'run_check')

_EXIT_FINDINGS = 1
_EXIT_UNREADABLE = 2


@dataclasses.dataclass(frozen=True, slots=True)
class CheckResult:
    """Result of a check; contains no API keys.

    ``differences`` is None if there is no other file, or if the configuration
    is invalid and can't be compared.
    """

    findings: tuple[FindingText, ...]
    differences: tuple[DifferenceText, ...] | None = None

    @property
    def exit_status(self) -> int:
        """Return 0, or 1 if there are findings. Differences are none."""
        return _EXIT_FINDINGS if self.findings else 0


def run_check(path: str, against: str, *, as_json: bool) -> int:
    """Check a file, print the result and return the exit status.

    Args:
        path: the file with the configuration.
        against: file with the configuration to compare with, '' for none.
        as_json: print one JSON object instead of lines of text.
    """
    current = path
    try:
        content = pathlib.Path(path).read_bytes()
        result = check_content(content)
        if against:
            current = against
            result = _compare(content, pathlib.Path(against), result)
    except (ConfigurationInvalid, OSError, ValueError) as error:
        reason = getattr(error, 'strerror', None) or error
        sys.stderr.write(f'primroseyoke-gateway: {current!r}: {reason}\n')
        return _EXIT_UNREADABLE
    lines = _to_json(result) if as_json else '\n'.join(_to_lines(result))
    # Names may contain characters that the encoding of the terminal lacks.
    sys.stdout.buffer.write(f'{lines}\n'.encode())
    return result.exit_status


def check_content(content: bytes) -> CheckResult:
    """Check a configuration as published.

    Raises:
        ConfigurationInvalid: it is no well-formed JSON.
    """
    findings: Sequence[Finding | ConfigurationFieldInvalid]
    try:
        findings = _find_all(content)
    except ConfigurationFieldInvalid:
        findings = find_invalid_fields(content)
    return CheckResult(tuple(describe_finding(found) for found in findings))


def _find_all(content: bytes) -> Sequence[Finding]:
    ignored: list[Finding] = []
    configuration = decode_configuration(
        content,
        lambda service, reason: ignored.append(
            InvalidAutoscale(service, reason)
        ),
    )
    ignored.extend(
        RepeatedService(service, count)
        for service, count in count_services(content).items()
        if count > 1
    )
    return (*find_contradictions(configuration), *ignored)


def _compare(
    content: bytes, against: pathlib.Path, result: CheckResult
) -> CheckResult:
    before = _decode_quietly(against.read_bytes())
    try:
        after = _decode_quietly(content)
    except ConfigurationFieldInvalid:
        return result
    return dataclasses.replace(
        result,
        differences=tuple(
            describe_difference(difference)
            for difference in compare_configurations(before, after)
        ),
    )


def _decode_quietly(content: bytes) -> Configuration:
    """Decode a configuration; invalid scaling bounds are not reported."""
    return decode_configuration(content, lambda service, reason: None)


def _to_lines(result: CheckResult) -> Sequence[str]:
    lines = [
        ' '.join((finding.kind, finding.path or '(top level)', finding.reason))
        for finding in result.findings
    ]
    lines.append(f'{len(result.findings)} finding(s)')
    if result.differences is not None:
        lines.extend(
            f'{difference.kind} {difference.path} {difference.detail}'.rstrip()
            for difference in result.differences
        )
        lines.append(f'{len(result.differences)} difference(s)')
    return lines


def _to_json(result: CheckResult) -> str:
    return msgspec.json.encode(result).decode()
