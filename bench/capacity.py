"""How the resource use of entries, agents and operator commands scales.

Measures CPU time, memory and traffic of an idle process against the number of
linked peers, memory against open streams and client accounts, and the time in
which an operator queries all processes. Each size runs a real process with
stand-in peers on loopback. Byte counts cover messages and websocket frames,
without TCP and IP headers.
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
from primroseyoke.positions import Position
from primroseyoke.messages import Hello, Load, LoadReport, Welcome, encode
from primroseyoke.operator_client import OperatorClient
from primroseyoke.retries import RetryBudget
from primroseyoke.settings import Address
from tests.fleet import Fleet, free_port, wait_for
from tests.standins.host_list import HostList as StandInHostList
from tests.standins.servers import StandInServer

PEER_COUNTS = (16, 64, 128)
IDLE_SECONDS = 12
_FRAME_HEADER_BYTES = 8
_REPORT_INTERVAL_SECONDS = 5.0


class TrafficCounter:
    """Counts messages and bytes in each direction."""

    def __init__(self):
        self.counts = collections.Counter()

    def add(self, direction, message):
        self.counts[f'{direction}_messages'] += 1
        size = len(encode(message)) + _FRAME_HEADER_BYTES
        self.counts[f'{direction}_bytes'] += size


class StandInAgents:
    """Stand-in agents that send load reports at the interval of real ones."""

    def __init__(self, count, traffic):
        self.traffic = traffic
        self.stopped = threading.Event()
        self.servers = {
            f'draft-{number}': self._start_server(f'draft-{number}')
            for number in range(count)
        }
        threading.Thread(target=self._send_load_reports, daemon=True).start()

    def _start_server(self, name):
        server = LinkServer(
            Address('127.0.0.1', free_port()),
            lambda: Welcome(name, 'incarnation', Load(1, 0, 8)),
            lambda peer, message: self.traffic.add('sent', message),
            lambda peer: None,
            dict,
        )
        server.start()
        return server

    def _send_load_reports(self):
        message = LoadReport(Load(1, 0, 8))
        while not self.stopped.wait(_REPORT_INTERVAL_SECONDS):
            for server in self.servers.values():
                self.traffic.add('received', message)
                server.broadcast(message)

    def linked_count(self):
        return sum(bool(server.connections) for server in self.servers.values())

    def stop(self):
        self.stopped.set()
        for server in self.servers.values():
            server.stop()


def measure_idle(process, traffic):
    """Return CPU share, memory and traffic rates of an idle process."""
    monitored = psutil.Process(process.popen.pid)
    before = monitored.cpu_times()
    traffic.counts.clear()
    time.sleep(IDLE_SECONDS)
    after = monitored.cpu_times()
    cpu_seconds = after.user + after.system - before.user - before.system
    rates = {
        name: count / IDLE_SECONDS for name, count in traffic.counts.items()
    }
    return {
        'cpu_share': cpu_seconds / IDLE_SECONDS,
        'resident_bytes': monitored.memory_info().rss,
        'private_bytes': monitored.memory_full_info().uss,
        'threads': monitored.num_threads(),
        **rates,
    }


def measure_entry(count):
    traffic = TrafficCounter()
    agents = StandInAgents(count, traffic)
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
        wait_for(lambda: agents.linked_count() == count, 20, 'links')
        time.sleep(1)
        figures = measure_idle(entry, traffic)
    agents.stop()
    return figures


def measure_agent(count):
    traffic = TrafficCounter()
    with Fleet() as fleet:
        fleet.add_service('draft', 'model', ['zone-a'])
        fleet.publish({**fleet.parts})
        agent = fleet.processes['draft-1']
        pools = [
            _start_entry_pool(number, agent, traffic) for number in range(count)
        ]
        wait_for(
            lambda: all(pool.is_linked('draft-1') for pool in pools),
            20,
            'links',
        )
        time.sleep(1)
        figures = measure_idle(agent, traffic)
        for pool in pools:
            pool.stop()
    return figures


def _start_entry_pool(number, agent, traffic):
    pool = LinkPool(
        Hello(f'entry-{number}', 'zone-a', '0'),
        lambda link, message: traffic.add('sent', message),
        lambda link: None,
    )
    pool.event_loop.start()
    pool.set_agents({'draft-1': agent.address})
    return pool


def fit_line(sizes, values):
    """Return the slope and the intercept of a least-squares line."""
    mean_size = sum(sizes) / len(sizes)
    mean_value = sum(values) / len(values)
    size_variance = sum((size - mean_size) ** 2 for size in sizes)
    covariance = sum(
        (size - mean_size) * (value - mean_value)
        for size, value in zip(sizes, values, strict=True)
    )
    return (
        covariance / size_variance,
        mean_value - covariance / size_variance * mean_size,
    )


def measure_stream_memory():
    """Return resident bytes of entry and agent by number of open streams."""
    stream_counts = (0, 50, 100, 200)
    resident_bytes = {'entry_stream_bytes': [], 'agent_stream_bytes': []}
    with Fleet({'cold_limit': 256, 'max_running': 256}) as fleet:
        fleet.add_service(
            'draft', 'model', ['zone-a'], tokens=60, token_delay=1
        )
        fleet.parts['defaults']['max_running'] = 256
        entry = fleet.start_entry('entry', 'zone-a', threads=256)
        fleet.publish()
        wait_for(lambda: entry.state()['links'].get('draft-1', {}).get('up'))
        agent = fleet.processes['draft-1']
        connections = []
        for stream_count in stream_counts:
            while len(connections) < stream_count:
                connections.append(_open_stream(entry.address))
            time.sleep(3)
            for name, process in (('entry', entry), ('agent', agent)):
                rss = psutil.Process(process.popen.pid).memory_info().rss
                resident_bytes[f'{name}_stream_bytes'].append(rss)
        for connection in connections:
            connection.close()
    return stream_counts, resident_bytes


def _open_stream(address):
    host, _, port = address.partition(':')
    connection = http.client.HTTPConnection(host, int(port))
    messages = [{'role': 'user', 'content': 'x'}]
    document = {'model': 'draft', 'stream': True, 'messages': messages}
    connection.request('POST', '/v1/chat/completions', json.dumps(document))
    return connection


class StateServer(StandInServer):
    """Process that answers requests for its state and nothing else."""

    def handle(self, handler):
        handler.send_json(200, {'offset': 1})


def measure_operator_round():
    """Return the seconds that one query of all process states takes."""
    process_counts = (10, 50, 200)
    seconds = []
    servers = [StateServer().start() for _ in range(max(process_counts))]
    for process_count in process_counts:
        rows = [
            {
                'name': str(number),
                'role': 'agent',
                'availability_zone': 'zone-a',
                'address': server.address,
            }
            for number, server in enumerate(servers[:process_count])
        ]
        host_list = StandInHostList(hosts=rows).start()
        operator = OperatorClient(None, HostList(host_list.address), 'bench')
        started_at = time.monotonic()
        states = operator.host_states()
        seconds.append(time.monotonic() - started_at)
        assert all(state.has_applied(Position(0, 1)) for state in states)
        host_list.stop()
    for server in servers:
        server.stop()
    return process_counts, {'operator_states_seconds': seconds}


def measure_client_memory():
    """Return the bytes that retry budgets take by number of clients."""
    client_counts = (1000, 2000, 4300)
    allocated_bytes = []
    for client_count in client_counts:
        tracemalloc.start()
        budget = RetryBudget()
        for number in range(client_count):
            budget.earn(f'client-{number}', now=0)
        allocated_bytes.append(tracemalloc.get_traced_memory()[0])
        tracemalloc.stop()
    return client_counts, {'client_bytes': allocated_bytes}


def report_slopes(sizes, samples_by_name, unit):
    for name, values in samples_by_name.items():
        for size, value in zip(sizes, values, strict=True):
            report(f'{name}_at_{size}', value, 'each')
        slope_per_unit, intercept = fit_line(sizes, values)
        report(f'{name}_per_{unit}', slope_per_unit, 'slope')
        report(f'{name}_at_zero', intercept, 'each')


def main():
    for role, measure, sizes in (
        ('entry', measure_entry, PEER_COUNTS),
        ('agent', measure_agent, (4, 16, 64)),
    ):
        measured = {size: measure(size) for size in sizes}
        for name in sorted(measured[sizes[-1]]):
            values = [measured[size].get(name, 0) for size in sizes]
            for size, value in zip(sizes, values, strict=True):
                report(f'{role}_{name}_{size}_links', value, 'each')
            slope_per_link, intercept = fit_line(sizes, values)
            report(f'{role}_{name}_per_link', slope_per_link, 'slope')
            report(f'{role}_{name}_at_0_links', intercept, 'each')
    report_slopes(*measure_stream_memory(), 'stream')
    report_slopes(*measure_operator_round(), 'process')
    report_slopes(*measure_client_memory(), 'client')


if __name__ == '__main__':
    main()
