"""Limits that upstreams stated, as gateways tell them to each other."""

import math

from .notices import LimitStatement, UpstreamNotices
from .peer_reports import ToldLimit

__all__ = ('limit_statement', 'told_limits')


def told_limits(notices: UpstreamNotices, now: float) -> tuple[ToldLimit, ...]:
    """Return what upstreams stated recently; ``now`` in monotonic seconds."""
    return tuple(
        ToldLimit(
            stated.upstream,
            stated.started_at,
            stated.per_second if math.isfinite(stated.per_second) else None,
            now - stated.stated_at,
        )
        for stated in notices.recent(now)
    )


def limit_statement(told: ToldLimit, sent_at: float) -> LimitStatement:
    """Return what another host told at a time in monotonic seconds."""
    return LimitStatement(
        told.upstream,
        told.started_at,
        math.inf if told.per_second is None else told.per_second,
        sent_at - told.age,
        is_own=False,
    )
