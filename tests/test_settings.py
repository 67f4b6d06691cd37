"""Validation of settings files: invalid ones stop the start with one line."""

import subprocess
import sys

import pytest

from primroseyoke.agent import AgentSettings
from primroseyoke.exceptions import SettingsInvalid
from primroseyoke.settings import load_settings

VALID_OPTIONS = {
    'name': 'a-1',
    'availability_zone': 'zone-a',
    'listen': '127.0.0.1:1',
    'upstream': '[::1]:2',
    'log_service': '127.0.0.1:3',
}


def write_settings(path, options, section='agent'):
    lines = [f'{key} = {text}' for key, text in options.items()]
    path.write_text('\n'.join([f'[{section}]', *lines]))
    return str(path)


def test_valid_file_is_read(tmp_path):
    """Valid addresses and defaults must be accepted."""
    path = write_settings(tmp_path / 'good.ini', VALID_OPTIONS)
    agent = load_settings(path, {'agent': AgentSettings}).agent
    assert str(agent.upstream) == '[::1]:2'
    assert agent.threads == 64


@pytest.mark.parametrize(
    ('options', 'section', 'expected'),
    [
        (
            {**VALID_OPTIONS, 'threads': '0'},
            'agent',
            "threads: found '0': Expected",
        ),
        (
            {**VALID_OPTIONS, 'threads': 'x'},
            'agent',
            "threads: found 'x': Expected",
        ),
        ({**VALID_OPTIONS, 'listen': 'host:1'}, 'agent', 'listen: found'),
        (
            {**VALID_OPTIONS, 'listen': '127.0.0.1:70000'},
            'agent',
            'listen: found',
        ),
        (
            {**VALID_OPTIONS, 'extra': '1'},
            'agent',
            'extra: unknown key; accepted:',
        ),
        ({'name': 'x'}, 'agent', 'missing; accepted: text'),
        (VALID_OPTIONS, 'agnt', '[agnt]: unknown section; accepted: agent'),
    ],
)
def test_invalid_file_is_refused(tmp_path, options, section, expected):
    """Guards against misspelled, missing or out-of-range settings."""
    path = write_settings(tmp_path / 'bad.ini', options, section)
    with pytest.raises(SettingsInvalid) as caught:
        load_settings(path, {'agent': AgentSettings})
    assert expected in str(caught.value)
    assert str(caught.value).startswith(path)


@pytest.mark.parametrize('program', ['entry', 'agent', 'ctl'])
def test_programs_print_help_and_refuse_invalid_settings(tmp_path, program):
    """Each program refuses invalid settings and prints its help and version."""
    command = [sys.executable, '-m', f'primroseyoke.{program}']
    path = write_settings(tmp_path / 'bad.ini', {}, 'nothing')
    arguments = ['status'] if program == 'ctl' else []
    bad = subprocess.run(
        [*command, *arguments, f'--settings={path}'],
        capture_output=True,
        text=True,
    )
    assert bad.returncode == 2
    assert len(bad.stderr.splitlines()) == 1
    for flag in ('--help', '--version'):
        answered = subprocess.run([*command, flag], capture_output=True)
        assert answered.returncode == 0
        assert answered.stdout
