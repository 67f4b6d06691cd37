"""What upstreams state of themselves in their responses.

Hosts tell each other what their own responses said, so that a host knows it of
upstreams that it sends little or nothing. The newest statement holds. A response
that says nothing of a limit ends it.
"""

import dataclasses
import logging
import math
import random
from collections.abc import Collection

from .requests import ResponseHead
from .upstreams import Upstream

__all__ = ('LimitStatement', 'UpstreamNotices')

log = logging.getLogger(__name__)

# A limit that no response has confirmed for this long, or for up to twice as
# long, has lapsed: the hosts that may send there could be away.
_LIMIT_LIFETIME_SECONDS = 30.0
# Peers are told of what was said within this time. It covers several heartbeats.
_TELLING_SECONDS = 2.0
# Statements told in one report, which bounds its size.
_MAX_TOLD_COUNT = 16


@dataclasses.dataclass(frozen=True, slots=True)
class LimitStatement:
    """The limit that an upstream stated in a response.

    ``per_second`` is the number of requests that it takes from all hosts
    together, infinite if it named no limit. ``started_at`` identifies the
    start of the upstream (Unix milliseconds). ``stated_at`` is in monotonic
    seconds, ``lifetime`` in seconds. ``is_own`` tells a response to this host
    from one to another host.
    """

    upstream: str
    started_at: int
    per_second: float
    stated_at: float
    lifetime: float = _LIMIT_LIFETIME_SECONDS
    is_own: bool = True


class UpstreamNotices:
    """The newest statements of each upstream.

    Attributes:
        limits: the newest statement on a limit, by upstream; an upstream that
            never named one has none.
    """

    def __init__(self, generator: random.Random) -> None:
        """Start without statements."""
        self.generator = generator
        self.limits: dict[str, LimitStatement] = {}

    def record_response(
        self, upstream: Upstream, head: ResponseHead, now: float
    ) -> None:
        """Record what a response states of the upstream that sent it."""
        if head.rate_limit is not None:
            self._put(upstream, head.rate_limit, now)
        elif head.signed and upstream.name in self.limits:
            self._put(upstream, math.inf, now)

    def record_told(self, statement: LimitStatement) -> None:
        """Record what another host was told, unless newer is known."""
        known = self.limits.get(statement.upstream)
        if known is None or known.stated_at < statement.stated_at:
            self._replace(known, statement)

    def rate_limit(self, upstream: Upstream, now: float) -> float | None:
        """Return the requests per second that an upstream takes from all hosts.

        Returns:
            None if no limit is known.
        """
        stated = self.limits.get(upstream.name)
        if (
            stated is None
            or math.isinf(stated.per_second)
            or stated.started_at != upstream.started_at
            or now - stated.stated_at >= stated.lifetime
        ):
            return None
        return stated.per_second

    def recent(self, now: float) -> tuple[LimitStatement, ...]:
        """Return what upstreams have recently told this host, newest first."""
        told = [
            stated
            for stated in self.limits.values()
            if stated.is_own and now - stated.stated_at < _TELLING_SECONDS
        ]
        told.sort(key=lambda stated: -stated.stated_at)
        return tuple(told[:_MAX_TOLD_COUNT])

    def retain(self, names: Collection[str]) -> None:
        """Discard the statements of all upstreams but those in ``names``."""
        self.limits = {
            name: stated
            for name, stated in self.limits.items()
            if name in names
        }

    def _put(self, upstream: Upstream, per_second: float, now: float) -> None:
        lifetime = _LIMIT_LIFETIME_SECONDS * (1 + self.generator.random())
        self._replace(
            self.limits.get(upstream.name),
            LimitStatement(
                upstream.name, upstream.started_at, per_second, now, lifetime
            ),
        )

    def _replace(
        self, known: LimitStatement | None, statement: LimitStatement
    ) -> None:
        self.limits[statement.upstream] = statement
        if known is None or known.per_second != statement.per_second:
            log.info(
                'upstream states another limit of its requests',
                extra={
                    'upstream': statement.upstream,
                    'per_second': statement.per_second,
                    'before': known.per_second if known else None,
                    'own_response': statement.is_own,
                },
            )
