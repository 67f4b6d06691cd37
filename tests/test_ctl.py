"""Messages and exit codes of the command-line tool for operators."""

import json

import pytest

from tests.fleet import Fleet

ZONES = ('zone-a', 'zone-b')
CONFIGURATION_EXCEPTION = {
    'target': 'upstream/app-1',
    'override': {'max_running': 4},
    'reason': 'small host',
}


@pytest.fixture(scope='module')
def fleet():
    with Fleet() as started:
        started.add_service('app', 'plain', ZONES)
        started.start_entry('entry-a', ZONES[0])
        published = started.publish(
            {**started.parts, 'exception/app-1': CONFIGURATION_EXCEPTION}
        )
        assert published.returncode == 0, published
        yield started


def change_file(fleet, parts):
    path = fleet.directory / 'parts.json'
    path.write_text(json.dumps(parts))
    return str(path)


@pytest.mark.parametrize(
    ('arguments', 'exit_code', 'message'),
    [
        (['publish', 'none.json'], 2, 'a change needs --reason=TEXT'),
        (['take-out', 'zone/zone-c', '--reason=test'], 1, 'no upstream is in'),
        (['bring-back', 'host/9.9.9.9', '--reason=test'], 1, 'no upstream is'),
        (['check', 'none.json'], 1, 'none.json'),
        (['show', 'more'], 2, 'Commands:'),
        (['unknown'], 2, 'Exit codes:'),
        (['show', '--no-such-flag'], 2, 'no-such-flag'),
        (['watch', 'x'], 2, 'not an offset: x'),
        (['dump', '127.0.0.1:1'], 4, '127.0.0.1:1'),
        (['show', '--settings='], 2, '--settings=FILE is needed'),
        (['show', '--settings=none.ini'], 2, 'none.ini'),
        (['watch', '99', '--timeout=0'], 3, 'entry-a (offset 0)'),
    ],
)
def test_invalid_use_prints_message_and_exit_code(
    fleet, arguments, exit_code, message
):
    """Invalid use must print a clear message and a documented exit code."""
    completed = fleet.run_ctl(*arguments)
    assert completed.returncode == exit_code, completed
    assert message in completed.stdout + completed.stderr
    assert 'Traceback' not in completed.stderr


@pytest.mark.parametrize(
    ('parts', 'message'),
    [
        ({}, 'names no part'),
        ({'zone/zone-a': 5}, 'zone'),
        ({'zone/zone-a': {'stat': 'out'}}, 'accepted: reason, state'),
        ({'zone/zone-a': {'state': 'off'}}, "Invalid enum value 'off'"),
        ({'service/app': None}, 'unknown service app'),
    ],
)
def test_check_reports_the_error_in_an_invalid_file(fleet, parts, message):
    """An invalid change must be detected before it is published."""
    completed = fleet.run_ctl('check', change_file(fleet, parts))
    assert completed.returncode == 1, completed
    assert message in completed.stdout + completed.stderr


def test_zone_is_taken_out_and_brought_back(fleet):
    """The last zone must stay in service, and taking out must be reversible."""
    reason = '--reason=maintenance'
    assert fleet.run_ctl('take-out', 'zone/zone-a', reason).returncode == 0
    last = fleet.run_ctl('take-out', 'zone/zone-b', reason)
    assert last.returncode == 1
    assert 'no availability zone would stay in' in last.stderr
    assert fleet.run_ctl('take-out', 'upstream/app-2', reason).returncode == 0
    shown = json.loads(fleet.run_ctl('show').stdout)
    assert shown['exceptions']['exception/app-1']['reason'] == 'small host'
    assert 'exception/app-1' not in shown['parts']
    assert shown['parts']['zone/zone-a'] == {
        'state': 'out',
        'reason': 'maintenance',
    }
    path = change_file(fleet, {'zone/zone-a': {}})
    stale = fleet.run_ctl('publish', path, reason, '--seen=0')
    assert stale.returncode == 1
    assert 'zone/zone-a was changed at offset 1' in stale.stderr
    for part in ('zone/zone-a', 'upstream/app-2'):
        assert fleet.run_ctl('bring-back', part, reason).returncode == 0
    status = fleet.run_ctl('status').stdout.splitlines()
    assert len(status) == 3
    assert all(line.endswith('live offset 4') for line in status)


def test_watch_names_a_host_that_does_not_answer(fleet):
    """A change must not count as complete while a host does not respond."""
    fleet.run_ctl('show')
    fleet.processes['app-2'].kill()
    fleet.update_host_list = lambda: None
    completed = fleet.run_ctl('watch', '0', '--timeout=0')
    assert completed.returncode == 3
    assert 'not yet at: app-2 (no answer)' in completed.stdout
    fleet.log_service.set_faults(down=True)
    assert fleet.run_ctl('show').returncode == 4
