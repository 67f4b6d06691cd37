"""All gateways are killed while the leader undoes a change of map."""

import asyncio
import os
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'lib-2'))

from ranks import RANKS, ZONES, Group, Rank, ask, configuration  # noqa: E402
from standins import Gateway, Store, free_port, main  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
# The share of orders that workers leave unanswered, as the site file says.
UNANSWERED_SHARE = 0.35
# Workers that are cut off from all machines: two of eight, for this long. The
# machines are killed before the cut ends, and start again as it ends.
CUT_RANKS = (5, 6)
CUT_SECONDS = 5.5
KILL_AFTER_SECONDS = 4.4
DOWN_SECONDS = 1.1
# The rule: ``recoverS`` of the site, and the share that has to be served.
RECOVER_SECONDS = 12.0
JUDGED_SECONDS = 15.0
WARM_SECONDS = 10.0
WAIT_SECONDS = 60.0


class Trouble:
    """Cuts two ranks off while one is armed, and the other not yet."""

    def __init__(self, group, record):
        self.group = group
        self.record = record
        self.cut_at = asyncio.Event()

    def on_unanswered(self, rank, order):
        others = [each for each in CUT_RANKS if each != rank.number]
        if (
            not self.cut_at.is_set()
            and order['op'] == 'arm'
            and len(others) == 1
            and self.group.ranks[others[0]].armed
        ):
            self.cut_at.set()
            self.set_silent(True)
            # From here on, each order that arrives is answered, and written.
            self.group.notes = 0
            self.group.unanswered_share = 0.0

    def set_silent(self, silent):
        armed = [rank.number for rank in self.group.ranks if rank.armed]
        text = 'are cut off' if silent else 'are back'
        self.record.write(f'ranks {CUT_RANKS} {text}; armed: {armed}')
        for number in CUT_RANKS:
            self.group.ranks[number].silent = silent


async def strike(trouble, group, gateways, record):
    """Cut two ranks off, and kill all machines before the cut ends."""
    await asyncio.sleep(WARM_SECONDS)
    group.on_unanswered = trouble.on_unanswered
    async with asyncio.timeout(WAIT_SECONDS):
        await trouble.cut_at.wait()
    await asyncio.sleep(KILL_AFTER_SECONDS)
    record.write('all gateways are killed')
    for gateway in gateways:
        gateway.signal(signal.SIGKILL)
    await asyncio.sleep(DOWN_SECONDS)
    trouble.set_silent(False)
    for gateway in gateways:
        gateway.stop()
        gateway.start()
    for gateway in gateways:
        await gateway.wait_ready()
    record.write('all gateways are back')


async def play(record, temporary):
    store = Store()
    await store.start()
    group = Group(record, UNANSWERED_SHARE if TROUBLE else 0.0)
    trouble = Trouble(group, record)
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
    answers = []
    loop = asyncio.get_running_loop()
    try:
        for gateway in gateways:
            gateway.start()
        for gateway in gateways:
            await gateway.wait_ready()
        record.write('3 gateways are ready')
        tasks.append(asyncio.ensure_future(group.run()))
        for number in range(12):
            task = ask(
                gateways[number % 3], number,
                lambda *answer: answers.append(answer),
            )
            tasks.append(asyncio.ensure_future(task))
        started = loop.time()
        if TROUBLE:
            await strike(trouble, group, gateways, record)
            struck = loop.time() - CUT_SECONDS
        else:
            await asyncio.sleep(20)
            struck = loop.time()
        judged_from = loop.time() + RECOVER_SECONDS
        await asyncio.sleep(RECOVER_SECONDS + JUDGED_SECONDS)
        judged_until = loop.time() - 3
        await asyncio.sleep(3)
    finally:
        logs = [gateway.log() for gateway in gateways if gateway.process]
        for gateway in gateways:
            gateway.stop()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    before = share(record, 'before the fault', answers, started, struck)
    after = share(record, 'after recoverS', answers, judged_from, judged_until)
    record.write(
        f'pass {group.step}, held: {[rank.held for rank in group.ranks]}, '
        f'armed: {[rank.armed for rank in group.ranks]}, prepared: '
        f'{[rank.prepared for rank in group.ranks]}'
    )
    text = 'completing or undoing unfinished expert placement change'
    record.write(f'"{text}" in the logs: {sum(map(text_count(text), logs))}')
    if before < 0.25:
        return 2
    return 1 if after < 0.25 else 0


def text_count(text):
    return lambda log: log.count(text)


def share(record, name, answers, first, last):
    """Return the share of the requests sent from ``first`` to ``last``."""
    chosen = [answer for answer in answers if first <= answer[0] < last]
    outcomes = {}
    for _, _, outcome in chosen:
        outcomes[outcome] = outcomes.get(outcome, 0) + 1
    served = sum(served for _, served, _ in chosen)
    record.write(f'{name}: {len(chosen)} requests, {served} served, {outcomes}')
    return served / len(chosen) if chosen else 0.0


if __name__ == '__main__':
    main(HERE, play)
