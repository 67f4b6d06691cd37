"""End-to-end requests through separate processes."""

import json

import pytest

from tests.fleet import call, chat, chat_text, wait_for

KEYED_PATH = '/services/app/invoices'


def test_streamed_response_is_complete(small_fleet):
    """Guards against lost or reordered parts of a stream."""
    response = chat(small_fleet.entries[0], 'draft', 'the end')
    assert response.status == 200
    expected = ''.join(f'{word} ' for word in range(20))
    assert chat_text(response) == f'{expected}the end'


def test_slots_and_responses_are_released(small_fleet):
    """Guards against concurrency slots and responses that leak in an entry."""
    entry = small_fleet.entries[0]
    chat(entry, 'draft', 'x')
    call(entry, 'GET', '/services/app/x')
    call(entry, 'POST', KEYED_PATH, body=b'x')
    call(entry, 'GET', '/services/unknown/x')
    wait_for(lambda: entry.state()['in_progress_by_client'] == {})
    assert entry.state()['answers']['open'] == 0


def test_key_sent_twice_runs_once(small_fleet):
    """Guards against a second execution if a retry uses another entry."""
    first, second = small_fleet.entries
    key = call(first, 'POST', '/keys/app').json()['key']
    answers = [
        call(
            entry,
            'POST',
            KEYED_PATH,
            body=b'once',
            headers={'Idempotency-Key': key},
        )
        for entry in (first, second)
    ]
    assert [answer.status for answer in answers] == [200, 200]
    assert answers[0].data == answers[1].data
    assert answers[1].headers['Idempotent-Replayed'] == 'true'


def test_key_for_another_request_is_refused(small_fleet):
    """Guards against two different requests being accepted under one key."""
    entry = small_fleet.entries[0]
    headers = {'Idempotency-Key': 'reused-key'}
    call(entry, 'POST', KEYED_PATH, body=b'one', headers=headers)
    refused = call(entry, 'POST', KEYED_PATH, body=b'two', headers=headers)
    assert refused.status == 422


@pytest.mark.parametrize(
    ('method', 'path', 'body', 'headers', 'status'),
    [
        ('GET', '/nowhere', None, {}, 404),
        ('GET', '/services/unknown/x', None, {}, 404),
        ('GET', '/services/draft/x', None, {}, 400),
        ('POST', '/v1/chat/completions', b'{', {}, 400),
        ('POST', '/v1/chat/completions', b'{"model": 5}', {}, 400),
        ('POST', '/v1/chat/completions', b'[' * 5000, {}, 400),
        ('GET', '/v1/chat/completions', None, {}, 405),
        ('POST', KEYED_PATH, b'x', {}, 400),
        ('POST', KEYED_PATH, b'x', {'Idempotency-Key': 'a b'}, 400),
        ('POST', KEYED_PATH, b'x' * (2**20 + 1), {}, 413),
        ('GET', '/services/app/x', None, {'Request-Timeout': 'soon'}, 400),
        (
            'POST',
            KEYED_PATH,
            b'x',
            {'Idempotency-Key': 'k', 'Request-Timeout': 'soon'},
            400,
        ),
        ('GET', '/services/app/x', None, {'Client-Account': '?'}, 400),
    ],
)
def test_bad_input_is_refused(small_fleet, method, path, body, headers, status):
    """Guards against invalid input that is executed or gets a vague error."""
    entry = small_fleet.entries[0]
    response = call(entry, method, path, body=body, headers=headers)
    assert response.status == status
    assert response.headers['Content-Type'] == 'application/problem+json'
    # An earlier request with the same valid key may have run.
    usable_key = headers.get('Idempotency-Key') == 'k'
    verdict = 'may_have_run' if usable_key else 'not_run'
    assert json.loads(response.data)['verdict'] == verdict


@pytest.mark.parametrize('path', ['/services/unknown/x', '/services/draft/x'])
def test_entry_never_reports_not_run_for_a_key(small_fleet, path):
    """Guards against ``not_run`` from an entry that cannot know this."""
    headers = {'Idempotency-Key': 'may-be-known-to-its-home'}
    response = call(small_fleet.entries[0], 'POST', path, headers=headers)
    assert response.status in {400, 404}
    assert response.json()['verdict'] == 'may_have_run'
