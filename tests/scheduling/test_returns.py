"""The loop of refusals and returns.

Load: 150 requests per second against 135 slots per second for 20 s. Of the
callers, 15 in 100 don't wait as told: they return at once, up to four times.
"""

import functools
import random

import pytest

from primroseyoke.scheduling.admission import (
    QueuePosition,
    ServiceAdmission,
    Urgency,
    WaitLimits,
)
from primroseyoke.scheduling.backlog import Backlog
from primroseyoke.scheduling.forecast import HoldTime, Prospect
from primroseyoke.scheduling.returns import ReturnShare
from tests.standins.slot_model import Kind, Model

SECONDS = 20
WARM_UP_SECONDS = 3
RATE = 150
SLOT_RATE = 135
ABUSIVE_SHARE = 0.15
MIN_ON_TIME_SHARE = 0.8
SEEDS = (1, 2, 3)
# The parts of the three kinds in the rate of all.
KINDS = tuple(
    Kind(priority, RATE * rate / 117.6, objective)
    for priority, rate, objective in (
        (0, 53.5, 0.406),
        (1, 23.5, 0.407),
        (2, 40.6, 1.007),
    )
)


@functools.cache
def run_model(seed, ordered):
    model = Model(
        KINDS,
        seed,
        ordered,
        abusive_share=ABUSIVE_SHARE,
        slot_rate=SLOT_RATE,
    )
    model.run(SECONDS)
    return model


def count(model, name):
    return sum(getattr(tally, name) for tally in model.tallies.values())


def in_load(times):
    return sum(WARM_UP_SECONDS <= at < SECONDS for at in times)


@pytest.mark.parametrize('seed', SEEDS)
def test_most_slots_are_used_for_answers_on_time(seed):
    """Guards against returned requests that make all answers late."""
    model = run_model(seed, ordered=True)
    on_time = in_load(model.on_time_started_at)
    assert on_time >= MIN_ON_TIME_SHARE * in_load(model.started_at)


@pytest.mark.parametrize('seed', SEEDS)
def test_callers_that_wait_as_told_are_refused_twice_less_often(seed):
    """Guards against a Retry-After that leads to a second refusal.

    Before, requests waited for up to 0.7 s, were told to return after at most
    2 s, and were then served last.
    """
    new = run_model(seed, ordered=True)
    old = run_model(seed, ordered=False)
    refused_twice = {
        model: count(model, 'obedient_refused_twice') for model in (new, old)
    }
    assert refused_twice[new] < refused_twice[old]
    new_share = refused_twice[new] / count(new, 'obedient_refused')
    old_share = refused_twice[old] / count(old, 'obedient_refused')
    assert new_share < old_share


@pytest.mark.parametrize('seed', SEEDS)
def test_slots_are_used_as_before(seed):
    """Guards against refusals while slots are free."""
    new = in_load(run_model(seed, ordered=True).started_at)
    old = in_load(run_model(seed, ordered=False).started_at)
    assert new >= 0.98 * old


def make_admission():
    admission = ServiceAdmission('app', Backlog(), lambda: None)
    admission.priorities = frozenset({0, 2})
    return admission


ON_TIME = QueuePosition.of(Urgency.ON_TIME, 2, 10)
LATE = QueuePosition.of(Urgency.LATE, 2, 10)
LIMITS = WaitLimits(
    on_time_until=10.8, wait_until=10.7, refused_until=10.125, is_retried=False
)


@pytest.mark.parametrize(
    ('position', 'prospect', 'expected'),
    [
        # 50 requests ahead and 100 slots/s: 0.5 s.
        (ON_TIME, Prospect(100, 49, 0, 99, 20), True),
        # Half of the slots go to more urgent ones: 1 s, and 14 s if late.
        (ON_TIME, Prospect(100, 49, 0.5, 99, 20), False),
        # It is not on time, but 100 slots/s are spare: late after 0.6 s.
        (ON_TIME, Prospect(200, 39, 0.9, 100, 20), True),
        (LATE, Prospect(200, 39, 0.9, 100, 20), True),
        (LATE, Prospect(100, 0, 0, 120, 20), False),
    ],
)
def test_forecast_of_a_slot(position, prospect, expected):
    """Guards against requests that wait in vain, or are refused too early."""
    admission = make_admission()
    assert admission.has_prospect(position, prospect, LIMITS, 10) is expected


def test_requests_are_refused_for_lack_of_a_prospect_only_early():
    """Guards against a caller that learns late that it gets no slot."""
    admission = make_admission()
    assert admission.may_refuse(ON_TIME, LIMITS, 10.12)
    assert not admission.may_refuse(ON_TIME, LIMITS, 10.13)
    assert admission.may_refuse(LATE, LIMITS, 10.5)
    admission.priorities = frozenset({2})
    assert not admission.may_refuse(LATE, LIMITS, 10.5)


def test_without_measurements_nothing_is_refused():
    """Guards against refusals after a restart, when no slot was released."""
    prospect = Prospect(HoldTime().release_rate(300), 100, 0.9, 500, 60)
    assert make_admission().has_prospect(ON_TIME, prospect, LIMITS, 10)


def test_returned_requests_go_first_for_a_tenth_of_the_slots():
    """Guards against returned requests that are always first, or never."""
    share = ReturnShare()
    preferred = 0
    for _ in range(1000):
        preferred += share.has_credit
        share.record_grant(share.has_credit)
    assert 90 <= preferred <= 100


def test_credit_of_returned_requests_is_bounded():
    """Guards against a wave of late answers after a calm time."""
    share = ReturnShare()
    for _ in range(10000):
        share.record_grant(preferred=False)
    assert share.credit <= 3


def test_returned_requests_precede_new_ones_only_with_credit():
    admission = make_admission()
    newest = admission.position(Urgency.ON_TIME, 2, 10, False, 10)
    returned = admission.position(Urgency.LATE, 2, 6, True, 10)
    assert newest < returned
    for _ in range(20):
        admission.record_slot(newest)
    returned = admission.position(Urgency.LATE, 2, 6, True, 10)
    assert returned < newest
    assert admission.position(Urgency.ON_TIME, 0, 10, False, 10) < returned


def test_retry_after_is_spread_and_bounded():
    """Guards against callers that are refused together and return together."""
    admission = make_admission()
    generator = random.Random(1)
    for _ in range(40):
        admission.record_decision(0, granted=True, now=10)
    delays = [
        admission.retry_after(0.1, 8, 7.9, generator.random(), 10)
        for _ in range(30)
    ]
    assert max(delays) <= 7.9 / 3
    # Earlier returns look like new requests.
    assert min(delays) + 0.1 > 0.2 * 8
    assert len({round(delay, 2) for delay in delays}) > 15


def test_retry_after_grows_with_the_backlog():
    admission = make_admission()
    delays = [
        admission.retry_after(backlog, 8, 7.9, 0, 10)
        for backlog in (0, 2.2, 60)
    ]
    assert delays == sorted(delays)
    assert delays[-1] <= 7.9 / 3


def test_promised_returns_are_bounded_and_expire():
    """Guards against state that grows while all requests are refused."""
    share = ReturnShare()
    for number in range(5000):
        share.promise(10 + number / 1000)
    assert len(share.promises) <= 1000
    assert share.delay(0, 4, 20) < share.delay(3, 4, 20)
    assert not share.promises
