"""Command ``primroseyoke-gateway check``."""

import json
import pathlib
import subprocess
import sys
import time

import pytest

from primroseyoke.platform.configuration_check import run_check
from tests.gateway.deployment import configuration, route

SECRET = 'secret-key'
# The target that operators were promised for ROUTE_COUNT routes.
MAX_SECONDS = 2
ROUTE_COUNT = 1600
CLIENT_COUNT = 4300


def valid(**overrides: object) -> dict[str, object]:
    routes = [
        route('/lookup/', 'idempotent', 'app'),
        route('/draft/', 'streaming', 'model', resumable=True),
    ]
    return configuration(**{'routes': routes, **overrides})


def write(path: pathlib.Path, content: object) -> str:
    text = content if isinstance(content, str) else json.dumps(content)
    path.write_text(text)
    return str(path)


def run_process(*arguments: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, '-m', 'primroseyoke.platform', *arguments],
        capture_output=True,
        text=True,
        check=False,
        timeout=60,
    )


@pytest.fixture
def check(tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]):
    """Return a function that checks a configuration and decodes the JSON."""

    def check_one(content: object, against: object = None) -> tuple[int, dict]:
        other = write(tmp_path / 'old.json', against) if against else ''
        path = write(tmp_path / 'new.json', content)
        status = run_check(path, other, as_json=True)
        output = capsys.readouterr().out
        return status, json.loads(output) if output else {}

    return check_one


def test_configuration_without_findings(check) -> None:
    assert check(valid()) == (0, {'findings': [], 'differences': None})


@pytest.mark.parametrize(
    ('overrides', 'kind', 'path'),
    [
        ({'version': '7'}, 'invalid_field', 'version'),
        ({'routes': {}}, 'invalid_field', 'routes'),
        (
            {'limits': {'maxBodyBytes': -1}},
            'invalid_field',
            'limits.maxBodyBytes',
        ),
        (
            {'services': [{'name': 'app'}, {'name': 'model'}, {'name': 'old'}]},
            'service_unused',
            "services['old']",
        ),
        (
            {'services': [{'name': 'app'}, {'name': 'app'}, {'name': 'model'}]},
            'service_repeated',
            "services['app']",
        ),
        (
            {'services': [{'name': 'app'}]},
            'service_unknown',
            'routes[1]',
        ),
        (
            {
                'services': [
                    {'name': 'app', 'autoscale': {'min': 60, 'max': 26}},
                    {'name': 'model'},
                ]
            },
            'autoscale_invalid',
            "services['app'].autoscale",
        ),
        (
            {
                'tenants': [
                    {'name': 'a', 'apiKeys': [SECRET]},
                    {'name': 'b', 'apiKeys': [SECRET]},
                ]
            },
            'api_key_shared',
            'tenants[1].apiKeys',
        ),
    ],
)
def test_finding_names_its_field(
    check, overrides: dict[str, object], kind: str, path: str
) -> None:
    """Guards against a finding that is missed or told for another field."""
    status, result = check(valid(**overrides))
    found = [(one['kind'], one['path']) for one in result['findings']]
    assert (status, found) == (1, [(kind, path)])


@pytest.mark.parametrize(
    ('overrides', 'kind', 'path'),
    [
        ({}, 'route_never_matches', 'routes[2]'),
        (
            {'pathPrefix': '/x/', 'timeoutMs': 400},
            'timeout_below_aim',
            'routes[2].timeoutMs',
        ),
        (
            {'pathPrefix': '/x/', 'kind': 'non_idempotent'},
            'attempts_without_repetition',
            'routes[2].attempts',
        ),
        (
            {
                'pathPrefix': '/x/',
                'service': '',
                'split': [
                    {'service': 'app', 'weight': 0},
                    {'service': 'model', 'weight': 0},
                ],
            },
            'split_without_weight',
            'routes[2].split',
        ),
        (
            {'pathPrefix': '/x/', 'service': ''},
            'split_without_weight',
            'routes[2].split',
        ),
        ({'timeoutMs': 'soon'}, 'invalid_field', 'routes[2].timeoutMs'),
        ({'host': None}, 'invalid_field', 'routes[2].host'),
    ],
)
def test_finding_of_a_route_names_its_field(
    check, overrides: dict[str, object], kind: str, path: str
) -> None:
    """Guards against a finding that is missed or told for another field."""
    added = {**route('/lookup/', 'idempotent', 'app'), **overrides}
    content = valid()
    content['routes'].append(added)
    status, result = check(content)
    found = [(one['kind'], one['path']) for one in result['findings']]
    assert (status, found) == (1, [(kind, path)])


