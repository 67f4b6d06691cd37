"""Added time, requests per second and size, against calling the upstream."""

import concurrent.futures
import multiprocessing
import statistics
import sys
import time

import psutil
import urllib3

from bench.figures import report
from bench.slow_readers import open_stream, p95, read_fast, warm_up
from tests.fleet import ROOT, Fleet, call, chat, wait_for

PLAIN = '/services/app/x'
CALLS = 300
CLIENTS = 4
RATE_SECONDS = 5
STREAM_SECONDS = 6
STREAMS = 200
IDLE_SECONDS = 10
MILLISECONDS = 1000


def time_calls(url):
    """Return the seconds of each of a number of small calls."""
    pool = urllib3.PoolManager(retries=False, timeout=15)
    seconds = []
    for _ in range(CALLS):
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


def rate(url):
    """Return requests per second of a few client threads."""
    end = time.time() + RATE_SECONDS
    with concurrent.futures.ThreadPoolExecutor(CLIENTS) as pool:
        counts = pool.map(count_calls, [url] * CLIENTS, [end] * CLIENTS)
        return sum(counts) / RATE_SECONDS


def resident(process):
    return psutil.Process(process.popen.pid).memory_info().rss


def ctl_resident(fleet):
    """Return the size of the operators' command while it watches."""
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


def processor_seconds(counters):
    return {
        name: sum(counter.cpu_times()[:2]) for name, counter in counters.items()
    }


def report_times(name, ours, direct):
    for kind, of in (('p50', statistics.median), ('p95', p95)):
        value, baseline = of(ours) * MILLISECONDS, of(direct) * MILLISECONDS
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
        entry = fleet.start_entry('entry', 'zone-a', threads=STREAMS + 32)
        assert fleet.publish().returncode == 0
        wait_for(lambda: call(entry, 'GET', PLAIN).status == 200, 20, 'app')
        wait_for(lambda: chat(entry, 'draft', 'end').status == 200, 20, 'draft')
        measure(fleet, entry, fleet.processes)


def measure(fleet, entry, processes):
    watched = {'entry': entry, 'agent': processes['draft-1']}
    for name, process in watched.items():
        report(f'resident_idle_{name}', resident(process), 'B')
    report('resident_ctl', ctl_resident(fleet), 'B')
    counters = {
        name: psutil.Process(process.popen.pid)
        for name, process in watched.items()
    }
    for counter in counters.values():
        counter.cpu_percent()
    time.sleep(IDLE_SECONDS)
    for name, counter in counters.items():
        report(f'idle_processor_{name}', counter.cpu_percent(), 'percent')
    context = multiprocessing.get_context('spawn')
    with concurrent.futures.ProcessPoolExecutor(1, context) as pool:
        ours = f'http://{entry.address}{PLAIN}'
        direct = f'http://{processes["app-1-upstream"].address}/x'
        measure_times(pool, ours, direct)
        before = processor_seconds(counters)
        streams = [
            pool.submit(read_fast, address, STREAM_SECONDS).result()
            for address in (
                entry.address,
                processes['draft-1-upstream'].address,
            )
        ]
        tokens = sum(map(len, streams[0]))
        for name, seconds in processor_seconds(counters).items():
            used = (seconds - before[name]) * MILLISECONDS / tokens
            report(f'processor_per_token_{name}', used, 'ms')
        report_times('first_token', streams[0][0], streams[1][0])
        report_times('between_tokens', streams[0][1], streams[1][1])
    measure_streams(fleet, entry, watched)


def measure_streams(fleet, entry, watched):
    """Report the size of entry and agent with many open streams."""
    warm_up(fleet, 'draft-1')
    callers = [
        open_stream(entry.address, f'client-{number % 10}')
        for number in range(STREAMS)
    ]
    wait_for(lambda: entry.state()['answers']['open'] == STREAMS, 10, 'streams')
    for name, process in watched.items():
        report(f'resident_{STREAMS}_streams_{name}', resident(process), 'B')
    for caller in callers:
        caller.close()


def measure_times(pool, ours, direct):
    times = [pool.submit(time_calls, url).result() for url in (ours, direct)]
    report_times('plain_call', *times)
    rates = [pool.submit(rate, url).result() for url in (ours, direct)]
    report('plain_calls_per_second', rates[0], '1/s', rates[1])


if __name__ == '__main__':
    main()
