"""Overload, crashes and removal of upstreams in separate processes."""

import json
import time
from concurrent.futures import ThreadPoolExecutor

import pytest
import xxhash
from result import Err

from primroseyoke.attempts import AttemptsActor, Drain, MessageReceived
from primroseyoke.configuration_distribution import ConfigurationChanged
from primroseyoke.dispatch import combine_verdicts
from primroseyoke.exceptions import RequestFailed
from primroseyoke.executions import ExecutionEnded
from primroseyoke.idempotency_keys import StoredResponse
from primroseyoke.jobs import outcome_of
from primroseyoke.links import LinkServer
from primroseyoke.messages import (
    End,
    Head,
    Hello,
    Load,
    LoadReport,
    Start,
    Welcome,
)
from primroseyoke.response_buffering import BufferLimits
from primroseyoke.settings import Address
from primroseyoke.verdicts import Verdict
from tests.configurations import build_configuration
from tests.conftest import accepts_all, is_linked
from tests.fleet import HTTP, Fleet, call, chat, chat_text, wait_for

ZONES = ('zone-a', 'zone-b', 'zone-c')
HIGH_LIMITS = {'retry_burst': 1000, 'max_running': 8}


def start_entries(fleet, entries=2):
    fleet.entries = [
        fleet.start_entry(f'entry-{zone}', zone) for zone in ZONES[:entries]
    ]
    assert fleet.publish().returncode == 0
    for entry in fleet.entries:
        wait_for(lambda entry=entry: accepts_all(entry), 10, 'links')


def engine_counts(fleet, upstream):
    return fleet.processes[f'{upstream}-upstream'].get('/counts')


def total_count(fleet, count):
    return sum(
        engine_counts(fleet, name.removeprefix('upstream/'))[count]
        for name in fleet.parts
        if name.startswith('upstream/')
    )


def submit_chats(fleet, pool, count, name):
    """Send distinct requests through all entries in turn."""
    return [
        pool.submit(
            chat,
            fleet.entries[number % len(fleet.entries)],
            'draft',
            f'{name} {number}',
            stream=False,
        )
        for number in range(count)
    ]


def status_set(futures):
    return {future.result().status for future in futures}


def test_cold_upstream_survives_full_load():
    """Guards against overload of a cold upstream, at start or after a crash.

    The simulated engine crashes when its capacity is exceeded.
    """
    faults = {'cold_capacity': 4, 'warm_after_completions': 8, 'capacity': 8}
    with Fleet(HIGH_LIMITS) as fleet, ThreadPoolExecutor(60) as pool:
        fleet.add_service(
            'draft', 'model', ZONES[:1], delay=0.05, poison='!!!', **faults
        )
        start_entries(fleet, entries=3)
        assert status_set(submit_chats(fleet, pool, 120, 'first')) == {200}
        assert engine_counts(fleet, 'draft-1')['crashes'] == 0
        assert engine_counts(fleet, 'draft-1')['peak_running'] == 8
        futures = submit_chats(fleet, pool, 120, 'second')
        begun = engine_counts(fleet, 'draft-1')['requests_started']
        wait_for(
            lambda: (
                engine_counts(fleet, 'draft-1')['requests_started'] > begun + 16
            )
        )
        address = fleet.processes['draft-1-upstream'].address
        with pytest.raises(Exception, match='aborted'):
            HTTP.request('POST', f'http://{address}/', body='!!!')
        assert status_set(futures) == {200}
        assert engine_counts(fleet, 'draft-1')['crashes'] == 1


