"""Policy while a zone leaves, is cut off and returns, in virtual time."""

from bench import zones


def test_planned_moves_of_a_zone_refuse_and_crash_nothing():
    """Guards against overload of the other zones, and of one that returns."""
    world = zones.run(product=True)
    outcomes = {
        (phase, outcome): count
        for (phase, _, outcome), count in world.counts.table.items()
        if phase in {'before', 'planned_leave', 'planned_return'}
        and outcome == 'refused'
    }
    assert outcomes == {}
    assert not any(each.crashes for each in world.upstreams.values())
    assert set(world.full_after) == {'planned_return', 'cut_return'}
