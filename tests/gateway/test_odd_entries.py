"""Entries of another writer among those of the upstreams."""

import asyncio
import json

import pytest

from tests.gateway.deployment import deployment, wait_until
from tests.standins.platform import StandInUpstream, answer_ok

DEEP = b'[' * 100_000 + b']' * 100_000


def odd_entry(entry: dict[str, object], **overrides: object) -> bytes:
    return json.dumps({**entry, **overrides}).encode()


@pytest.mark.parametrize(
    'odd',
    [
        lambda entry: json.dumps(entry).encode()[:-1] + b',"x":' + DEEP + b'}',
        lambda entry: odd_entry(entry, address='127.0.0.1:70000'),
        lambda entry: odd_entry(entry, address='127.0.0.1:-1'),
        lambda entry: odd_entry(entry, address='127.0.0.1\0:80'),
        lambda entry: odd_entry(entry, born=10**400),
        lambda entry: odd_entry(entry, coldLeftMs=10**300),
    ],
    ids=['deep', 'port', 'negative port', 'host', 'start', 'cold'],
)
def test_odd_entry_disturbs_neither_requests_nor_later_entries(odd):
    """Guards against hosts that end or stop following the list of upstreams."""

    async def scenario() -> None:
        async with deployment(app=(answer_ok,)) as system:
            entry = system.upstreams['app-0'].entry('app')
            system.store.put('keyed.servers', 'odd', odd(entry))
            later = StandInUpstream('later', answer_ok)
            await later.start()
            system.store.put('keyed.servers', 'later', later.entry('app'))
            registry = system.gateway.routing_state.registry
            await wait_until(lambda: 'later' in registry.upstreams)
            assert 'odd' not in registry.upstreams
            for number in range(30):
                response = await system.call(
                    '/lookup/x', request_id=f'r-{number}'
                )
                assert response.status == 200
            assert later.received_requests
            later.stop()

    asyncio.run(scenario())