def test_restarted_agent_does_not_overload_the_upstream(fleet):
    """Guards against a new agent that ignores requests already running."""
    fleet.parts['defaults'] = {'cold_limit': 4, 'max_running': 4}
    faults = {'capacity': 4, 'cold_capacity': 4, 'delay': 6}
    fleet.add_service('draft', 'model', ZONES[:1], **faults)
    start_entries(fleet, entries=1)
    with ThreadPoolExecutor(16) as pool:
        submit_chats(fleet, pool, 4, 'before')
        wait_for(
            lambda: engine_counts(fleet, 'draft-1')['requests_started'] == 4
        )
        fleet.processes['draft-1'].kill()
        agent = fleet.restart_agent('draft-1')
        wait_for(lambda: agent.state()['foreign_running'] == 4)
        fleet.processes['draft-1-upstream'].set_faults(delay=0)
        assert status_set(submit_chats(fleet, pool, 8, 'after')) == {200}
    assert engine_counts(fleet, 'draft-1')['crashes'] == 0


def test_request_waits_for_reconnecting_link(fleet):
    """Guards against refusals while a restarted agent reconnects."""
    fleet.add_service('draft', 'model', ZONES[:1])
    start_entries(fleet, entries=1)
    fleet.processes['draft-1'].kill()
    wait_for(lambda: not accepts_all(fleet.entries[0]))
    fleet.restart_agent('draft-1')
    assert chat(fleet.entries[0], 'draft', 'after').status == 200


def test_request_waits_for_an_agent_without_a_configuration(fleet):
    """Guards against refusals while a restarted agent gets its configuration.

    It is linked before, and refused all requests that came in between.
    """
    fleet.add_service('draft', 'model', ZONES[:1])
    start_entries(fleet, entries=1)
    fleet.processes['draft-1'].kill()
    wait_for(lambda: not accepts_all(fleet.entries[0]))

    def reply(peer, message):
        if isinstance(message, Start):
            empty_digest = xxhash.xxh3_64_intdigest(b'')
            peer.send(Head(message.attempt, 200, (), False, Load()))
            peer.send(End(message.attempt, 0, empty_digest, Load()))

    host, _, port = fleet.processes['draft-1'].address.partition(':')
    agent = LinkServer(
        Address(host, int(port)),
        lambda: Welcome('draft-1', 'i', Load(accepting=False, starting=True)),
        reply,
        lambda peer: None,
        dict,
    )
    agent.start()
    try:
        wait_for(lambda: is_linked(fleet.entries[0]))
        with ThreadPoolExecutor(1) as pool:
            response = pool.submit(chat, fleet.entries[0], 'draft', 'after')
            time.sleep(0.5)
            agent.broadcast(LoadReport(Load(limit=4)))
            assert response.result().status == 200
    finally:
        agent.stop()


@pytest.mark.parametrize('removed', ['zone', 'upstream', 'part'])
def test_removed_upstream_gets_no_new_requests(fleet, removed):
    """Guards against new requests after a removal and against cut responses.

    Also guards against reuse of the old limit once a zone is back, since its
    upstreams may be cold. The second entry reads a log that never receives the
    removal.
    """
    fleet.add_service('draft', 'model', ZONES[:2], token_delay=0.12, tokens=40)
    stale_log = fleet.start_stand_in('stale-log', 'log_service')
    start_entries(fleet, entries=1)
    copy_log(fleet.log_service, stale_log)
    stale = fleet.start_entry('stale', 'zone-a', log_service=stale_log.address)
    wait_for(lambda: accepts_all(stale), 10, 'links')
    entries = (fleet.entries[0], stale)
    with ThreadPoolExecutor(16) as pool:
        streams = [
            pool.submit(chat, entry, 'draft', 'whole') for entry in entries
        ]
        wait_for(
            lambda: engine_counts(fleet, 'draft-1')['requests_started'] >= 1
        )
        remove_from_service(fleet, removed)
        agent = fleet.processes['draft-1']
        wait_for(lambda: agent.state()['refusal'], 5, 'the removal')
        fleet.processes['draft-1-upstream'].set_faults(token_delay=0.01)
        fleet.processes['draft-2-upstream'].set_faults(token_delay=0)
        begun = engine_counts(fleet, 'draft-1')['requests_started']
        later = [
            chat(entry, 'draft', f'{n}') for n in '123' for entry in entries
        ]
        assert {answer.status for answer in later} == {200}
        assert engine_counts(fleet, 'draft-1')['requests_started'] == begun
        for stream in streams:
            assert chat_text(stream.result()).endswith('39 whole')
    if removed == 'zone':
        assert agent.state()['limit'] > 1
        back = {'zone/zone-a': {'state': 'in', 'reason': 'works done'}}
        assert fleet.publish(back).returncode == 0
        wait_for(lambda: not agent.state()['refusal'], 5, 'the return')
        assert agent.state()['limit'] == 1