def test_all_invalid_entries_are_told(check) -> None:
    """Guards against one run of the command for each mistake in a file."""
    content = valid(version='7', tenants=[{'name': 'a', 'apiKeys': SECRET}])
    content['routes'][0]['priority'] = -1
    content['services'].append({})
    _, result = check(content)
    assert [one['path'] for one in result['findings']] == [
        'version',
        'routes[0].priority',
        'services[2]',
        'tenants[0].apiKeys',
    ]


@pytest.mark.parametrize(
    'content',
    [
        '{',
        '{"version":"x",',
        '{"version":1,"routes":[{"name":1}],"services":[]} x',
        '[' * 100_000,
        '{"version":"x","other":' + '[' * 100_000 + ']' * 100_000 + '}',
    ],
    ids=lambda content: content[:30],
)
def test_malformed_file_is_unreadable(
    content: str, tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against findings or a traceback for what is no JSON."""
    path = write(tmp_path / 'new.json', content)
    good = write(tmp_path / 'good.json', valid())
    assert run_check(path, '', as_json=False) == 2
    assert run_check(good, path, as_json=False) == 2
    captured = capsys.readouterr()
    assert captured.out == ''
    assert captured.err.count("new.json'") == 2


@pytest.mark.parametrize('path', ['missing', '.', 'a\0b'])
def test_missing_file_is_unreadable(path: str, tmp_path: pathlib.Path) -> None:
    assert run_check(str(tmp_path / path), '', as_json=False) == 2


def test_differences_have_the_names_and_units_of_the_file(check) -> None:
    """Guards against names and units that operators don't write."""
    old = valid()
    new = valid(limits={'headerTimeoutMs': 2500.5})
    new['routes'][0] |= {
        'timeoutMs': 4100,
        'kind': 'non_idempotent',
        'attempts': 10**400,
        'public': True,
        'service': '',
        'split': [
            {'service': 'app', 'weight': 9},
            {'service': 'model', 'weight': 0.5},
        ],
        'allowedRegions': ['south', 'north'],
    }
    new['routes'][1]['gapAimMs'] = 120
    _, result = check(new, old)
    details = {
        one['path']: one['detail']
        for one in result['differences']
        if one['kind'] == 'changed'
    }
    assert details == {
        "routes['lookup'].timeoutMs": '4000 -> 4100',
        "routes['lookup'].kind": 'idempotent -> non_idempotent',
        "routes['lookup'].attempts": f'2 -> {10**400}',
        "routes['lookup'].public": 'false -> true',
        "routes['lookup'].service/split": "'app':1 -> 'app':9, 'model':0.5",
        "routes['lookup'].allowedRegions": "none -> 'north', 'south'",
        "routes['draft'].gapAimMs": 'none -> 120',
        'limits.maxBodyBytes': '1000000 -> 4194304',
        'limits.headerTimeoutMs': '1000 -> 2500.5',
        'limits.idleTimeoutMs': '2000 -> 15000',
    }


def test_differences_are_no_findings(check) -> None:
    """Guards against a release script that stops at each change."""
    status, result = check(valid(), valid(version=9, services=[]))
    assert (status, len(result['differences'])) == (0, 2)


def test_invalid_configuration_is_not_compared(check) -> None:
    status, result = check(valid(version='7'), valid())
    assert (status, result['differences']) == (1, None)


@pytest.mark.parametrize('as_json', [False, True])
@pytest.mark.parametrize(
    'tenants',
    [
        [
            {'name': 'a', 'apiKeys': [SECRET, f'{SECRET}-2']},
            {'name': 'b', 'apiKeys': [SECRET]},
        ],
        [{'name': 'a', 'apiKeys': SECRET}],
        [{'name': 'a', 'apiKeys': {SECRET: SECRET}}],
        [{'name': 'a', 'apiKeys': [SECRET, 7]}],
        [SECRET],
        {SECRET: SECRET},
        SECRET,
    ],
)
@pytest.mark.parametrize('cut', [0, 3])
def test_keys_are_never_printed(
    tenants: object,
    as_json: bool,
    cut: int,
    tmp_path: pathlib.Path,
    capfd: pytest.CaptureFixture[str],
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against API keys in the logs of release jobs."""
    content = json.dumps(valid(tenants=tenants))
    new = write(tmp_path / 'new.json', content[: len(content) - cut])
    old = write(tmp_path / 'old.json', valid())
    statuses = (
        run_check(new, old, as_json=as_json),
        run_check(old, new, as_json=as_json),
    )
    output = ''.join(capfd.readouterr())
    assert output
    assert SECRET not in output + caplog.text
    assert set(statuses) <= {0, 1, 2}


def test_command_prints_findings_and_differences(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against output of the process that in-process tests don't see."""
    new = valid(services=[{'name': 'app'}, {'name': 'model'}, {'name': 'ö\n'}])
    new['tenants'].append({'name': 'b', 'apiKeys': [SECRET]})
    path = write(tmp_path / 'new.json', new)
    other = write(tmp_path / 'old.json', valid())
    ended = run_process('check', path, f'--against={other}')
    assert (ended.returncode, ended.stderr) == (1, '')
    assert ended.stdout.splitlines() == [
        r"service_unused services['ö\n'] no route refers to this service",
        '1 finding(s)',
        "changed services['app'].maxConns 100 -> 0",
        "changed services['model'].maxConns 100 -> 0",
        r"added services['ö\n']",
        "added tenants['b']",
        '4 difference(s)',
    ]


@pytest.mark.parametrize(
    'arguments', [['chekc', 'file'], ['check'], ['check', 'a', 'b']]
)
def test_invalid_usage_starts_no_gateway(arguments: list[str]) -> None:
    """Guards against a misspelt command that starts a gateway."""
    ended = run_process(*arguments)
    assert ended.returncode == 2
    assert 'check FILE' in ended.stderr


def test_large_configuration_is_checked_in_time(tmp_path: pathlib.Path) -> None:
    """Guards against a check that is not linear in the number of entries."""
    content = valid(
        routes=[
            route(f'/{number}/', 'idempotent', f'service-{number % 600}')
            for number in range(ROUTE_COUNT)
        ],
        services=[{'name': f'service-{number}'} for number in range(600)],
        tenants=[
            {'name': f'client-{number}', 'apiKeys': [f'{SECRET}-{number // 2}']}
            for number in range(CLIENT_COUNT)
        ],
    )
    path = write(tmp_path / 'new.json', content)
    other = write(tmp_path / 'old.json', valid())
    started_at = time.monotonic()
    ended = run_process('check', path, '--against', other)
    elapsed = time.monotonic() - started_at
    assert f'{CLIENT_COUNT // 2} finding(s)' in ended.stdout
    assert elapsed < MAX_SECONDS


def test_gateway_does_not_load_the_check() -> None:
    """Guards against memory that each gateway pays for the command."""
    program = (
        'import sys, primroseyoke.platform.program\n'
        'print([name for name in sys.modules if "configuration_" in name\n'
        '       or "_texts" in name or name.startswith("absl")])'
    )
    ended = subprocess.run(
        [sys.executable, '-c', program],
        capture_output=True,
        text=True,
        check=True,
    )
    assert ended.stdout.strip() == '[]'
