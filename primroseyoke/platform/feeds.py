"""Applies records of the store to the gateway's state."""

import dataclasses
import functools
import logging
import time
from collections.abc import Callable

from ..exceptions import ConfigurationInvalid
from ..gateway.routing_state import RoutingState
from ..gateway.topics import (
    KeyedRecord,
    StoreReconnected,
    TopicChanges,
    TopicListing,
    TopicUpdate,
)
from ..gateway.upstreams import Upstream
from .entries import decode_configuration, decode_upstream

__all__ = (
    'OPERATOR_TOPIC',
    'UPSTREAM_TOPIC',
    'OperatorFeed',
    'UpstreamFeed',
    'upstream_effect',
)

log = logging.getLogger(__name__)

OPERATOR_TOPIC = 'keyed.op'
UPSTREAM_TOPIC = 'keyed.servers'

_MS_PER_SECOND = 1000
_CONFIGURATION_KEY = 'config'
_EVACUATED_ZONE_PREFIX = 'evacuate/'


class OperatorFeed:
    """Applies configurations and zone evacuations published by operators."""

    def __init__(self, routing_state: RoutingState) -> None:
        """Apply records to ``routing_state``."""
        self.routing_state = routing_state

    @functools.singledispatchmethod
    def receive(self, event: TopicUpdate) -> None:
        """Handle an event of the operators' topic."""
        raise TypeError(f'expected a topic event, got {event!r}')

    @receive.register
    def _receive_listing(self, event: TopicListing) -> None:
        self._update_evacuated_zones(frozenset(), event.records)
        self._publish(event)
        self.routing_state.confirmed_at = event.read_at

    @receive.register
    def _receive_changes(self, event: TopicChanges) -> None:
        self._update_evacuated_zones(
            self.routing_state.registry.zones_out, event.records
        )
        self._publish(event)
        self.routing_state.confirmed_at = event.read_at

    @receive.register
    def _receive_returned(self, event: StoreReconnected) -> None:
        """Do nothing: the records that were read follow in the next event."""

    def _update_evacuated_zones(
        self,
        previous: frozenset[str],
        records: tuple[KeyedRecord, ...],
    ) -> None:
        zones = set(previous)
        for record in records:
            if not record.key.startswith(_EVACUATED_ZONE_PREFIX):
                continue
            zone = record.key.removeprefix(_EVACUATED_ZONE_PREFIX)
            if record.value:
                zones.add(zone)
            else:
                zones.discard(zone)
        registry = self.routing_state.registry
        if zones != registry.zones_out:
            log.info(
                'evacuated zones changed; their upstreams get no requests',
                extra={'zones': sorted(zones)},
            )
            registry.zones_out = frozenset(zones)

    def _publish(self, event: TopicListing | TopicChanges) -> None:
        configurations = [
            record
            for record in event.records
            if record.key == _CONFIGURATION_KEY and record.value
        ]
        # Each configuration is complete, so only the newest is decoded.
        for record in configurations[-1:]:
            try:
                configuration = decode_configuration(record.value)
            except ConfigurationInvalid as error:
                log.error(
                    'configuration invalid; the configuration in use is kept',
                    extra={'offset': record.offset, 'reason': str(error)},
                )
                continue
            # What the store has lost was published in an earlier era.
            era = record.era - (record.key in event.retained)
            if self.routing_state.apply_configuration(
                configuration, hash(record.value), era
            ):
                log.info(
                    'configuration applied',
                    extra={
                        'version': configuration.version,
                        'offset': record.offset,
                        'era': era,
                    },
                )


class UpstreamFeed:
    """Applies the entries with which upstreams register themselves."""

    def __init__(
        self,
        routing_state: RoutingState,
        on_change: Callable[[], None],
    ) -> None:
        """Apply entries to ``routing_state``; call ``on_change`` on changes."""
        self.routing_state = routing_state
        self.on_change = on_change
        self.rejected_keys: set[str] = set()

    @functools.singledispatchmethod
    def receive(self, event: TopicUpdate) -> None:
        """Handle an event of the upstreams' topic."""
        raise TypeError(f'expected a topic event, got {event!r}')

    @receive.register
    def _receive_listing(self, event: TopicListing) -> None:
        registry = self.routing_state.registry
        present = []
        for record in event.records:
            upstream = self._decode(record, event.read_at)
            # An invalid entry does not change the state of its upstream.
            upstream = upstream or registry.upstreams.get(record.key)
            if upstream is not None and record.value:
                present.append(upstream)
                _log_cold(
                    registry.upstreams.get(upstream.name), upstream, event
                )
        registry.replace_all(present, event.read_at)
        log.info(
            'upstream list loaded from the store',
            extra={'upstreams': len(present)},
        )
        self.on_change()

    @receive.register
    def _receive_changes(self, event: TopicChanges) -> None:
        registry = self.routing_state.registry
        newest = {record.key: record for record in event.records}
        for record in newest.values():
            self._apply(record, event)
        registry.expire(event.read_at)
        if newest:
            self.on_change()

    @receive.register
    def _receive_returned(self, event: StoreReconnected) -> None:
        self.routing_state.registry.record_store_recovery(event.read_at)

    def _apply(self, record: KeyedRecord, event: TopicChanges) -> None:
        registry = self.routing_state.registry
        now = event.read_at
        previous = registry.upstreams.get(record.key)
        if not record.value:
            if previous is not None:
                log.info(
                    'entry of upstream removed from the store',
                    extra={'upstream': record.key},
                )
            registry.remove(record.key, now)
            return
        upstream = self._decode(record, now)
        if upstream is None:
            return
        if previous is None or previous.draining != upstream.draining:
            log.info(
                'upstream registered or draining state changed',
                extra={
                    'upstream': upstream.name,
                    'draining': upstream.draining,
                    'offset': record.offset,
                },
            )
        _log_cold(previous, upstream, event)
        registry.put(upstream)

    def _decode(self, record: KeyedRecord, now: float) -> Upstream | None:
        if not record.value:
            return None
        try:
            return decode_upstream(record.key, record.value, now)
        except ConfigurationInvalid as error:
            if record.key not in self.rejected_keys:
                self.rejected_keys.add(record.key)
                log.warning(
                    'upstream entry invalid; entry ignored',
                    extra={'offset': record.offset, 'reason': str(error)},
                )
            return None


def _log_cold(
    previous: Upstream | None,
    upstream: Upstream,
    event: TopicListing | TopicChanges,
) -> None:
    """Log that an upstream has become cold, and how old that news is."""
    was_cold = (
        previous is not None
        and previous.started_at == upstream.started_at
        and previous.cold_until > event.read_at
    )
    if was_cold or upstream.cold_until <= event.read_at:
        return
    log.info(
        'upstream is cold',
        extra={
            'upstream': upstream.name,
            'started_at': upstream.started_at,
            'cold_for_ms': _to_milliseconds(
                upstream.cold_until - event.read_at
            ),
            'age_ms': _to_milliseconds(time.monotonic() - event.read_at),
        },
    )


def _to_milliseconds(seconds: float) -> float:
    return round(seconds * _MS_PER_SECOND, 1)


def upstream_effect(record: KeyedRecord) -> bytes:
    """Return what an upstream's entry says, without what changes all the time.

    Upstreams write their entries again every second or so, with a new sequence
    number and, while they are cold, with the time that is left.
    """
    try:
        upstream = decode_upstream(record.key, record.value, 0)
    except ConfigurationInvalid:
        return record.value
    return repr(
        dataclasses.replace(upstream, cold_until=bool(upstream.cold_until))
    ).encode()
