"""Step-time skew under drifting and jumping expert popularity.

64 experts in each of 4 layers, groups of 16 and 128 ranks. Compares the plans
of ``expert_placement.plan_placement`` with a placement that never changes
(packed for the first window) and with one that is packed anew for each window,
on the same loads. Each decision sees the loads of past windows only. ``even``
is the time with perfectly balanced load, a lower bound for all policies.
"""

import dataclasses
import math
import random
import statistics
import time

from bench.figures import report
from primroseyoke import expert_placement

SEED = 20261204
EXPERT_COUNT = 64
LAYER_COUNT = 4
WINDOW_COUNT = 120
STEPS_PER_WINDOW = 512
# An expert has 44 MB. The rate is the share of 4 of 58 layers in 15 GB/s.
COSTS = expert_placement.Costs(
    step_seconds=0.05, expert_bytes=44e6, bytes_per_second=1e9
)


def generate_loads(generator):
    """Yield the expert loads of one window after another.

    Loads are Zipf weights (exponent 0.8) in random order. After each window
    their logarithms drift and revert towards the mean, and in 1 of 20 layers
    the loads of 4 experts jump.
    """
    base_logs = []
    for _ in range(LAYER_COUNT):
        logs = [-0.8 * math.log(rank + 1) for rank in range(EXPERT_COUNT)]
        generator.shuffle(logs)
        base_logs.append(logs)
    drifts = [[0.0] * EXPERT_COUNT for _ in range(LAYER_COUNT)]
    while True:
        yield [
            [math.exp(log + offset) for log, offset in zip(logs, offsets)]
            for logs, offsets in zip(base_logs, drifts)
        ]
        for layer in drifts:
            for expert in range(EXPERT_COUNT):
                layer[expert] = 0.99 * layer[expert] + generator.gauss(0, 0.05)
            if generator.random() < 0.05:
                for expert in generator.sample(range(EXPERT_COUNT), 4):
                    layer[expert] = generator.gauss(0, 1)


@dataclasses.dataclass
class PolicyCost:
    """Cost of a policy over all windows.

    ``lost_steps`` are lost to changes of the placement, ``loaded_bytes`` are
    the weights that were loaded for them.
    """

    skews: list
    total_seconds: float = 0
    lost_steps: float = 0
    loaded_bytes: float = 0
    change_count: int = 0
    decision_seconds: float = 0


def simulate(windows, policy, first_placement):
    """Run a policy over all windows after the first."""
    cost = PolicyCost([])
    placement = first_placement
    for index in range(1, len(windows)):
        started_at = time.perf_counter()
        planned = policy(windows[:index], placement)
        cost.decision_seconds += time.perf_counter() - started_at
        moves = expert_placement.count_moves(placement, planned)
        skew_before = expert_placement.mean_skew(windows[index], placement)
        skew_after = expert_placement.mean_skew(windows[index], planned)
        # The old placement stays in use while the weights load.
        window_seconds = STEPS_PER_WINDOW * COSTS.step_seconds
        loading_share = min(COSTS.loading_time(moves) / window_seconds, 1)
        skew = loading_share * skew_before + (1 - loading_share) * skew_after
        cost.skews.append(skew)
        cost.total_seconds += window_seconds * skew + COSTS.lost_time(moves)
        cost.lost_steps += COSTS.lost_time(moves) / COSTS.step_seconds
        cost.loaded_bytes += moves * COSTS.expert_bytes
        cost.change_count += bool(moves)
        placement = planned
    return cost


def pack_placement(loads, ranks):
    slots = expert_placement.default_slots(ranks)
    return tuple(
        expert_placement.pack_layer(layer, ranks, slots) for layer in loads
    )


def plan_next_placement(past_loads, placement):
    return expert_placement.plan_placement(
        past_loads[-1], placement, COSTS, horizon=8 * STEPS_PER_WINDOW
    ).placement


def main():
    for ranks in (16, 128):
        loads = generate_loads(random.Random(SEED))
        windows = [next(loads) for _ in range(WINDOW_COUNT)]
        first_placement = pack_placement(windows[0], ranks)
        policies = {
            'static': lambda past_loads, placement: placement,
            'repack': lambda past_loads, placement: pack_placement(
                past_loads[-1], ranks
            ),
            'plan': plan_next_placement,
        }
        report_costs(
            ranks,
            {
                name: simulate(windows, policy, first_placement)
                for name, policy in policies.items()
            },
        )


def report_costs(ranks, costs):
    balanced_seconds = (
        (WINDOW_COUNT - 1) * STEPS_PER_WINDOW * COSTS.step_seconds
    )
    for name, cost in costs.items():
        prefix = f'rebalancing_{ranks}_{name}'
        report(f'{prefix}_skew_mean', statistics.mean(cost.skews), 'ratio')
        p95 = statistics.quantiles(cost.skews, n=20)[-1]
        report(f'{prefix}_skew_p95', p95, 'ratio')
        report(f'{prefix}_changes', cost.change_count, 'count')
        report(f'{prefix}_loaded', cost.loaded_bytes / 1e9, 'GB')
        report(f'{prefix}_lost', cost.lost_steps, 'steps')
        report(
            f'{prefix}_time_over_even',
            cost.total_seconds,
            's',
            balanced_seconds,
        )
        report(f'{prefix}_decision', cost.decision_seconds / WINDOW_COUNT, 's')
    for name in ('static', 'repack'):
        report(
            f'rebalancing_{ranks}_plan_time_over_{name}',
            costs['plan'].total_seconds,
            's',
            costs[name].total_seconds,
        )


if __name__ == '__main__':
    main()
