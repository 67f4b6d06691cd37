"""Memory and speed of the idempotency key table and its handover."""

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
ROW_COUNTS = (1000, 10000, 50000)
LIFETIME_SECONDS = 600
HOMES = Homes(members=('app-1', 'app-2', 'app-3'))
ANSWER_BYTES = 200


class CountingLog:
    """Log that counts appended records and their bytes."""

    def __init__(self):
        self.record_count = 0
        self.appended_bytes = 0

    def append(self, stream, content):
        self.record_count += 1
        self.appended_bytes += len(msgspec.json.encode(content))
        return LogRecord(0, 0, content)


def main():
    generator = random.Random(SEED)
    for row_count in ROW_COUNTS:
        for answer_bytes in (0, ANSWER_BYTES):
            measure(generator, row_count, answer_bytes)


def measure(generator, row_count, answer_bytes):
    now = time.time()
    table = KeyTable('app-1', LIFETIME_SECONDS, max_rows=max(ROW_COUNTS))
    table.open({}, -math.inf)
    keys = [new_key(generator, now) for _ in range(4 * row_count)]
    gc.collect()
    tracemalloc.start()
    bytes_before = tracemalloc.get_traced_memory()[0]
    fill_table(table, keys, row_count, answer_bytes, now)
    gc.collect()
    allocated_bytes = tracemalloc.get_traced_memory()[0] - bytes_before
    tracemalloc.stop()
    name = f'{row_count}_answer_{answer_bytes}'
    # The list also references the key strings, so that they are not in the
    # traced memory of the table; their size is added here.
    key_bytes = keys[0].__sizeof__()
    report(
        f'key_row_bytes_{name}',
        allocated_bytes / row_count + key_bytes,
        'bytes',
    )
    measure_handover(table, name, now)
    table = KeyTable('app-1', LIFETIME_SECONDS, max_rows=max(ROW_COUNTS))
    table.open({}, -math.inf)
    started_at = time.perf_counter()
    claim_count = fill_table(table, keys, row_count, answer_bytes, now)
    elapsed = time.perf_counter() - started_at
    report(f'key_claims_{name}', claim_count / elapsed, 'claims/s')
    started_at = time.perf_counter()
    table.expire(now)
    elapsed = time.perf_counter() - started_at
    report(f'key_expire_{name}', elapsed * 1000, 'ms')


def new_key(generator, now):
    random_bits = generator.getrandbits(74)
    number = int(now * 1000) << 80 | 7 << 76 | 2 << 62
    number |= random_bits >> 62 << 64 | random_bits & (1 << 62) - 1
    digits = f'{number:032x}'
    return '-'.join(
        digits[start:end]
        for start, end in ((0, 8), (8, 12), (12, 16), (16, 20), (20, 32))
    )


def fill_table(table, keys, row_count, answer_bytes, now):
    """Claim and finish calls until ``size`` rows are held."""
    for claim_count, key in enumerate(keys, 1):
        keyed_call = KeyedCall(
            'app', 'c', key, key_creation_time(key), now, claim_count
        )
        claim = table.claim(keyed_call, HOMES, True, now)
        if type(claim).__name__ == 'Execute':
            finish_call(table, keyed_call, answer_bytes)
        if len(table.rows) >= row_count:
            return claim_count
    return len(keys)


def finish_call(table, call, answer_bytes):
    answer = None
    if answer_bytes:
        headers = tuple([('Content-Type', 'application/json')])
        answer = StoredResponse(200, headers, b'x' * answer_bytes)
    table.finish(call, answer)


def measure_handover(table, name, now):
    log = CountingLog()
    started_at = time.perf_counter()
    KeyHandover(log, 'app-1', 'bench').hand_over(table.rows, 0, now)
    elapsed = time.perf_counter() - started_at
    report(f'key_handover_records_{name}', log.record_count, 'records')
    report(
        f'key_handover_size_{name}',
        log.appended_bytes / len(table.rows),
        'bytes/row',
    )
    report(f'key_handover_time_{name}', elapsed * 1000, 'ms')


if __name__ == '__main__':
    main()
