"""Ranks of a group refuse the orders of the leader during a change of map."""

import asyncio
import os
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'lib-2'))

from ranks import RANKS, ZONES, Group, Rank, ask, configuration  # noqa: E402
from standins import Gateway, Store, free_port, main  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
DURATION = 100.0
# The share of orders that workers leave unanswered, as the site file says.
UNANSWERED_SHARE = 0.35
# Workers that are cut off from all machines: two of eight, for this long.
CUT_RANKS = (5, 6)
CUT_SECONDS = 3.0


class Cut:
    """Resets the paths to two ranks while one is armed, and the other not."""

    def __init__(self, group, record):
        self.group = group
        self.record = record
        self.count = 0
        self.task = None

    def on_unanswered(self, rank, order):
        others = [each for each in CUT_RANKS if each != rank.number]
        if (
            self.task is None
            and order['op'] == 'arm'
            and len(others) == 1
            and self.group.ranks[others[0]].armed
        ):
            self.count += 1
            self.task = asyncio.ensure_future(self.run())

    async def run(self):
        armed = [rank.number for rank in self.group.ranks if rank.armed]
        self.record.write(
            f'cut {self.count}: ranks {CUT_RANKS} refuse all machines for '
            f'{CUT_SECONDS} s; armed: {armed}'
        )
        for number in CUT_RANKS:
            self.group.ranks[number].refuse()
        await asyncio.sleep(CUT_SECONDS)
        for number in CUT_RANKS:
            await self.group.ranks[number].start()
        self.record.write('the cut ends')
        await asyncio.sleep(3.0)
        self.task = None


async def play(record, temporary):
    store = Store()
    await store.start()
    group = Group(record, UNANSWERED_SHARE if TROUBLE else 0.0)
    cut = Cut(group, record)
    if TROUBLE:
        group.on_unanswered = cut.on_unanswered
    group.ranks = [Rank(group, number) for number in range(RANKS)]
    tasks = []
    for rank in group.ranks:
        await rank.start()
        tasks.append(asyncio.ensure_future(rank.refresh()))
        store.put('keyed.servers', rank.id, rank.entry())
    store.put('keyed.op', 'config', configuration())
    peer_port = free_port('127.0.0.11')
    gateways = [
        Gateway(temporary, number + 1, store, f'zone-{"abc"[number]}', ZONES,
                peer_port)
        for number in range(3)
    ]
    counts = {}

    def on_answer(sent_at, served, outcome):
        counts[outcome] = counts.get(outcome, 0) + 1

    try:
        for gateway in gateways:
            gateway.start()
        for gateway in gateways:
            await gateway.wait_ready()
        record.write('3 gateways are ready')
        tasks.append(asyncio.ensure_future(group.run()))
        for number in range(12):
            task = ask(gateways[number % 3], number, on_answer)
            tasks.append(asyncio.ensure_future(task))
        loop = asyncio.get_running_loop()
        until = loop.time() + DURATION
        while loop.time() < until and not group.broken_steps:
            await asyncio.sleep(0.1)
    finally:
        for gateway in gateways:
            gateway.stop()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    versions = sorted({rank.version for rank in group.ranks})
    record.write(f'answers: {counts}')
    record.write(
        f'passes: {group.step}, maps in use at the end: {versions}, cuts: '
        f'{cut.count}, passes with different maps: {len(group.broken_steps)}'
    )
    if group.broken_steps:
        return 1
    if not max(versions) or (TROUBLE and not cut.count):
        record.write('no change of map was made, or none was cut')
        return 2
    return 0


if __name__ == '__main__':
    main(HERE, play)
