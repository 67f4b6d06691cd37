"""Decodes upstream entries and configurations of the platform's store."""

import logging
import math
import re
from collections.abc import Callable, Iterable
from types import MappingProxyType
from typing import Annotated, Any

import msgspec

from ..exceptions import ConfigurationFieldInvalid, ConfigurationInvalid
from ..gateway.configuration import (
    Autoscale,
    CallerLimits,
    Client,
    Configuration,
    Engine,
    Execution,
    Route,
    Service,
    Target,
)
from ..gateway.upstreams import Upstream
from ..settings import Address

__all__ = (
    'ENTRY_TYPES',
    'decode_configuration',
    'decode_upstream',
    'convert_field_error',
)

log = logging.getLogger(__name__)

_MS_PER_SECOND = 1000
_BYTES_PER_MB = 1e6
_BYTES_PER_MBIT = 1e6 / 8

# Values beyond these are errors: a day of warm-up, and the largest integer that
# all JSON libraries keep.
_MAX_COLD_MS = 86_400_000
_MAX_TIME_MS = 2**53

# How msgspec writes the reason and the path of an invalid field.
_FIELD_ERROR = re.compile(r'(?s)(.*) - at `\$\.?(.*)`')

_NonNegativeInt = Annotated[int, msgspec.Meta(ge=0)]
_NonNegativeFloat = Annotated[float, msgspec.Meta(ge=0)]


class _CamelCaseStruct(msgspec.Struct, rename='camel'):
    """Fields are in camel case on the wire."""


class _UpstreamEntry(_CamelCaseStruct):
    """Entry that an upstream writes to register itself."""

    service: Annotated[str, msgspec.Meta(min_length=1)]
    address: str
    zone: str
    state: str
    # Remaining warm-up time in milliseconds.
    cold_left_ms: Annotated[float, msgspec.Meta(ge=0, le=_MAX_COLD_MS)] = 0
    # Start time of the process in Unix milliseconds.
    born: Annotated[int, msgspec.Meta(ge=0, le=_MAX_TIME_MS)] = 0


class _WeightedTarget(msgspec.Struct):
    service: str
    weight: _NonNegativeFloat


class _Route(_CamelCaseStruct):
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: _NonNegativeFloat
    aim_ms: _NonNegativeFloat = 0
    gap_aim_ms: _NonNegativeFloat = 0
    attempts: _NonNegativeInt = 1
    priority: _NonNegativeInt = 5
    service: str = ''
    split: tuple[_WeightedTarget, ...] = ()
    public: bool = False
    resumable: bool = False
    allowed_regions: tuple[str, ...] = ()


class _TypicalRequest(msgspec.Struct):
    # Mean number of prompt tokens.
    prompt: _NonNegativeFloat = 0


class _Engine(msgspec.Struct):
    slots: _NonNegativeInt
    # Capacity of the key-value cache of an upstream, in tokens.
    kv_capacity: _NonNegativeInt = msgspec.field(name='kvCapacity')
    step_ms: _NonNegativeFloat
    per_seq_ms: _NonNegativeFloat
    # Prefill rate in prompt tokens per second.
    read_per_s: _NonNegativeFloat
    usual: _TypicalRequest = msgspec.field(default_factory=_TypicalRequest)
    # Maximum age of a status report.
    report_lag_ms: _NonNegativeFloat = 250
    stride: _NonNegativeInt = 1
    link_mbps: _NonNegativeFloat = msgspec.field(name='linkMbps', default=0)
    # Number of layer sets; the experts of a set are placed together.
    layer_sets: _NonNegativeInt = msgspec.field(name='layerSets', default=0)
    experts: _NonNegativeInt = 0
    # Maximum number of experts that a rank holds in a layer.
    locations: _NonNegativeInt = 0
    # Maximum number of those that one placement change may replace.
    spares: _NonNegativeInt = 0
    expert_mb: _NonNegativeFloat = msgspec.field(name='expertMb', default=0)
    # Share of the time per token that is spent in experts.
    expert_ratio: _NonNegativeFloat = msgspec.field(
        name='expertRatio', default=0
    )


