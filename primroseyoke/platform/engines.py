"""HTTP calls to model engines: status reports and orders."""

import functools
import types
from collections.abc import Collection
from typing import Any

import msgspec

from ..exceptions import ServiceRefused, ServiceUnavailable
from ..gateway.engines import (
    Arm,
    Disarm,
    ExpertCounts,
    Hold,
    Order,
    OrderResult,
    Prepare,
    RankReport,
    Release,
)
from ..gateway.http_client import HttpClient, HttpResponse
from ..gateway.placement import Placement
from ..gateway.upstreams import Upstream

__all__ = ('HttpEngines',)

# An engine answers status requests in a few ms, also while all slots are busy.
_REPORT_TIMEOUT_SECONDS = 0.5
# The counts of hundreds of experts in each of hundreds of layers.
_MAX_REPORT_BYTES = 2**20
_EXPECTED_UPSTREAM_HEADER = 'X-Primroseyoke-Expect-Instance'
_ID_HEADER = 'X-Primroseyoke-Request-Id'
_RESULT_BY_STATUS = types.MappingProxyType(
    {
        200: OrderResult.ACCEPTED,
        202: OrderResult.ACCEPTED,
        409: OrderResult.CONFLICT,
        421: OrderResult.GONE,
    }
)


class _GroupMembership(msgspec.Struct):
    name: str
    epoch: int
    rank: int
    state: str


class _ReportBody(msgspec.Struct):
    group: _GroupMembership | None = None
    # Number of ranks in the group.
    size: int = 0
    # Number of the last forward pass that began.
    step: int = 0
    # Version of the expert placement in use.
    placement: int = 0
    # Version whose weights are loaded: a number or an object with ``version``.
    prepared: Any = None
    # Armed version and the pass from which it is used.
    enabled: Any = None
    # Pass that is held: a number or an object with ``step``.
    held: Any = None
    # Duration of its work relative to normal; 1 is normal speed.
    pace: float = 1


class _ExpertCountsBody(msgspec.Struct):
    epoch: int
    step: int
    counts: tuple[int, ...]


class _ExpertsByLayer(msgspec.Struct):
    # Experts of this rank by layer.
    experts: tuple[tuple[int, ...], ...]


class _PlacementBody(msgspec.Struct):
    placement: _ExpertsByLayer


_report_decoder = msgspec.json.Decoder(_ReportBody)
_counts_decoder = msgspec.json.Decoder(_ExpertCountsBody)
_placement_decoder = msgspec.json.Decoder(_PlacementBody)


class HttpEngines:
    """Calls engines over persistent connections; implements ``EngineClient``.

    Orders use connections of their own, so that they never queue behind a slow
    report: a pass may be held until an order is answered.
    """

    def __init__(self) -> None:
        """Create without connections; each is opened on first use."""
        self.report_connections: dict[str, HttpClient] = {}
        self.order_connections: dict[str, HttpClient] = {}

    async def report(self, upstream: Upstream) -> RankReport | None:
        """Return the status of a rank, None if it belongs to no group.

        Raises:
            ServiceUnavailable: the engine gave no valid response.
        """
        answer = await self._get(upstream, '/report')
        body = _decode(_report_decoder, answer)
        if body.group is None:
            return None
        return RankReport(
            group=body.group.name,
            epoch=body.group.epoch,
            rank=body.group.rank,
            ranks=body.size,
            is_open=body.group.state == 'open',
            step=body.step,
            placement_version=body.placement,
            prepared_version=_integer_or_field(body.prepared, 'version'),
            armed_version=_integer_or_field(body.enabled, 'version'),
            armed_step=_armed_step(body.enabled),
            held_step=_integer_or_field(body.held, 'step'),
            slowdown=body.pace,
        )

    async def counts(self, upstream: Upstream) -> ExpertCounts:
        """Return how often each expert was selected.

        Raises:
            ServiceUnavailable: the engine gave no valid response.
        """
        answer = await self._get(upstream, '/picked')
        body = _decode(_counts_decoder, answer)
        return ExpertCounts(body.epoch, body.step, body.counts)

    async def placement(
        self,
        upstream: Upstream,
    ) -> tuple[tuple[int, ...], ...]:
        """Return the experts of a rank by layer.

        Raises:
            ServiceUnavailable: the engine gave no valid response.
        """
        answer = await self._get(upstream, '/picked?lists=1')
        body = _decode(_placement_decoder, answer)
        experts: tuple[tuple[int, ...], ...] = body.placement.experts
        return experts

    async def order(
        self,
        upstream: Upstream,
        order: Order,
        timeout: float,
    ) -> OrderResult:
        """Send an order with a ``timeout`` in seconds; return its outcome."""
        body = encode_order(order)
        try:
            answer = await _connection_to(
                self.order_connections, upstream
            ).call(
                'POST',
                '/order',
                body,
                timeout,
                {_EXPECTED_UPSTREAM_HEADER: upstream.name},
            )
        except ServiceRefused:
            return OrderResult.UNREACHABLE
        except ServiceUnavailable:
            return OrderResult.UNKNOWN
        return _RESULT_BY_STATUS.get(answer.status, OrderResult.CONFLICT)

    def retain(self, names: Collection[str]) -> None:
        """Close the connections to all upstreams but those in ``names``.

        One with a call in progress is kept: an order that is cut off may have
        been executed.
        """
        for connections in (self.report_connections, self.order_connections):
            for name in connections.keys() - set(names):
                if not connections[name].busy:
                    connections.pop(name).close()

    async def _get(self, upstream: Upstream, target: str) -> HttpResponse:
        answer = await _connection_to(self.report_connections, upstream).call(
            'GET',
            target,
            timeout=_REPORT_TIMEOUT_SECONDS,
            headers={_EXPECTED_UPSTREAM_HEADER: upstream.name},
        )
        if answer.status != 200:
            raise ServiceUnavailable(
                f'{target} of upstream {upstream.name}: '
                f'expected status 200, got {answer.status}',
            )
        return answer


