"""Runs agents, entries and stand-ins as separate processes on loopback."""

import contextlib
import dataclasses
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time

import urllib3

ROOT = pathlib.Path(__file__).resolve().parent.parent
HTTP = urllib3.PoolManager(maxsize=64, retries=False, timeout=15)


@dataclasses.dataclass
class Process:
    """A child process and its addresses."""

    name: str
    popen: subprocess.Popen
    address: str
    admin: str = ''

    def send_signal(self, signal_number):
        self.popen.send_signal(signal_number)

    def kill(self):
        self.send_signal(signal.SIGKILL)
        self.popen.wait()

    def stop(self, timeout=20):
        self.send_signal(signal.SIGTERM)
        return self.popen.wait(timeout)

    def set_faults(self, **faults):
        HTTP.request('POST', f'http://{self.address}/fault', json=faults)

    def get(self, path):
        return HTTP.request('GET', f'http://{self.address}{path}').json()

    def state(self):
        return HTTP.request('GET', f'http://{self.admin}/state').json()


class Fleet:
    """A deployment on loopback, for use as a context manager.

    The context manager starts the stand-ins of the log service and the host
    list, and kills all processes at the end.
    """

    def __init__(self, defaults=None):
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix='primroseyoke-'))
        self.processes = {}
        self.parts = {'defaults': defaults or {}}

    def __enter__(self):
        self.log_service = self.start_stand_in('log', 'log_service')
        self.host_list = self.start_stand_in('hosts', 'host_list')
        self.write_settings(
            'ctl',
            {
                'log_service': self.log_service.address,
                'host_list': self.host_list.address,
                'author': 'fleet',
            },
        )
        return self

    def __exit__(self, *unused):
        for process in self.processes.values():
            if process.popen.poll() is None:
                process.popen.send_signal(signal.SIGCONT)
                process.popen.kill()
            process.popen.wait()

    def start_stand_in(self, name, kind, port=None, **faults):
        port = port or free_port()
        return self._spawn(
            name,
            ['-m', 'tests.standins', kind, str(port), json.dumps(faults)],
            f'127.0.0.1:{port}',
        )

    def add_service(self, name, kind, zones, non_idempotent=(), **faults):
        """Add a service with one upstream in each of ``zones``."""
        self.parts[f'service/{name}'] = {
            'kind': kind,
            'non_idempotent': list(non_idempotent),
        }
        members = []
        for number, zone in enumerate(zones, 1):
            upstream = f'{name}-{number}'
            members.append(upstream)
            stand_in_kind = 'engine' if kind == 'model' else 'plain'
            self.start_stand_in(f'{upstream}-upstream', stand_in_kind, **faults)
            agent = self.start_agent(upstream, zone)
            self.parts[f'upstream/{upstream}'] = {
                'service': name,
                'availability_zone': zone,
                'agent': agent.address,
            }
        if non_idempotent:
            self.parts[f'homes/{name}'] = {'members': members}

    def start_agent(
        self,
        name,
        zone,
        address=None,
        module='primroseyoke.agent',
        **settings,
    ):
        address = address or f'127.0.0.1:{free_port()}'
        path = self.write_settings(
            'agent',
            {
                'name': name,
                'availability_zone': zone,
                'listen': address,
                'upstream': self.processes[f'{name}-upstream'].address,
                'log_service': self.log_service.address,
                **settings,
            },
            name,
        )
        command = ['-m', module, f'--settings={path}']
        return self._spawn(name, command, address, address)

    def start_entry(self, name, zone, address=None, **settings):
        address = address or f'127.0.0.1:{free_port()}'
        admin = f'127.0.0.1:{free_port()}'
        path = self.write_settings(
            'entry',
            {
                'name': name,
                'availability_zone': zone,
                'listen': address,
                'admin': admin,
                'log_service': self.log_service.address,
                'host_list': self.host_list.address,
                'balancer_delay': 0.5,
                **settings,
            },
            name,
        )
        command = ['-m', 'primroseyoke.entry', f'--settings={path}']
        return self._spawn(name, command, address, admin)

    def restart_agent(self, name, **settings):
        zone = self.parts[f'upstream/{name}']['availability_zone']
        return self.start_agent(
            name, zone, self.processes[name].address, **settings
        )

    def publish(self, parts=None, reason='fleet start', *arguments):
        path = self.directory / 'change.json'
        path.write_text(json.dumps(parts or self.parts))
        return self.run_ctl(
            'publish', str(path), f'--reason={reason}', *arguments
        )

    def run_ctl(self, *arguments):
        self.update_host_list()
        return subprocess.run(
            [
                sys.executable,
                '-m',
                'primroseyoke.ctl',
                f'--settings={self.directory}/ctl.ini',
                *arguments,
            ],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=60,
        )

    def update_host_list(self):
        self.host_list.set_faults(
            hosts=[
                {
                    'name': process.name,
                    'role': 'entry'
                    if process.admin != process.address
                    else 'agent',
                    'availability_zone': 'zone',
                    'address': process.admin,
                }
                for process in self.processes.values()
                if process.admin and process.popen.poll() is None
            ]
        )

    def write_settings(self, program, settings, name=''):
        path = self.directory / f'{name or program}.ini'
        lines = [f'{key} = {value}' for key, value in settings.items()]
        path.write_text('\n'.join([f'[{program}]', *lines, '']))
        return path

    def _spawn(self, name, command, address, admin=''):
        with open(self.directory / f'{name}.log', 'ab') as output:
            popen = subprocess.Popen(
                [sys.executable, *command],
                cwd=ROOT,
                stdout=output,
                stderr=output,
                env={**os.environ, 'PYTHONPATH': str(ROOT)},
            )
        process = Process(name, popen, address, admin)
        self.processes[name] = process
        wait_for(
            lambda: popen.poll() is not None or is_listening(address),
            15,
            f'{name} to listen',
        )
        assert popen.poll() is None, f'{name} ended with {popen.returncode}'
        return process


