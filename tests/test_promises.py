"""The promises as scenarios, on a small deployment of processes."""

from pytest_bdd import given, scenarios, then, when

from tests.conftest import ZONES
from tests.fleet import call, chat, wait_for

scenarios('promises.feature')


@given('a posting with an issued key', target_fixture='key')
def issue_key(small_fleet):
    return call(small_fleet.entries[0], 'POST', '/keys/app').json()['key']


@when('it is sent through each entry', target_fixture='answers')
def send(small_fleet, key):
    return [post(entry, key) for entry in small_fleet.entries]


@then('each answer is the same')
def check_answers(answers):
    assert [answer.status for answer in answers] == [200, 200]
    assert answers[0].data == answers[1].data


@then('the posting ran once')
def check_runs(small_fleet):
    calls = [
        each
        for number in (1, 2)
        for each in small_fleet.processes[f'app-{number}-upstream'].get(
            '/calls'
        )
    ]
    assert len(calls) == 1


@given('drafts are answered')
def check_drafts(small_fleet):
    assert chat(small_fleet.entries[0], 'draft', 'x').status == 200


@when('the operator takes the other zone out')
def take_out(small_fleet):
    small_fleet.run_ctl('take-out', f'zone/{ZONES[1]}', '--reason=test')


@when('the operator brings the other zone back')
def bring_back(small_fleet):
    small_fleet.run_ctl('bring-back', f'zone/{ZONES[1]}', '--reason=test')


@then('drafts and postings are answered by one zone')
def check_one_zone(small_fleet):
    before = answered(small_fleet)
    for number, entry in enumerate(small_fleet.entries):
        assert chat(entry, 'draft', 'x').status == 200
        assert post(entry, f'zone-out-{number}').status == 200
    assert answered(small_fleet)[1] == before[1]


@then('both zones answer drafts')
def check_both_zones(small_fleet):
    before = answered(small_fleet)

    def answers_again():
        assert chat(small_fleet.entries[1], 'draft', 'x').status == 200
        return answered(small_fleet)[1] > before[1]

    # The entry hears within half a second that the agent takes work again.
    wait_for(answers_again)


def post(entry, key):
    headers = {'Idempotency-Key': key}
    path = '/services/app/invoices'
    return call(entry, 'POST', path, body=b'x', headers=headers)


def answered(fleet):
    """Return how many drafts each zone has answered."""
    return [
        fleet.processes[f'draft-{number}-upstream'].get('/calls_count')
        for number in (1, 2)
    ]
