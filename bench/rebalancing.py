"""Step-time skew under drifting and jumping expert popularity.

64 experts in each of 4 layers, groups of 16 and 128 ranks. Compares the plans
of ``expert_placement.plan_placement`` with a map that never changes (packed for the first
window) and with a map that is packed anew at each window, on the same loads.
Each decision knows the loads of past windows only. ``even`` is the time with
perfectly even load, which no policy can go below.
"""

import dataclasses
import math
import random
import statistics
import time

from bench.figures import report
from primroseyoke import expert_placement

SEED = 20261204
EXPERTS = 64
LAYERS = 4
WINDOWS = 120
STEPS = 512
# 44 MB an expert; the rate is that of 4 of 58 layers at 15 GB/s.
COSTS = expert_placement.Costs(
    step_seconds=0.05, expert_bytes=44e6, bytes_per_second=1e9
)


def popularity(generator):
    """Yield the loads of one window after another.

    Zipf weights (exponent 0.8) in random order; each window their logarithms
    drift back and forth, and one layer in 20 has 4 experts that jump.
    """
    base = []
    for _ in range(LAYERS):
        logs = [-0.8 * math.log(rank + 1) for rank in range(EXPERTS)]
        generator.shuffle(logs)
        base.append(logs)
    drift = [[0.0] * EXPERTS for _ in range(LAYERS)]
    while True:
        yield [
            [math.exp(log + moved) for log, moved in zip(logs, moves)]
            for logs, moves in zip(base, drift)
        ]
        for layer in drift:
            for expert in range(EXPERTS):
                layer[expert] = 0.99 * layer[expert] + generator.gauss(0, 0.05)
            if generator.random() < 0.05:
                for expert in generator.sample(range(EXPERTS), 4):
                    layer[expert] = generator.gauss(0, 1)


@dataclasses.dataclass
class Outcome:
    """What a policy cost.

    ``lost`` is in steps, ``loaded`` in bytes, ``thought`` the time of the
    decisions in seconds.
    """

    skews: list
    time: float = 0
    lost: float = 0
    loaded: float = 0
    changes: int = 0
    thought: float = 0


def simulate(windows, policy, first):
    """Run a policy over all windows but the first."""
    outcome = Outcome([])
    placement = first
    for index in range(1, len(windows)):
        began = time.perf_counter()
        wanted = policy(windows[:index], placement)
        outcome.thought += time.perf_counter() - began
        moves = expert_placement.count_moves(placement, wanted)
        before = expert_placement.mean_skew(windows[index], placement)
        after = expert_placement.mean_skew(windows[index], wanted)
        # The old map is in use while the weights load.
        span = STEPS * COSTS.step_seconds
        part = min(COSTS.loading_time(moves) / span, 1)
        skew = part * before + (1 - part) * after
        outcome.skews.append(skew)
        outcome.time += span * skew + COSTS.lost_time(moves)
        outcome.lost += COSTS.lost_time(moves) / COSTS.step_seconds
        outcome.loaded += moves * COSTS.expert_bytes
        outcome.changes += bool(moves)
        placement = wanted
    return outcome


def packed(loads, ranks):
    slots = expert_placement.default_slots(ranks)
    return tuple(
        expert_placement.pack_layer(layer, ranks, slots) for layer in loads
    )


def planned(past, placement):
    return expert_placement.plan_placement(
        past[-1], placement, COSTS, horizon=8 * STEPS
    ).placement


def main():
    for ranks in (16, 128):
        stream = popularity(random.Random(SEED))
        windows = [next(stream) for _ in range(WINDOWS)]
        first = packed(windows[0], ranks)
        policies = {
            'static': lambda past, placement: placement,
            'repack': lambda past, placement: packed(past[-1], ranks),
            'plan': planned,
        }
        print_outcomes(
            ranks,
            {
                name: simulate(windows, policy, first)
                for name, policy in policies.items()
            },
        )


def print_outcomes(ranks, outcomes):
    even = (WINDOWS - 1) * STEPS * COSTS.step_seconds
    for name, outcome in outcomes.items():
        prefix = f'rebalancing_{ranks}_{name}'
        report(f'{prefix}_skew_mean', statistics.mean(outcome.skews), 'ratio')
        p95 = statistics.quantiles(outcome.skews, n=20)[-1]
        report(f'{prefix}_skew_p95', p95, 'ratio')
        report(f'{prefix}_changes', outcome.changes, 'count')
        report(f'{prefix}_loaded', outcome.loaded / 1e9, 'GB')
        report(f'{prefix}_lost', outcome.lost, 'steps')
        report(f'{prefix}_time_over_even', outcome.time, 's', even)
        report(f'{prefix}_decision', outcome.thought / WINDOWS, 's')
    for name in ('static', 'repack'):
        report(
            f'rebalancing_{ranks}_plan_time_over_{name}',
            outcomes['plan'].time,
            's',
            outcomes[name].time,
        )


if __name__ == '__main__':
    main()