class _Autoscale(_CamelCaseStruct):
    # Bounds of the number of upstreams in each availability zone.
    min: _NonNegativeInt
    max: _NonNegativeInt
    # Seconds until a new upstream serves.
    boot_s: _NonNegativeFloat = 0


class _Service(_CamelCaseStruct):
    name: str
    max_conns: _NonNegativeInt = 0
    # Maximum requests per second to an upstream that is warming up.
    cold_per_s: _NonNegativeFloat = 0
    engine: _Engine | None = None
    # Decoded on its own: requests are served also if it is invalid.
    autoscale: msgspec.Raw = msgspec.Raw(b'null')


class _Client(_CamelCaseStruct):
    name: str
    api_keys: tuple[str, ...]
    priority: _NonNegativeInt | None = None
    allowed_regions: tuple[str, ...] = ()


class _Limits(_CamelCaseStruct):
    max_header_bytes: _NonNegativeInt = 16384
    max_body_bytes: _NonNegativeInt = 4194304
    header_timeout_ms: _NonNegativeFloat = 3000
    idle_timeout_ms: _NonNegativeFloat = 15000


class _Configuration(msgspec.Struct):
    version: int
    routes: tuple[_Route, ...]
    services: tuple[_Service, ...]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: tuple[_Client, ...] = ()


# Types of the entries, by the name of the list that has them.
ENTRY_TYPES = MappingProxyType(
    {'routes': _Route, 'services': _Service, 'tenants': _Client}
)

_upstream_entry_decoder = msgspec.json.Decoder(_UpstreamEntry)
_configuration_decoder = msgspec.json.Decoder(_Configuration)
_autoscale_decoder = msgspec.json.Decoder(_Autoscale | None)


def decode_upstream(name: str, content: bytes, now: float) -> Upstream:
    """Decode the entry of an upstream.

    Args:
        name: key of the entry, which is the name of the upstream.
        content: the entry as JSON.
        now: monotonic time at which the entry was read, in seconds.

    Raises:
        ConfigurationInvalid: the entry is malformed or has invalid values.
    """
    try:
        entry = _upstream_entry_decoder.decode(content)
        address = Address.parse(entry.address)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise ConfigurationInvalid(
            f'invalid upstream entry {name!r}: {error}',
        ) from error
    is_named = bool(name and address.port)
    if entry.state not in {'ready', 'draining'} or not is_named:
        raise ConfigurationInvalid(
            f'invalid upstream entry {name!r}: state {entry.state!r}, port '
            f"{address.port}; expected state 'ready' or 'draining', a port "
            'above 0 and a non-empty name',
        )
    return Upstream(
        name=name,
        service=entry.service,
        host=address.host,
        port=address.port,
        availability_zone=entry.zone,
        draining=entry.state == 'draining',
        cold_until=now + entry.cold_left_ms / _MS_PER_SECOND,
        started_at=entry.born,
    )


def decode_configuration(
    content: bytes,
    report_autoscale: Callable[[str, str], None] | None = None,
) -> Configuration:
    """Decode a configuration that operators published.

    Args:
        content: the configuration as JSON.
        report_autoscale: called with the name of each service whose scaling
            bounds are invalid, and the reason; by default, they are logged.

    Raises:
        ConfigurationFieldInvalid: a field has an invalid value.
        ConfigurationInvalid: it is malformed.
    """
    report = report_autoscale or _log_invalid_autoscale
    try:
        configuration = _configuration_decoder.decode(content)
        return Configuration(
            version=configuration.version,
            routes=tuple(_to_route(route) for route in configuration.routes),
            services={
                service.name: _to_service(service, report)
                for service in configuration.services
            },
            clients=tuple(_to_clients(configuration.tenants)),
            limits=_to_limits(configuration.limits),
        )
    except msgspec.ValidationError as error:
        raise convert_field_error(error) from error
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise ConfigurationInvalid(f'invalid configuration: {error}') from error


def convert_field_error(
    error: msgspec.ValidationError, parent: str = ''
) -> ConfigurationFieldInvalid:
    """Return the error of a field.

    Args:
        error: what the decoder raised.
        parent: path of the decoded object in the configuration.
    """
    match = _FIELD_ERROR.fullmatch(str(error))
    reason, path = match.groups() if match else (str(error), '')
    return ConfigurationFieldInvalid(
        '.'.join(part for part in (parent, path) if part), reason
    )


