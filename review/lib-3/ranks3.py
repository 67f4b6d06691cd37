"""Stand-in of a rank group of model workers, as PROTOCOL.md describes it."""

import asyncio
import json

from standins3 import Worker, encode, json_answer, model_report, read_body, signed

RANKS = 4
EXPERTS = 8
LOCATIONS = 6
PASS_SECONDS = 0.05
REPORT_SECONDS = 0.2
EXPERT_MB = 1700
LINK_MBPS = 92000
# What the requests of a rank chose since its start grows by this in a pass.
CHOSEN = [3000, 200, 150, 100, 100, 100, 100, 100]
ENGINE = {
    'slots': 6,
    'kvCapacity': 140000,
    'step_ms': 4.55,
    'per_seq_ms': 0.905,
    'read_per_s': 61400,
    'usual': {'prompt': 674, 'answer': 97},
    'report_lag_ms': REPORT_SECONDS * 1000,
    'stride': 4,
    'linkMbps': LINK_MBPS,
    'layerSets': 1,
    'experts': EXPERTS,
    'locations': LOCATIONS,
    'spares': 4,
    'expertMb': EXPERT_MB,
    'expertRatio': 0.85,
}


def never(rank, order):
    return False


def first_map():
    return [[list(range(rank, EXPERTS, RANKS)) for rank in range(RANKS)]]


class Group:
    """A group of ranks, as PROTOCOL.md describes it.

    ``is_late`` tells whether a rank leaves an order unanswered and carries it
    out late, ``has_extra`` whether it sends an extra copy of its answer to an
    order where the next answer is expected. Both get the rank and the order.
    """

    def __init__(self, record, is_late=None, has_extra=None, late_seconds=2):
        self.is_late = is_late or never
        self.has_extra = has_extra or never
        self.late_seconds = late_seconds
        self.record = record
        self.ranks = []
        self.step = 100
        self.streams = 0
        self.counts = [0] * EXPERTS
        self.pass_begun = asyncio.Condition()
        self.broken = []
        self.switched = 0

    def stream_events(self, request):
        path = request.first.split()[1]
        return int(path.split('events=')[1]) if 'events=' in path else 24

    async def run(self):
        while True:
            await asyncio.sleep(PASS_SECONDS)
            step = self.step + 1
            if not self.streams or any(
                rank.held == step for rank in self.ranks
            ):
                continue
            self.begin(step)
            async with self.pass_begun:
                self.pass_begun.notify_all()

    def begin(self, step):
        self.step = step
        for rank in self.ranks:
            if rank.armed and rank.armed[1] <= step:
                rank.map = rank.prepared
                rank.prepared = rank.armed = None
                self.record.add(
                    rank.name, f'pass {step}: uses map {rank.map[0]}'
                )
                self.switched += 1
        if any(rank.map != self.ranks[0].map for rank in self.ranks):
            versions = [rank.map[0] for rank in self.ranks]
            self.broken.append(step)
            if len(self.broken) < 20:
                self.record.add(
                    'group', f'pass {step} begins with maps {versions}'
                )
        self.counts = [a + b for a, b in zip(self.counts, CHOSEN)]


