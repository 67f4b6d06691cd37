"""Memory and speed of key rows: ``python -m bench keys``."""

import gc
import math
import random
import time
import tracemalloc

import msgspec

from bench.figures import report
from primroseyoke.configuration import Homes
from primroseyoke.key_handover import KeyHandover
from primroseyoke.idempotency_keys import (
    KeyTable,
    KeyedCall,
    StoredResponse,
    key_creation_time,
)
from primroseyoke.log_service import LogRecord

SEED = 1
SIZES = (1000, 10000, 50000)
LIFETIME = 600
HOMES = Homes(members=('app-1', 'app-2', 'app-3'))
ANSWER_BYTES = 200


class CountingLog:
    """Counts the bytes that a handover appends."""

    def __init__(self):
        self.records = 0
        self.size = 0

    def append(self, stream, content):
        self.records += 1
        self.size += len(msgspec.json.encode(content))
        return LogRecord(0, 0, content)


def main():
    generator = random.Random(SEED)
    for size in SIZES:
        for answer_bytes in (0, ANSWER_BYTES):
            measure(generator, size, answer_bytes)


def measure(generator, size, answer_bytes):
    now = time.time()
    table = KeyTable('app-1', LIFETIME, max_rows=max(SIZES))
    table.open({}, -math.inf)
    texts = [new_key(generator, now) for _ in range(4 * size)]
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    fill(table, texts, size, answer_bytes, now)
    gc.collect()
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    name = f'{size}_answer_{answer_bytes}'
    # The keys are held by the list as well, so they are added by length.
    key_bytes = texts[0].__sizeof__()
    report(f'key_row_bytes_{name}', used / size + key_bytes, 'bytes')
    handover(table, name, now)
    table = KeyTable('app-1', LIFETIME, max_rows=max(SIZES))
    table.open({}, -math.inf)
    started = time.perf_counter()
    asked = fill(table, texts, size, answer_bytes, now)
    elapsed = time.perf_counter() - started
    report(f'key_claims_{name}', asked / elapsed, 'claims/s')
    started = time.perf_counter()
    table.expire(now)
    elapsed = time.perf_counter() - started
    report(f'key_expire_{name}', elapsed * 1000, 'ms')


def new_key(generator, now):
    rest = generator.getrandbits(74)
    number = int(now * 1000) << 80 | 7 << 76 | 2 << 62
    number |= rest >> 62 << 64 | rest & (1 << 62) - 1
    digits = f'{number:032x}'
    return '-'.join(
        digits[start:end]
        for start, end in ((0, 8), (8, 12), (12, 16), (16, 20), (20, 32))
    )


def fill(table, texts, size, answer_bytes, now):
    """Claim and finish calls until ``size`` rows are held."""
    for asked, text in enumerate(texts, 1):
        call = KeyedCall('app', 'c', text, key_creation_time(text), now, asked)
        claim = table.claim(call, HOMES, True, now)
        if type(claim).__name__ == 'Execute':
            finish(table, call, answer_bytes)
        if len(table.rows) >= size:
            return asked
    return len(texts)


def finish(table, call, answer_bytes):
    answer = None
    if answer_bytes:
        headers = tuple([('Content-Type', 'application/json')])
        answer = StoredResponse(200, headers, b'x' * answer_bytes)
    table.finish(call, answer)


def handover(table, name, now):
    log = CountingLog()
    started = time.perf_counter()
    KeyHandover(log, 'app-1', 'bench').hand_over(table.rows, 0, now)
    elapsed = time.perf_counter() - started
    report(f'key_handover_records_{name}', log.records, 'records')
    report(f'key_handover_size_{name}', log.size / len(table.rows), 'bytes/row')
    report(f'key_handover_time_{name}', elapsed * 1000, 'ms')


if __name__ == '__main__':
    main()
