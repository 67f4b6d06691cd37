"""Reader of the settings file that the platform writes for each process."""

import os
import types
from typing import Annotated, Any

import msgspec
import yaml

from ..exceptions import SettingsInvalid
from ..gateway.settings import (
    DEFAULT_MEMORY_BYTES,
    DutyKind,
    DutySettings,
    GatewaySettings,
    StoreSettings,
)
from ..leases import MAX_DURATION_SECONDS
from ..settings import Address

__all__ = ('load_platform_settings', 'settings_path')

_PATH_VARIABLE = 'PRIMROSEYOKE_CONFIG'
_MS_PER_SECOND = 1000
_BYTES_PER_MB = 2**20
_DEFAULT_PATH = '/etc/primroseyoke/settings.yaml'

_NonNegativeFloat = Annotated[float, msgspec.Meta(ge=0)]
_Port = Annotated[int, msgspec.Meta(ge=1, le=65535)]


class _Listen(msgspec.Struct):
    front: str
    ready: str


class _Bounds(msgspec.Struct, rename='camel'):
    grace_s: _NonNegativeFloat = 8
    budget_ratio: _NonNegativeFloat = 0.2
    budget_window_s: _NonNegativeFloat = 10
    budget_slack: _NonNegativeFloat = 0
    # Bounds for using an upstream that announced that it is draining, and for
    # applying a configuration.
    drain_ms: _NonNegativeFloat = 2000
    config_ms: _NonNegativeFloat = 2000

    # Duties of one host at a time. A lease without a duration is invalid.
    lease_ms: Annotated[float, msgspec.Meta(gt=0)] = 3000
    thaw_ms: _NonNegativeFloat = 300
    report_window_s: Annotated[float, msgspec.Meta(gt=0)] = 5
    usage_late_s: _NonNegativeFloat = 10
    usage_off: _NonNegativeFloat = 0.05


class _Limits(msgspec.Struct, rename='camel'):
    # Megabytes; 0 states no limit.
    memory_mb: _NonNegativeFloat = 0


class _Scheduling(msgspec.Struct):
    cost_aware: bool = False


class _Provider(msgspec.Struct):
    address: str


# Duties by their names on the platform.
_DUTIES = types.MappingProxyType(
    {'metering': DutyKind.USAGE, 'autoscale': DutyKind.SCALING}
)
# Used if the platform states no rate: one call for each window and a few orders.
_DEFAULT_DUTY_PER_SECOND = 2.0


class _Cloud(msgspec.Struct, rename='camel'):
    address: str = ''
    duties: tuple[str, ...] = ()
    # Calls per second of all hosts together; 0 states no rate.
    duty_per_s: _NonNegativeFloat = 0


# Interval in milliseconds at which upstreams write their entries, and number of
# missed ones after which the store removes an entry.
_DEFAULT_HEARTBEAT_MS = 1200
_MISSED_HEARTBEATS_COUNT = 3
# Covers the time in which a removal becomes known to all hosts.
_REMOVAL_MARGIN_SECONDS = 3


class _PlatformSettings(msgspec.Struct, rename='camel'):
    node: Annotated[str, msgspec.Meta(min_length=1)]
    ip: str
    zone: str
    listen: _Listen
    provider: _Provider
    zones: dict[str, str] = {}
    internal_ports: tuple[_Port, ...] = ()
    seeds: tuple[str, ...] = ()
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    limits: _Limits = msgspec.field(default_factory=_Limits)
    cloud: _Cloud | None = None
    scheduling: _Scheduling = msgspec.field(default_factory=_Scheduling)
    heartbeat_ms: _NonNegativeFloat = _DEFAULT_HEARTBEAT_MS


def settings_path() -> str:
    """Return the path of the platform's settings file."""
    return os.environ.get(_PATH_VARIABLE, _DEFAULT_PATH)


