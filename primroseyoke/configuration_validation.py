"""Validation of a whole configuration and of changes to it."""

import dataclasses
import math
from collections.abc import Collection, Mapping
from typing import Any

from .configuration_parts import (
    Defaults,
    Exemption,
    Homes,
    Upstream,
    Zone,
    apply_overrides,
    check_dependent_limits,
    overrides_by_target,
)
from .exceptions import ConfigurationInvalid

__all__ = (
    'Change',
    'check_change',
    'check_parts',
)

# At least the sum of MAX_CLOCK_SKEW_SECONDS, MAX_CALLER_CLOCK_LEAD_SECONDS and
# MAX_DELIVERY_DELAY_SECONDS of ``idempotency_keys``, which cannot be imported
# here since it imports the configuration.
KEY_SETTLE_MARGIN_SECONDS = 15.0
# Limits how far in the future homes may change. A mistake such as milliseconds
# for seconds would otherwise prevent later changes of these homes forever.
_MAX_SINCE_DELAY_SECONDS = 604800.0


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """Context of a change, as needed for its validation.

    ``before`` are the parts in effect, ``changed`` the names of the parts that
    change; ``appended_at`` is the log's time.
    """

    appended_at: float
    before: Mapping[str, Any]
    changed: Collection[str]

    @property
    def defaults(self) -> Defaults:
        """Return the defaults before the change."""
        defaults: Defaults = self.before.get('defaults', Defaults())
        return defaults


def check_parts(parts: Mapping[str, Any]) -> None:
    """Check references and all other rules that concern one state only.

    Raises:
        ConfigurationInvalid: the message names the part.
    """
    agents: dict[str, str] = {}
    for name, part in parts.items():
        if isinstance(part, Upstream):
            _check_upstream(name, part, parts, agents)
        elif isinstance(part, Homes):
            _check_members(name, part, parts)
    _check_exceptions(parts)
    _check_zones(parts)


def check_change(parts: Mapping[str, Any], change: Change) -> None:
    """Check the rules that depend on the parts before the change.

    Raises:
        ConfigurationInvalid: the message names the part.
    """
    for homes_name, part in change.before.items():
        if isinstance(part, Homes):
            _check_immutable_fields(homes_name, parts, change)
    for name in sorted(change.changed):
        homes = parts.get(name)
        if isinstance(homes, Homes):
            _check_homes_change(name, homes, change)
    moved_upstreams = {
        upstream.removeprefix('upstream/')
        for upstream in change.changed
        if _is_agent_changed(change.before.get(upstream), parts.get(upstream))
    }
    if moved_upstreams:
        _check_homes_keep_agents(moved_upstreams, parts, change)


def _check_upstream(
    name: str,
    upstream: Upstream,
    parts: Mapping[str, Any],
    agents: dict[str, str],
) -> None:
    if f'service/{upstream.service}' not in parts:
        service = upstream.service
        raise ConfigurationInvalid(f'{name}: unknown service {service}')
    other = agents.setdefault(upstream.agent, name)
    if other != name:
        raise ConfigurationInvalid(
            f'{name}: {other} has the same agent {upstream.agent}'
        )


def _check_members(name: str, homes: Homes, parts: Mapping[str, Any]) -> None:
    service = name.removeprefix('homes/')
    if f'service/{service}' not in parts:
        raise ConfigurationInvalid(f'{name}: unknown service {service}')
    if len(set(homes.members)) < len(homes.members):
        raise ConfigurationInvalid(f'{name}: a member is listed twice')
    for member in homes.members:
        upstream = parts.get(f'upstream/{member}')
        if upstream is None or upstream.service != service:
            raise ConfigurationInvalid(
                f'{name}: {member} is no upstream of this service',
            )


def _check_exceptions(parts: Mapping[str, Any]) -> None:
    overrides = overrides_by_target(parts)
    defaults = parts.get('defaults', Defaults())
    for name, part in parts.items():
        if isinstance(part, Exemption):
            targets = _inherited_targets(name, part.target, parts)
            check_dependent_limits(
                name, apply_overrides(defaults, overrides, *targets)
            )


