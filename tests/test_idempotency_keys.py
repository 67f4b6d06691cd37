"""Key rows against a version that forgets nothing."""

import math
from types import SimpleNamespace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from primroseyoke.configuration import (
    ConfigurationRecord,
    ConfigurationStateMachine,
    Homes,
)
from primroseyoke.executions import Execution, SharedBuffers
from primroseyoke.idempotency_keys import (
    Execute,
    KeyedCall,
    KeyTable,
    Reject,
    Replay,
    StoredResponse,
)
from primroseyoke.messages import Body, Load, Start
from primroseyoke.response_buffering import BufferLimits
from primroseyoke.verdicts import Verdict

LIFETIME = 10
HOMES = Homes(members=('a',))

STEPS = st.lists(
    st.tuples(
        st.sampled_from(('finish', 'lose', 'refuse', 'leave', 'void')),
        st.integers(0, 2),
        st.sampled_from((0, -11, -5, 0.5, 2, 3)),
        st.sampled_from((0, 0.1, 1, 10, 25)),
        st.sampled_from((0, 0, 1, 6, 30)),
        st.booleans(),
    ),
    max_size=40,
)


@settings(max_examples=400)
@given(STEPS)
def test_table_is_never_less_safe_than_one_that_forgets_nothing(steps):
    """Guards against rows that are dropped or rewritten too early."""
    table = KeyTable('a', LIFETIME, max_rows=3)
    table.open({}, -math.inf)
    first_sent, done, now = {}, {}, 1000.0
    for ending, number, ahead, wait, delay, expire in steps:
        now += wait
        timed = ahead != 0
        key = (number, first_sent.setdefault((number, timed), now + ahead))
        opaque_use = first_sent[number, timed]
        sent_at = now - delay
        if not timed and not opaque_use <= sent_at <= opaque_use + LIFETIME:
            continue
        call = KeyedCall('s', 'c', f'{key}{timed}', key[1], sent_at, number)
        if not timed:
            call = KeyedCall('s', 'c', f'{key}', 0, sent_at, number)
        if expire:
            table.expire(now)
        claim_or_void = table.invalidate if ending == 'void' else table.claim
        claim = claim_or_void(call, HOMES, True, now)
        before = done.get(call.identity)
        if isinstance(claim, Execute):
            assert before is None
            done[call.identity] = ending
        if isinstance(claim, Replay):
            assert before == 'finish'
        if isinstance(claim, Reject) and claim.verdict is Verdict.NOT_RUN:
            assert before in {None, 'refuse', 'void'}
            done[call.identity] = 'void' if before is None else before
        if isinstance(claim, Execute) and ending == 'finish':
            table.finish(call, StoredResponse(200, (), b'x'))
        elif isinstance(claim, Execute) and ending == 'lose':
            table.mark_may_have_run(call)
        elif isinstance(claim, Execute) and ending == 'refuse':
            table.refuse(call, 'refused')


def record(offset, appended_at, **parts):
    named = {name.replace('_', '/', 1): part for name, part in parts.items()}
    against = {} if offset == 0 else dict.fromkeys(named, 1)
    return ConfigurationRecord(
        offset=offset,
        appended_at=appended_at,
        change=str(offset),
        author='',
        reason='',
        parts=named,
        against=against,
    )


def upstream(port):
    return {
        'service': 'app',
        'availability_zone': 'z',
        'agent': f'10.0.0.1:{port}',
    }


@pytest.mark.parametrize(
    ('appended_at', 'parts', 'outcome'),
    [
        (616, {'since': 616 + 20}, 'accepted'),
        (614, {'since': 614 + 20}, 'invalid'),
        (616, {'since': 616 + 19}, 'invalid'),
        (616, {'since': 632, 'members': ['a'], 'stopped': ['b']}, 'accepted'),
        (616, {'since': 0, 'members': ['a'], 'stopped': ['b']}, 'invalid'),
        (616, {'homes_app': None}, 'invalid'),
        (616, {'defaults': {'key_lifetime': 60}}, 'invalid'),
        (616, {'defaults': {'freshness': 1, 'settle': 2}}, 'invalid'),
        (616, {'upstream_a': upstream(9)}, 'invalid'),
        (616, {'upstream_a': {**upstream(1), 'state': 'leaving'}}, 'accepted'),
    ],
)
def test_change_that_could_repeat_a_key_is_invalid(appended_at, parts, outcome):
    """Guards against homes whose keys hosts with another offset still run."""
    fold = ConfigurationStateMachine()
    homes = {'members': ['a', 'b'], 'previous': ['a'], 'since': 1}
    fold.apply(
        record(
            *(0, 0),
            defaults={'freshness': 10, 'settle': 20},
            service_app={'kind': 'plain'},
            upstream_a=upstream(1),
            upstream_b=upstream(2),
            upstream_c=upstream(3),
            homes_app=homes,
        )
    )
    if 'since' in parts:
        changed = {'previous': ['a', 'b'], 'members': ['a', 'b', 'c']}
        parts = {'homes_app': {**changed, 'reason': 'moved', **parts}}
    decision = fold.apply(record(1, appended_at, **parts))
    assert decision.outcome.value == outcome, decision.detail


def test_answers_kept_for_replay_are_bounded():
    """Guards against rows that outgrow the shared_buffers of the agent."""
    table = KeyTable('a', LIFETIME, max_response_bytes=25)
    table.open({}, -math.inf)
    calls = [KeyedCall('s', 'c', str(n), 0, 1000, n) for n in range(3)]
    for call in calls:
        assert isinstance(table.claim(call, HOMES, True, 1000), Execute)
        table.finish(call, StoredResponse(200, (), bytes(10)))
    repeats = [table.claim(call, HOMES, True, 1000) for call in calls]
    assert [type(repeat) for repeat in repeats] == [Replay, Replay, Reject]
    assert repeats[2].verdict is Verdict.RAN
    table.expire(1100)
    assert table.response_bytes == 0


def test_cancelled_call_goes_on_and_keeps_its_whole_answer():
    """Guards against a posting cut off, or replayed without its end."""
    chunks = (b'x' * 2500, b'y' * 1500)
    ended = []

    def read_chunks():
        yield chunks[0]
        yield chunks[1]

    def close():
        raise AssertionError('a posting was cut off')

    answer = SimpleNamespace(
        status=200,
        headers=(),
        chunks=read_chunks,
        close=close,
        release=lambda: None,
        is_unsized_event_stream=lambda: False,
    )
    client = SimpleNamespace(send_request=lambda request: answer)
    start = Start(
        *(1, 's', 'POST', '/x', (), b'', 'c', 'key', 0, 9, False, 2000, 1),
        sent_at=0,
    )

    def send(message):
        if isinstance(message, Body):
            # All credit is spent; the entry goes away.
            execution.cancel()

    shared_buffers = SharedBuffers(BufferLimits(4000, 4000, 4000))
    execution = Execution(
        *(1, start, client, send, ended.append, Load, shared_buffers)
    )
    execution.run(timeout=1)
    assert ended[0].stored_response.body == b''.join(chunks)
