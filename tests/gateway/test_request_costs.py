"""Choice of upstreams by the predicted work of requests."""

import asyncio
import dataclasses
import random

import pytest

from primroseyoke.gateway.balancer import (
    Balancer,
    Reservation,
    SelectionCriteria,
)
from primroseyoke.gateway.request_costs import ChoiceByWork
from primroseyoke.gateway.upstreams import Upstream, UpstreamRegistry
from primroseyoke.scheduling.cost import StatedWork
from tests.gateway.deployment import configuration, deployment, wait_until
from tests.gateway.test_gateway import admin_client
from tests.gateway.test_proxy import stream
from tests.standins.routed_streams import (
    CONFIGURATION,
    ROUTED_ENGINE,
    SERVICE,
    StatedCosts,
)

SHORT = StatedWork('draft', 100, '', 232, 8)
LONG = StatedWork('draft', 2880, '', 232, 232)


def make_balancer(
    count: int, is_weighted: bool = True, lock_step: bool = True
) -> Balancer:
    """Return a balancer whose choices use what callers state."""
    registry = UpstreamRegistry()
    for number in range(count):
        registry.put(Upstream(f'u{number}', SERVICE.name, '', 1, 'a'))
    balancer = Balancer(registry, 'a', random.Random(1), {})
    for name in registry.upstreams if lock_step else ():
        balancer.groups.add_rank(name, 'x')
    if is_weighted:
        balancer.costs.models[SERVICE.name] = StatedCosts()
    return balancer


def acquire(
    balancer: Balancer,
    stated: StatedWork | None,
    now: float = 1,
    **overrides: object,
) -> Reservation:
    reservation = balancer.acquire(
        CONFIGURATION,
        SERVICE.name,
        now,
        SelectionCriteria(stated_work=stated, **overrides),
    )
    assert reservation is not None
    return reservation


def record_events(
    balancer: Balancer, reservation: Reservation, count: int
) -> None:
    balancer.costs.record_events(reservation.job, ROUTED_ENGINE, count)


def test_upstream_with_less_work_left_is_chosen() -> None:
    """Guards against long streams that gather where few requests run."""
    balancer = make_balancer(2)
    long = acquire(balancer, LONG)
    short = acquire(balancer, SHORT)
    assert short.upstream != long.upstream
    second = acquire(balancer, LONG)
    assert second.upstream == short.upstream


def test_work_of_other_hosts_counts() -> None:
    balancer = make_balancer(2)
    balancer.in_flight.apply_report(
        'other', {'u0': 1, 'u1': 1}, 1, {'u0': 900, 'u1': 20}
    )
    assert acquire(balancer, LONG).upstream.name == 'u1'
    balancer.in_flight.drop_report('other')
    assert balancer.costs.work_left('u0', SERVICE.name) == 0


def test_events_reduce_the_work_left() -> None:
    balancer = make_balancer(2)
    first, second = acquire(balancer, LONG), acquire(balancer, LONG)
    record_events(balancer, first, 55)
    assert acquire(balancer, LONG).upstream == first.upstream
    assert acquire(balancer, SHORT).job.work_ahead < second.job.left * 2


def test_slower_upstream_gets_less_work() -> None:
    balancer = make_balancer(2, lock_step=False)
    names = list(balancer.registry.upstreams)
    for reservation in (acquire(balancer, LONG), acquire(balancer, LONG)):
        gap = 0.2 if reservation.upstream.name == names[0] else 0.025
        for _ in range(60):
            balancer.record_event(
                reservation.upstream, None, ROUTED_ENGINE, gap, 1
            )
    chosen = [acquire(balancer, LONG).upstream.name for _ in range(3)]
    assert chosen.count(names[1]) == 3


def test_request_that_exceeds_the_memory_goes_elsewhere() -> None:
    """Guards against requests that wait in an engine for memory."""
    engine = dataclasses.replace(ROUTED_ENGINE, memory_tokens=6000)
    service = dataclasses.replace(SERVICE, engine=engine)
    balancer = make_balancer(2)
    large = StatedWork('draft', 5000, '', 64, 64)
    first = balancer.acquire(
        dataclasses.replace(CONFIGURATION, services={'model': service}),
        'model',
        1,
        SelectionCriteria(stated_work=large),
    )
    for _ in range(3):
        other = balancer.acquire(
            dataclasses.replace(CONFIGURATION, services={'model': service}),
            'model',
            1,
            SelectionCriteria(stated_work=StatedWork('draft', 1200, '', 64, 8)),
        )
        assert other.upstream != first.upstream


def test_request_larger_than_the_memory_gets_an_empty_upstream() -> None:
    """Guards against a request with a wrong statement that waits forever."""
    balancer = make_balancer(1)
    assert acquire(balancer, StatedWork('draft', 900000, '', 9, 9))


@pytest.mark.parametrize('stated', [None, StatedWork('draft', 800, '', 64, 64)])
def test_choice_is_as_today_without_statements_and_with_equal_costs(
    stated: StatedWork | None,
) -> None:
    """Guards against other choices where the predictions tell nothing."""
    today, now = make_balancer(20, False), make_balancer(20, False)
    today.costs.enabled = False
    generator = random.Random(1)
    held: list[tuple[Reservation, Reservation]] = []
    for _ in range(400):
        pair = acquire(today, stated), acquire(now, stated)
        assert pair[0].upstream == pair[1].upstream
        held.append(pair)
        for balancer, reservations in ((today, 0), (now, 1)):
            record_events(balancer, pair[reservations], 1)
        if len(held) > 60:
            ended = held.pop(generator.randrange(len(held)))
            if ended[1].job is not None:
                record_events(now, ended[1], 15)
            now.costs.record_whole(ended[1].job)
            today.release(ended[0])
            now.release(ended[1])


