"""Decoding of valid, invalid and malformed entries of the store."""

import json

import pytest

from primroseyoke.exceptions import ConfigurationInvalid
from primroseyoke.gateway.configuration import (
    Autoscale,
    Execution,
    Service,
)
from primroseyoke.platform.entries import decode_configuration, decode_upstream
from tests.gateway.deployment import configuration, route

ENTRY = {
    'service': 'huvo11a',
    'address': '10.128.0.9:8080',
    'zone': 'ro-centru-a',
    'version': 'v1',
    'slots': 6,
    'state': 'ready',
    'coldLeftMs': 1500,
    'phase': 'mixed',
    'born': 1787952131030,
    'seq': 4,
}
ENGINE = {
    'slots': 6,
    'kvCapacity': 140000,
    'kvTokenBytes': 70272,
    'linkMbps': 92000.0,
    'stride': 4,
    'step_ms': 4.55,
    'per_seq_ms': 1.81,
    'read_per_s': 61400.0,
    'layerSets': 6,
    'experts': 64,
    'locations': 11,
    'spares': 4,
    'expertMb': 1700.0,
    'expertRatio': 0.85,
}


def test_upstream_entry_is_decoded() -> None:
    upstream = decode_upstream('i-1', json.dumps(ENTRY).encode(), now=100)
    assert (upstream.host, upstream.port) == ('10.128.0.9', 8080)
    assert upstream.availability_zone == 'ro-centru-a'
    assert upstream.cold_until == 101.5
    assert upstream.started_at == 1787952131030
    assert not upstream.draining


@pytest.mark.parametrize(
    'overrides',
    [
        {'state': 'sleeping'},
        {'address': 'nowhere'},
        {'address': ':80'},
        {'address': 17},
        {'service': ''},
        {'coldLeftMs': 'soon'},
        {'zone': None},
        {'born': 1.5},
        {'born': 10**400},
        {'born': 2**70},
        {'coldLeftMs': 10**300},
        {'address': '10.128.0.9:0'},
        {'address': '10.128.0.9:-1'},
        {'address': '10.128.0.9:70000'},
        {'address': '10.128.0.9:' + '9' * 5000},
        {'address': '10.128.0.9:\u0663'},
        {'address': 'nowhere.example:80'},
        {'address': '10.128.0.9\0:80'},
    ],
    ids=lambda overrides: str(overrides)[:40],
)
def test_invalid_upstream_entry_is_rejected(
    overrides: dict[str, object],
) -> None:
    content = json.dumps({**ENTRY, **overrides}).encode()
    with pytest.raises(ConfigurationInvalid):
        decode_upstream('i-1', content, now=100)


DEEP = b'[' * 100_000 + b']' * 100_000


@pytest.mark.parametrize(
    'content',
    [
        b'',
        b'{',
        b'\xff\xfe',
        b'[]',
        b'null',
        DEEP,
        json.dumps(ENTRY).encode()[:-1] + b',"x":' + DEEP + b'}',
        json.dumps(ENTRY).encode()[:-1] + b',"coldLeftMs":1e400}',
    ],
    ids=lambda content: str(content)[:20],
)
def test_malformed_upstream_entry_is_rejected(content: bytes) -> None:
    with pytest.raises(ConfigurationInvalid):
        decode_upstream('i-1', content, now=100)


def test_configuration_is_converted_to_base_units() -> None:
    services = [
        {'name': 'model', 'maxConns': 418, 'coldPerS': 36.0, 'engine': ENGINE},
    ]
    content = json.dumps(configuration(9, services=services)).encode()
    decoded = decode_configuration(content)
    draft = decoded.match('shop.example', '/draft/x')
    assert decoded.version == 9
    assert draft.execution is Execution.STREAM
    assert draft.retryable
    assert (draft.timeout, draft.objective) == (4.0, 0.5)
    assert draft.gap_objective == pytest.approx(0.12)
    engine = decoded.services['model'].engine
    assert engine.step_time == pytest.approx(0.00455)
    assert engine.expert_load_time == pytest.approx(0.1478, abs=1e-4)
    assert engine.places_experts
    assert decoded.limits.idle_timeout == 2.0


def test_unknown_route_kind_is_non_idempotent() -> None:
    routes = [route('/x/', 'something_new', 'app')]
    content = json.dumps(configuration(routes=routes)).encode()
    matched = decode_configuration(content).match('shop.example', '/x/')
    assert matched.execution is Execution.NON_IDEMPOTENT


def test_split_route_keeps_its_weights() -> None:
    split = [{'service': 'a', 'weight': 90}, {'service': 'b', 'weight': 10}]
    split_route = route('/x/', 'idempotent', '', split=split)
    split_route.pop('service')
    content = json.dumps(configuration(routes=[split_route])).encode()
    matched = decode_configuration(content).match('shop.example', '/x/')
    assert [target.weight for target in matched.targets] == [90, 10]


@pytest.mark.parametrize('content', [b'{}', b'{"version": "7"}', b'\x00'])
def test_invalid_configuration_is_rejected(content: bytes) -> None:
    with pytest.raises(ConfigurationInvalid):
        decode_configuration(content)


def decode_service(**overrides: object) -> Service:
    service = {'name': 'model', **overrides}
    content = json.dumps(configuration(services=[service])).encode()
    return decode_configuration(content).services['model']


def test_autoscale_is_decoded() -> None:
    autoscale = {'min': 26, 'max': 60, 'bootS': 20, 'other': 1}
    service = decode_service(autoscale=autoscale)
    assert service.autoscale == Autoscale(26, 60, 20)
    assert decode_service().autoscale is None
    assert decode_service(autoscale=None).autoscale is None


@pytest.mark.parametrize(
    'autoscale',
    [
        {},
        True,
        [26, 60],
        {'min': 26},
        {'min': 60, 'max': 26, 'bootS': 20},
        {'min': -1, 'max': 26, 'bootS': 20},
        {'min': 1, 'max': 26, 'bootS': 'soon'},
    ],
)
def test_invalid_autoscale_does_not_end_routing(
    autoscale: object, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against a configuration that is refused for its scaling bounds."""
    assert decode_service(autoscale=autoscale).autoscale is None
    assert 'autoscale of a service invalid' in caplog.text
