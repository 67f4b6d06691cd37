"""Configuration: wrong refusals, time until in force, cost of the fold."""

import random
import statistics
import time
import tracemalloc
import zlib

from bench.figures import report
from primroseyoke.configuration import (
    ConfigurationRecord,
    ConfigurationStateMachine,
    Outcome,
)
from primroseyoke.operator_client import OperatorClient
from primroseyoke.log_service import LogService
from tests.conftest import is_linked
from tests.fleet import Fleet, free_port, wait_for

SEED = 20261204
SIZES = (100, 600, 2000)
RACING_RECORDS = 4000
HOT_UPSTREAMS = 20
LONGEST_RACE = 8
CHANGES = 20
BALLAST = 600
ZONES = ('zone-a', 'zone-b')


def main():
    measure_refusals()
    measure_fold()
    measure_spread()


class CertifyingFold(ConfigurationStateMachine):
    """Lets an invalid record that passes the version check be the newest."""

    def apply(self, record):
        decision = super().apply(record)
        if decision.outcome is Outcome.INVALID:
            for name in record.parts:
                self.versions[name] = record.offset + 1
        return decision


def measure_refusals():
    """Count correct records that are refused, of 10,000 correct ones."""
    for share in (0, 10, 20, 30):
        with_rule, without = (
            race(fold_class, share)
            for fold_class in (ConfigurationStateMachine, CertifyingFold)
        )
        report(
            f'wrong_refusals_at_{share}_percent_invalid',
            with_rule,
            'per_10000_correct',
            without,
        )


def race(fold_class, share):
    source = random.Random(SEED)
    fold = fold_class()
    fold.apply(record_of(fold, base_parts(HOT_UPSTREAMS)))
    history = [dict(fold.versions)]
    accepted_at = dict.fromkeys(fold.versions, 0)
    correct = refused = 0
    for offset in range(1, RACING_RECORDS + 1):
        number = source.randrange(HOT_UPSTREAMS)
        name = f'upstream/u{number}'
        seen = max(offset - 1 - source.randrange(LONGEST_RACE), 0)
        broken = source.random() * 100 < share
        part = upstream(number, 'leaving')
        if broken:
            part['agent'] = '0.0.0.0:80'
        decision = fold.apply(
            record_of(fold, {name: part}, history[seen][name], seen)
        )
        is_correct = not broken and accepted_at[name] <= seen
        correct += is_correct
        if decision.outcome is Outcome.ACCEPTED:
            accepted_at[name] = offset
        elif is_correct:
            refused += 1
        history.append(dict(fold.versions))
    return refused / correct * 10000


def measure_fold():
    for size in SIZES:
        tracemalloc.start()
        fold = ConfigurationStateMachine()
        fold.apply(record_of(fold, base_parts(size)))
        state, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        report(f'state_per_part_of_{size}', state / (size + 1), 'bytes')
        records = 1100
        started = time.perf_counter()
        for number in range(records):
            part = upstream(number % size, 'leaving')
            fold.apply(record_of(fold, {f'upstream/u{number % size}': part}))
        seconds = time.perf_counter() - started
        report(f'fold_of_{size}', seconds / records * 1e6, 'us_per_record')
        content = fold.snapshot()
        started = time.perf_counter()
        fold.snapshot()
        report(
            f'snapshot_time_of_{size}',
            (time.perf_counter() - started) * 1e3,
            'ms',
        )
        packed = zlib.compress(content)
        report(f'snapshot_of_{size}', len(content), 'bytes')
        report(f'snapshot_in_log_of_{size}', len(packed) * 4 / 3, 'bytes')
        started = time.perf_counter()
        ConfigurationStateMachine().restore(content)
        report(
            f'restore_of_{size}',
            (time.perf_counter() - started) * 1e3,
            'ms',
        )


def measure_spread():
    """Measure from the start of publishing to the last process."""
    with Fleet() as fleet:
        fleet.add_service('draft', 'model', ZONES, tokens=2)
        fleet.add_service('app', 'plain', ZONES)
        fleet.parts.update(
            {f'host/10.0.{n // 250}.{n % 250}': {} for n in range(BALLAST)}
        )
        cut = {'log_service': f'127.0.0.1:{free_port()}'}
        entries = [
            fleet.start_entry('entry-a', ZONES[0]),
            fleet.start_entry('entry-b', ZONES[1]),
            fleet.start_entry('entry-cut', ZONES[1], **cut),
        ]
        assert fleet.publish().returncode == 0
        for entry in entries:
            wait_for(lambda entry=entry: is_linked(entry), 15, 'links')
        spread(fleet)


def spread(fleet):
    source = random.Random(SEED)
    operator = OperatorClient(
        LogService(fleet.log_service.address), None, 'bench'
    )
    processes = {
        name: process
        for name, process in fleet.processes.items()
        if process.admin
    }
    seconds = {name: [] for name in processes}
    for number in range(CHANGES):
        # Any phase of the readers' intervals.
        time.sleep(source.uniform(0, 2))
        started = time.monotonic()
        parts = {'zone/zone-c': {'reason': str(number)}}
        offset = operator.publish(parts, 'bench').offset
        waiting = set(processes)
        while waiting:
            for name in sorted(waiting):
                if processes[name].state()['offset'] >= offset:
                    seconds[name].append(time.monotonic() - started)
                    waiting.discard(name)
            time.sleep(0.02)
    everywhere = [max(times) for times in zip(*seconds.values(), strict=True)]
    report('in_force_everywhere_median', statistics.median(everywhere), 's')
    report('in_force_everywhere_max', max(everywhere), 's', 13)
    cut = seconds['entry-cut']
    report('in_force_cut_entry_median', statistics.median(cut), 's')
    report('in_force_cut_entry_max', max(cut), 's', 13)


def base_parts(size):
    return {
        'service/app': {'kind': 'plain'},
        **{f'upstream/u{number}': upstream(number) for number in range(size)},
    }


def upstream(number, state='in'):
    return {
        'service': 'app',
        'availability_zone': ZONES[number % 2],
        'agent': f'10.1.{number // 250}.{number % 250}:7000',
        'state': state,
    }


def record_of(fold, parts, version=None, seen=None):
    return ConfigurationRecord(
        offset=fold.offset + 1,
        appended_at=0,
        change=random.Random(fold.offset + 1).randbytes(16).hex(),
        author='bench',
        reason='bench',
        parts=parts,
        against={
            name: fold.version(name) if version is None else version
            for name in parts
        },
        seen=fold.offset if seen is None else seen,
    )


if __name__ == '__main__':
    main()
