"""Detection of requests that are retried after a rejection."""

import random

from primroseyoke.gateway.authorization import Authorizer
from primroseyoke.gateway.configuration import (
    CallerLimits,
    Configuration,
    Execution,
    Route,
    Target,
)
from primroseyoke.gateway.routing_state import RoutingState
from primroseyoke.gateway.requests import CallerRequest


def make_authorizer() -> Authorizer:
    routing_state = RoutingState()
    route = Route(
        name='draft',
        host='h',
        prefix='/',
        execution=Execution.STREAM,
        targets=(Target('model', 1),),
        timeout=8,
        objective=0.5,
    )
    routing_state.apply_configuration(
        Configuration(1, (route,), {}, (), CallerLimits())
    )
    return Authorizer(routing_state, random.Random(1))


def first_attempt_at(authorizer: Authorizer, timeout: float) -> float:
    request = CallerRequest(
        'POST', '/x', '/x', 'h', (), timeout=timeout, arrived_at=100
    )
    return authorizer.authorize(request, now=100).first_attempt_at


def test_slightly_shorter_timeout_is_a_first_attempt() -> None:
    """Guards against first attempts that are treated as late from the start.

    In production, the timeouts of callers differ by a share of up to 0.15.
    """
    authorizer = make_authorizer()
    assert first_attempt_at(authorizer, 8.04) == 100
    assert first_attempt_at(authorizer, 6.9) == 100


def test_much_shorter_timeout_is_a_repeated_attempt() -> None:
    authorizer = make_authorizer()
    first_attempt_at(authorizer, 8)
    assert first_attempt_at(authorizer, 5) == 97
