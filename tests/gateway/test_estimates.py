"""Smoothed mean, deviation and upper bound of measurements."""

import math
import random

from primroseyoke.gateway.estimates import Estimate


def test_deviation_vanishes_for_equal_measurements() -> None:
    estimate = Estimate(0.2)
    for _ in range(200):
        estimate.observe(0.1)
    assert math.isclose(estimate.upper_bound, 0.1, rel_tol=0.01)


def test_few_measurements_exceed_the_upper_bound() -> None:
    generator = random.Random(1)
    estimate = Estimate(0.2)
    exceeding = 0
    for number in range(2000):
        measured = generator.gauss(0.15, 0.02)
        exceeding += measured > estimate.upper_bound
        estimate.observe(measured)
    assert exceeding < 0.1 * 2000
