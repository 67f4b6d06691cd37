"""Reports of model engines and orders to them, on the wire."""

import functools
import types
from typing import Any

import msgspec

from ..exceptions import ServiceRefused, ServiceUnavailable
from ..gateway.clients import HttpAnswer, HttpClient
from ..gateway.engines import (
    Arm,
    Counts,
    Disarm,
    Hold,
    Order,
    OrderResult,
    Prepare,
    RankReport,
    Release,
)
from ..gateway.placement import Placement
from ..gateway.upstreams import Upstream

__all__ = ('EngineCalls',)

# An engine answers a report without a free slot, in a few ms.
_TIMEOUT = 0.5
_EXPECTED_UPSTREAM = 'X-Primroseyoke-Expect-Instance'
_RESULTS = types.MappingProxyType(
    {
        200: OrderResult.ACCEPTED,
        202: OrderResult.ACCEPTED,
        409: OrderResult.CONFLICT,
        421: OrderResult.REFUSED,
    }
)


class _Membership(msgspec.Struct):
    name: str
    epoch: int
    rank: int
    state: str


class _Report(msgspec.Struct):
    group: _Membership | None = None
    # Number of ranks in the group.
    size: int = 0
    # The last pass that began.
    step: int = 0
    # The version of the map in use.
    placement: int = 0
    # A version, or an object with one.
    prepared: Any = None
    # The version that is armed and the pass from which on it is used.
    enabled: Any = None
    # The pass that is held.
    held: Any = None
    # How many times as long as usual its work takes.
    pace: float = 1


class _Counts(msgspec.Struct):
    epoch: int
    step: int
    counts: tuple[int, ...]


class _Lists(msgspec.Struct):
    # The experts of this rank by layer.
    experts: tuple[tuple[int, ...], ...]


class _Placements(msgspec.Struct):
    placement: _Lists


_report_decoder = msgspec.json.Decoder(_Report)
_counts_decoder = msgspec.json.Decoder(_Counts)
_placements_decoder = msgspec.json.Decoder(_Placements)


class EngineCalls:
    """Calls engines, over kept connections.

    Orders have connections of their own: a pass may be held until they are
    answered, and a report can take long.
    """

    def __init__(self) -> None:
        """Start without connections."""
        self.readers: dict[str, HttpClient] = {}
        self.writers: dict[str, HttpClient] = {}

    async def report(self, upstream: Upstream) -> RankReport | None:
        """Return what a rank says of itself, None if it is in no group.

        Raises:
            ServiceUnavailable: no answer.
        """
        answer = await self._get(upstream, '/report')
        found = _decode(_report_decoder, answer)
        if found.group is None:
            return None
        return RankReport(
            group=found.group.name,
            epoch=found.group.epoch,
            rank=found.group.rank,
            ranks=found.size,
            is_open=found.group.state == 'open',
            step=found.step,
            placement=found.placement,
            prepared=_number(found.prepared, 'version'),
            armed=_number(found.enabled, 'version'),
            armed_step=_step(found.enabled),
            held=_number(found.held, 'step'),
            pace=found.pace,
        )

    async def counts(self, upstream: Upstream) -> Counts:
        """Return how often each expert was chosen.

        Raises:
            ServiceUnavailable: no answer.
        """
        answer = await self._get(upstream, '/picked')
        found = _decode(_counts_decoder, answer)
        return Counts(found.epoch, found.step, found.counts)

    async def placement(
        self,
        upstream: Upstream,
    ) -> tuple[tuple[int, ...], ...]:
        """Return the experts of a rank by layer.

        Raises:
            ServiceUnavailable: no answer.
        """
        answer = await self._get(upstream, '/picked?lists=1')
        found = _decode(_placements_decoder, answer)
        experts: tuple[tuple[int, ...], ...] = found.placement.experts
        return experts

    async def order(
        self,
        upstream: Upstream,
        order: Order,
        timeout: float,
    ) -> OrderResult:
        """Send an order; ``timeout`` in seconds."""
        body = encode_order(order)
        try:
            answer = await _client(self.writers, upstream).call(
                'POST',
                '/order',
                body,
                timeout,
                {_EXPECTED_UPSTREAM: upstream.name},
            )
        except ServiceRefused:
            return OrderResult.REFUSED
        except ServiceUnavailable:
            return OrderResult.UNKNOWN
        return _RESULTS.get(answer.status, OrderResult.CONFLICT)

    async def _get(self, upstream: Upstream, target: str) -> HttpAnswer:
        answer = await _client(self.readers, upstream).call(
            'GET',
            target,
            timeout=_TIMEOUT,
            headers={_EXPECTED_UPSTREAM: upstream.name},
        )
        if answer.status != 200:
            raise ServiceUnavailable(f'{upstream.name}: {answer.status}')
        return answer


def _client(
    clients: dict[str, HttpClient],
    upstream: Upstream,
) -> HttpClient:
    client = clients.get(upstream.name)
    if client is None:
        client = HttpClient(upstream.host, upstream.port)
        clients[upstream.name] = client
    return client


class _Order(msgspec.Struct, tag_field='op'):
    """The body of an order; ``op`` names its kind."""

    epoch: int


class _Prepare(_Order, tag='prepare'):
    version: int
    placement: Placement


class _Arm(_Order, tag='arm'):
    version: int
    step: int


class _Disarm(_Order, tag='disarm'):
    version: int


class _Retain(_Order, tag='retain'):
    step: int


class _Go(_Order, tag='go'):
    step: int


@functools.singledispatch
def encode_order(order: Order) -> bytes:
    """Return the body of an order.

    Raises:
        TypeError: not an order.
    """
    raise TypeError(f'not an order: {order!r}')


@encode_order.register
def _encode_prepare(order: Prepare) -> bytes:
    return msgspec.json.encode(
        _Prepare(order.epoch, order.version, order.placement),
    )


@encode_order.register
def _encode_arm(order: Arm) -> bytes:
    return msgspec.json.encode(_Arm(order.epoch, order.version, order.step))


@encode_order.register
def _encode_disarm(order: Disarm) -> bytes:
    return msgspec.json.encode(_Disarm(order.epoch, order.version))


@encode_order.register
def _encode_hold(order: Hold) -> bytes:
    return msgspec.json.encode(_Retain(order.epoch, order.step))


@encode_order.register
def _encode_release(order: Release) -> bytes:
    return msgspec.json.encode(_Go(order.epoch, order.step))


def _decode(decoder: Any, answer: HttpAnswer) -> Any:
    try:
        return decoder.decode(answer.body)
    except msgspec.MsgspecError as error:
        raise ServiceUnavailable(f'report: {error}') from error


def _number(found: Any, field: str) -> int | None:
    if isinstance(found, dict):
        found = found.get(field)
    return found if isinstance(found, int) else None


def _step(found: Any) -> int | None:
    return _number(found, 'step') if isinstance(found, dict) else None
