"""Keyed calls while processes are killed, suspended and restarted."""

import signal
import threading

import pytest

from tests.fleet import Fleet, call, wait_for


class HomeDeployment:
    """One home upstream and two entries, which the tests kill and restart."""

    def __init__(self, fleet):
        self.fleet = fleet
        fleet.add_service('app', 'plain', ['zone-a'], ['POST /invoices'])
        self.upstream = fleet.processes['app-1-upstream']
        self.entries = [
            fleet.start_entry(name, 'zone-a') for name in ('e-1', 'e-2')
        ]
        assert fleet.publish().returncode == 0

    @property
    def agent(self):
        return self.fleet.processes['app-1']

    def wait(self):
        for entry in self.entries:
            wait_for(lambda entry=entry: self.is_linked(entry), 10, 'links')
        wait_for(lambda: self.is_open(), 10, 'the home to accept keys')
        return self.entries

    def is_linked(self, entry):
        return entry.state()['links'].get('app-1', {}).get('up')

    def is_open(self):
        state = self.agent.state()
        return state['keys_floor'] != 'inf' and state['limit']

    def post(self, entry, key, text, timeout=10):
        headers = {'Idempotency-Key': key, 'Request-Timeout': str(timeout)}
        path = '/services/app/invoices'
        response = call(entry, 'POST', path, body=text, headers=headers)
        if response.status == 200:
            return response.headers.get('Idempotent-Replayed', 'executed')
        return response.json()['verdict']

    def post_in_background(self, entry, key, text):
        """Return a function that waits for the outcome."""
        outcomes = []
        thread = threading.Thread(
            target=lambda: outcomes.append(self.post(entry, key, text))
        )
        thread.start()
        wait_for(lambda: self.upstream.get('/load')['running'], 5, 'the call')
        return lambda: thread.join(15) or outcomes[0]

    def issue(self):
        path = '/keys/app'
        return call(self.entries[1], 'POST', path).json()['key']

    def count_runs(self, text):
        return [done[2] for done in self.upstream.get('/calls')].count(text)


@pytest.fixture(scope='module')
def home():
    with Fleet() as fleet:
        yield HomeDeployment(fleet)


def test_graceful_restart_keeps_rows_when_log_answers_are_lost(home):
    """Guards against a restart that loses rows or registers twice."""
    first, second = home.wait()
    assert home.post(first, 'opaque-1', 'graceful') == 'executed'
    assert home.agent.stop() == 0
    home.fleet.log_service.set_faults(drop_responses=1)
    home.fleet.restart_agent('app-1')
    home.wait()
    assert home.post(second, 'opaque-1', 'graceful') == 'true'
    assert home.post(second, 'opaque-2', 'after') == 'executed'
    assert home.count_runs('graceful') == 1


def test_keyed_calls_continue_while_the_log_is_down(home):
    """Guards against keyed calls that each depend on the log service."""
    first, second = home.wait()
    home.fleet.log_service.set_faults(down=True)
    key = home.issue()
    assert home.post(first, key, 'log down') == 'executed'
    assert home.post(second, key, 'log down') == 'true'
    home.fleet.log_service.set_faults(down=False)


def test_persistent_connection_closed_by_the_upstream_is_not_used(home):
    """Guards against may_have_run for a call that reached no upstream."""
    first, _second = home.wait()
    home.upstream.set_faults(close_reused_connections=True)
    assert home.post(first, home.issue(), 'fresh 1') == 'executed'
    assert home.post(first, home.issue(), 'fresh 2') == 'executed'
    home.upstream.set_faults(close_reused_connections=False)


def test_call_whose_response_was_lost_is_not_repeated(home):
    """Guards against a second execution after the response was lost."""
    first, second = home.wait()
    key = home.issue()
    home.upstream.set_faults(drop_responses=True)
    assert home.post(first, key, 'lost') == 'may_have_run'
    home.upstream.set_faults(drop_responses=False)
    assert home.post(second, key, 'lost') == 'may_have_run'
    assert home.count_runs('lost') == 1


def test_entry_killed_while_the_call_is_executed(home):
    """Guards against a second execution if a resend takes another entry."""
    first, second = home.wait()
    key = home.issue()
    home.upstream.set_faults(delay=1)
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(threading, 'excepthook', lambda _args: None)
        wait = home.post_in_background(first, key, 'entry killed')
        first.kill()
        with pytest.raises(IndexError):
            wait()
    wait_for(
        lambda: home.post(second, key, 'entry killed') == 'true', 5, 'a replay'
    )
    home.upstream.set_faults(delay=0)
    assert home.count_runs('entry killed') == 1
    home.entries[0] = home.fleet.start_entry('e-1', 'zone-a', first.address)


def test_agent_suspended_past_the_timeouts_and_resumed(home):
    """Guards against late execution of copies in the agent's sockets."""
    entries = home.wait()
    home.agent.send_signal(signal.SIGSTOP)
    verdicts = {
        home.post(entry, 'opaque-3', 'frozen', timeout=1) for entry in entries
    }
    assert verdicts == {'may_have_run'}
    for entry in entries:
        wait_for(
            lambda entry=entry: not home.is_linked(entry), 10, 'a lost link'
        )
    home.agent.send_signal(signal.SIGCONT)
    for entry in home.wait():
        assert home.post(entry, 'opaque-3', 'frozen') == 'not_run'
    assert home.post(entries[0], home.issue(), 'thawed') == 'executed'
    assert home.count_runs('frozen') == 0


def test_agent_killed_while_the_call_is_executed(home):
    """Guards against a second execution by an agent that lost its rows."""
    first, second = home.wait()
    key = home.issue()
    home.upstream.set_faults(delay=1)
    wait = home.post_in_background(first, key, 'agent killed')
    home.agent.kill()
    assert wait() == 'may_have_run'
    home.fleet.restart_agent('app-1')
    for entry in home.wait():
        assert home.post(entry, key, 'agent killed') == 'may_have_run'
    assert home.post(second, 'opaque-4', 'opaque') == 'may_have_run'
    home.upstream.set_faults(delay=0)
    wait_for(
        lambda: home.post(first, home.issue(), 'new') == 'executed', 10, 'a run'
    )
    # The floor set after the crash must be handed over on graceful restart.
    assert home.agent.stop() == 0
    home.fleet.restart_agent('app-1')
    home.wait()
    assert home.post(first, key, 'agent killed') == 'may_have_run'
    assert home.count_runs('agent killed') == 1
