"""Choices of 30 hosts with delayed reports, calculated in virtual time.

Random choices differ between two policies, so their figures differ by some
hundredths also where the policies are equally good.
"""

import dataclasses
import functools
import random

from primroseyoke.scheduling.cost import StatedWork
from tests.standins.routed_streams import (
    KINDS,
    Outcome,
    RoutedStreams,
    learned_costs,
)

# 1.6 times the requests of the deployment use 0.5 to 0.6 of the slots.
LOAD = 1.6
SECONDS = 6.0
SEEDS = (1, 2)
# How much worse than today counts as equal.
TOLERANCE = 1.1


@functools.cache
def today(kinds=KINDS) -> Outcome:
    return run(None, kinds=kinds)


def run(costs: object = 'product', **overrides: object) -> Outcome:
    """Return what was measured with all seeds; None chooses by counts."""
    outcome = Outcome()
    for seed in SEEDS:
        policy = {'costs': None} if costs is None else {}
        part = RoutedStreams(seed, load=LOAD, **policy, **overrides).run(
            SECONDS
        )
        outcome.first_event += part.first_event
        outcome.finish += part.finish
        outcome.imbalance += part.imbalance
        outcome.abandoned += part.abandoned
    return outcome


def assert_not_worse(outcome: Outcome, reference: Outcome) -> None:
    measured, expected = outcome.row(), reference.row()
    for name in ('first_event_p95', 'first_event_mean', 'finish_mean'):
        assert measured[name] <= TOLERANCE * expected[name], name
    assert measured['abandoned'] <= expected['abandoned']


def test_predicted_work_is_not_worse_with_true_medians() -> None:
    """Guards against slower first events at the load of a deployment."""
    assert_not_worse(run(), today())


def test_predicted_work_is_not_worse_with_equal_costs() -> None:
    """Guards against herding where there is nothing to gain."""
    kinds = tuple(
        dataclasses.replace(
            kind,
            mean_prompt=800,
            mean_events=18,
            prompt_deviation=0,
            event_deviation=0,
            hint_error=0,
        )
        for kind in KINDS
    )
    assert_not_worse(run(kinds=kinds), today(kinds))


def state_a_tenth(stated: StatedWork, _: random.Random) -> StatedWork:
    return dataclasses.replace(stated, hint=max(1, stated.hint // 10))


def test_predicted_work_is_not_worse_if_callers_state_a_tenth() -> None:
    """Guards against trust in callers that state 80 and produce 800."""
    assert_not_worse(run(change=state_a_tenth), today())


def state_the_maximum(stated: StatedWork, _: random.Random) -> StatedWork:
    return dataclasses.replace(stated, hint=None)


def test_predicted_work_is_not_worse_if_all_state_the_maximum() -> None:
    """Guards against predictions that tell only the prompts apart."""
    assert_not_worse(run(change=state_the_maximum), today())


def understate_some(stated: StatedWork, generator: random.Random) -> StatedWork:
    if generator.random() < 0.5:
        return dataclasses.replace(stated, client='honest')
    return dataclasses.replace(
        stated, client='sly', hint=max(1, stated.hint // 8)
    )


def test_predicted_work_is_not_worse_if_a_caller_understates() -> None:
    """Guards against one caller that distorts the choices for all."""
    assert_not_worse(run(change=understate_some), today())


def test_predicted_work_is_not_worse_beside_hosts_without_it() -> None:
    """Guards against a rollout host by host: half of them report no work."""
    assert_not_worse(run(old_hosts=15), today())


def test_predicted_work_is_not_worse_after_a_restart_of_all_hosts() -> None:
    """Guards against a bad prior: nothing has been learned yet."""
    outcomes = [Outcome(), Outcome()]
    for seed in (1, 2, 3, 4):
        for outcome, costs in zip(outcomes, ({}, {'costs': None})):
            part = RoutedStreams(seed, load=LOAD, **costs).run(2, warm_up=0.5)
            outcome.first_event += part.first_event
            outcome.finish += part.finish
            outcome.imbalance += part.imbalance
            outcome.abandoned += part.abandoned
    assert_not_worse(outcomes[0], outcomes[1])


def test_390_hosts_do_not_choose_the_same_upstreams() -> None:
    """Guards against hosts that all see the same upstream as the best."""
    outcomes = [
        RoutedStreams(1, hosts=390, costs=costs, load=LOAD).run(2, warm_up=2)
        for costs in (learned_costs, None)
    ]
    assert_not_worse(*outcomes)
