"""Usage reports of a whole gateway, with the store and the API."""

import asyncio
import json
import signal
import time

from primroseyoke.gateway.settings import DutyKind, DutySettings
from primroseyoke.settings import Address
from tests.gateway.deployment import Deployment, deployment, wait_until
from tests.standins.platform import StandInUpstream, answer_ok

WINDOW_SECONDS = 1.0


async def accept(upstream, request, response) -> None:
    response.respond(200, (), b'{}')


def reports(api: StandInUpstream) -> dict[int, list[dict[str, int]]]:
    """Return the counts that were reported, by window."""
    received: dict[int, list[dict[str, int]]] = {}
    for each in api.received_requests:
        content = json.loads(bytes(each.request.body))
        received.setdefault(content['windowId'], []).append(content['counts'])
    return received


async def run_calls(system: Deployment, count: int) -> None:
    for number in range(count):
        await system.call('/lookup/', request_id=f'r-{number}')
        await system.call('/open/', request_id=f'o-{number}', key='')


def test_gateway_reports_the_requests_of_its_callers() -> None:
    """Guards against reports that lack requests or count them twice."""

    async def scenario() -> None:
        api = StandInUpstream('api', accept)
        await api.start()
        duties = DutySettings(
            Address('127.0.0.1', api.port),
            frozenset({DutyKind.USAGE}),
            calls_per_second=10,
            report_window=WINDOW_SECONDS,
            report_delay=4,
        )
        async with deployment(app=(answer_ok,), duties=duties) as system:
            usage = system.gateway.proxy.context.usage
            await wait_until(lambda: len(api.received_requests) > 1, 10)
            first = int(time.time() // WINDOW_SECONDS)
            await run_calls(system, 30)
            last = int(time.time() // WINDOW_SECONDS)
            await wait_until(lambda: last in reports(api), 10)
            received = reports(api)
            windows = range(first, last + 1)
            assert set(windows) <= set(received)
            counted = [received[window][0] for window in windows]
            assert sum(each.get('workshop', 0) for each in counted) == 30
            assert all(set(each) <= {'workshop'} for each in counted)
            assert all(len(each) == 1 for each in received.values())
            # A report counts once it has been answered.
            await wait_until(
                lambda: (
                    usage.reporter.outcomes['reported'] == len(reports(api))
                ),
                WINDOW_SECONDS / 2,
            )
            metrics = system.gateway.proxy.metrics.render()
            assert b'gateway_usage_windows_total{outcome="reported"}' in metrics
            signal.raise_signal(signal.SIGTERM)
            await wait_until(lambda: system.gateway.duties.lease.held() is None)
        api.stop()

    asyncio.run(scenario())
