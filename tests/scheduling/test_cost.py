"""Prediction of the cost of requests."""

import random

import pytest

from primroseyoke.scheduling.cost import CostModel, Rates, StatedWork

RATES = Rates(prompt_token=0.00002, output_token=0.002)


def stated(
    hint: int | None = None,
    maximum: int | None = None,
    client: str = '',
    kind: str = 'draft',
    prompt: int = 800,
) -> StatedWork:
    return StatedWork(kind, prompt, client, maximum, hint)


def learn(
    model: CostModel, request: StatedWork, produced: float, now: float = 0
) -> None:
    prediction = model.predict(request, RATES, now)
    model.record_sent(prediction)
    model.observe(request, prediction, produced, RATES, now)


def output(model: CostModel, request: StatedWork, now: float = 0) -> float:
    return model.predict(request, RATES, now).output_tokens


@pytest.mark.parametrize(
    ('request_', 'expected'),
    [
        (stated(hint=120, maximum=400), 120),
        (stated(maximum=400), 200),
        (stated(), 80),
    ],
)
def test_prior_of_what_was_never_seen(
    request_: StatedWork, expected: float
) -> None:
    model = CostModel()
    prediction = model.predict(request_, RATES, 0)
    assert prediction.output_tokens == pytest.approx(expected)
    assert prediction.work == pytest.approx(0.016 + 0.002 * expected)


def test_outputs_far_above_the_stated_ones_are_learned() -> None:
    """Guards against upstreams that look free while long streams run there."""
    model = CostModel()
    for _ in range(60):
        learn(model, stated(hint=80), 800)
    assert 600 < output(model, stated(hint=80)) < 1000


def test_a_client_that_understates_does_not_change_the_others() -> None:
    model = CostModel()
    for _ in range(300):
        learn(model, stated(hint=100, client='honest'), 100)
        learn(model, stated(hint=20, client='sly'), 160)
    assert 110 < output(model, stated(hint=20, client='sly')) < 220
    assert 70 < output(model, stated(hint=100, client='honest')) < 150


def test_statements_that_tell_nothing_give_the_mean() -> None:
    """Guards against choices by random hints."""
    generator = random.Random(1)
    model = CostModel()
    for _ in range(1500):
        hint = round(generator.lognormvariate(4, 0.8))
        learn(model, stated(hint=max(hint, 1)), generator.uniform(60, 100))
    assert output(model, stated(hint=400)) < 1.5 * output(
        model, stated(hint=20)
    )


def test_predictions_count_for_nothing_if_all_state_the_same() -> None:
    """Guards against another choice than today where costs look equal."""
    generator = random.Random(1)
    model = CostModel()
    for _ in range(200):
        learn(model, stated(maximum=232), generator.lognormvariate(4, 0.8))
        assert model.weight == 0


def test_predictions_without_value_lose_their_weight() -> None:
    generator = random.Random(1)
    model = CostModel()
    for _ in range(600):
        learn(
            model,
            stated(hint=generator.choice((20, 200))),
            generator.choice((20, 200)),
        )
    assert model.weight < 0.3


def test_good_predictions_count_in_full() -> None:
    generator = random.Random(1)
    model = CostModel()
    for _ in range(100):
        hint = generator.choice((20, 100, 200))
        learn(model, stated(hint=hint), hint)
    assert model.weight == 1


def test_what_was_learned_expires() -> None:
    model = CostModel()
    for _ in range(60):
        learn(model, stated(hint=80), 800)
    assert output(model, stated(hint=80), now=901) == pytest.approx(80)


def test_state_is_bounded() -> None:
    """Guards against memory that grows with the client accounts."""
    model = CostModel()
    for number in range(5000):
        learn(model, stated(80, client=f'c{number}', kind=f'k{number}'), 80)
    assert len(model.clients.entries) == 2048
    assert len(model.kinds.entries) == 256
    assert len(model.totals) == 256


def test_error_is_tracked_by_kind() -> None:
    model = CostModel()
    learn(model, stated(hint=100), 150)
    totals = model.totals['draft']
    assert totals.count == 1
    assert totals.predicted == pytest.approx(0.216)
    assert totals.observed == pytest.approx(0.316)
    assert totals.error == pytest.approx(0.1)
