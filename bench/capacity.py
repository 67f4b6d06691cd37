"""Slopes of an entry, an agent and an operator's command.

Control work against the number of peers, memory against open streams, and an
operator's round over all processes. Each size runs a real process with stand-in
peers on loopback. Bytes are those
of messages and websocket frames, without TCP and IP headers.
"""

import collections
import http.client
import json
import threading
import time
import tracemalloc

import psutil

from bench.figures import report
from primroseyoke.host_list import HostList
from primroseyoke.links import LinkPool, LinkServer
from primroseyoke.messages import Hello, Load, LoadReport, Welcome, encode
from primroseyoke.operator_client import OperatorClient
from primroseyoke.retries import RetryBudget
from primroseyoke.settings import Address
from tests.fleet import Fleet, free_port, wait_for
from tests.standins.host_list import HostList as StandInHostList
from tests.standins.servers import StandInServer

SIZES = (16, 64, 128)
IDLE_SECONDS = 12
_FRAME_OVERHEAD = 8
_REPORT_INTERVAL = 5.0


class Traffic:
    """Counts messages and bytes in both directions."""

    def __init__(self):
        self.counts = collections.Counter()

    def add(self, direction, message):
        self.counts[f'{direction}_messages'] += 1
        size = len(encode(message)) + _FRAME_OVERHEAD
        self.counts[f'{direction}_bytes'] += size


class Agents:
    """Stand-in agents that report load as real ones do."""

    def __init__(self, count, traffic):
        self.traffic = traffic
        self.stopped = threading.Event()
        self.servers = {
            f'draft-{number}': self._serve(f'draft-{number}')
            for number in range(count)
        }
        threading.Thread(target=self._report, daemon=True).start()

    def _serve(self, name):
        server = LinkServer(
            Address('127.0.0.1', free_port()),
            lambda: Welcome(name, 'incarnation', Load(1, 0, 8)),
            lambda peer, message: self.traffic.add('sent', message),
            lambda peer: None,
            dict,
        )
        server.start()
        return server

    def _report(self):
        message = LoadReport(Load(1, 0, 8))
        while not self.stopped.wait(_REPORT_INTERVAL):
            for server in self.servers.values():
                self.traffic.add('received', message)
                server.broadcast(message)

    def linked(self):
        return sum(bool(server.peers) for server in self.servers.values())

    def stop(self):
        self.stopped.set()
        for server in self.servers.values():
            server.stop()


def measure(process, traffic):
    """Return processor share, resident bytes and traffic while idle."""
    watched = psutil.Process(process.popen.pid)
    before = watched.cpu_times()
    traffic.counts.clear()
    time.sleep(IDLE_SECONDS)
    after = watched.cpu_times()
    used = after.user + after.system - before.user - before.system
    rates = {
        name: count / IDLE_SECONDS for name, count in traffic.counts.items()
    }
    return {
        'cpu_share': used / IDLE_SECONDS,
        'resident_bytes': watched.memory_info().rss,
        'private_bytes': watched.memory_full_info().uss,
        'threads': watched.num_threads(),
        **rates,
    }


def entry_with(count):
    traffic = Traffic()
    agents = Agents(count, traffic)
    with Fleet() as fleet:
        fleet.parts['service/draft'] = {'kind': 'model'}
        for name, server in agents.servers.items():
            fleet.parts[f'upstream/{name}'] = {
                'service': 'draft',
                'availability_zone': 'zone-a',
                'agent': str(server.listen),
            }
        entry = fleet.start_entry('entry', 'zone-a', links_per_service=count)
        fleet.publish()
        wait_for(lambda: agents.linked() == count, 20, 'links')
        time.sleep(1)
        figures = measure(entry, traffic)
    agents.stop()
    return figures


def agent_with(count):
    traffic = Traffic()
    with Fleet() as fleet:
        fleet.add_service('draft', 'model', ['zone-a'])
        fleet.publish({**fleet.parts})
        agent = fleet.processes['draft-1']
        pools = [_entry_pool(number, agent, traffic) for number in range(count)]
        wait_for(
            lambda: all(pool.is_linked('draft-1') for pool in pools),
            20,
            'links',
        )
        time.sleep(1)
        figures = measure(agent, traffic)
        for pool in pools:
            pool.stop()
    return figures


def _entry_pool(number, agent, traffic):
    pool = LinkPool(
        Hello(f'entry-{number}', 'zone-a', '0'),
        lambda link, message: traffic.add('sent', message),
        lambda link: None,
    )
    pool.event_loop.start()
    pool.set_agents({'draft-1': agent.address})
    return pool


