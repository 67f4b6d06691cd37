"""Several hundred readers on thin lines next to a few fast ones.

Each slow reader takes about 2 KB/s of an answer of 250 tokens of about 200
bytes. The baseline is an agent that keeps whole answers without merging them.
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
READERS = 300
AGENTS = 4
FAST_READERS = 4
TICK = 0.25
TICK_BYTES = 512
TOKENS = 250
TOKEN_DELAY = 0.05
START_SPREAD = 4.0
UNLIMITED = 2**30
NAIVE_LIMITS = {
    name: UNLIMITED
    for name in ('answer_bytes', 'client_bytes', 'process_bytes')
}
EXPECTED = ''.join(f'{word} ' for word in range(TOKENS)) + 'end'


class SlowReader:
    """Caller on a thin line."""

    def __init__(self, address, number, starts_at):
        self.address = address
        self.number = number
        self.starts_at = starts_at
        self.started_at = 0
        self.seconds = 0
        self.socket = None
        self.received = b''

    def step(self):
        """Take a few bytes; return whether the answer is complete."""
        now = time.monotonic()
        if self.seconds or now < self.starts_at:
            return bool(self.seconds)
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
            self.seconds = time.monotonic() - self.started_at
            self.socket.close()
        return bool(self.seconds)

    def is_whole(self):
        if not self.received.endswith(b'\r\n0\r\n\r\n'):
            sys.stderr.write(f'not whole: {self.received[:300]!r}\n')
            return False
        return EXPECTED == chat_text(Unchunked(self.received))


class Unchunked:
    """Body of a chunked answer."""

    def __init__(self, received):
        _, _, rest = received.partition(b'\r\n\r\n')
        self.data = b''
        while rest:
            size, _, rest = rest.partition(b'\r\n')
            self.data += rest[: int(size, 16)]
            rest = rest[int(size, 16) + 2 :]


_NUMBERS = itertools.count()


def open_stream(address, client, receive_buffer=4096):
    host, _, port = address.partition(':')
    caller = socket.socket()
    if receive_buffer:
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        # The segments of loopback exceed the buffer, so that the sender would
        # wait for its persist timer.
        caller.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1000)
    caller.connect((host, int(port)))
    # Equal prompts would all go to one engine, for its prefix cache.
    first = {'content': f'caller {next(_NUMBERS)}'}
    messages = [first, {'content': 'end'}]
    body = json.dumps({'model': 'draft', 'stream': True, 'messages': messages})
    caller.sendall(
        f'POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\n'
        f'Client-Account: {client}\r\nRequest-Timeout: 100\r\n'
        f'Content-Length: {len(body)}\r\n\r\n{body}'.encode()
    )
    caller.setblocking(bool(not receive_buffer))
    return caller


def read_fast(address, seconds):
    """Read streams for some seconds; return first-token and token times."""
    firsts, gaps = [], []
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        started = last = time.monotonic()
        caller = open_stream(address, 'fast', 0)
        received = b''
        while not received.endswith(b'\r\n0\r\n\r\n'):
            content = caller.recv(65536)
            now = time.monotonic()
            if b'data: ' in content:
                known = b'data: ' in received
                (gaps if known else firsts).append(now - last)
                last = now
            if not content:
                raise ConnectionError(f'cut after {now - started:.1f} s')
            received += content
        caller.close()
    return firsts, gaps


def fast_readers(address, seconds):
    """Run the fast readers in this process."""
    with concurrent.futures.ThreadPoolExecutor(FAST_READERS) as pool:
        found = list(
            pool.map(
                read_fast, [address] * FAST_READERS, [seconds] * FAST_READERS
            )
        )
    return [sum(part, []) for part in zip(*found, strict=True)]


def p95(samples):
    return statistics.quantiles(samples, n=20)[-1]


def start(fleet, **agent_settings):
    fleet.parts['service/draft'] = {'kind': 'model'}
    for number in range(AGENTS):
        name = f'draft-{number}'
        fleet.start_stand_in(
            f'{name}-upstream',
            'engine',
            tokens=TOKENS,
            token_delay=TOKEN_DELAY,
        )
        agent = fleet.start_agent(name, 'zone-a', threads=400, **agent_settings)
        fleet.parts[f'upstream/{name}'] = {
            'service': 'draft',
            'availability_zone': 'zone-a',
            'agent': agent.address,
        }
    entry = fleet.start_entry('entry', 'zone-a', threads=READERS + 32)
    assert fleet.publish().returncode == 0
    wait_for(lambda: len(entry.state()['routing']) == AGENTS, 10, 'links')
    for number in range(AGENTS):
        warm_up(fleet, f'draft-{number}')
    wait_for(lambda: chat(entry, 'draft', 'end').status == 200, 20, 'a draft')
    return entry


def warm_up(fleet, name):
    """Let the agent admit all readers at once.

    An agent that saw its upstream before the configuration applies the
    configured cold limit only to the next incarnation.
    """
    engine, agent = fleet.processes[f'{name}-upstream'], fleet.processes[name]
    wait_for(lambda: agent.state()['accepting'], 10, 'the configuration')
    engine.set_faults(poison='crash')
    with contextlib.suppress(urllib3.exceptions.HTTPError):
        HTTP.request('POST', f'http://{engine.address}/', body=b'crash')
    engine.set_faults(poison=None)
    wait_for(lambda: agent.state()['limit'] > READERS, 10, 'the limit')


def resident(processes):
    return sum(
        psutil.Process(process.popen.pid).memory_info().rss
        for process in processes
    )


def measure(**agent_settings):
    """Return the figures of one deployment by name."""
    rng = random.Random(SEED)
    defaults = {'cold_limit': 400, 'max_running': 400, 'deadline': 100}
    with Fleet(defaults) as fleet:
        entry = start(fleet, **agent_settings)
        agents = [fleet.processes[f'draft-{n}'] for n in range(AGENTS)]
        idle = resident([entry]), resident(agents)
        now = time.monotonic()
        readers = [
            SlowReader(entry.address, n, now + rng.uniform(0, START_SPREAD))
            for n in range(READERS)
        ]
        peak = {}
        context = multiprocessing.get_context('spawn')
        with concurrent.futures.ProcessPoolExecutor(1, context) as pool:
            fast = pool.submit(fast_readers, entry.address, 10)
            run(readers, lambda: sample(entry, agents, idle, peak))
            firsts, gaps = fast.result()
    whole = sum(reader.is_whole() for reader in readers)
    seconds = [reader.seconds for reader in readers]
    return {
        **peak,
        'slow_whole': (whole, 'answers'),
        'slow_wire_bytes': (
            statistics.mean(len(reader.received) for reader in readers),
            'B',
        ),
        'slow_whole_p50': (statistics.median(seconds), 's'),
        'slow_whole_p95': (p95(seconds), 's'),
        'fast_first_token_p50': (statistics.median(firsts) * 1000, 'ms'),
        'fast_first_token_p95': (p95(firsts) * 1000, 'ms'),
        'fast_between_tokens_p50': (statistics.median(gaps) * 1000, 'ms'),
        'fast_between_tokens_p95': (p95(gaps) * 1000, 'ms'),
    }


def run(readers, observe):
    tick = 0
    next_tick = time.monotonic()
    while not all([reader.step() for reader in readers]):
        tick += 1
        if tick % 4 == 0:
            observe()
        next_tick += TICK
        time.sleep(max(next_tick - time.monotonic(), 0))


def sample(entry, agents, idle, peak):
    """Keep the highest figures seen."""
    entry_held = entry.state()['answers']['held_bytes']
    states = [agent.state()['answers'] for agent in agents]
    agent_held = sum(found['held_bytes'] for found in states)
    figures = {
        'entry_held': entry_held,
        'agents_held': agent_held,
        'held_per_slow_reader': (entry_held + agent_held) / READERS,
        'entry_resident_growth': resident([entry]) - idle[0],
        'agents_resident_growth': resident(agents) - idle[1],
    }
    for name, value in figures.items():
        peak[name] = (max(value, peak.get(name, (0,))[0]), 'B')


def main():
    sys.stdout.write(f'slow_readers: seed {SEED}, {READERS} slow readers\n')
    ours = measure()
    naive = measure(module='bench._baseline_agent', **NAIVE_LIMITS)
    for name, (value, unit) in ours.items():
        report(name, value, unit, naive[name][0])


if __name__ == '__main__':
    main()
