"""Policy while a zone leaves, is cut off and returns, in virtual time."""

from bench import zones


def test_planned_zone_moves_cause_no_refusal_or_crash():
    """Guards against overload of the other zones, and of one that returns."""
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