def slope(sizes, values):
    """Return the slope and the level at zero of a least-squares line."""
    mean_size = sum(sizes) / len(sizes)
    mean_value = sum(values) / len(values)
    spread = sum((size - mean_size) ** 2 for size in sizes)
    rise = sum(
        (size - mean_size) * (value - mean_value)
        for size, value in zip(sizes, values, strict=True)
    )
    return rise / spread, mean_value - rise / spread * mean_size


def streams():
    """Return resident bytes of entry and agent at several open streams."""
    sizes = (0, 50, 100, 200)
    found = {'entry_stream_bytes': [], 'agent_stream_bytes': []}
    with Fleet({'cold_limit': 256, 'max_running': 256}) as fleet:
        fleet.add_service(
            'draft', 'model', ['zone-a'], tokens=60, token_delay=1
        )
        fleet.parts['defaults']['max_running'] = 256
        entry = fleet.start_entry('entry', 'zone-a', threads=256)
        fleet.publish()
        wait_for(lambda: entry.state()['links'].get('draft-1', {}).get('up'))
        agent = fleet.processes['draft-1']
        callers = []
        for size in sizes:
            while len(callers) < size:
                callers.append(_open_stream(entry.address))
            time.sleep(3)
            for name, process in (('entry', entry), ('agent', agent)):
                resident = psutil.Process(process.popen.pid).memory_info().rss
                found[f'{name}_stream_bytes'].append(resident)
        for caller in callers:
            caller.close()
    return sizes, found


def _open_stream(address):
    host, _, port = address.partition(':')
    caller = http.client.HTTPConnection(host, int(port))
    messages = [{'role': 'user', 'content': 'x'}]
    document = {'model': 'draft', 'stream': True, 'messages': messages}
    caller.request('POST', '/v1/chat/completions', json.dumps(document))
    return caller


class StateServer(StandInServer):
    """A process that only answers its state."""

    def handle(self, handler):
        handler.send_json(200, {'offset': 1})


def operator():
    """Return the seconds in which an operator asks all processes once."""
    sizes = (10, 50, 200)
    seconds = []
    servers = [StateServer().start() for _ in range(max(sizes))]
    for size in sizes:
        rows = [
            {
                'name': str(number),
                'role': 'agent',
                'availability_zone': 'zone-a',
                'address': server.address,
            }
            for number, server in enumerate(servers[:size])
        ]
        host_list = StandInHostList(hosts=rows).start()
        acting = OperatorClient(None, HostList(host_list.address), 'bench')
        started = time.monotonic()
        states = acting.host_states()
        seconds.append(time.monotonic() - started)
        assert all(state.has(1) for state in states)
        host_list.stop()
    for server in servers:
        server.stop()
    return sizes, {'operator_states_seconds': seconds}


def clients():
    """Return the bytes that an entry keeps for client accounts."""
    sizes = (1000, 2000, 4300)
    kept = []
    for size in sizes:
        tracemalloc.start()
        budget = RetryBudget()
        for number in range(size):
            budget.earn(f'client-{number}', now=0)
        kept.append(tracemalloc.get_traced_memory()[0])
        tracemalloc.stop()
    return sizes, {'client_bytes': kept}


def report_slopes(sizes, found, unit):
    for name, values in found.items():
        for size, value in zip(sizes, values, strict=True):
            report(f'{name}_at_{size}', value, 'each')
        per_unit, level = slope(sizes, values)
        report(f'{name}_per_{unit}', per_unit, 'slope')
        report(f'{name}_at_zero', level, 'each')


def main():
    for role, run, sizes in (
        ('entry', entry_with, SIZES),
        ('agent', agent_with, (4, 16, 64)),
    ):
        measured = {size: run(size) for size in sizes}
        for name in sorted(measured[sizes[-1]]):
            values = [measured[size].get(name, 0) for size in sizes]
            for size, value in zip(sizes, values, strict=True):
                report(f'{role}_{name}_{size}_links', value, 'each')
            per_link, level = slope(sizes, values)
            report(f'{role}_{name}_per_link', per_link, 'slope')
            report(f'{role}_{name}_at_0_links', level, 'each')
    report_slopes(*streams(), 'stream')
    report_slopes(*operator(), 'process')
    report_slopes(*clients(), 'client')


if __name__ == '__main__':
    main()
