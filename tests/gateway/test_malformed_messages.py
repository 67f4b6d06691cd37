"""Arbitrary bytes and values at each decoder that others can reach."""

import asyncio
import json
import math
import time
from unittest import mock

import cbor2
import pytest
from hypothesis import example, given, settings, strategies as st

from primroseyoke.exceptions import (
    ConfigurationInvalid,
    ServiceUnavailable,
)
from primroseyoke.gateway.peers import PeerReporter
from primroseyoke.gateway.routing_state import RoutingState
from primroseyoke.gateway.topic_sharing import decode_page
from primroseyoke.gateway.topics import KeyedRecord, TopicChanges
from primroseyoke.platform.entries import decode_configuration, decode_upstream
from primroseyoke.platform.feeds import (
    OperatorFeed,
    UpstreamFeed,
    upstream_effect,
)
from primroseyoke.platform.headers import HeaderCodec
from primroseyoke.platform.store import decode_records
from tests.gateway.deployment import configuration
from tests.gateway.test_peers import Network, run_network

SCALARS = (
    st.none()
    | st.booleans()
    | st.integers(-(2**70), 2**70)
    | st.floats()
    | st.text(max_size=8)
)
VALUES = st.recursive(
    SCALARS | st.binary(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=6)
        | st.dictionaries(st.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=12,
)
JSON_VALUES = st.recursive(
    SCALARS,
    lambda inner: (
        st.lists(inner, max_size=6)
        | st.dictionaries(st.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=12,
)
DEEP = b'[' * 100_000
HEADERS = st.lists(
    st.tuples(
        st.sampled_from(
            [
                b'x-primroseyoke-request-timeout-ms',
                b'x-primroseyoke-instance-load',
                b'x-primroseyoke-request-id',
                b'authorization',
                b'keep-alive',
                b'last-event-id',
            ]
        ),
        st.binary(max_size=12) | st.from_regex(rb'[-0-9e.,]{0,9}'),
    ),
    max_size=6,
)


def damaged(document: object) -> st.SearchStrategy[bytes]:
    """Return JSON documents in which one value is replaced."""
    content = json.loads(json.dumps(document))
    paths = list(value_paths(content))

    def replace(path, value):
        changed = json.loads(json.dumps(content))
        target = changed
        for key in path[:-1]:
            target = target[key]
        target[path[-1]] = value
        return json.dumps(changed).encode()

    return st.builds(replace, st.sampled_from(paths), JSON_VALUES)


def value_paths(content, path=()):
    items = content.items() if isinstance(content, dict) else enumerate(content)
    for key, value in items:
        yield (*path, key)
        if isinstance(value, dict | list):
            yield from value_paths(value, (*path, key))


ENTRY = {
    'service': 'app',
    'address': '127.0.0.1:1',
    'zone': 'a',
    'state': 'ready',
    'coldLeftMs': 0,
    'born': 1,
}
ENTRIES = st.binary(max_size=40) | damaged(ENTRY)
CONFIGURATIONS = st.binary(max_size=40) | damaged(configuration())


@settings(max_examples=300)
@given(st.binary(max_size=60) | st.builds(cbor2.dumps, VALUES))
@example(b'\x81' * 100_000)
@example(cbor2.dumps(['h', {}, False, False, 'a', {'t': [1, 2, float('nan')]}]))
@example(cbor2.dumps(['h', {'u': -5}, False, False, 'a', {}]))
def test_no_datagram_stops_the_reports_of_a_host(content: bytes) -> None:
    """Guards against one malformed message that ends a process or its task."""

    async def scenario(network: Network) -> None:
        first, second = list(network.hosts.values())
        first.datagram_received(content, ('10.0.0.7', 1))
        second.balancer.in_flight.record_start('u0')
        second.announce_drain()
        await asyncio.sleep(0.5)
        assert first.balancer.in_flight.total('u0') == 1

    run_network(scenario, 2)


@settings(max_examples=300)
@given(st.binary(max_size=60) | st.builds(cbor2.dumps, VALUES))
@example(b'\x81' * 100_000)
def test_a_malformed_page_is_a_service_error(content: bytes) -> None:
    with pytest.raises(ServiceUnavailable):
        decode_page('/topics/x', content)


@settings(max_examples=300)
@given(ENTRIES)
@example(DEEP)
def test_a_malformed_entry_is_invalid(content: bytes) -> None:
    try:
        decode_upstream('u', content, 0)
    except ConfigurationInvalid:
        assert upstream_effect(KeyedRecord('u', content, 0)) == content


@settings(max_examples=300)
@given(CONFIGURATIONS)
@example(DEEP)
def test_a_malformed_configuration_is_invalid(content: bytes) -> None:
    try:
        decode_configuration(content)
    except ConfigurationInvalid as error:
        assert str(error)


@settings(max_examples=300)
@given(st.lists(st.tuples(st.text(max_size=12), ENTRIES), max_size=4))
def test_feeds_survive_any_record(records) -> None:
    state = RoutingState()
    event = TopicChanges(
        tuple(
            KeyedRecord(key, value, number)
            for number, (key, value) in enumerate(records)
        ),
        time.monotonic(),
    )
    OperatorFeed(state).receive(event)
    UpstreamFeed(state, lambda: None).receive(event)


@given(st.binary(max_size=200))
def test_any_bytes_of_the_store_are_decoded(content: bytes) -> None:
    assert all(
        record is None or record.offset >= 5
        for record in decode_records(content, 5)
    )


@settings(max_examples=300)
@given(HEADERS)
def test_any_header_value_is_decoded(headers) -> None:
    codec = HeaderCodec()
    request = codec.decode_request('GET', '/', headers, 0)
    assert not request.timeout < 0
    response = codec.decode_response(200, headers)
    assert not response.keep_alive < 0


def test_a_peer_without_balancer_ignores_reports() -> None:
    peers = PeerReporter('me', '127.0.0.1', 1)
    peers.datagram_received(cbor2.dumps(['h', {}]), ('127.0.0.2', 1))
    assert not peers.peers


def test_negative_numbers_of_requests_are_refused() -> None:
    """Guards against a report that makes room which an upstream has not."""

    async def scenario(network: Network) -> None:
        first, second = list(network.hosts.values())
        second.balancer.in_flight.record_start('u0')
        second.announce_drain()
        await asyncio.sleep(0.1)
        report = cbor2.dumps(['host-10.0.0.9', {'u0': -1}])
        first.datagram_received(report, ('10.0.0.9', 1))
        assert first.balancer.in_flight.total('u0') == 1

    run_network(scenario, 2)


@pytest.mark.parametrize('age', [-1.0, float('nan')])
def test_an_age_that_is_no_time_confirms_nothing(age: float) -> None:
    """Guards against a forged report that keeps a host from the store."""
    peers = PeerReporter('me', '10.0.0.1', 1)
    peers.balancer = mock.Mock()
    peers.sharing = mock.Mock()
    report = ['h', {}, False, False, 'a', {'keyed.op': [5, 7, age]}]
    peers.datagram_received(cbor2.dumps(report), ('10.0.0.2', 1))
    confirmed = [
        announcement
        for call in peers.sharing.receive.call_args_list
        for announcement in call.args[1].values()
        if announcement.age < math.inf
    ]
    assert not confirmed
