"""Several hundred slow readers next to a few fast ones.

Each slow reader consumes about 2 KB/s of an answer of 250 tokens of about 200
bytes each. The baseline is an agent that buffers whole answers without merging
their events.
"""

import concurrent.futures
import contextlib
import itertools
import json
import multiprocessing
import random
import socket
import statistics
import sys
import time

import psutil
import urllib3

from bench.figures import report
from tests.fleet import HTTP, Fleet, chat, chat_text, wait_for

SEED = 7
SLOW_READER_COUNT = 300
AGENT_COUNT = 4
FAST_READER_COUNT = 4
TICK_SECONDS = 0.25
TICK_BYTES = 512
TOKENS_PER_ANSWER = 250
TOKEN_DELAY_SECONDS = 0.05
START_WINDOW_SECONDS = 4.0
UNLIMITED_BYTES = 2**30
BASELINE_LIMITS = {
    name: UNLIMITED_BYTES
    for name in ('answer_bytes', 'client_bytes', 'process_bytes')
}
EXPECTED_TEXT = ''.join(f'{word} ' for word in range(TOKENS_PER_ANSWER)) + 'end'


class SlowReader:
    """Caller with a slow connection."""

    def __init__(self, address, number, starts_at):
        self.address = address
        self.number = number
        self.starts_at = starts_at
        self.started_at = 0
        self.elapsed_seconds = 0
        self.socket = None
        self.received = b''

    def poll(self):
        """Read up to ``TICK_BYTES``; return whether the answer has ended."""
        now = time.monotonic()
        if self.elapsed_seconds or now < self.starts_at:
            return bool(self.elapsed_seconds)
        if self.socket is None:
            self.started_at = now
            self.socket = open_stream(
                self.address, f'client-{self.number % 10}'
            )
            return False
        try:
            content = self.socket.recv(TICK_BYTES)
        except BlockingIOError:
            return False
        self.received += content
        if not content or self.received.endswith(b'\r\n0\r\n\r\n'):
            self.elapsed_seconds = time.monotonic() - self.started_at
            self.socket.close()
        return bool(self.elapsed_seconds)

    def is_complete(self):
        if not self.received.endswith(b'\r\n0\r\n\r\n'):
            sys.stderr.write(
                f'answer lacks its last chunk: {self.received[:300]!r}\n'
            )
            return False
        return EXPECTED_TEXT == chat_text(DechunkedResponse(self.received))


class DechunkedResponse:
    """Response whose chunked body is decoded into ``data``."""

    def __init__(self, received):
        _, _, remaining = received.partition(b'\r\n\r\n')
        self.data = b''
        while remaining:
            size, _, remaining = remaining.partition(b'\r\n')
            self.data += remaining[: int(size, 16)]
            remaining = remaining[int(size, 16) + 2 :]


_PROMPT_NUMBERS = itertools.count()


def open_stream(address, client, receive_buffer=4096):
    host, _, port = address.partition(':')
    connection = socket.socket()
    if receive_buffer:
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer
        )
        # Loopback segments are larger than the receive buffer; without a
        # smaller segment size the sender stalls until its persist timer.
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1000)
    connection.connect((host, int(port)))
    # Prefix affinity would send equal prompts to the same engine.
    unique_message = {'content': f'caller {next(_PROMPT_NUMBERS)}'}
    messages = [unique_message, {'content': 'end'}]
    body = json.dumps({'model': 'draft', 'stream': True, 'messages': messages})
    connection.sendall(
        f'POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\n'
        f'Client-Account: {client}\r\nRequest-Timeout: 100\r\n'
        f'Content-Length: {len(body)}\r\n\r\n{body}'.encode()
    )
    connection.setblocking(bool(not receive_buffer))
    return connection


def read_streams(address, seconds):
    """Read streams for a time; return times to first token and token gaps."""
    first_token_seconds, token_gap_seconds = [], []
    end_at = time.monotonic() + seconds
    while time.monotonic() < end_at:
        started_at = last_token_at = time.monotonic()
        connection = open_stream(address, 'fast', 0)
        received = b''
        while not received.endswith(b'\r\n0\r\n\r\n'):
            content = connection.recv(65536)
            now = time.monotonic()
            if b'data: ' in content:
                has_first_token = b'data: ' in received
                (
                    token_gap_seconds
                    if has_first_token
                    else first_token_seconds
                ).append(now - last_token_at)
                last_token_at = now
            if not content:
                raise ConnectionError(
                    'stream closed before its last chunk, after '
                    f'{now - started_at:.1f} s'
                )
            received += content
        connection.close()
    return first_token_seconds, token_gap_seconds


def run_fast_readers(address, seconds):
    """Run all fast readers in threads of this process."""
    with concurrent.futures.ThreadPoolExecutor(FAST_READER_COUNT) as pool:
        results = list(
            pool.map(
                read_streams,
                [address] * FAST_READER_COUNT,
                [seconds] * FAST_READER_COUNT,
            )
        )
    return [sum(samples, []) for samples in zip(*results, strict=True)]


def p95(samples):
    return statistics.quantiles(samples, n=20)[-1]