def test_unreachable_upstream_refuses_until_it_returns(fleet):
    """Guards against a dead upstream that attracts requests by failing fast."""
    fleet.add_service('draft', 'model', ZONES[:1], delay=1)
    start_entries(fleet, entries=1)
    entry = fleet.entries[0]
    upstream = fleet.processes['draft-1-upstream']
    with ThreadPoolExecutor(1) as pool:
        cut = pool.submit(chat, entry, 'draft', 'cut', stream=False)
        wait_for(
            lambda: engine_counts(fleet, 'draft-1')['requests_started'] == 1
        )
        upstream.kill()
        assert verdict(cut.result()) == 'may_have_run'
    refused = chat(entry, 'draft', 'next')
    assert (refused.status, verdict(refused)) == (503, 'not_run')
    port = int(upstream.address.rpartition(':')[2])
    fleet.start_stand_in('draft-1-upstream', 'engine', port)
    wait_for(lambda: chat(entry, 'draft', 'next').status == 200)


@pytest.mark.parametrize(
    ('status', 'outcome'),
    [(200, 'completed'), (404, 'completed'), (429, 'failed'), (500, 'failed')],
)
def test_error_response_is_not_counted_as_completed(status, outcome):
    """Guards against an upstream whose error responses raise its limit."""
    response = StoredResponse(status, (), b'')
    ended = ExecutionEnded(
        execution=None, failure=None, stored_response=response
    )
    assert outcome_of(ended).value == outcome


@pytest.mark.parametrize(
    ('earlier', 'verdict'),
    [
        (Verdict.NOT_RUN, Verdict.NOT_RUN),
        (Verdict.MAY_HAVE_RUN, Verdict.MAY_HAVE_RUN),
    ],
)
def test_verdict_holds_for_all_attempts(earlier, verdict):
    """Guards against a ``not_run`` that holds for the last attempt only."""
    failures = [
        Err(RequestFailed('', each)) for each in (earlier, Verdict.NOT_RUN)
    ]
    assert combine_verdicts(*failures).err_value.verdict is verdict


def copy_log(source, target):
    page = source.get('/streams/configuration?from=0&limit=9')
    for record in page['records']:
        HTTP.request(
            'POST',
            f'http://{target.address}/streams/configuration',
            json=record['content'],
        )


def remove_from_service(fleet, removed):
    upstream = fleet.parts['upstream/draft-1']
    parts = {
        'zone': {'zone/zone-a': {'state': 'out', 'reason': 'works'}},
        'upstream': {'upstream/draft-1': {**upstream, 'state': 'leaving'}},
        'part': {'upstream/draft-1': None},
    }
    assert fleet.publish(parts[removed]).returncode == 0


def test_crashing_request_is_refused_and_others_succeed():
    """Guards against a request that crashes one upstream after another."""
    with Fleet(HIGH_LIMITS) as fleet, ThreadPoolExecutor(16) as pool:
        fleet.add_service('draft', 'model', ZONES, poison='boom', delay=0.3)
        start_entries(fleet)
        first, second = fleet.entries
        futures = submit_chats(fleet, pool, 12, 'innocent')
        wait_for(lambda: total_count(fleet, 'requests_started') >= 3)
        crashed = chat(first, 'draft', 'boom', stream=False)
        assert (crashed.status, verdict(crashed)) == (502, 'may_have_run')
        assert status_set(futures) == {200}
        assert total_count(fleet, 'crashes') == 2
        refused = chat(second, 'draft', 'boom', stream=False)
        assert (refused.status, verdict(refused)) == (403, 'not_run')
        assert total_count(fleet, 'crashes') == 2
        assert status_set(submit_chats(fleet, pool, 12, 'innocent')) == {200}


