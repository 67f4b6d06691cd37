"""Loading of the platform's settings file."""

import pathlib

import pytest

from primroseyoke.exceptions import SettingsInvalid
from primroseyoke.gateway.settings import DutyKind
from primroseyoke.platform.settings import load_platform_settings

SETTINGS = """
node: "edge-1"
role: "gateway"
ip: "10.1.0.40"
zone: "ro-centru-a"
zones: {ro-centru-a: "ro-centru"}
listen: {front: "10.1.0.40:8227", ready: "10.1.0.40:8220"}
internalPorts: [7340, 7355]
seeds: ["10.1.0.40:8229", "10.2.0.29:8229"]
heartbeatMs: 1200
unknown: {field: 1}
bounds: {graceS: 8, budgetRatio: 0.2, budgetWindowS: 10, budgetSlack: 92}
provider: {address: "10.200.1.7:8223", ttlMinMs: 1000}
"""


def write_settings(folder: pathlib.Path, text: str) -> str:
    path = folder / 'settings.yaml'
    path.write_text(text)
    return str(path)


def test_platform_settings_are_converted(tmp_path: pathlib.Path) -> None:
    settings = load_platform_settings(write_settings(tmp_path, SETTINGS))
    assert settings.host == 'edge-1'
    assert str(settings.callers) == '10.1.0.40:8227'
    assert str(settings.metrics) == '10.1.0.40:7341'
    assert settings.seeds == ('10.1.0.40', '10.2.0.29')
    assert settings.region_of == {'ro-centru-a': 'ro-centru'}
    assert settings.grace == 8
    assert settings.repeat_slack == 92
    assert str(settings.store.address) == '10.200.1.7:8223'


@pytest.mark.parametrize(
    ('limits', 'expected_mb'),
    [
        ('', 256),
        ('limits: {}', 256),
        ('limits: {memoryMb: 0}', 256),
        ('limits: {memoryMb: 300, maxFds: 4100}', 300),
        ('limits: {memoryMb: 0.5}', 0.5),
    ],
)
def test_memory_limit_may_be_missing(
    tmp_path: pathlib.Path, limits: str, expected_mb: float
) -> None:
    path = write_settings(tmp_path, SETTINGS + limits)
    settings = load_platform_settings(path)
    assert settings.memory_bytes == expected_mb * 2**20


@pytest.mark.parametrize(
    ('before', 'after', 'expected_text'),
    [
        ('node: "edge-1"', '', 'node'),
        ('ip: "10.1.0.40"', 'ip: 7', 'ip'),
        ('10.1.0.40:8227', '10.1.0.40', 'listen.front'),
        ('10.200.1.7:8223', 'store', 'provider.address'),
        ('graceS: 8', 'graceS: soon', 'bounds.graceS'),
        ('budgetRatio: 0.2', 'budgetRatio: -1', 'bounds.budgetRatio'),
        ('[7340, 7355]', '[0, 7355]', 'internalPorts'),
        ('unknown: {field: 1}', 'limits: {memoryMb: all}', 'limits.memoryMb'),
        ('unknown: {field: 1}', 'limits: {memoryMb: -1}', 'limits.memoryMb'),
        ('node: "edge-1"', 'node: [', 'unreadable'),
    ],
)
def test_invalid_settings_error_names_file_and_key(
    tmp_path: pathlib.Path,
    before: str,
    after: str,
    expected_text: str,
) -> None:
    path = write_settings(tmp_path, SETTINGS.replace(before, after, 1))
    with pytest.raises(SettingsInvalid) as raised:
        load_platform_settings(path)
    assert path in str(raised.value)
    assert expected_text in str(raised.value)


def test_missing_settings_file_is_rejected(tmp_path: pathlib.Path) -> None:
    with pytest.raises(SettingsInvalid):
        load_platform_settings(str(tmp_path / 'missing.yaml'))


CLOUD = """
cloud: {address: "10.200.1.9:8300", duties: [metering, sweeping, autoscale],
        dutyPerS: 5}
"""
DUTY_BOUNDS = (
    'graceS: 8, leaseMs: 2400, thawMs: 200, reportWindowS: 4, usageLateS: 8,'
    ' usageOff: 0.1'
)


def test_duties_are_converted(tmp_path: pathlib.Path) -> None:
    text = SETTINGS.replace('graceS: 8', DUTY_BOUNDS) + CLOUD
    settings = load_platform_settings(write_settings(tmp_path, text))
    duties = settings.duties
    assert duties is not None
    assert str(duties.api) == '10.200.1.9:8300'
    assert duties.kinds == {DutyKind.USAGE, DutyKind.SCALING}
    assert settings.unknown_duties == ('sweeping',)
    assert duties.calls_per_second == 5
    assert duties.lease_duration == 2.4
    assert duties.resume_bound == 0.2
    assert duties.report_window == 4
    assert duties.report_delay == 8
    assert duties.report_tolerance == 0.1
    # A call that is sent at the last moment ends before the lease does.
    assert duties.call_timeout == pytest.approx(0.4)


def test_duties_have_defaults(tmp_path: pathlib.Path) -> None:
    text = SETTINGS + 'cloud: {address: "10.200.1.9:1", duties: [metering]}'
    duties = load_platform_settings(write_settings(tmp_path, text)).duties
    assert duties is not None
    assert duties.kinds == {DutyKind.USAGE}
    assert (duties.lease_duration, duties.call_timeout) == (3, 0.5)
    assert duties.calls_per_second > 0


@pytest.mark.parametrize(
    'cloud',
    [
        '',
        'cloud: null',
        'cloud: {}',
        'cloud: {address: "10.200.1.9:8300"}',
        'cloud: {address: "10.200.1.9:8300", duties: []}',
        'cloud: {address: "nowhere", duties: [sweeping]}',
    ],
)
def test_duties_may_be_missing(tmp_path: pathlib.Path, cloud: str) -> None:
    path = write_settings(tmp_path, SETTINGS + cloud)
    assert load_platform_settings(path).duties is None


@pytest.mark.parametrize(
    ('cloud', 'expected_text'),
    [
        ('cloud: {duties: [metering]}', 'cloud.address'),
        ('cloud: {address: "nowhere", duties: [metering]}', 'cloud.address'),
        ('cloud: {duties: metering}', 'cloud.duties'),
        ('cloud: {dutyPerS: -1}', 'cloud.dutyPerS'),
    ],
)
def test_invalid_duties_error_names_the_key(
    tmp_path: pathlib.Path, cloud: str, expected_text: str
) -> None:
    path = write_settings(tmp_path, SETTINGS + cloud)
    with pytest.raises(SettingsInvalid, match=expected_text):
        load_platform_settings(path)


def test_lease_without_a_duration_is_rejected(tmp_path: pathlib.Path) -> None:
    text = SETTINGS.replace('graceS: 8', 'graceS: 8, leaseMs: 0')
    with pytest.raises(SettingsInvalid, match='bounds.leaseMs'):
        load_platform_settings(write_settings(tmp_path, text))


@pytest.mark.parametrize(
    ('scheduling', 'expected'),
    [
        ('', False),
        ('scheduling: {}', False),
        ('scheduling: {cost_aware: true}', True),
        ('scheduling: {cost_aware: false}', False),
    ],
)
def test_choice_by_predicted_work_can_be_turned_on(
    tmp_path: pathlib.Path, scheduling: str, expected: bool
) -> None:
    path = write_settings(tmp_path, SETTINGS + scheduling)
    assert load_platform_settings(path).cost_aware is expected