def load_platform_settings(path: str) -> GatewaySettings:
    """Load the settings of a gateway from a YAML file.

    Raises:
        SettingsInvalid: the file cannot be read or is invalid; the message has
            the file and, for an invalid value, its key and what is accepted.
    """
    try:
        with open(path, encoding='utf-8') as stream:
            document = yaml.load(stream, Loader=_yaml_loader())
    except (OSError, UnicodeDecodeError, yaml.YAMLError) as error:
        reason = ' '.join(str(error).split())
        raise SettingsInvalid(f'{path}: unreadable: {reason}') from error
    try:
        settings = msgspec.convert(document, _PlatformSettings, strict=False)
    except msgspec.ValidationError as error:
        raise SettingsInvalid(f'{path}: {error}') from error
    return _to_gateway_settings(path, settings)


def _to_gateway_settings(
    path: str, settings: _PlatformSettings
) -> GatewaySettings:
    bounds = settings.bounds
    return GatewaySettings(
        host=settings.node,
        availability_zone=settings.zone,
        address=settings.ip,
        callers=_parse_address(path, 'listen.front', settings.listen.front),
        readiness=_parse_address(path, 'listen.ready', settings.listen.ready),
        metrics=_metrics_address(settings),
        peer_ports=settings.internal_ports,
        seeds=tuple(
            _parse_address(path, 'seeds', seed).host for seed in settings.seeds
        ),
        region_of=dict(settings.zones),
        store=StoreSettings(
            address=_parse_address(
                path, 'provider.address', settings.provider.address
            ),
        ),
        grace=bounds.grace_s,
        repeat_ratio=bounds.budget_ratio,
        repeat_slack=bounds.budget_slack,
        repeat_window=bounds.budget_window_s,
        max_update_delay=min(bounds.drain_ms, bounds.config_ms)
        / _MS_PER_SECOND,
        upstream_expiry=_MISSED_HEARTBEATS_COUNT
        * settings.heartbeat_ms
        / _MS_PER_SECOND
        + _REMOVAL_MARGIN_SECONDS,
        memory_bytes=int(settings.limits.memory_mb * _BYTES_PER_MB)
        or DEFAULT_MEMORY_BYTES,
        duties=_duty_settings(path, settings),
        unknown_duties=_unknown_duties(settings),
        cost_aware=settings.scheduling.cost_aware,
    )


def _duty_settings(
    path: str, settings: _PlatformSettings
) -> DutySettings | None:
    """Return the duties that are known, None if there is none."""
    cloud = settings.cloud or _Cloud()
    kinds = frozenset(_DUTIES[name] for name in cloud.duties if name in _DUTIES)
    if not kinds:
        return None
    bounds = settings.bounds
    return DutySettings(
        api=_parse_address(path, 'cloud.address', cloud.address),
        kinds=kinds,
        calls_per_second=cloud.duty_per_s or _DEFAULT_DUTY_PER_SECOND,
        lease_duration=min(
            bounds.lease_ms / _MS_PER_SECOND, MAX_DURATION_SECONDS
        ),
        resume_bound=bounds.thaw_ms / _MS_PER_SECOND,
        report_window=bounds.report_window_s,
        report_delay=bounds.usage_late_s,
        report_tolerance=bounds.usage_off,
    )


def _unknown_duties(settings: _PlatformSettings) -> tuple[str, ...]:
    cloud = settings.cloud or _Cloud()
    return tuple(name for name in cloud.duties if name not in _DUTIES)


def _metrics_address(settings: _PlatformSettings) -> Address | None:
    # These are the lowest and highest port for traffic between hosts; the
    # deployment file assigns the second port of the range to metrics.
    if len(settings.internal_ports) < 2:
        return None
    return Address(settings.ip, settings.internal_ports[0] + 1)


def _parse_address(path: str, key: str, text: str) -> Address:
    try:
        return Address.parse(text)
    except ValueError as error:
        raise SettingsInvalid(
            f'{path}: {key}: found {text!r}: expected ip:port',
        ) from error


def _yaml_loader() -> Any:
    # The C loader is faster and needs less memory, but some builds of PyYAML
    # lack it.
    return getattr(yaml, 'CSafeLoader', yaml.SafeLoader)
