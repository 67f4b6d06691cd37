"""A tenant and a route have homes in different areas; both bind."""

import asyncio
import contextlib
import os
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'lib-2'))

from standins import (  # noqa: E402
    CannotRun, Client, Gateway, Server, Store, free_port, main,
)

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
ZONES = {'zone-a': 'east', 'zone-b': 'west', 'zone-c': 'south'}
KEY = 'n2ctnfzs989anu6wsjnb'
REQUESTS = 40
# configMs of the site, after which a configuration binds.
CONFIG_SECONDS = 2.0


class Worker(Server):
    """Answers plain requests and writes down which it has run."""

    def __init__(self, name, zone, runs):
        super().__init__()
        self.id = name
        self.zone = zone
        self.runs = runs

    def entry(self):
        return {
            'service': 'app', 'address': self.name, 'zone': self.zone,
            'version': 'v1', 'slots': 6, 'state': 'ready', 'coldLeftMs': 0,
            'seq': 1,
        }

    async def handle(self, request, writer):
        expected = request.headers.get('x-primroseyoke-expect-instance')
        if expected not in {None, self.id}:
            return await self.respond(
                writer, 421, {'X-Primroseyoke-Instance-Id': self.id}
            )
        name = request.headers.get('x-primroseyoke-request-id', '')
        self.runs.append((name, self.id, ZONES[self.zone]))
        headers = {
            'X-Primroseyoke-Request-Id': name,
            'X-Primroseyoke-Response-Signature': self.id,
            'X-Primroseyoke-Instance-Load': '1,0,6',
        }
        return await self.respond(writer, 200, headers, b'done')


def configuration(version, route_homes, tenant_homes):
    route = {
        'name': 'hold', 'host': 'shop.example', 'pathPrefix': '/hold/',
        'kind': 'non_idempotent', 'timeoutMs': 1500, 'aimMs': 200,
        'priority': 2, 'service': 'app', 'attempts': 1, 'public': False,
    }
    tenant = {'name': 'hule930', 'apiKeys': [KEY], 'priority': 1}
    if route_homes:
        route['allowedRegions'] = route_homes
    if tenant_homes:
        tenant['allowedRegions'] = tenant_homes
    return {
        'version': version,
        'routes': [route],
        'services': [{
            'name': 'app', 'healthPath': '/healthz', 'maxConns': 110,
            'coldS': 0.0, 'coldPerS': 0.0,
        }],
        'limits': {
            'maxHeaderBytes': 16384, 'maxBodyBytes': 4194304,
            'headerTimeoutMs': 3000, 'idleTimeoutMs': 15000,
        },
        'tenants': [tenant],
    }


async def ask(gateway, name):
    client = await Client.open(gateway.address, gateway.front)
    headers = {
        'X-Primroseyoke-Request-Id': name,
        'X-Primroseyoke-Request-Timeout-Ms': 1500,
        'Authorization': f'Bearer {KEY}',
    }
    with contextlib.closing(client):
        return await client.call('POST', '/hold/a', headers, b'x' * 600)


async def play(record, temporary):
    store = Store()
    await store.start()
    runs = []
    workers = [
        Worker(f'i-{number}', f'zone-{"abc"[number % 3]}', runs)
        for number in range(6)
    ]
    for worker in workers:
        await worker.start()
        store.put('keyed.servers', worker.id, worker.entry())
    # At first only the route has a home.
    store.put('keyed.op', 'config', configuration(7, ['east'], []))
    peer_port = free_port('127.0.0.11')
    gateways = [
        Gateway(temporary, number + 1, store, zone, ZONES, peer_port)
        for number, zone in enumerate(ZONES)
    ]
    answers = {}
    try:
        for gateway in gateways:
            gateway.start()
        for gateway in gateways:
            await gateway.wait_ready()
        await asyncio.sleep(1)
        answer = await ask(gateways[0], 'first')
        record.write(f'route home east: {answer.status}, run by {runs}')
        if answer.status != 200 or runs[0][2] != 'east':
            raise CannotRun('the plain request was not served in its home')
        runs.clear()
        # Now the tenant gets a home, too.
        tenant_homes = ['west'] if TROUBLE else ['east', 'west']
        store.put('keyed.op', 'config', configuration(9, ['east'], tenant_homes))
        record.write(f'version 9 acked: route home east, tenant {tenant_homes}')
        await asyncio.sleep(2 * CONFIG_SECONDS)
        for number in range(REQUESTS):
            name = f'r{number:03}'
            answer = await ask(gateways[number % len(gateways)], name)
            answers[answer.status] = answers.get(answer.status, 0) + 1
            where = [run[1:] for run in runs if run[0] == name]
            record.write(f'{name} -> {answer.status}, run by {where}')
    finally:
        for gateway in gateways:
            gateway.stop()
    allowed = {'east'} & set(tenant_homes)
    outside = [run for run in runs if run[2] not in allowed]
    record.write(
        f'{REQUESTS} requests, answers {answers}; areas that both allow: '
        f'{sorted(allowed)}; run outside of them: {len(outside)}'
    )
    return 1 if outside else 0


if __name__ == '__main__':
    main(HERE, play)