def start_fleet(fleet, **agent_settings):
    fleet.parts['service/draft'] = {'kind': 'model'}
    for number in range(AGENT_COUNT):
        name = f'draft-{number}'
        fleet.start_stand_in(
            f'{name}-upstream',
            'engine',
            tokens=TOKENS_PER_ANSWER,
            token_delay=TOKEN_DELAY_SECONDS,
        )
        agent = fleet.start_agent(name, 'zone-a', threads=400, **agent_settings)
        fleet.parts[f'upstream/{name}'] = {
            'service': 'draft',
            'availability_zone': 'zone-a',
            'agent': agent.address,
        }
    entry = fleet.start_entry('entry', 'zone-a', threads=SLOW_READER_COUNT + 32)
    assert fleet.publish().returncode == 0
    wait_for(lambda: len(entry.state()['routing']) == AGENT_COUNT, 10, 'links')
    for number in range(AGENT_COUNT):
        warm_up(fleet, f'draft-{number}')
    wait_for(lambda: chat(entry, 'draft', 'end').status == 200, 20, 'a draft')
    return entry


def warm_up(fleet, name):
    """Raise the limit of the agent so that it admits all readers at once.

    An agent that saw its upstream before it had the configuration applies the
    configured cold limit only to the next incarnation, so the upstream is
    crashed once.
    """
    engine, agent = fleet.processes[f'{name}-upstream'], fleet.processes[name]
    wait_for(lambda: agent.state()['accepting'], 10, 'the configuration')
    engine.set_faults(poison='crash')
    with contextlib.suppress(urllib3.exceptions.HTTPError):
        HTTP.request('POST', f'http://{engine.address}/', body=b'crash')
    engine.set_faults(poison=None)
    wait_for(
        lambda: agent.state()['limit'] > SLOW_READER_COUNT, 10, 'the limit'
    )


def resident_bytes(processes):
    return sum(
        psutil.Process(process.popen.pid).memory_info().rss
        for process in processes
    )


def measure(**agent_settings):
    """Run the readers against one deployment; return its figures by name."""
    generator = random.Random(SEED)
    defaults = {'cold_limit': 400, 'max_running': 400, 'deadline': 100}
    with Fleet(defaults) as fleet:
        entry = start_fleet(fleet, **agent_settings)
        agents = [fleet.processes[f'draft-{n}'] for n in range(AGENT_COUNT)]
        idle_bytes = resident_bytes([entry]), resident_bytes(agents)
        now = time.monotonic()
        readers = [
            SlowReader(
                entry.address,
                n,
                now + generator.uniform(0, START_WINDOW_SECONDS),
            )
            for n in range(SLOW_READER_COUNT)
        ]
        peaks = {}
        context = multiprocessing.get_context('spawn')
        with concurrent.futures.ProcessPoolExecutor(1, context) as pool:
            fast_results = pool.submit(run_fast_readers, entry.address, 10)
            poll_readers(
                readers, lambda: update_peaks(entry, agents, idle_bytes, peaks)
            )
            first_token_seconds, token_gap_seconds = fast_results.result()
    complete_count = sum(reader.is_complete() for reader in readers)
    seconds = [reader.elapsed_seconds for reader in readers]
    return {
        **peaks,
        'slow_whole': (complete_count, 'answers'),
        'slow_wire_bytes': (
            statistics.mean(len(reader.received) for reader in readers),
            'B',
        ),
        'slow_whole_p50': (statistics.median(seconds), 's'),
        'slow_whole_p95': (p95(seconds), 's'),
        'fast_first_token_p50': (
            statistics.median(first_token_seconds) * 1000,
            'ms',
        ),
        'fast_first_token_p95': (p95(first_token_seconds) * 1000, 'ms'),
        'fast_between_tokens_p50': (
            statistics.median(token_gap_seconds) * 1000,
            'ms',
        ),
        'fast_between_tokens_p95': (p95(token_gap_seconds) * 1000, 'ms'),
    }


def poll_readers(readers, observe):
    tick = 0
    next_tick = time.monotonic()
    while not all([reader.poll() for reader in readers]):
        tick += 1
        if tick % 4 == 0:
            observe()
        next_tick += TICK_SECONDS
        time.sleep(max(next_tick - time.monotonic(), 0))


def update_peaks(entry, agents, idle_bytes, peaks):
    """Update the peak values of buffers and resident memory."""
    entry_held_bytes = entry.state()['answers']['held_bytes']
    states = [agent.state()['answers'] for agent in agents]
    agent_held_bytes = sum(answers['held_bytes'] for answers in states)
    figures = {
        'entry_held': entry_held_bytes,
        'agents_held': agent_held_bytes,
        'held_per_slow_reader': (entry_held_bytes + agent_held_bytes)
        / SLOW_READER_COUNT,
        'entry_resident_growth': resident_bytes([entry]) - idle_bytes[0],
        'agents_resident_growth': resident_bytes(agents) - idle_bytes[1],
    }
    for name, value in figures.items():
        peaks[name] = (max(value, peaks.get(name, (0,))[0]), 'B')


def main():
    sys.stdout.write(
        f'slow_readers: seed {SEED}, {SLOW_READER_COUNT} slow readers\n'
    )
    product = measure()
    baseline = measure(module='bench._baseline_agent', **BASELINE_LIMITS)
    for name, (value, unit) in product.items():
        report(name, value, unit, baseline[name][0])


if __name__ == '__main__':
    main()
