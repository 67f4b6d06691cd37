"""Repeated orders to ranks, with scripted results."""

import pytest

from primroseyoke.gateway.engines import OrderResult, Release
from primroseyoke.gateway.order_sending import OrderSender
from primroseyoke.gateway.placement_switch import PlacementSwitch
from tests.event_loop import run
from tests.standins.fake_rank_group import EPOCH, upstreams

RELEASE = Release(EPOCH, 1)


class ScriptedEngines:
    """Returns results in order; the last one is repeated."""

    def __init__(self, *results):
        self.results = list(results)

    async def order(self, upstream, order, timeout):
        if len(self.results) > 1:
            return self.results.pop(0)
        return self.results[0]


@pytest.mark.parametrize(
    ('results', 'expected'),
    [
        (
            [OrderResult.UNREACHABLE, OrderResult.ACCEPTED],
            OrderResult.ACCEPTED,
        ),
        ([OrderResult.UNREACHABLE], OrderResult.UNREACHABLE),
        # An attempt without a response may still be executed.
        ([OrderResult.UNKNOWN, OrderResult.UNREACHABLE], OrderResult.UNKNOWN),
        ([OrderResult.UNKNOWN, OrderResult.CONFLICT], OrderResult.CONFLICT),
    ],
)
def test_result_of_an_order_holds_for_all_its_attempts(results, expected):
    """Guards against an order that counts as never sent, or as lost at once."""
    sender = OrderSender(ScriptedEngines(*results))
    assert run(sender.send(upstreams()[0], RELEASE)) is expected


@pytest.mark.parametrize(
    ('result', 'held_step'),
    [
        (OrderResult.ACCEPTED, None),
        (OrderResult.GONE, None),
        (OrderResult.UNREACHABLE, 1),
        (OrderResult.UNKNOWN, 1),
    ],
)
def test_a_pass_may_be_held_until_its_release_is_confirmed(result, held_step):
    """Guards against a pass held for good at a rank that was unreachable."""
    switch = PlacementSwitch(ScriptedEngines(result), upstreams(), EPOCH)
    switch.held_step = 1
    run(switch.release(1))
    assert switch.held_step == held_step
