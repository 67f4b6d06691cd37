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
from primroseyoke.gateway.lease_records import decode_lease_record
from primroseyoke.gateway.settings import (
    DutyKind,
    DutySettings,
    GatewaySettings,
)
from primroseyoke.settings import Address
from tests.event_loop import run
from tests.gateway.deployment import Deployment, deployment, wait_until
from tests.standins.platform import StandInUpstream, answer_ok


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
    """Guards against requests that a stop cuts off or rejects too early.

    The load balancer in front still sends requests after the signal.
    """

    async def scenario() -> None:
        is_done = asyncio.Event()

        async def finish_posting_when_done(
            upstream: StandInUpstream,
            request: CallerRequest,
            response: ResponseWriter,
        ) -> None:
            if request.method == 'POST':
                await is_done.wait()
            response.respond(200, upstream.signature_headers(request), b'done')

        async with deployment(app=(finish_posting_when_done,)) as system:
            call = asyncio.ensure_future(system.call('/book/', 'POST'))
            await wait_until(
                lambda: bool(system.upstreams['app-0'].received_requests)
            )
            signal.raise_signal(signal.SIGTERM)
            await wait_until(lambda: system.gateway.stopping.is_set())
            assert (
                await admin_client(system).call('GET', '/ready')
            ).status == 503
            assert (await system.call('/lookup/')).status == 200
            assert not call.done()
            is_done.set()
            received = await call
            assert (received.status, received.body) == (200, b'done')
            assert received.headers['connection'] == 'close'
            assert (await system.call('/lookup/')).status == 200

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


def test_the_lease_of_the_duties_is_held_until_the_gateway_drains() -> None:
    """Guards against a stopped gateway whose duties no other one takes over."""

    async def scenario() -> None:
        duties = DutySettings(
            Address('127.0.0.1', 1),
            frozenset({DutyKind.USAGE}),
            lease_duration=1.2,
        )
        async with deployment(app=(answer_ok,), duties=duties) as system:
            gateway, store = system.gateway, system.store
            lease = gateway.duties.lease
            assert lease is not None
            await wait_until(lambda: lease.held() is not None)
            state = await admin_client(system).call('GET', '/state')
            shown = json.loads(state.body)['duties']['lease']
            assert shown['held'] == lease.held()
            page = await admin_client(system).call('GET', '/metrics')
            assert b'gateway_duty_lease_held 1.0' in page.body
            signal.raise_signal(signal.SIGTERM)
            await wait_until(lambda: gateway.stopping.is_set())
            await wait_until(lambda: lease.held() is None, 0.3)
            await wait_until(
                lambda: (
                    decode_lease_record(
                        store.topics['keyed.duties'][-1][1]
                    ).lease.expires_at
                    == 0
                ),
                1.5,
            )

    asyncio.run(scenario())


def test_no_topic_of_the_lease_without_duties() -> None:
    """Guards against calls to the store where there are no duties."""

    async def scenario() -> None:
        async with deployment(app=(answer_ok,)) as system:
            await asyncio.sleep(1.5)
            assert 'keyed.duties' not in system.store.topics
            state = await admin_client(system).call('GET', '/state')
            assert json.loads(state.body)['duties'] is None

    asyncio.run(scenario())
