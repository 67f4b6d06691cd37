"""A rank's entry is removed while its streams go on; see claim.txt.

The rank is cut off from the store for some seconds. With ``TROUBLE=leave`` it is
replaced instead and never reports ``draining``; with ``TROUBLE=drain`` it does.
"""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), 'lib-3'))

from standins3 import (  # noqa: E402
    BEAT_SECONDS,
    Client,
    Gateway,
    Record,
    Store,
    Worker,
    configuration,
    encode,
    free_port,
    json_answer,
    model_report,
    plain_route,
    read_body,
    run_case,
    signed,
)

TROUBLE = os.environ.get('TROUBLE', '1')
# A leaving rank serves this long after its entry has gone (drainMs, and more).
LEAVING_SECONDS = 3.0
# Work that depends on a rank that has ended stalls for stall_ms.
STALL_SECONDS = 1.5
# The group is open again this long after a rank has ended.
FORM_SECONDS = 3.0
# srv_cut: the default length of 5 s; one of the five workers (share .2).
CUT_SECONDS = 5.0
EVENT_SECONDS = 0.1
CONTACT_SECONDS = 3.0
ENGINE = {
    'slots': 6,
    'kvCapacity': 140000,
    'step_ms': 4.55,
    'per_seq_ms': 0.905,
    'read_per_s': 61400,
    'usual': {'prompt': 674, 'answer': 97},
    'report_lag_ms': 200,
    'stride': 4,
    'linkMbps': 92000,
    'layerSets': 1,
    'experts': 4,
    'locations': 4,
    'spares': 2,
    'expertMb': 1700,
    'expertRatio': 0.85,
}


class Group:
    """The group: its epoch, and the rank that it lacks, if any."""

    def __init__(self):
        self.epoch = 1
        self.missing = ''


async def rank_answer(worker, request, reader, writer):
    """Answer as a rank: reports, counts, orders and streams."""
    await read_body(request, reader)
    path = request.first.split()[1]
    group = worker.group
    if path.startswith(('/report', '/picked', '/order')):
        report = model_report(
            worker,
            group={
                'name': 'g1',
                'epoch': group.epoch,
                'rank': worker.rank,
                'state': 'broken' if group.missing else 'open',
            },
            size=2,
            step=100,
            placement=0,
        )
        picked = {'step': 100, 'epoch': group.epoch, 'counts': [1, 1, 1, 1]}
        body, status = report, '200 OK'
        if path.startswith('/picked'):
            body = picked
        elif path.startswith('/order'):
            body, status = {}, '409 Conflict'
        writer.write(json_answer(status, body, request))
        return True
    identity = request.headers['x-primroseyoke-request-id']
    if group.missing:
        missing = group.missing
        await asyncio.sleep(STALL_SECONDS)
        worker.record.add(worker.name, f'turns {identity} away')
        reason = [
            ('X-Primroseyoke-Not-Executed', '1'),
            ('At-Server', missing),
        ]
        writer.write(
            encode('HTTP/1.1 503 Unavailable', signed(request, extra=reason))
        )
        return True
    events = int(path.split('events=')[1])
    worker.record.add(worker.name, f'begins {identity}, {events} events')
    writer.write(
        encode(
            'HTTP/1.1 200 OK',
            [
                *signed(request),
                ('Content-Type', 'text/event-stream'),
                ('Transfer-Encoding', 'chunked'),
            ],
            length=False,
        )
    )
    for number in range(1, events + 1):
        await asyncio.sleep(EVENT_SECONDS)
        if group.missing:
            await asyncio.sleep(STALL_SECONDS)
            worker.record.add(worker.name, f'cuts off {identity}')
            writer.transport.abort()
            return False
        event = f'id: {number}\ndata: piece {number}\n\n'.encode()
        writer.write(b'%x\r\n%s\r\n' % (len(event), event))
        await writer.drain()
    writer.write(b'0\r\n\r\n')
    worker.record.add(worker.name, f'has ended {identity}')
    return True


async def plain_answer(worker, request, reader, writer):
    await read_body(request, reader)
    identity = request.headers['x-primroseyoke-request-id']
    worker.record.add(worker.name, f'runs {identity}')
    await asyncio.sleep(0.03)
    load = ('X-Primroseyoke-Instance-Load', '1,0,6')
    writer.write(
        encode('HTTP/1.1 200 OK', signed(request, extra=[load]), b'x' * 800)
    )
    return True