def _inherited_targets(
    name: str, target: str, parts: Mapping[str, Any]
) -> list[str]:
    """Return a target, preceded by the targets whose overrides it inherits."""
    if target.startswith('client/'):
        return [target]
    part = parts.get(target)
    if part is None:
        raise ConfigurationInvalid(f'{name}: unknown target {target}')
    if isinstance(part, Upstream):
        return [f'service/{part.service}', target]
    return [target]


def _check_zones(parts: Mapping[str, Any]) -> None:
    zones = {
        part.availability_zone
        for part in parts.values()
        if isinstance(part, Upstream)
    }
    states = [parts.get(f'zone/{zone}', Zone()).state for zone in zones]
    if states and 'in' not in states:
        raise ConfigurationInvalid('no availability zone would stay in')


def _check_immutable_fields(
    name: str, parts: Mapping[str, Any], change: Change
) -> None:
    """Check that values needed for at-most-once execution are unchanged.

    Hosts that have not received a change use the old values for up to
    ``freshness``, and callers resend for the ``key_lifetime`` known to them.
    """
    if name not in parts:
        raise ConfigurationInvalid(f'{name}: homes cannot be removed')
    defaults = parts.get('defaults', Defaults())
    for field in ('key_lifetime', 'freshness'):
        if getattr(defaults, field) != getattr(change.defaults, field):
            raise ConfigurationInvalid(f'defaults: {field} is fixed by {name}')


def _settled_at(homes: Homes, change: Change) -> float:
    """Return when keys of the previous homes are no longer accepted."""
    return (
        homes.since + change.defaults.key_lifetime + KEY_SETTLE_MARGIN_SECONDS
    )


def _check_homes_change(name: str, homes: Homes, change: Change) -> None:
    current = change.before.get(name)
    if current is None:
        return
    if homes.previous != current.members:
        raise ConfigurationInvalid(
            f'{name}: previous must equal the current members'
        )
    if change.appended_at < _settled_at(current, change):
        raise ConfigurationInvalid(
            f'{name}: keys from before the last change may still be in use'
        )
    earliest = change.appended_at + _settle_seconds(homes, current, change)
    if not earliest <= homes.since <= earliest + _MAX_SINCE_DELAY_SECONDS:
        raise ConfigurationInvalid(
            f'{name}: since must be at least {math.ceil(earliest)}'
            ' and at most 7 days later',
        )


def _settle_seconds(homes: Homes, current: Homes, change: Change) -> float:
    """Return how long processes may still use the current homes.

    Stopped upstreams accept no keys, but may have executed keys created before
    the stop; these keys must remain assigned to them.
    """
    removed = set(current.members) - set(homes.members)
    added = set(homes.members) - set(current.members)
    if not added and removed == set(homes.stopped) and homes.reason:
        return KEY_SETTLE_MARGIN_SECONDS
    return change.defaults.settle


def _is_agent_changed(before: Any, after: Any) -> bool:
    if not isinstance(before, Upstream):
        return False
    return after is None or before.agent != after.agent


def _check_homes_keep_agents(
    moved_upstreams: set[str],
    parts: Mapping[str, Any],
    change: Change,
) -> None:
    """Check that the agent addresses of home upstreams do not change.

    Otherwise the agents at the old and the new address could both execute a
    key.
    """
    for name, homes in parts.items():
        if not isinstance(homes, Homes):
            continue
        fixed_upstreams = set(homes.members)
        if change.appended_at < _settled_at(homes, change):
            fixed_upstreams.update(set(homes.previous) - set(homes.stopped))
        if fixed_upstreams & moved_upstreams:
            upstreams = ', '.join(sorted(fixed_upstreams & moved_upstreams))
            raise ConfigurationInvalid(
                f'{name}: a home must keep its agent: {upstreams}',
            )