def _connection_to(
    connections: dict[str, HttpClient],
    upstream: Upstream,
) -> HttpClient:
    connection = connections.get(upstream.name)
    address = (upstream.host, upstream.port)
    if connection is None or (connection.host, connection.port) != address:
        if connection is not None:
            connection.close()
        connection = HttpClient(
            upstream.host,
            upstream.port,
            max_body_bytes=_MAX_REPORT_BYTES,
            id_header=_ID_HEADER,
        )
        connections[upstream.name] = connection
    return connection


class _OrderBody(msgspec.Struct, tag_field='op'):
    """Body of an order; ``op`` holds the tag of its type."""

    epoch: int


class _PrepareBody(_OrderBody, tag='prepare'):
    version: int
    placement: Placement


class _ArmBody(_OrderBody, tag='arm'):
    version: int
    step: int


class _DisarmBody(_OrderBody, tag='disarm'):
    version: int


class _HoldBody(_OrderBody, tag='retain'):
    step: int


class _ReleaseBody(_OrderBody, tag='go'):
    step: int


@functools.singledispatch
def encode_order(order: Order) -> bytes:
    """Return the JSON body of an order.

    Raises:
        TypeError: ``order`` is of no known order type.
    """
    raise TypeError(f'expected an order, got {order!r}')


@encode_order.register
def _encode_prepare(order: Prepare) -> bytes:
    return msgspec.json.encode(
        _PrepareBody(order.epoch, order.version, order.placement),
    )


@encode_order.register
def _encode_arm(order: Arm) -> bytes:
    return msgspec.json.encode(_ArmBody(order.epoch, order.version, order.step))


@encode_order.register
def _encode_disarm(order: Disarm) -> bytes:
    return msgspec.json.encode(_DisarmBody(order.epoch, order.version))


@encode_order.register
def _encode_hold(order: Hold) -> bytes:
    return msgspec.json.encode(_HoldBody(order.epoch, order.step))


@encode_order.register
def _encode_release(order: Release) -> bytes:
    return msgspec.json.encode(_ReleaseBody(order.epoch, order.step))


def _decode(decoder: Any, answer: HttpResponse) -> Any:
    try:
        return decoder.decode(answer.body)
    except msgspec.MsgspecError as error:
        raise ServiceUnavailable(f'invalid engine response: {error}') from error


def _integer_or_field(reported: Any, field: str) -> int | None:
    if isinstance(reported, dict):
        reported = reported.get(field)
    return reported if isinstance(reported, int) else None


def _armed_step(reported: Any) -> int | None:
    return (
        _integer_or_field(reported, 'step')
        if isinstance(reported, dict)
        else None
    )
