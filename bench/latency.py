"""Added latency, throughput and memory, compared with direct upstream calls."""

import concurrent.futures
import multiprocessing
import statistics
import sys
import time

import psutil
import urllib3

from bench.figures import report
from bench.slow_readers import open_stream, p95, read_streams, warm_up
from tests.fleet import ROOT, Fleet, call, chat, wait_for

PLAIN_PATH = '/services/app/x'
CALL_COUNT = 300
CLIENT_COUNT = 4
RATE_SECONDS = 5
STREAM_SECONDS = 6
STREAM_COUNT = 200
IDLE_SECONDS = 10
MS_PER_SECOND = 1000


def time_calls(url):
    """Return the duration in seconds of each of ``CALL_COUNT`` calls."""
    pool = urllib3.PoolManager(retries=False, timeout=15)
    seconds = []
    for _ in range(CALL_COUNT):
        started = time.perf_counter()
        assert pool.request('GET', url).status == 200
        seconds.append(time.perf_counter() - started)
    return seconds


def count_calls(url, end):
    pool = urllib3.PoolManager(retries=False, timeout=15)
    count = 0
    while time.time() < end:
        assert pool.request('GET', url).status == 200
        count += 1
    return count


def measure_call_rate(url):
    """Return the requests per second of ``CLIENT_COUNT`` threads."""
    end = time.time() + RATE_SECONDS
    with concurrent.futures.ThreadPoolExecutor(CLIENT_COUNT) as pool:
        counts = pool.map(
            count_calls, [url] * CLIENT_COUNT, [end] * CLIENT_COUNT
        )
        return sum(counts) / RATE_SECONDS


def resident_bytes(process):
    return psutil.Process(process.popen.pid).memory_info().rss


def ctl_resident_bytes(fleet):
    """Return the resident bytes of ``ctl watch`` while it waits."""
    popen = psutil.Popen(
        [
            sys.executable,
            '-m',
            'primroseyoke.ctl',
            'watch',
            '999',
            f'--settings={fleet.directory}/ctl.ini',
            '--timeout=3',
        ],
        cwd=ROOT,
        stdout=-3,
        stderr=-3,
    )
    time.sleep(2)
    size = popen.memory_info().rss
    popen.wait(10)
    return size


def cpu_seconds(monitored):
    return {
        name: sum(monitor.cpu_times()[:2])
        for name, monitor in monitored.items()
    }


def report_times(name, through_entry, direct):
    for kind, statistic in (('p50', statistics.median), ('p95', p95)):
        value, baseline = (
            statistic(through_entry) * MS_PER_SECOND,
            statistic(direct) * MS_PER_SECOND,
        )
        report(f'{name}_{kind}', value, 'ms', baseline)
        report(f'{name}_added_{kind}', value - baseline, 'ms')


def main():
    with Fleet({'max_running': 400, 'cold_limit': 400}) as fleet:
        fleet.start_stand_in(
            'draft-1-upstream', 'engine', tokens=100, token_delay=0.02
        )
        agent = fleet.start_agent('draft-1', 'zone-a', threads=400)
        fleet.parts['service/draft'] = {'kind': 'model'}
        fleet.parts['upstream/draft-1'] = {
            'service': 'draft',
            'availability_zone': 'zone-a',
            'agent': agent.address,
        }
        fleet.add_service('app', 'plain', ['zone-a'])
        entry = fleet.start_entry('entry', 'zone-a', threads=STREAM_COUNT + 32)
        assert fleet.publish().returncode == 0
        wait_for(
            lambda: call(entry, 'GET', PLAIN_PATH).status == 200, 20, 'app'
        )
        wait_for(lambda: chat(entry, 'draft', 'end').status == 200, 20, 'draft')
        measure(fleet, entry, fleet.processes)


def measure(fleet, entry, processes):
    measured_processes = {'entry': entry, 'agent': processes['draft-1']}
    for name, process in measured_processes.items():
        report(f'resident_idle_{name}', resident_bytes(process), 'B')
    report('resident_ctl', ctl_resident_bytes(fleet), 'B')
    monitored = {
        name: psutil.Process(process.popen.pid)
        for name, process in measured_processes.items()
    }
    for monitor in monitored.values():
        monitor.cpu_percent()
    time.sleep(IDLE_SECONDS)
    for name, monitor in monitored.items():
        report(f'idle_processor_{name}', monitor.cpu_percent(), 'percent')
    context = multiprocessing.get_context('spawn')
    with concurrent.futures.ProcessPoolExecutor(1, context) as pool:
        through_entry = f'http://{entry.address}{PLAIN_PATH}'
        direct = f'http://{processes["app-1-upstream"].address}/x'
        measure_plain_calls(pool, through_entry, direct)
        cpu_seconds_before = cpu_seconds(monitored)
        streams = [
            pool.submit(read_streams, address, STREAM_SECONDS).result()
            for address in (
                entry.address,
                processes['draft-1-upstream'].address,
            )
        ]
        tokens = sum(map(len, streams[0]))
        for name, seconds in cpu_seconds(monitored).items():
            cpu_ms_per_token = (
                (seconds - cpu_seconds_before[name]) * MS_PER_SECOND / tokens
            )
            report(f'processor_per_token_{name}', cpu_ms_per_token, 'ms')
        report_times('first_token', streams[0][0], streams[1][0])
        report_times('between_tokens', streams[0][1], streams[1][1])
    measure_streams(fleet, entry, measured_processes)


def measure_streams(fleet, entry, measured_processes):
    """Report resident bytes of entry and agent with many open streams."""
    warm_up(fleet, 'draft-1')
    connections = [
        open_stream(entry.address, f'client-{number % 10}')
        for number in range(STREAM_COUNT)
    ]
    wait_for(
        lambda: entry.state()['answers']['open'] == STREAM_COUNT, 10, 'streams'
    )
    for name, process in measured_processes.items():
        report(
            f'resident_{STREAM_COUNT}_streams_{name}',
            resident_bytes(process),
            'B',
        )
    for connection in connections:
        connection.close()


def measure_plain_calls(pool, through_entry, direct):
    times = [
        pool.submit(time_calls, url).result() for url in (through_entry, direct)
    ]
    report_times('plain_call', *times)
    rates = [
        pool.submit(measure_call_rate, url).result()
        for url in (through_entry, direct)
    ]
    report('plain_calls_per_second', rates[0], '1/s', rates[1])


if __name__ == '__main__':
    main()
