"""Requests of many hosts at one upstream whose rate they share.

All hosts want to send all the time, unless they were idle before. The disturbed
hosts join, leave, crash, restart, freeze and are cut off from each other, up to
a third of them every two seconds.
"""

import time

from bench.figures import report
from primroseyoke.shared_rates import RateSharing, SharedRate
from tests.standins.rate_sharers import (
    Fleet,
    allowed,
    most_in_window,
    names,
    send_all,
)

HOST_COUNTS = (8, 45, 99, 390)
RATES = (SharedRate(17, 1), SharedRate(1, 4), SharedRate(5, 4))
SEED_COUNT = 4
TICK_COUNT = 600
DISTURBANCE_TICKS = 40
UPSTREAM_COUNT = 600


def calm_hosts(count):
    return [RateSharing(name, names(count)) for name in names(count)]


def disturbed(rate, count, seed):
    """Return when requests are sent by hosts that are disturbed."""
    fleet = Fleet(count, seed)
    for step in range(TICK_COUNT):
        if step % DISTURBANCE_TICKS == DISTURBANCE_TICKS // 2:
            fleet.disturb()
        fleet.tick(rate)
    return fleet.sent, fleet.now - 100


def measure(rate, count):
    window = rate.window
    busy = send_all(calm_hosts(count), rate, 100, 8 * window)
    hosts = calm_hosts(count)
    send_all(hosts, rate, 0, 4 * window)
    after_idle = send_all(hosts, rate, 1000, 4 * window)
    runs = [disturbed(rate, count, seed) for seed in range(SEED_COUNT)]
    used = sum(len(sent) for sent, _ in runs)
    possible = sum(rate.per_second * seconds for _, seconds in runs)
    name = f'shared_rates_{rate.per_second:g}_per_s_{count}_hosts'
    sums = {
        'busy': most_in_window(busy, window),
        'after_idle': most_in_window(after_idle, window),
        'disturbed': max(most_in_window(sent, window) for sent, _ in runs),
    }
    for situation, most in sums.items():
        report(
            f'{name}_most_{situation}',
            most,
            f'requests_in_{window:g}_s',
            allowed(rate),
        )
    report(
        f'{name}_used_busy', len(busy), 'requests', rate.per_second * 8 * window
    )
    report(f'{name}_used_disturbed', used, 'requests', possible)


def measure_cost(count):
    """Measure the first and the following looks at limited upstreams."""
    rates = RATES[:1]
    host = RateSharing('host-0', names(count))
    upstreams = [f'u{number}' for number in range(UPSTREAM_COUNT)]
    for look in ('first', 'next'):
        started = time.perf_counter()
        for upstream in upstreams:
            host.delay(upstream, rates, 100)
        seconds = (time.perf_counter() - started) / UPSTREAM_COUNT
        report(f'shared_rates_{look}_look_{count}_hosts', seconds * 1e6, 'us')


def main():
    for rate in RATES:
        for count in HOST_COUNTS:
            measure(rate, count)
    for count in HOST_COUNTS:
        measure_cost(count)


if __name__ == '__main__':
    main()
