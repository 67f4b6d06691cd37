"""A pass that a late order holds is never released; see claim.txt."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), 'lib-3'))

from ranks3 import ENGINE, RANKS, Group, Rank  # noqa: E402
from standins3 import (  # noqa: E402
    Client,
    Gateway,
    Store,
    Worker,
    configuration,
    encode,
    free_port,
    plain_route,
    read_body,
    run_case,
    signed,
)

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
# applied_late: an order is carried out 2 to 12 s later.
LATE_SECONDS = 3.0
CONTACT_SECONDS = 3.0
# They end before the held pass: the change begins 0.25 to 0.5 s after their start.
FIRST_EVENTS = 11
# Clients abandon a stream after a gap of 4 x 503 ms; these are short.
PATIENCE_SECONDS = 2.1
STEADY_COUNT = 30


async def plain_answer(worker, request, reader, writer):
    await read_body(request, reader)
    await asyncio.sleep(0.03)
    writer.write(encode('HTTP/1.1 200 OK', signed(request), b'x' * 800))
    return True


class Clients:
    """Clients whose channels go to one gateway, and their retries to another."""

    def __init__(self, record, gateway, other):
        self.record = record
        self.gateway = gateway
        self.other = other
        self.results = {}

    async def send(self, identity, method, path):
        status = await self.attempt(identity, self.gateway, method, path, 8000)
        if status != 200:
            status = await self.attempt(
                f'{identity}-again', self.other, method, path, 5900
            )
        self.results[identity] = status

    async def attempt(self, identity, gateway, method, path, timeout_ms):
        client = Client(self.record, gateway)
        try:
            await client.open()
            client.send(identity, method, path, timeout_ms=timeout_ms)
            async with asyncio.timeout(PATIENCE_SECONDS):
                found = await client.receive()
            self.record.add('client', f'{identity} is answered {found.status}')
            return found.status
        except (OSError, EOFError, ValueError) as error:
            self.record.add('client', f'{identity} gets no answer: {error!r}')
            return 0
        finally:
            client.close()

    def served(self, prefix):
        found = [
            status
            for identity, status in self.results.items()
            if identity.startswith(prefix)
        ]
        return sum(status == 200 for status in found), len(found)


async def scenario(record, folder):
    store = Store()
    await store.start()
    first = [plain_route('lookup', '/cufi504/', 'birou', 'idempotent', 800)]
    added = [
        plain_route('draft', '/draft/', 'model', 'streaming', 8000,
                    aimMs=503, gapAimMs=120, resumable=True, sticky=True),
    ]
    services = [
        {'name': 'birou', 'maxConns': 110},
        {'name': 'model', 'maxConns': 418, 'engine': ENGINE},
    ]
    await store.put('keyed.op', 'config', configuration(first, services, 7))

    def is_late(rank, order):
        # The first order to hold a pass, and no other.
        return TROUBLE and order['op'] == 'retain' and not rank.late_count

    group = Group(record, is_late=is_late, late_seconds=LATE_SECONDS)
    group.ranks = [Rank(record, number, group) for number in range(RANKS)]
    plain = Worker(record, 'i-plain', 'birou', 'za', plain_answer)
    tasks = [asyncio.create_task(group.run())]
    for worker in (*group.ranks, plain):
        await worker.start()
        tasks.append(asyncio.create_task(worker.beat(store)))
    for rank in group.ranks:
        tasks.append(asyncio.create_task(rank.report_now_and_then()))
    port = free_port('127.0.0.12')
    gateways = [
        Gateway(record, folder, store, number, port, zone)
        for number, zone in ((1, 'za'), (2, 'zb'))
    ]
    clients = Clients(record, gateways[1], gateways[0])
    try:
        for gateway in gateways:
            await gateway.start()
        await asyncio.sleep(3)
        await store.put(
            'keyed.op', 'config', configuration(first + added, services, 9)
        )
        record.add('operator', 'adds the route of the model service')
        await asyncio.sleep(4)
        await asyncio.gather(
            clients.send('before-0', 'POST', f'/draft/x?events={FIRST_EVENTS}'),
            clients.send('before-1', 'POST', f'/draft/x?events={FIRST_EVENTS}'),
        )
        await asyncio.sleep(LATE_SECONDS + CONTACT_SECONDS + 1)
        record.add('client', f'steady state; the last pass was {group.step}')
        sent = []
        for number in range(STEADY_COUNT):
            for name, method, path in (
                ('steady', 'POST', '/draft/x?events=5'),
                ('lookup', 'GET', '/cufi504/x'),
            ):
                sent.append(
                    asyncio.create_task(
                        clients.send(f'{name}-{number:03}', method, path)
                    )
                )
            await asyncio.sleep(1.5)
        await asyncio.gather(*sent)
    finally:
        for gateway in gateways:
            gateway.end()
        for task in tasks:
            task.cancel()
    drafted, looked_up = clients.served('steady'), clients.served('lookup')
    text = (
        f'drafts served before {clients.served("before")}, in steady state '
        f'{drafted}; lookups {looked_up}; last pass {group.step}, held '
        f'{[rank.held for rank in group.ranks]}'
    )
    record.add('result', text)
    print(text)
    if not looked_up[0] or not clients.served('before')[0]:
        return 2
    broken = drafted[1] >= 20 and (
        drafted[0] / drafted[1] < looked_up[0] / looked_up[1] / 4
    )
    record.add('result', 'CONFIG is broken' if broken else 'CONFIG holds')
    return int(broken)


run_case(FOLDER, scenario)
