"""Reader of the settings file that the platform writes for each process."""

import os
from typing import Annotated, Any

import msgspec
import yaml

from ..exceptions import SettingsInvalid
from ..gateway.settings import (
    DEFAULT_MEMORY_BYTES,
    GatewaySettings,
    StoreSettings,
)
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


class _Limits(msgspec.Struct, rename='camel'):
    # Megabytes; 0 states no limit.
    memory_mb: _NonNegativeFloat = 0


class _Scheduling(msgspec.Struct):
    cost_aware: bool = True


class _Provider(msgspec.Struct):
    address: str


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
        cost_aware=settings.scheduling.cost_aware,
    )


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