class Rank(Worker):
    """A rank; its state changes by orders and passes only."""

    def __init__(self, record, number, group):
        super().__init__(
            record, f'i-rank{number}', 'model', f'z{"abc"[number % 3]}', answer
        )
        self.number = number
        self.group = group
        self.map = (0, first_map())
        self.highest = 0
        self.copying = None
        self.prepared = None
        self.armed = None
        self.held = None
        self.reported = {}
        self.answers = 0
        self.late_copies = {}
        self.extra_count = 0
        self.late_count = 0

    async def report_now_and_then(self):
        while True:
            self.reported = model_report(
                self,
                group={
                    'name': 'g1',
                    'epoch': 1,
                    'rank': self.number,
                    'state': 'open',
                },
                size=RANKS,
                step=self.group.step,
                placement=self.map[0],
                prepared={
                    'version': self.prepared[0],
                    'experts': [
                        ranks[self.number] for ranks in self.prepared[1]
                    ],
                }
                if self.prepared
                else None,
                enabled={'version': self.armed[0], 'step': self.armed[1]}
                if self.armed
                else None,
                held={'step': self.held} if self.held else None,
            )
            await asyncio.sleep(REPORT_SECONDS)

    def order(self, order):
        """Return the status of the answer to an order."""
        if order['epoch'] != 1:
            return 409
        return getattr(self, order['op'])(order)

    def prepare(self, order):
        version = order['version']
        known = self.prepared or self.copying
        if known and known[0] == version:
            return 200
        if version <= self.highest or self.armed:
            return 409
        new = sum(
            len(set(after[self.number]) - set(before[self.number]))
            for before, after in zip(self.map[1], order['placement'])
        )
        self.highest = version
        self.prepared = None
        self.copying = (version, order['placement'])
        seconds = new * EXPERT_MB * 8 / LINK_MBPS
        self.record.add(self.name, f'copies {new} experts in {seconds:.3f} s')
        asyncio.get_running_loop().call_later(
            seconds, self.end_copy, self.copying
        )
        return 202

    def end_copy(self, copied):
        if self.copying is copied:
            self.prepared, self.copying = copied, None

    def arm(self, order):
        wanted = (order['version'], order['step'])
        if self.armed == wanted:
            return 200
        is_prepared = self.prepared and self.prepared[0] == order['version']
        if not is_prepared or order['step'] <= self.group.step:
            return 409
        self.armed = wanted
        return 202

    def disarm(self, order):
        if self.map[0] == order['version']:
            return 409
        if self.armed and self.armed[0] == order['version']:
            self.armed = None
            return 202
        return 200

    def retain(self, order):
        if self.held == order['step']:
            return 200
        if self.held or order['step'] <= self.group.step:
            return 409
        self.held = order['step']
        return 202

    def go(self, order):
        if self.held == order['step']:
            self.held = None
            return 202
        return 200


STATUS = {200: '200 OK', 202: '202 Accepted', 409: '409 Conflict'}


async def answer(rank, request, reader, writer):
    await read_body(request, reader)
    path = request.first.split()[1]
    rank.answers += 1
    if path.startswith('/report'):
        writer.write(json_answer(STATUS[200], rank.reported, request))
    elif path.startswith('/picked?lists'):
        body = {
            'placement': {
                'version': rank.map[0],
                'experts': [ranks[rank.number] for ranks in rank.map[1]],
            }
        }
        writer.write(json_answer(STATUS[200], body, request))
    elif path.startswith('/picked'):
        body = {
            'step': rank.group.step,
            'epoch': 1,
            'counts': rank.group.counts,
        }
        writer.write(json_answer(STATUS[200], body, request))
    elif path.startswith('/order'):
        answer_order(rank, request, writer)
    else:
        await stream(rank, request, writer)
    return True


def answer_order(rank, request, writer):
    # An extra answer arrives late: where the next one is expected.
    late = rank.late_copies.pop(writer, None)
    if late:
        rank.record.add(rank.name, 'sends an extra copy of its last answer')
        writer.write(late)
    order = json.loads(request.body)
    shown = {key: order[key] for key in order if key != 'placement'}
    if rank.group.is_late(rank, order):
        rank.late_count += 1
        rank.record.add(rank.name, f'leaves {shown} unanswered')
        asyncio.get_running_loop().call_later(
            rank.group.late_seconds, carry_out_late, rank, order, shown
        )
        return
    status = rank.order(order)
    rank.record.add(rank.name, f'order {shown}: {status}')
    content = json_answer(STATUS[status], {}, request)
    writer.write(content)
    if rank.group.has_extra(rank, order):
        rank.extra_count += 1
        rank.late_copies[writer] = content


def carry_out_late(rank, order, shown):
    status = rank.order(order)
    rank.record.add(rank.name, f'carries out {shown} late: {status}')


async def stream(rank, request, writer):
    group = rank.group
    # A request begins to run with its first token: so does its answer.
    head = encode(
        'HTTP/1.1 200 OK',
        [
            *signed(request),
            ('Content-Type', 'text/event-stream'),
            ('Transfer-Encoding', 'chunked'),
        ],
        length=False,
    )
    group.streams += 1
    try:
        for number in range(1, rank.group.stream_events(request) + 1):
            async with group.pass_begun:
                await group.pass_begun.wait()
            event = f'id: {number}\ndata: piece {number}\n\n'.encode()
            writer.write(head + b'%x\r\n%s\r\n' % (len(event), event))
            head = b''
            await writer.drain()
    finally:
        group.streams -= 1
    writer.write(b'0\r\n\r\n')
