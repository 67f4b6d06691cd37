"""User-visible guarantees as scenarios, on a small deployment."""

from pytest_bdd import given, scenarios, then, when

from tests.conftest import ZONES
from tests.fleet import call, chat, wait_for

scenarios('promises.feature')


@given('a request with an issued key', target_fixture='key')
def issue_key(small_fleet):
    return call(small_fleet.entries[0], 'POST', '/keys/app').json()['key']


@when('it is sent through each entry', target_fixture='answers')
def send(small_fleet, key):
    return [send_keyed_request(entry, key) for entry in small_fleet.entries]


@then('the responses are equal')
def check_responses(answers):
    assert [answer.status for answer in answers] == [200, 200]
    assert answers[0].data == answers[1].data


@then('the request was executed once')
def check_executed_once(small_fleet):
    calls = [
        each
        for number in (1, 2)
        for each in small_fleet.processes[f'app-{number}-upstream'].get(
            '/calls'
        )
    ]
    assert len(calls) == 1


@given('model requests are answered')
def check_model_requests(small_fleet):
    assert chat(small_fleet.entries[0], 'draft', 'x').status == 200


@when('the operator takes the other zone out')
def take_out(small_fleet):
    small_fleet.run_ctl('take-out', f'zone/{ZONES[1]}', '--reason=test')


@when('the operator brings the other zone back')
def bring_back(small_fleet):
    small_fleet.run_ctl('bring-back', f'zone/{ZONES[1]}', '--reason=test')


@then('model and keyed requests are answered by one zone')
def check_one_zone(small_fleet):
    before = model_requests_by_zone(small_fleet)
    for number, entry in enumerate(small_fleet.entries):
        assert chat(entry, 'draft', 'x').status == 200
        assert send_keyed_request(entry, f'zone-out-{number}').status == 200
    assert model_requests_by_zone(small_fleet)[1] == before[1]


@then('both zones answer model requests')
def check_both_zones(small_fleet):
    before = model_requests_by_zone(small_fleet)

    def answers_again():
        assert chat(small_fleet.entries[1], 'draft', 'x').status == 200
        return model_requests_by_zone(small_fleet)[1] > before[1]

    # The agent reports to the entry within half a second that it accepts
    # requests again.
    wait_for(answers_again)


def send_keyed_request(entry, key):
    headers = {'Idempotency-Key': key}
    path = '/services/app/invoices'
    return call(entry, 'POST', path, body=b'x', headers=headers)


def model_requests_by_zone(fleet):
    """Return how many model requests each zone has answered."""
    return [
        fleet.processes[f'draft-{number}-upstream'].get('/calls_count')
        for number in (1, 2)
    ]
