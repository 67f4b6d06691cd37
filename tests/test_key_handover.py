"""Handover of key rows from one process of an upstream to the next."""

import math
import threading
import time

import pytest

from primroseyoke.attempts import AttemptsActor, MessageReceived
from primroseyoke.configuration import Configuration, Defaults, Service
from primroseyoke.configuration_distribution import ConfigurationChanged
from primroseyoke.idempotency_keys import (
    KeyRow,
    KeyState,
    StoredResponse,
    initial_floor,
)
from primroseyoke.key_handover import KeyHandover
from primroseyoke.log_service import LogPage
from primroseyoke.messages import Start
from primroseyoke.response_buffering import BufferLimits
from primroseyoke.verdicts import Verdict
from tests.test_key_protocol import MemoryLog

RESPONSE = StoredResponse(200, (('A', 'b'),), bytes(range(256)) * 16)


@pytest.mark.parametrize('fault', ['none', 'expired', 'page lost'])
def test_rows_are_inherited_completely_or_not_at_all(fault):
    """Guards against a key executed again because its row was not read."""
    rows = {
        ('s', 'c', str(number)): KeyRow(number, KeyState.RAN, 100, RESPONSE)
        for number in range(120)
    }
    log = MemoryLog(())
    never_stopped = threading.Event()
    previous = KeyHandover(log, 'a', 'former')
    assert previous.register(0, never_stopped).floor == -math.inf
    previous.hand_over(rows, 7, 50)
    assert len(log.contents) > 3
    if fault == 'page lost':
        log.contents.pop(1)
    if fault == 'expired':
        read = log.read
        log.contents.clear()
        log.read = lambda *of: LogPage(read(*of).records, 1, 2, 0)
    opened = KeyHandover(log, 'a', 'next').register(20, never_stopped)
    if fault == 'none':
        assert (opened.rows, opened.floor) == (rows, 7)
    else:
        assert (opened.rows, opened.floor) == ({}, initial_floor(20))


def test_agent_refuses_an_unkeyed_call_that_must_not_repeat():
    """Guards against an entry whose configuration is older.

    To that entry the service does not list the call as non-idempotent.
    """
    limits = BufferLimits(1000, 1000, 1000)
    actor = AttemptsActor('a', '127.0.0.1:1', 1, limits)
    service = Service(kind='plain', non_idempotent=('POST /x',))
    parts = {'service/s': service}
    configuration = Configuration(1, Defaults(), parts)
    actor.on_receive(ConfigurationChanged(configuration, time.time()))
    replies = []
    peer = type('Peer', (), {'send': replies.append})
    start = Start(
        *(1, 's', 'POST', '/x', (), b'', 'c', '', 0, 9, True, 9, 1),
        time.time(),
    )
    actor.refusal_reason = lambda: ''
    actor.on_receive(MessageReceived(peer, start))
    assert replies[0].verdict is Verdict.NOT_RUN
    assert 'no key' in replies[0].reason
