"""On-time answers while rank groups are overloaded or have a slow rank.

Eight gateways share two groups of eight ranks; engines are simulated, in
virtual time. An answer counts 1 if its first event arrives within 0.5 s of the
caller's first attempt and no gap between events exceeds 0.12 s, and 0.25 if it
is complete but late. A caller that is refused retries once. The baseline gives
each rank as many requests as it has slots, however long its passes take.
"""

from unittest import mock

from bench.figures import report
from primroseyoke.gateway.capacity import PassTimeEstimator
from tests.standins.gateways import run_simulation

DURATION_SECONDS = 40
SEEDS = (1, 2, 3)
# Requests per second, and the slow rank: its start and duration in seconds
# and the factor by which its passes are slower.
SCENARIOS = {
    'usual': (30, None),
    'peak': (40, None),
    'over': (48, None),
    'slow_rank': (30, (10, 8, 3.64)),
}
FIELDS = ('worth', 'on_time_share', 'late_share', 'refused_share')


def run_scenario(rate, slow):
    """Return the mean of each field over all seeds."""
    tallies = [
        run_simulation(seed, rate, DURATION_SECONDS, slow) for seed in SEEDS
    ]
    return {
        field: sum(getattr(tally, field) for tally in tallies) / len(tallies)
        for field in FIELDS
    }


def limit_by_slots(estimator, engine, ranks, longest_gap, now):
    return engine.slots * ranks


def main():
    for name, scenario in SCENARIOS.items():
        product = run_scenario(*scenario)
        with mock.patch.object(
            PassTimeEstimator, 'max_requests', limit_by_slots
        ):
            baseline = run_scenario(*scenario)
        for field in FIELDS:
            report(
                f'overload_{name}_{field}',
                product[field],
                'share',
                baseline[field],
            )


if __name__ == '__main__':
    main()
