"""Requests in progress of all hosts."""

import random

from primroseyoke.gateway.usage import Usage


def test_own_requests_and_the_last_news_of_others_add_up() -> None:
    usage = Usage()
    usage.begin('u0')
    usage.hear('a', {'u0': 2, 'u1': 1}, now=1)
    usage.hear('a', {'u0': 1}, now=1.1)
    usage.hear('b', {'u0': 3}, now=1)
    assert (usage.total('u0'), usage.total('u1')) == (5, 0)
    usage.forget('b')
    usage.end('u0')
    assert usage.totals == {'u0': 1}


def test_old_news_does_not_count() -> None:
    usage = Usage()
    usage.hear('a', {'u0': 2}, now=1)
    usage.expire(now=2)
    assert usage.total('u0') == 2
    usage.expire(now=3)
    assert not usage.totals


def test_totals_match_a_sum_over_all_reports() -> None:
    generator = random.Random(1)
    usage = Usage()
    for step in range(2000):
        host = generator.choice('abc')
        counts = {f'u{n}': generator.randint(1, 3) for n in range(3)}
        generator.choice(
            (
                lambda: usage.hear(host, counts, step),
                lambda: usage.forget(host),
                lambda: usage.begin('u0'),
                lambda: usage.end('u0') if usage.running else None,
            ),
        )()
        reports = [
            usage.running,
            *(news.counts for news in usage.news.values()),
        ]
        for name in ('u0', 'u1', 'u2'):
            expected = sum(report.get(name, 0) for report in reports)
            assert usage.total(name) == expected
