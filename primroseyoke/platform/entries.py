"""Entries of the platform's store, decoded into the product's types."""

import math
from collections.abc import Iterable
from typing import Annotated, Any

import msgspec

from ..exceptions import ConfigurationInvalid
from ..gateway.catalogue import (
    CallerLimits,
    Catalogue,
    Client,
    Engine,
    Execution,
    Route,
    Service,
    Target,
)
from ..gateway.upstreams import Upstream

__all__ = ('decode_catalogue', 'decode_upstream')

_MS = 1000
_MB = 1e6
_MBIT = 1e6 / 8

_Whole = Annotated[int, msgspec.Meta(ge=0)]
_Amount = Annotated[float, msgspec.Meta(ge=0)]


class _Wire(msgspec.Struct, rename='camel'):
    """Names on the wire are in camel case."""


class _Entry(_Wire):
    """What an upstream writes about itself."""

    service: Annotated[str, msgspec.Meta(min_length=1)]
    address: str
    zone: str
    state: str
    # Milliseconds.
    cold_left_ms: _Amount = 0
    # Unix milliseconds of this start.
    born: _Whole = 0


class _Split(msgspec.Struct):
    service: str
    weight: _Amount


class _Route(_Wire):
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: _Amount
    aim_ms: _Amount = 0
    gap_aim_ms: _Amount = 0
    attempts: _Whole = 1
    priority: _Whole = 5
    service: str = ''
    split: tuple[_Split, ...] = ()
    public: bool = False
    resumable: bool = False
    allowed_regions: tuple[str, ...] = ()


class _Usual(msgspec.Struct):
    # Mean number of prompt tokens.
    prompt: _Amount = 0


class _Engine(msgspec.Struct):
    slots: _Whole
    # Tokens that the memory of an upstream holds.
    kv_capacity: _Whole = msgspec.field(name='kvCapacity')
    step_ms: _Amount
    per_seq_ms: _Amount
    # Prompt tokens per second.
    read_per_s: _Amount
    usual: _Usual = msgspec.field(default_factory=_Usual)
    # How old a report is at most.
    report_lag_ms: _Amount = 250
    stride: _Whole = 1
    link_mbps: _Amount = msgspec.field(name='linkMbps', default=0)
    # Layers whose experts are placed together.
    layer_sets: _Whole = msgspec.field(name='layerSets', default=0)
    experts: _Whole = 0
    # Experts that a rank can hold in a layer.
    locations: _Whole = 0
    # How many of them may be new in one change.
    spares: _Whole = 0
    expert_mb: _Amount = msgspec.field(name='expertMb', default=0)
    # Share of the time for a token that is spent in experts.
    expert_ratio: _Amount = msgspec.field(name='expertRatio', default=0)


class _Service(_Wire):
    name: str
    max_conns: _Whole = 0
    # Requests per second that a cold upstream bears.
    cold_per_s: _Amount = 0
    engine: _Engine | None = None


class _Client(_Wire):
    name: str
    api_keys: tuple[str, ...]
    priority: _Whole | None = None
    allowed_regions: tuple[str, ...] = ()


class _Limits(_Wire):
    max_header_bytes: _Whole = 16384
    max_body_bytes: _Whole = 4194304
    header_timeout_ms: _Amount = 3000
    idle_timeout_ms: _Amount = 15000


class _Configuration(msgspec.Struct):
    version: int
    routes: tuple[_Route, ...]
    services: tuple[_Service, ...]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: tuple[_Client, ...] = ()


_entry_decoder = msgspec.json.Decoder(_Entry)
_configuration_decoder = msgspec.json.Decoder(_Configuration)


