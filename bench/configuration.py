"""Configuration: wrong refusals, propagation time, cost of applying records."""

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
UPSTREAM_COUNTS = (100, 600, 2000)
RACING_RECORD_COUNT = 4000
CONTENDED_UPSTREAM_COUNT = 20
MAX_STALENESS_RECORDS = 8
CHANGE_COUNT = 20
EXTRA_PART_COUNT = 600
ZONES = ('zone-a', 'zone-b')


def main():
    measure_wrong_refusals()
    measure_state_machine()
    measure_propagation()


class InvalidRecordsAdvanceVersions(ConfigurationStateMachine):
    """Baseline in which invalid records advance versions as well.

    Correct records that were written against the version before are then
    refused.
    """

    def apply(self, record):
        decision = super().apply(record)
        if decision.outcome is Outcome.INVALID:
            for name in record.parts:
                self.versions[name] = record.offset + 1
        return decision


def measure_wrong_refusals():
    """Report how many of 10,000 correct records are refused."""
    for invalid_percent in (0, 10, 20, 30):
        wrong_refusals, baseline_refusals = (
            simulate_races(state_machine_class, invalid_percent)
            for state_machine_class in (
                ConfigurationStateMachine,
                InvalidRecordsAdvanceVersions,
            )
        )
        report(
            f'wrong_refusals_at_{invalid_percent}_percent_invalid',
            wrong_refusals,
            'per_10000_correct',
            baseline_refusals,
        )


def simulate_races(state_machine_class, invalid_percent):
    generator = random.Random(SEED)
    state_machine = state_machine_class()
    state_machine.apply(
        build_record(state_machine, initial_parts(CONTENDED_UPSTREAM_COUNT))
    )
    history = [dict(state_machine.versions)]
    accepted_at = dict.fromkeys(state_machine.versions, 0)
    correct_count = wrongly_refused_count = 0
    for offset in range(1, RACING_RECORD_COUNT + 1):
        number = generator.randrange(CONTENDED_UPSTREAM_COUNT)
        name = f'upstream/u{number}'
        seen_offset = max(
            offset - 1 - generator.randrange(MAX_STALENESS_RECORDS), 0
        )
        is_invalid = generator.random() * 100 < invalid_percent
        part = upstream_part(number, 'leaving')
        if is_invalid:
            part['agent'] = '0.0.0.0:80'
        decision = state_machine.apply(
            build_record(
                state_machine,
                {name: part},
                history[seen_offset][name],
                seen_offset,
            )
        )
        is_correct = not is_invalid and accepted_at[name] <= seen_offset
        correct_count += is_correct
        if decision.outcome is Outcome.ACCEPTED:
            accepted_at[name] = offset
        elif is_correct:
            wrongly_refused_count += 1
        history.append(dict(state_machine.versions))
    return wrongly_refused_count / correct_count * 10000


def measure_state_machine():
    for upstream_count in UPSTREAM_COUNTS:
        tracemalloc.start()
        state_machine = ConfigurationStateMachine()
        state_machine.apply(
            build_record(state_machine, initial_parts(upstream_count))
        )
        state_bytes, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        report(
            f'state_per_part_of_{upstream_count}',
            state_bytes / (upstream_count + 1),
            'bytes',
        )
        record_count = 1100
        started_at = time.perf_counter()
        for number in range(record_count):
            part = upstream_part(number % upstream_count, 'leaving')
            state_machine.apply(
                build_record(
                    state_machine,
                    {f'upstream/u{number % upstream_count}': part},
                )
            )
        seconds = time.perf_counter() - started_at
        report(
            f'fold_of_{upstream_count}',
            seconds / record_count * 1e6,
            'us_per_record',
        )
        content = state_machine.snapshot()
        started_at = time.perf_counter()
        state_machine.snapshot()
        report(
            f'snapshot_time_of_{upstream_count}',
            (time.perf_counter() - started_at) * 1e3,
            'ms',
        )
        compressed = zlib.compress(content)
        report(f'snapshot_of_{upstream_count}', len(content), 'bytes')
        report(
            f'snapshot_in_log_of_{upstream_count}',
            len(compressed) * 4 / 3,
            'bytes',
        )
        started_at = time.perf_counter()
        ConfigurationStateMachine().restore(content)
        report(
            f'restore_of_{upstream_count}',
            (time.perf_counter() - started_at) * 1e3,
            'ms',
        )


def measure_propagation():
    """Measure the time from publishing until each process has the change."""
    with Fleet() as fleet:
        fleet.add_service('draft', 'model', ZONES, tokens=2)
        fleet.add_service('app', 'plain', ZONES)
        fleet.parts.update(
            {
                f'host/10.0.{n // 250}.{n % 250}': {}
                for n in range(EXTRA_PART_COUNT)
            }
        )
        unreachable_log = {'log_service': f'127.0.0.1:{free_port()}'}
        entries = [
            fleet.start_entry('entry-a', ZONES[0]),
            fleet.start_entry('entry-b', ZONES[1]),
            fleet.start_entry('entry-cut', ZONES[1], **unreachable_log),
        ]
        assert fleet.publish().returncode == 0
        for entry in entries:
            wait_for(lambda entry=entry: is_linked(entry), 15, 'links')
        time_propagation(fleet)


def time_propagation(fleet):
    generator = random.Random(SEED)
    operator = OperatorClient(
        LogService(fleet.log_service.address), None, 'bench'
    )
    processes = {
        name: process
        for name, process in fleet.processes.items()
        if process.admin
    }
    propagation_seconds = {name: [] for name in processes}
    for number in range(CHANGE_COUNT):
        # A random pause spreads the changes over the polling intervals.
        time.sleep(generator.uniform(0, 2))
        started_at = time.monotonic()
        parts = {'zone/zone-c': {'reason': str(number)}}
        offset = operator.publish(parts, 'bench').offset
        pending = set(processes)
        while pending:
            for name in sorted(pending):
                if processes[name].state()['offset'] >= offset:
                    propagation_seconds[name].append(
                        time.monotonic() - started_at
                    )
                    pending.discard(name)
            time.sleep(0.02)
    slowest_seconds = [
        max(process_seconds)
        for process_seconds in zip(*propagation_seconds.values(), strict=True)
    ]
    report(
        'in_force_everywhere_median', statistics.median(slowest_seconds), 's'
    )
    report('in_force_everywhere_max', max(slowest_seconds), 's', 13)
    cut_off_seconds = propagation_seconds['entry-cut']
    report('in_force_cut_entry_median', statistics.median(cut_off_seconds), 's')
    report('in_force_cut_entry_max', max(cut_off_seconds), 's', 13)


def initial_parts(upstream_count):
    return {
        'service/app': {'kind': 'plain'},
        **{
            f'upstream/u{number}': upstream_part(number)
            for number in range(upstream_count)
        },
    }


def upstream_part(number, state='in'):
    return {
        'service': 'app',
        'availability_zone': ZONES[number % 2],
        'agent': f'10.1.{number // 250}.{number % 250}:7000',
        'state': state,
    }


def build_record(state_machine, parts, version=None, seen_offset=None):
    return ConfigurationRecord(
        offset=state_machine.offset + 1,
        appended_at=0,
        change=random.Random(state_machine.offset + 1).randbytes(16).hex(),
        author='bench',
        reason='bench',
        parts=parts,
        against={
            name: state_machine.version(name) if version is None else version
            for name in parts
        },
        seen=state_machine.offset if seen_offset is None else seen_offset,
    )


if __name__ == '__main__':
    main()
