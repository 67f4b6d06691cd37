"""A gateway process: readiness, drain, reload, metrics and log."""

import asyncio
import json
import signal

import pytest

from primroseyoke.exceptions import SettingsInvalid
from primroseyoke.gateway.gateway import run_with_restarts
from primroseyoke.gateway.http_client import HttpClient
from primroseyoke.gateway.listeners import ResponseWriter
from primroseyoke.gateway.requests import CallerRequest
from primroseyoke.gateway.settings import GatewaySettings
from tests.event_loop import run
from tests.gateway.deployment import Deployment, deployment, wait_until
from tests.standins.platform import StandInUpstream, answer_ok


async def respond_slowly(
    upstream: StandInUpstream,
    request: CallerRequest,
    response: ResponseWriter,
) -> None:
    await asyncio.sleep(0.8)
    response.respond(200, upstream.signature_headers(request), b'done')


async def respond_large(
    upstream: StandInUpstream,
    request: CallerRequest,
    response: ResponseWriter,
) -> None:
    body = b'x' * 3_000_000
    response.respond(200, upstream.signature_headers(request), body)


def admin_client(system: Deployment) -> HttpClient:
    address = system.gateway.settings.readiness
    return HttpClient(address.host, address.port)


def test_a_gateway_is_ready_once_it_knows_a_configuration() -> None:
    async def scenario() -> None:
        async with deployment(configured=False) as system:
            assert (
                await admin_client(system).call('GET', '/ready')
            ).status == 503
        async with deployment(app=(answer_ok,)) as system:
            assert (
                await admin_client(system).call('GET', '/ready')
            ).status == 200

    asyncio.run(scenario())


def test_sigterm_finishes_requests_and_turns_readiness_off() -> None:
    async def scenario() -> None:
        async with deployment(app=(respond_slowly,)) as system:
            call = asyncio.ensure_future(system.call('/book/', 'POST'))
            await wait_until(
                lambda: bool(system.upstreams['app-0'].received_requests)
            )
            signal.raise_signal(signal.SIGTERM)
            await wait_until(lambda: system.gateway.stopping.is_set())
            assert (
                await admin_client(system).call('GET', '/ready')
            ).status == 503
            received = await call
            assert (received.status, received.body) == (200, b'done')
            assert received.headers['connection'] == 'close'
            late = await system.call('/lookup/')
            assert late.status == 200

    asyncio.run(scenario())


def test_an_invalid_settings_file_keeps_the_current_settings(caplog) -> None:
    async def scenario() -> None:
        async with deployment(app=(answer_ok,)) as system:
            before = system.gateway.settings
            signal.raise_signal(signal.SIGHUP)
            await wait_until(lambda: 'settings not reloaded' in caplog.text)
            assert system.gateway.settings is before
            assert (await system.call('/lookup/')).status == 200

    asyncio.run(scenario())


def test_changed_settings_are_applied(monkeypatch) -> None:
    async def scenario() -> None:
        async with deployment(app=(answer_ok,)) as system:
            gateway = system.gateway
            changed = {
                field: getattr(gateway.settings, field)
                for field in GatewaySettings.__slots__
            }
            changed['repeat_slack'] = 7.0
            settings = GatewaySettings(**changed)
            monkeypatch.setattr(
                gateway.platform,
                'read_settings',
                lambda: settings,
            )
            gateway.reload()
            assert gateway.retry_budget.slack == 7.0

    asyncio.run(scenario())


def test_reading_a_missing_settings_file_is_an_error() -> None:
    async def scenario() -> None:
        async with deployment() as system:
            with pytest.raises(SettingsInvalid):
                system.gateway.platform.read_settings()

    asyncio.run(scenario())


def test_metrics_and_state_report_requests() -> None:
    async def scenario() -> None:
        async with deployment(app=(answer_ok,)) as system:
            await system.call('/lookup/')
            metrics = (await admin_client(system).call('GET', '/metrics')).body
            assert b'gateway_answers_total{status="200"' in metrics
            assert b'gateway_first_event_seconds_bucket' in metrics
            response = await admin_client(system).call('GET', '/state')
            state = json.loads(response.body)
            assert state['configuration'] == 1
            assert set(state['upstreams']) == {'app-0'}

    asyncio.run(scenario())


def test_a_large_response_arrives_complete() -> None:
    async def scenario() -> None:
        async with deployment(app=(respond_large,)) as system:
            received = await system.call('/lookup/')
            assert received.complete
            assert len(received.body) == 3_000_000

    asyncio.run(scenario())


def test_each_request_is_logged_once(caplog) -> None:
    async def scenario() -> None:
        async with deployment(app=(answer_ok,)) as system:
            await system.call('/lookup/', request_id='r-77')

    caplog.set_level('INFO')
    asyncio.run(scenario())
    lines = [
        record
        for record in caplog.records
        if getattr(record, 'request', '') == 'r-77'
    ]
    assert len(lines) == 1
    assert lines[0].status == 200
    assert lines[0].upstreams == ['app-0']
    assert lines[0].configuration == 1


def test_a_failed_background_task_is_restarted(caplog) -> None:
    """Guards against a failed topic consumer that leaves the gateway stale."""
    runs = []

    async def failing_task() -> None:
        runs.append(1)
        if len(runs) < 3:
            raise KeyError('unexpected')

    run(run_with_restarts(failing_task))
    assert len(runs) == 3
    assert caplog.text.count('restarting it') == 2