def decode_upstream(name: str, content: bytes, now: float) -> Upstream:
    """Return the upstream that an entry describes.

    Args:
        name: key of the entry, which is the name of the upstream.
        content: the entry, JSON.
        now: monotonic seconds at which the entry was written.

    Raises:
        ConfigurationInvalid: the entry was not written by an upstream.
    """
    try:
        entry = _entry_decoder.decode(content)
        host, _, port = entry.address.rpartition(':')
        address = (host, int(port))
    except (msgspec.MsgspecError, ValueError) as error:
        raise ConfigurationInvalid(f'entry {name!r}: {error}') from error
    if entry.state not in {'ready', 'draining'} or not host or not name:
        raise ConfigurationInvalid(f'entry {name!r}: {entry.state!r}')
    return Upstream(
        name=name,
        service=entry.service,
        host=address[0],
        port=address[1],
        availability_zone=entry.zone,
        draining=entry.state == 'draining',
        cold_until=now + entry.cold_left_ms / _MS,
        started_at=entry.born,
    )


def decode_catalogue(content: bytes) -> Catalogue:
    """Return the configuration that operators published.

    Raises:
        ConfigurationInvalid: it cannot be understood.
    """
    try:
        found = _configuration_decoder.decode(content)
        return Catalogue(
            version=found.version,
            routes=tuple(_route(route) for route in found.routes),
            services={
                service.name: _service(service) for service in found.services
            },
            clients=tuple(_clients(found.tenants)),
            limits=_limits(found.limits),
        )
    except (msgspec.MsgspecError, ValueError) as error:
        raise ConfigurationInvalid(f'configuration: {error}') from error


def _route(route: _Route) -> Route:
    targets = [Target(split.service, split.weight) for split in route.split]
    if route.service:
        targets = [Target(route.service, 1)]
    return Route(
        name=route.name,
        host=route.host,
        prefix=route.path_prefix,
        execution=_execution(route.kind),
        targets=tuple(targets),
        timeout=route.timeout_ms / _MS,
        objective=(route.aim_ms or route.timeout_ms) / _MS,
        gap_objective=(route.gap_aim_ms or math.inf) / _MS,
        attempts=max(route.attempts, 1),
        priority=route.priority,
        public=route.public,
        resumable=route.resumable,
        regions=frozenset(route.allowed_regions),
    )


def _execution(kind: str) -> Execution:
    if kind == 'idempotent':
        return Execution.IDEMPOTENT
    if kind == 'streaming':
        return Execution.STREAM
    # A kind that is not known must not run twice.
    return Execution.NON_IDEMPOTENT


def _service(service: _Service) -> Service:
    return Service(
        name=service.name,
        max_connections=service.max_conns,
        cold_rate=service.cold_per_s,
        engine=_engine(service.engine) if service.engine else None,
    )


def _engine(engine: _Engine) -> Engine:
    rate = engine.link_mbps * _MBIT
    return Engine(
        slots=engine.slots,
        memory_tokens=engine.kv_capacity,
        step=engine.step_ms / _MS,
        per_sequence=engine.per_seq_ms / _MS,
        report_age=engine.report_lag_ms / _MS,
        stride=max(engine.stride, 1),
        prompt_time=engine.usual.prompt / max(engine.read_per_s, 1),
        layers=engine.layer_sets,
        experts=engine.experts,
        placement_slots=engine.locations,
        spare_slots=engine.spares,
        expert_share=engine.expert_ratio,
        expert_load_time=engine.expert_mb * _MB / rate if rate else 0,
    )


def _clients(tenants: Iterable[_Client]) -> Iterable[Client]:
    for tenant in tenants:
        yield Client(
            name=tenant.name,
            keys=frozenset(tenant.api_keys),
            priority=tenant.priority,
            regions=frozenset(tenant.allowed_regions),
        )


def _limits(limits: Any) -> CallerLimits:
    return CallerLimits(
        header_bytes=limits.max_header_bytes,
        body_bytes=limits.max_body_bytes,
        header_timeout=limits.header_timeout_ms / _MS,
        idle_timeout=limits.idle_timeout_ms / _MS,
    )
