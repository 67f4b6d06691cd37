"""The key table, compared with a model that keeps every key."""

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

LIFETIME_SECONDS = 10
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
def test_table_is_as_safe_as_a_model_that_keeps_every_key(steps):
    """Guards against key rows that are removed or overwritten too early."""
    table = KeyTable('a', LIFETIME_SECONDS, max_rows=3)
    table.open({}, -math.inf)
    key_times, recorded, now = {}, {}, 1000.0
    for ending, number, key_time_offset, wait, delay, expire in steps:
        now += wait
        has_key_time = key_time_offset != 0
        key = (
            number,
            key_times.setdefault((number, has_key_time), now + key_time_offset),
        )
        first_sent_at = key_times[number, has_key_time]
        sent_at = now - delay
        if (
            not has_key_time
            and not first_sent_at <= sent_at <= first_sent_at + LIFETIME_SECONDS
        ):
            continue
        call = KeyedCall(
            's', 'c', f'{key}{has_key_time}', key[1], sent_at, number
        )
        if not has_key_time:
            call = KeyedCall('s', 'c', f'{key}', 0, sent_at, number)
        if expire:
            table.expire(now)
        claim_or_invalidate = (
            table.invalidate if ending == 'void' else table.claim
        )
        claim = claim_or_invalidate(call, HOMES, True, now)
        before = recorded.get(call.identity)
        if isinstance(claim, Execute):
            assert before is None
            recorded[call.identity] = ending
        if isinstance(claim, Replay):
            assert before == 'finish'
        if isinstance(claim, Reject) and claim.verdict is Verdict.NOT_RUN:
            assert before in {None, 'refuse', 'void'}
            recorded[call.identity] = 'void' if before is None else before
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
def test_change_that_could_execute_a_key_twice_is_invalid(
    appended_at, parts, outcome
):
    """Guards against two homes that execute the same key.

    Hosts that have read up to different offsets use different homes.
    """
    state_machine = ConfigurationStateMachine()
    homes = {'members': ['a', 'b'], 'previous': ['a'], 'since': 1}
    state_machine.apply(
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
    decision = state_machine.apply(record(1, appended_at, **parts))
    assert decision.outcome.value == outcome, decision.detail


def test_responses_stored_for_replay_are_limited():
    """Guards against stored responses that exhaust the agent's memory."""
    table = KeyTable('a', LIFETIME_SECONDS, max_response_bytes=25)
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


def test_cancelled_call_continues_and_stores_its_whole_response():
    """Guards against a keyed call that is aborted, or replayed truncated."""
    chunks = (b'x' * 2500, b'y' * 1500)
    results = []

    def read_chunks():
        yield chunks[0]
        yield chunks[1]

    def close():
        raise AssertionError('the response of a keyed call was closed')

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
            # The credit is used up when the entry disconnects.
            execution.cancel()

    shared_buffers = SharedBuffers(BufferLimits(4000, 4000, 4000))
    execution = Execution(
        *(1, start, client, send, results.append, Load, shared_buffers)
    )
    execution.run(timeout=1)
    assert results[0].stored_response.body == b''.join(chunks)
