"""Work left at upstreams."""

import pytest

from primroseyoke.scheduling.cost import Prediction, Rates
from primroseyoke.scheduling.work import Job, Speeds, ToldWork, WorkLeft

RATES = Rates(prompt_token=0.00002, output_token=0.002)


def make_job(output: float = 100, upstream: str = 'u0') -> Job:
    prediction = Prediction(1000, output, 0.02 + output * 0.002)
    return Job('model', upstream, None, prediction, RATES)


def test_work_decreases_as_events_pass() -> None:
    work = WorkLeft()
    job = make_job()
    work.start(job)
    assert work.of('u0').left == pytest.approx(0.22)
    assert work.of('u0').unread == pytest.approx(0.02)
    work.record_output(job, 60)
    assert work.of('u0').left == pytest.approx(0.08)
    assert work.of('u0').unread == pytest.approx(0)


def test_a_stream_that_exceeds_its_prediction_still_has_work_left() -> None:
    """Guards against upstreams that look free while long streams run there."""
    work = WorkLeft()
    job = make_job()
    work.start(job)
    work.record_output(job, 800)
    assert work.of('u0').left == pytest.approx(0.4)
    assert work.of('u0').tokens == pytest.approx(1800)


def test_nothing_is_left_of_jobs_that_ended() -> None:
    """Guards against remainders of rounding that add up."""
    work = WorkLeft()
    for number in range(1000):
        job = make_job(number / 7)
        work.start(job)
        work.record_output(job, number / 3)
        work.end(job)
    assert not work.sums
    assert not work.report()


def test_reported_work_is_in_whole_milliseconds() -> None:
    work = WorkLeft()
    work.start(make_job())
    work.start(make_job(upstream='u1'))
    tiny = make_job(0, 'u2')
    work.start(tiny)
    work.record_output(tiny, 0)
    assert work.report() == {'u0': 220, 'u1': 220}


def test_requests_whose_work_is_not_reported_count_as_typical() -> None:
    """Guards against hosts of the version before that look idle."""
    told = ToldWork()
    told.add({'u0': 2, 'u1': 1}, {'u0': 300}, 1)
    told.add({'u0': 3}, {}, 1)
    assert told.of('u0', typical=0.1) == pytest.approx(0.6)
    assert told.of('u1', typical=0.1) == pytest.approx(0.1)
    told.add({'u0': 2, 'u1': 1}, {'u0': 300}, -1)
    told.add({'u0': 3}, {}, -1)
    assert not told.work
    assert not told.untold


def test_speed_is_learned_from_gaps_and_expires() -> None:
    speeds = Speeds()
    for _ in range(200):
        speeds.observe('u0', expected=0.05, gap=0.1, now=1)
    assert speeds.of('u0', now=2) == pytest.approx(0.5, rel=0.01)
    assert speeds.of('u0', now=12) == 1
    assert speeds.of('u1', now=2) == 1
    speeds.retain(['u1'])
    assert speeds.of('u0', now=2) == 1
