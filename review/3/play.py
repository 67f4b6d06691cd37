"""A burst of clients with long bodies: is a gateway killed for its memory?"""

import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), 'lib'))

from standins import *  # noqa: E402, F403

MEMORY_MB = 300
BODY_BYTES = 4 * 2**20
# Clients of a quiet hour at this machine; a burst has 1.7 times as many.
CLIENTS = 36
BURST = 1.7


class App(Worker):
    async def run(self, method, target, headers, body, writer):
        self.runs.append(headers['x-primroseyoke-request-id'])
        await asyncio.sleep(0.045)
        await self.reply(writer, 200, self.signed(headers), b'booked')
        return True


async def play(record, temporary, gateways):
    store = Store()
    await store.start()
    workers = [App(f'i-{number}', 'app') for number in range(3)]
    for worker in workers:
        await worker.start()
        store.put('keyed.servers', worker.name, worker.entry())
    store.put('keyed.op', 'config', configuration(
        [route('/post/', 'non_idempotent', 'app', timeoutMs=8000, attempts=1)],
        [service('app')],
        maxBodyBytes=BODY_BYTES,
    ))
    gateway = Gateway(1, store, temporary, memoryMb=MEMORY_MB)
    gateways.append(gateway)
    gateway.start()
    await gateway.wait_ready()
    await asyncio.sleep(4)

    count = round(CLIENTS * BURST) if TROUBLE else CLIENTS
    results = {}
    killed_at = []

    async def platform():
        """Kill the process if it exceeds its memory, as the platform does."""
        peak = 0
        while True:
            size = gateway.resident_mb()
            if size > peak + 20:
                peak = size
                record(f'gateway holds {size:.0f} MB of {MEMORY_MB}')
            if size > MEMORY_MB:
                record(f'gateway killed by the platform at {size:.0f} MB')
                gateway.kill()
                killed_at.append(time.monotonic())
                return
            await asyncio.sleep(0.01)

    async def client(number):
        reader, writer = await asyncio.open_connection(gateway.ip, gateway.front)
        small = f'small-{number}'
        writer.write(request_head('POST', '/post/x', small, 8000, 2) + b'ok')
        head = await read_head(reader)
        await read_body(reader, head[1])
        ready.append(number)
        while len(ready) < count:
            await asyncio.sleep(0.01)
        for turn in range(3):
            request_id = f'long-{number}-{turn}'
            results[request_id] = 'no answer'
            try:
                writer.write(request_head(
                    'POST', '/post/x', request_id, 8000, BODY_BYTES,
                ))
                for _ in range(BODY_BYTES // 65536):
                    writer.write(b'x' * 65536)
                    await writer.drain()
                head = await read_head(reader)
                if head is None:
                    return
                await read_body(reader, head[1])
                results[request_id] = head[0].split()[1]
            except ConnectionError:
                return
        writer.close()

    ready = []
    record(f'{count} clients, each with a kept channel, send bodies of {BODY_BYTES} bytes')
    watch = asyncio.ensure_future(platform())
    await asyncio.gather(*(client(number) for number in range(count)))
    watch.cancel()
    ran = {request_id for worker in workers for request_id in worker.runs}
    for request_id, result in sorted(results.items()):
        record(f'{request_id}: {result}{", run by a worker" if request_id in ran else ""}')
    lost = [key for key, result in results.items() if result == 'no answer']
    passed_on = [key for key in lost if key in ran]
    record(f'{len(results)} long requests, {len(lost)} without an answer, '
           f'{len(passed_on)} of these run by a worker')
    return bool(killed_at) and len(passed_on) > 3


main(FOLDER, play)
