"""Number of requests in progress over all hosts."""

import random

from primroseyoke.gateway.in_flight import InFlightRequests


def test_total_is_own_requests_plus_last_reports() -> None:
    in_flight = InFlightRequests()
    in_flight.record_start('u0')
    in_flight.apply_report('a', {'u0': 2, 'u1': 1}, now=1)
    in_flight.apply_report('a', {'u0': 1}, now=1.1)
    in_flight.apply_report('b', {'u0': 3}, now=1)
    assert (in_flight.total('u0'), in_flight.total('u1')) == (5, 0)
    in_flight.drop_report('b')
    in_flight.record_end('u0')
    assert in_flight.totals == {'u0': 1}


def test_expired_reports_do_not_count() -> None:
    in_flight = InFlightRequests()
    in_flight.apply_report('a', {'u0': 2}, now=1)
    in_flight.expire(now=2)
    assert in_flight.total('u0') == 2
    in_flight.expire(now=3)
    assert not in_flight.totals


def test_totals_match_a_sum_over_all_reports() -> None:
    generator = random.Random(1)
    in_flight = InFlightRequests()
    for step in range(2000):
        host = generator.choice('abc')
        counts = {f'u{n}': generator.randint(1, 3) for n in range(3)}
        generator.choice(
            (
                lambda: in_flight.apply_report(host, counts, step),
                lambda: in_flight.drop_report(host),
                lambda: in_flight.record_start('u0'),
                lambda: (
                    in_flight.record_end('u0') if in_flight.running else None
                ),
            ),
        )()
        reports = [
            in_flight.running,
            *(other.counts for other in in_flight.reports.values()),
        ]
        for name in ('u0', 'u1', 'u2'):
            expected = sum(report.get(name, 0) for report in reports)
            assert in_flight.total(name) == expected
