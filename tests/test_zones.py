"""Zone simulation: planned moves, a partition, and the return of a zone."""

from bench import zones


def test_planned_zone_moves_cause_no_refusal_or_crash():
    """Guards against overload of the remaining zones and of a returning zone.

    Its upstreams come back cold and crash if they get their full share at once.
    """
    simulation = zones.run(uses_product=True)
    outcomes = {
        (phase, outcome): count
        for (phase, _, outcome), count in simulation.counts.by_kind.items()
        if phase in {'before', 'planned_leave', 'planned_return'}
        and outcome == 'refused'
    }
    assert outcomes == {}
    assert not any(
        upstream.crashes for upstream in simulation.upstreams.values()
    )
    assert set(simulation.seconds_to_full_capacity) == {
        'planned_return',
        'cut_return',
    }