def test_part_of_prompts_that_crashes_upstreams_is_not_sent_on():
    """Guards against different requests that crash one upstream after another.

    They have one message in common, and share another one and their caller with
    sound requests. Five crashes show the cause; three more requests may be on
    their way.
    """
    with Fleet(HIGH_LIMITS) as fleet:
        fleet.add_service('draft', 'model', ZONES, poison='boom')
        start_entries(fleet)
        sound = []
        for number in range(12):
            entry = fleet.entries[number % 2]
            chat_parts(entry, 'style', 'boom', f'own {number}')
            sound.append(chat_parts(entry, 'style', f'own {number}').status)
        assert total_count(fleet, 'crashes') <= 8
        assert set(sound) == {200}


def chat_parts(entry, *texts):
    """Send a chat request with several messages."""
    document = {
        'model': 'draft',
        'messages': [{'role': 'user', 'content': text} for text in texts],
    }
    return call(entry, 'POST', '/v1/chat/completions', json=document)


def test_crashing_keyed_call_is_refused_for_its_key():
    """Guards against a refused request that can run under its key later."""
    with Fleet(HIGH_LIMITS) as fleet:
        calls = ['POST /invoices']
        fleet.add_service('app', 'plain', ZONES, calls, poison='boom')
        start_entries(fleet, entries=1)
        entry = fleet.entries[0]
        seen = [(502, '')]
        while seen[-1][0] == 502 and len(seen) < 30:
            key = call(entry, 'POST', '/keys/app').json()['key']
            seen.append(post_poison(entry, key))
        assert seen[1] == (502, 'may_have_run')
        assert seen[-1] == (403, 'not_run')
        crashes = total_count(fleet, 'crashes')
        assert post_poison(entry, key) == (409, 'not_run')
        assert total_count(fleet, 'crashes') == crashes


def post_poison(entry, key):
    headers = {'Idempotency-Key': key}
    path = '/services/app/invoices'
    response = call(entry, 'POST', path, body=b'boom', headers=headers)
    return response.status, verdict(response)


def verdict(response):
    return json.loads(response.data)['verdict']


class FakePeer:
    """Link of an entry that records what an agent sends."""

    def __init__(self):
        self.sent = []

    def send(self, message):
        self.sent.append(message)

    def accepting(self):
        return [
            message.load.accepting
            for message in self.sent
            if isinstance(message, LoadReport)
        ]


@pytest.mark.parametrize('connects_first', [True, False])
def test_start_of_acceptance_is_reported_at_once(connects_first):
    """Guards against a 503 from entries that do not know a ready agent yet."""
    actor = AttemptsActor('draft-1', '127.0.0.1:9', 1, BufferLimits(1, 1, 1))
    peer = FakePeer()
    changed = ConfigurationChanged(
        build_configuration(
            {
                'defaults': {},
                'service/draft': {'kind': 'model'},
                'upstream/draft-1': {
                    'service': 'draft',
                    'availability_zone': 'zone-a',
                    'agent': '127.0.0.1:9',
                },
            }
        ),
        0,
    )
    hello = MessageReceived(peer, Hello('entry', 'zone-a', '1'))
    for message in (hello, changed) if connects_first else (changed, hello):
        actor.on_receive(message)
    assert peer.accepting() == ([False, True] if connects_first else [True])
    actor.on_receive(Drain())
    assert not peer.accepting()[-1]
