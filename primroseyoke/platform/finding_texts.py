"""Findings of a configuration in the terms of the platform's operators."""

import dataclasses
import functools

from ..exceptions import ConfigurationFieldInvalid
from ..gateway.configuration_findings import (
    ExcessAttempts,
    InvalidAutoscale,
    RepeatedService,
    RouteWithoutWeight,
    ShadowedRoute,
    SharedKeys,
    TimeoutBelowObjective,
    UnknownService,
    UnusedService,
)
from .difference_texts import format_number

__all__ = ('FindingText', 'describe_finding')

_MS_PER_SECOND = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class FindingText:
    """A finding as printed; ``path`` is that of the field in the file.

    ``kind`` is a constant of the output that programs can rely on.
    """

    kind: str
    path: str
    reason: str


@functools.singledispatch
def describe_finding(finding: object) -> FindingText:
    """Return the text of a finding or of an invalid field."""
    raise TypeError(f'not a finding: {type(finding).__name__}')


@describe_finding.register
def _describe_error(finding: ConfigurationFieldInvalid) -> FindingText:
    return FindingText('invalid_field', finding.path, finding.reason)


@describe_finding.register
def _describe_shadowed(finding: ShadowedRoute) -> FindingText:
    return FindingText(
        'route_never_matches',
        f'routes[{finding.index}]',
        f'route {finding.name!r} never matches: routes[{finding.earlier}] has '
        'the same host and pathPrefix',
    )


@describe_finding.register
def _describe_shared(finding: SharedKeys) -> FindingText:
    others = ', '.join(f'tenants[{index}]' for index in finding.indices[:-1])
    names = ', '.join(repr(name) for name in finding.names)
    last = finding.indices[-1]
    return FindingText(
        'api_key_shared',
        f'tenants[{last}].apiKeys',
        f'{finding.count} API key(s) also in {others}; of {names}, the last '
        'one gets the requests with them',
    )


@describe_finding.register
def _describe_unused(finding: UnusedService) -> FindingText:
    return FindingText(
        'service_unused',
        f'services[{finding.service!r}]',
        'no route refers to this service',
    )


@describe_finding.register
def _describe_unknown(finding: UnknownService) -> FindingText:
    return FindingText(
        'service_unknown',
        f'routes[{finding.index}]',
        f'route {finding.name!r} refers to service {finding.service!r}, which '
        'is not in services',
    )


@describe_finding.register
def _describe_timeout(finding: TimeoutBelowObjective) -> FindingText:
    timeout = format_number(finding.timeout * _MS_PER_SECOND)
    objective = format_number(finding.objective * _MS_PER_SECOND)
    return FindingText(
        'timeout_below_aim',
        f'routes[{finding.index}].timeoutMs',
        f'route {finding.name!r}: timeoutMs {timeout} is below aimMs '
        f'{objective}',
    )


@describe_finding.register
def _describe_attempts(finding: ExcessAttempts) -> FindingText:
    return FindingText(
        'attempts_without_repetition',
        f'routes[{finding.index}].attempts',
        f'route {finding.name!r}: attempts is {finding.attempts}, but its kind '
        'does not allow a request to be repeated',
    )


@describe_finding.register
def _describe_weights(finding: RouteWithoutWeight) -> FindingText:
    reason = 'the weights of its split sum to 0'
    if not finding.target_count:
        reason = 'it has neither a service nor a split'
    return FindingText(
        'split_without_weight',
        f'routes[{finding.index}].split',
        f'route {finding.name!r}: {reason}',
    )


@describe_finding.register
def _describe_repeated(finding: RepeatedService) -> FindingText:
    return FindingText(
        'service_repeated',
        f'services[{finding.service!r}]',
        f'listed {finding.count} times; only the last entry applies',
    )


@describe_finding.register
def _describe_autoscale(finding: InvalidAutoscale) -> FindingText:
    return FindingText(
        'autoscale_invalid',
        f'services[{finding.service!r}].autoscale',
        f'{finding.reason}; no upstreams are ordered for this service',
    )
