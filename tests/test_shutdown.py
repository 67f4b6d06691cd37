"""Graceful shutdown of an entry, an agent and an entire zone under load."""

import concurrent.futures
import http.client
import json
import threading
import time

import pytest

from tests.conftest import ZONES, is_linked
from tests.fleet import Fleet, call, chat, chat_text, wait_for

TOKENS = 40


class LoadGenerator:
    """Callers that send chat requests until they are stopped."""

    def __init__(self, entries, callers=12):
        self.entries = list(entries)
        self.stopped = threading.Event()
        self.failures = []
        self.response_count = 0
        self.executor = concurrent.futures.ThreadPoolExecutor(callers)
        for number in range(callers):
            self.executor.submit(self._run, number)

    def _run(self, number):
        while not self.stopped.is_set():
            entry = self.entries[number % len(self.entries)]
            try:
                response = chat(entry, 'draft', 'the end')
                text = chat_text(response)
                if response.status != 200 or not text.endswith('the end'):
                    self.failures.append(
                        (response.status, response.data[-300:])
                    )
            except Exception as error:
                self.failures.append(repr(error))
            self.response_count += 1

    def stop(self):
        self.stopped.set()
        self.executor.shutdown()


class SlowReader(threading.Thread):
    """Reads one stream in small parts with pauses."""

    def __init__(self, entry, seconds):
        super().__init__(daemon=True)
        host, _, port = entry.address.partition(':')
        self.connection = http.client.HTTPConnection(host, int(port))
        self.seconds = seconds
        self.content = b''
        document = {
            'model': 'draft',
            'stream': True,
            'messages': [{'role': 'user', 'content': 'the end'}],
        }
        self.connection.request(
            'POST',
            '/v1/chat/completions',
            json.dumps(document),
        )
        self.response = self.connection.getresponse()
        self.start()

    def run(self):
        for _ in range(10):
            self.content += self.response.read(200)
            time.sleep(self.seconds / 10)
        self.content += self.response.read()


@pytest.fixture
def running_fleet():
    with Fleet() as fleet:
        fleet.add_service(
            'draft', 'model', ZONES * 2, tokens=TOKENS, token_delay=0.05
        )
        fleet.add_service('app', 'plain', ZONES, ['POST /invoices'])
        entries = [
            fleet.start_entry(f'entry-{zone}', zone, balancer_delay=1.5)
            for zone in ZONES
        ]
        assert fleet.publish().returncode == 0
        for entry in entries:
            wait_for(lambda entry=entry: is_linked(entry), 10, 'links')
        yield fleet, entries


def test_entry_stop_interrupts_no_request(running_fleet):
    """Guards against responses cut off by a planned stop of an entry.

    The load balancer in front notices after one second and sends new
    connections until then.
    """
    fleet, entries = running_fleet
    slow = SlowReader(entries[0], 3)
    load_generator = LoadGenerator(entries)
    time.sleep(1)
    entries[0].send_signal(15)
    time.sleep(1)
    load_generator.entries[:] = entries[1:]
    assert entries[0].popen.wait(20) == 0
    load_generator.stop()
    slow.join(5)
    assert load_generator.failures == []
    assert load_generator.response_count >= 12
    assert slow.content.endswith(b'data: [DONE]\n\n')


def test_agent_stop_interrupts_no_request(running_fleet):
    """Guards against requests lost or cut off by a planned agent stop."""
    fleet, entries = running_fleet
    load_generator = LoadGenerator(entries)
    time.sleep(1)
    assert fleet.processes['draft-1'].stop() == 0
    time.sleep(0.5)
    load_generator.stop()
    assert load_generator.failures == []
    assert load_generator.response_count >= 12


def test_postings_succeed_while_a_zone_is_out(running_fleet):
    """Guards against keyed calls refused while their home's zone is out."""
    fleet, entries = running_fleet
    out = fleet.run_ctl('take-out', f'zone/{ZONES[0]}', '--reason=test')
    assert out.returncode == 0, out.stderr
    for number in range(8):
        answers = [
            call(
                entry,
                'POST',
                '/services/app/invoices',
                body=b'x',
                headers={'Idempotency-Key': f'posting-{number}'},
            )
            for entry in entries
        ]
        assert [answer.status for answer in answers] == [200, 200]
        assert answers[1].headers['Idempotent-Replayed'] == 'true'
    counts = [
        len(fleet.processes[f'app-{number}-upstream'].get('/calls'))
        for number in (1, 2)
    ]
    assert counts == [0, 8]


def test_zone_removal_interrupts_no_request(running_fleet):
    """Guards against cut-off or new requests when a zone is taken out."""
    fleet, entries = running_fleet
    load_generator = LoadGenerator(entries)
    time.sleep(1)
    out = fleet.run_ctl('take-out', f'zone/{ZONES[0]}', '--reason=test')
    assert out.returncode == 0, out.stderr
    upstream = fleet.processes['draft-1-upstream']
    wait_for(lambda: upstream.get('/load')['running'] == 0, 5, 'drain')
    count = upstream.get('/calls_count')
    time.sleep(1)
    load_generator.stop()
    assert upstream.get('/calls_count') == count
    assert load_generator.failures == []