def _to_route(route: _Route) -> Route:
    targets = [Target(split.service, split.weight) for split in route.split]
    if route.service:
        targets = [Target(route.service, 1)]
    return Route(
        name=route.name,
        host=route.host,
        prefix=route.path_prefix,
        execution=_to_execution(route.kind),
        targets=tuple(targets),
        timeout=route.timeout_ms / _MS_PER_SECOND,
        objective=(route.aim_ms or route.timeout_ms) / _MS_PER_SECOND,
        gap_objective=(route.gap_aim_ms or math.inf) / _MS_PER_SECOND,
        attempts=max(route.attempts, 1),
        priority=route.priority,
        public=route.public,
        resumable=route.resumable,
        regions=_to_regions(route.allowed_regions),
    )


def _to_execution(kind: str) -> Execution:
    if kind == 'idempotent':
        return Execution.IDEMPOTENT
    if kind == 'streaming':
        return Execution.STREAM
    # Requests of an unknown kind must not be repeated, as they may not be
    # idempotent.
    return Execution.NON_IDEMPOTENT


def _to_service(
    service: _Service, report: Callable[[str, str], None]
) -> Service:
    return Service(
        name=service.name,
        max_connections=service.max_conns,
        cold_rate=service.cold_per_s,
        engine=_to_engine(service.engine) if service.engine else None,
        autoscale=_to_autoscale(service, report),
    )


def _to_autoscale(
    service: _Service, report: Callable[[str, str], None]
) -> Autoscale | None:
    """Return the bounds of orders; None if there are none or they are invalid.

    Invalid bounds are reported. They do not make the configuration invalid,
    since hosts route without them.
    """
    try:
        bounds = _autoscale_decoder.decode(service.autoscale)
    except (msgspec.MsgspecError, RecursionError) as error:
        report(service.name, str(error))
        return None
    if bounds is None:
        return None
    if bounds.min > bounds.max:
        report(service.name, 'min exceeds max')
        return None
    return Autoscale(bounds.min, bounds.max, bounds.boot_s)


def _log_invalid_autoscale(service: str, reason: str) -> None:
    log.warning(
        'autoscale of a service invalid; no upstreams are ordered for it',
        extra={'service': service, 'reason': reason},
    )


def _to_engine(engine: _Engine) -> Engine:
    rate = engine.link_mbps * _BYTES_PER_MBIT
    return Engine(
        slots=engine.slots,
        memory_tokens=engine.kv_capacity,
        step_time=engine.step_ms / _MS_PER_SECOND,
        sequence_time=engine.per_seq_ms / _MS_PER_SECOND,
        report_age=engine.report_lag_ms / _MS_PER_SECOND,
        steps_per_pass=max(engine.stride, 1),
        prompt_time=engine.usual.prompt / max(engine.read_per_s, 1),
        layers=engine.layer_sets,
        experts=engine.experts,
        placement_slots=engine.locations,
        spare_slots=engine.spares,
        expert_share=engine.expert_ratio,
        expert_load_time=engine.expert_mb * _BYTES_PER_MB / rate if rate else 0,
    )


def _to_clients(tenants: Iterable[_Client]) -> Iterable[Client]:
    for tenant in tenants:
        yield Client(
            name=tenant.name,
            keys=frozenset(tenant.api_keys),
            priority=tenant.priority,
            regions=_to_regions(tenant.allowed_regions),
        )


def _to_regions(names: tuple[str, ...]) -> frozenset[str] | None:
    """Return the regions that an entry names; None for no restriction."""
    return frozenset(names) if names else None


def _to_limits(limits: Any) -> CallerLimits:
    return CallerLimits(
        header_bytes=limits.max_header_bytes,
        body_bytes=limits.max_body_bytes,
        header_timeout=limits.header_timeout_ms / _MS_PER_SECOND,
        idle_timeout=limits.idle_timeout_ms / _MS_PER_SECOND,
    )