class Run:
    def __init__(self, record, gateway):
        self.record = record
        self.gateway = gateway
        self.results = {}

    async def request(self, identity, path):
        client = Client(self.record, self.gateway)
        status = 0
        try:
            await client.open()
            client.send(identity, 'POST' if 'draft' in path else 'GET', path,
                        timeout_ms=8000)
            async with asyncio.timeout(9):
                answer = await client.receive()
            status = answer.status
            detail = answer.body[:160] if status != 200 else b'whole'
            self.record.add('client', f'{identity} is answered {status} {detail!r}')
        except (OSError, EOFError, TimeoutError, ValueError) as error:
            self.record.add('client', f'{identity} gets no answer: {error!r}')
        finally:
            client.close()
        self.results[identity] = status

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
    first = [
        plain_route('lookup', '/cufi504/', 'birou', 'idempotent', 800),
    ]
    added = [
        plain_route('draft', '/draft/', 'model', 'streaming', 8000,
                    aimMs=503, gapAimMs=120, resumable=True, sticky=True),
    ]
    services = [
        {'name': 'birou', 'maxConns': 110},
        {'name': 'model', 'maxConns': 418, 'engine': ENGINE},
    ]
    await store.put('keyed.op', 'config', configuration(first, services, 7))
    workers = []
    for number, zone in enumerate(('za', 'zb', 'zc')):
        workers.append(Worker(record, f'i-plain{number}', 'birou', zone, plain_answer))
    ranks = []
    group = Group()

    def add_rank(name, number):
        rank = Worker(record, name, 'model', ('za', 'zb')[number], rank_answer)
        rank.rank = number
        rank.group = group
        ranks.append(rank)
        return rank

    async def replace(left):
        """Replace a rank; it reports ``draining`` with ``TROUBLE=drain``."""
        beats[left.name].cancel()
        entry = b''
        if TROUBLE == 'drain':
            left.state = 'draining'
            entry = left.entry()
        record.add('store', f'entry of {left.name}, which leaves: {entry}')
        await store.put('keyed.servers', left.name, entry)
        await asyncio.sleep(LEAVING_SECONDS)
        if TROUBLE == 'drain':
            await store.put('keyed.servers', left.name, b'')
        record.add('trouble', f'{left.name} ends')
        group.missing = left.name
        left.server.close()
        left.reset_all()
        await asyncio.sleep(FORM_SECONDS)
        new = add_rank('i-rank2', left.rank)
        await new.start()
        group.missing = ''
        group.epoch = 2
        beats[new.name] = asyncio.create_task(new.beat(store))
        record.add('trouble', f'{new.name} is in its place, the group is open')

    for number in range(2):
        add_rank(f'i-rank{number}', number)
    beats = {}
    for worker in (*workers, *ranks):
        await worker.start()
        beats[worker.name] = asyncio.create_task(worker.beat(store))
    gateway = Gateway(record, folder, store, peer_port=free_port('127.0.0.11'))
    run = Run(record, gateway)
    try:
        await gateway.start()
        await asyncio.sleep(3)
        # The operator adds the route of the model service.
        await store.put('keyed.op', 'config', configuration(first + added, services, 9))
        record.add('operator', 'adds the route of the model service, version 9')
        await asyncio.sleep(4)
        sent = []

        async def drafts(name, count, gap, events):
            for number in range(count):
                sent.append(asyncio.create_task(
                    run.request(f'{name}-{number:03}', f'/draft/x?events={events}')))
                sent.append(asyncio.create_task(
                    run.request(f'lookup-{name}-{number:03}', '/cufi504/x')))
                await asyncio.sleep(gap)

        # Streams of 2 s, two a second.
        before = asyncio.create_task(drafts('before', 14, 0.5, 20))
        await asyncio.sleep(1)
        cut = ranks[1]
        if TROUBLE in {'leave', 'drain'}:
            await replace(cut)
        elif TROUBLE == '1':
            record.add('trouble', f'{cut.name} is cut off from the store')
            beats[cut.name].cancel()
        await asyncio.sleep(3 * BEAT_SECONDS)
        if TROUBLE == '1':
            await store.put('keyed.servers', cut.name, b'')
            record.add('store', f'removes the entry of {cut.name}')
        await asyncio.sleep(CUT_SECONDS - 3 * BEAT_SECONDS)
        if TROUBLE == '1':
            record.add('trouble', f'{cut.name} reaches the store again')
            beats[cut.name] = asyncio.create_task(cut.beat(store))
        await before
        await asyncio.gather(*sent)
        # Steady state begins contactMs after the cut.
        await asyncio.sleep(CONTACT_SECONDS + 1)
        sent.clear()
        record.add('client', 'steady state: a short stream each second')
        await drafts('steady', 40, 1.0, 5)
        await asyncio.gather(*sent)
    finally:
        gateway.end()
        for beat in beats.values():
            beat.cancel()
    if gateway.process.returncode not in (-9, None):
        raise RuntimeError('the gateway ended by itself')
    drafted = run.served('steady')
    looked_up = run.served('lookup-steady')
    started = run.served('before')
    text = (
        f'drafts served before and during the trouble {started}, in steady state '
        f'{drafted}; lookups in steady state {looked_up}'
    )
    record.add('result', text)
    print(text)
    if not started[0] or not looked_up[0]:
        return 2
    added_share = drafted[0] / drafted[1]
    first_share = looked_up[0] / looked_up[1]
    broken = drafted[1] >= 20 and added_share < first_share / 4
    record.add('result', 'CONFIG is broken' if broken else 'CONFIG holds')
    return int(broken)


run_case(FOLDER, scenario)
