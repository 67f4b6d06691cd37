"""Sends that wait for a load report, on threads and without sockets."""

import threading
import time
from unittest import mock

import pytest

from primroseyoke.executions import Execution
from primroseyoke.send_gate import SendGate
from primroseyoke.verdicts import Verdict
from tests.fleet import wait_for

FAR_FUTURE = time.monotonic() + 3600


class Upstream:
    """Counts polls; a poll confirms the state unless a restart is simulated."""

    def __init__(self):
        self.gate = SendGate(self.poll)
        self.polls = 0
        self.confirms = True

    def poll(self):
        self.polls += 1
        if self.confirms:
            self.gate.confirm(time.monotonic())

    def send_in_thread(self, number, results, deadline=FAR_FUTURE):
        def send():
            results[number] = self.gate.enter(
                number, self.gate.generation, deadline
            )

        thread = threading.Thread(target=send, daemon=True)
        thread.start()
        return thread


def test_sends_beyond_the_allowance_wait_for_a_report():
    """Guards against a burst at an upstream that turned cold unnoticed."""
    upstream = Upstream()
    upstream.gate.allowance = 2
    upstream.confirms = False
    for number in (1, 2):
        assert upstream.gate.enter(number, 0, FAR_FUTURE)
    results = {}
    thread = upstream.send_in_thread(3, results)
    wait_for(lambda: upstream.polls >= 2)
    assert not results
    upstream.gate.confirm(time.monotonic())
    thread.join(5)
    assert results == {3: True}


def test_a_suspected_restart_withholds_waiting_and_admitted_requests():
    upstream = Upstream()
    upstream.confirms = False
    assert upstream.gate.enter(1, 0, FAR_FUTURE)
    results = {}
    thread = upstream.send_in_thread(2, results)
    wait_for(lambda: upstream.polls >= 1)
    upstream.gate.withhold()
    thread.join(5)
    assert results == {2: False}
    assert not upstream.gate.enter(3, 0, FAR_FUTURE)
    upstream.gate.leave(1)
    assert upstream.gate.enter(4, 1, FAR_FUTURE)


def test_a_report_confirms_only_what_was_sent_before_it():
    upstream = Upstream()
    upstream.gate.allowance = 2
    requested_at = time.monotonic() - 1
    assert upstream.gate.enter(1, 0, FAR_FUTURE)
    upstream.gate.confirm(requested_at)
    assert set(upstream.gate.unconfirmed) == {1}
    upstream.gate.confirm(time.monotonic())
    assert not upstream.gate.unconfirmed


@pytest.mark.parametrize('ended', [True, False])
def test_ended_requests_make_room_and_deadlines_end_the_wait(ended):
    upstream = Upstream()
    upstream.confirms = False
    assert upstream.gate.enter(1, 0, FAR_FUTURE)
    results = {}
    thread = upstream.send_in_thread(2, results, time.monotonic() + 0.3)
    if ended:
        upstream.gate.leave(1)
    thread.join(5)
    assert results == {2: ended}


def test_a_withheld_request_has_not_run():
    """Guards against a request that is sent although a restart is suspected."""
    ended = []
    client = mock.Mock()
    upstream = Upstream()
    execution = Execution(
        1,
        mock.Mock(window=1, key=''),
        client,
        mock.Mock(),
        ended.append,
        mock.Mock(),
        mock.Mock(),
    )
    upstream.gate.withhold()
    execution.run_confirmed(5, upstream.gate, 0)
    assert [each.withheld for each in ended] == [True]
    assert ended[0].failure.verdict is Verdict.NOT_RUN
    assert not client.send_request.called