def test_nothing_is_tracked_or_reported_if_turned_off() -> None:
    balancer = make_balancer(2)
    balancer.costs.enabled = False
    assert acquire(balancer, LONG).job is None
    assert not balancer.costs.work.report()


def test_requests_without_statement_count_as_typical_beside_others() -> None:
    balancer = make_balancer(2)
    acquire(balancer, LONG)
    plain = acquire(balancer, None)
    assert plain.job.left == pytest.approx(plain.job.prediction.work)


@pytest.mark.parametrize('count', [16, 63, 600])
def test_cost_of_a_choice_does_not_grow_with_the_upstreams(
    count: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against hosts that are overloaded by 600 upstreams."""
    calls = []
    load = ChoiceByWork.load
    monkeypatch.setattr(
        ChoiceByWork, 'load', lambda *args: calls.append(1) or load(*args)
    )
    balancer = make_balancer(count)
    for _ in range(20):
        acquire(balancer, LONG)
    assert len(calls) <= 20 * 16


def test_cost_of_a_choice_stays_flat_while_most_upstreams_are_full(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a small sample that ends in a look at all upstreams."""
    balancer = make_balancer(600)
    for number in range(0, 600, 2):
        balancer.registry.put(Upstream(f'u{number}', SERVICE.name, '', 1, 'b'))
    for number in range(480):
        balancer.in_flight.apply_report(
            f'h{number}', {f'u{number}': 5}, 1, {f'u{number}': 900}
        )
    acquire(balancer, LONG)
    acquire(balancer, SHORT)
    looks = []
    usable = balancer.in_flight.total
    monkeypatch.setattr(
        balancer.in_flight,
        'total',
        lambda name: looks.append(name) or usable(name),
    )
    choices = 200
    for _ in range(choices):
        balancer.release(acquire(balancer, LONG))
    # 4 are all full twice in 5 times, 16 once in 35 times, so that 28 upstreams
    # are compared on average: 4 + 0.41 * 16 + 0.028 * 600.
    assert len(looks) <= choices * 50


def test_reloaded_settings_turn_the_choice_by_work_on_and_off(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        async with deployment() as system:
            gateway = system.gateway
            assert not gateway.balancer.costs.enabled
            for cost_aware in (True, False):
                settings = dataclasses.replace(
                    gateway.settings, cost_aware=cost_aware
                )
                monkeypatch.setattr(
                    gateway.platform, 'read_settings', lambda: settings
                )
                gateway.reload()
                assert gateway.balancer.costs.enabled is cost_aware

    asyncio.run(scenario())


def test_interrupted_streams_teach_nothing() -> None:
    """Guards against predictions that shrink with each failure."""
    balancer = make_balancer(2, is_weighted=False)
    for _ in range(10):
        reservation = acquire(balancer, LONG)
        record_events(balancer, reservation, 1)
        balancer.release(reservation)
    model = balancer.costs.models[SERVICE.name]
    assert not model.totals
    assert not model.kinds.entries


def test_continued_streams_teach_nothing() -> None:
    balancer = make_balancer(2, is_weighted=False)
    reservation = acquire(balancer, LONG, excluded=('u0',))
    reservation.job.is_first = False
    record_events(balancer, reservation, 1)
    balancer.costs.record_whole(reservation.job)
    balancer.release(reservation)
    assert not balancer.costs.models[SERVICE.name].totals


def test_prediction_is_logged_measured_and_stated_values_forwarded(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against choices that cannot be explained later."""
    headers = {
        'x-primroseyoke-token-usage': '1460,80',
        'x-primroseyoke-length-hint': '24',
    }
    engine = {
        'slots': 5,
        'kvCapacity': 155000,
        'step_ms': 4.55,
        'per_seq_ms': 1.81,
        'read_per_s': 47000,
        'stride': 4,
    }
    received = []
    metrics = []

    async def scenario() -> None:
        async with deployment(model=(stream,)) as system:
            system.gateway.balancer.costs.enabled = True
            changed = configuration(2)
            changed['services'][1]['engine'] = engine
            system.store.put('keyed.op', 'config', changed)
            state = system.gateway.routing_state
            await wait_until(lambda: state.configuration.version == 2)
            await system.call('/draft/', 'POST', request_id='r-80', **headers)
            upstream = system.upstreams['model-0']
            received.append(upstream.received_requests[0].headers)
            response = await admin_client(system).call('GET', '/metrics')
            metrics.append(response.body)

    caplog.set_level('INFO')
    asyncio.run(scenario())
    for name, text in headers.items():
        assert received[0][name.encode()] == text.encode()
    line = next(
        record
        for record in caplog.records
        if getattr(record, 'request', '') == 'r-80'
    )
    assert line.predicted_work_ms > 0
    assert line.work_ahead_ms == 0
    for name in ('requests', 'predicted_seconds', 'observed_seconds'):
        assert (
            f'gateway_cost_{name}_total{{kind="draft",service="model"}}'
        ).encode() in metrics[0]
    assert b'gateway_cost_error_seconds_total' in metrics[0]
