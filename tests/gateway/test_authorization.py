"""Whether a caller has come back after a refusal."""

import random

from primroseyoke.gateway.authorization import Authorizer
from primroseyoke.gateway.catalogue import (
    CallerLimits,
    Catalogue,
    Execution,
    Route,
    Target,
)
from primroseyoke.gateway.knowledge import Knowledge
from primroseyoke.gateway.requests import CallerRequest


def authorizer() -> Authorizer:
    knowledge = Knowledge()
    route = Route(
        name='draft',
        host='h',
        prefix='/',
        execution=Execution.STREAM,
        targets=(Target('model', 1),),
        timeout=8,
        objective=0.5,
    )
    knowledge.publish(Catalogue(1, (route,), {}, (), CallerLimits()))
    return Authorizer(knowledge, random.Random(1))


def made_at(judge: Authorizer, timeout: float) -> float:
    request = CallerRequest(
        'POST', '/x', '/x', 'h', (), timeout=timeout, arrived_at=100
    )
    return judge.admit(request, now=100).made_at


def test_callers_of_a_route_need_not_have_equal_timeouts() -> None:
    """Guards against first requests that count as late from the start.

    On the users' deployments callers' timeouts differ by up to 0.15.
    """
    judge = authorizer()
    assert made_at(judge, 8.04) == 100
    assert made_at(judge, 6.9) == 100


def test_a_caller_that_comes_back_has_much_less_time_left() -> None:
    judge = authorizer()
    made_at(judge, 8)
    assert made_at(judge, 5) == 97