# Below the range from which the system takes the ports of outgoing connections.
PORTS = range(10000, 30000)
# Holds a reserved port, so that parallel test runs do not get the same one.
RESERVATION_ADDRESS = '127.254.254.254'
reservations = []


def free_port():
    """Return a port of 127.0.0.1 that no other test run gets."""
    for _ in range(200):
        port = random.SystemRandom().choice(PORTS)
        reservation = socket.socket()
        try:
            reservation.bind((RESERVATION_ADDRESS, port))
            with socket.socket() as probe:
                probe.bind(('127.0.0.1', port))
        except OSError:
            reservation.close()
            continue
        reservations.append(reservation)
        return port
    raise OSError('no free port found')


def is_listening(address):
    host, _, port = address.partition(':')
    with contextlib.closing(socket.socket()) as probe:
        probe.settimeout(0.5)
        return probe.connect_ex((host, int(port))) == 0


def wait_for(condition, timeout=10, what='the condition'):
    """Poll until a condition holds; return the seconds that passed."""
    started = time.monotonic()
    while time.monotonic() - started < timeout:
        with contextlib.suppress(urllib3.exceptions.HTTPError, ConnectionError):
            if condition():
                return time.monotonic() - started
        time.sleep(0.05)
    raise TimeoutError(f'timed out after {timeout} s waiting for {what}')


def call(entry, method, path, **options):
    """Send a request to an entry; return the response with its body."""
    return HTTP.request(method, f'http://{entry.address}{path}', **options)


def chat(entry, service, text, stream=True, **headers):
    """Send a chat request; return the response with its body."""
    document = {
        'model': service,
        'stream': stream,
        'messages': [{'role': 'user', 'content': text}],
    }
    path = '/v1/chat/completions'
    return call(entry, 'POST', path, json=document, headers=headers or None)


def chat_text(response):
    """Return the concatenated text of a streamed chat response."""
    pieces = []
    for line in response.data.decode().splitlines():
        if line.startswith('data: ') and line != 'data: [DONE]':
            document = json.loads(line.removeprefix('data: '))
            delta = document['choices'][0]['delta']
            pieces.append(delta.get('content', ''))
    return ''.join(pieces)
