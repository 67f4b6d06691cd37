"""What upstreams state of themselves in their responses.

Hosts tell each other the limits that their own responses stated, so that a host
knows them of upstreams that it sends little or nothing. The newest statement
holds. A response that says nothing of a limit ends it.

That an upstream leaves, or wants a pause, is only believed of its own response:
a wrong word can keep one host away from it, not all.
"""

import dataclasses
import logging
import math
import random
from collections.abc import Collection

from .requests import Load, ResponseHead
from .upstreams import Upstream, UpstreamRegistry

__all__ = ('LimitStatement', 'UpstreamNotices')

log = logging.getLogger(__name__)

# A limit that no response has confirmed for this long, or for up to twice as
# long, has lapsed: the hosts that may send there could be away.
_LIMIT_LIFETIME_SECONDS = 30.0
# Peers are told of what was said within this time. It covers several heartbeats.
_TELLING_SECONDS = 2.0
# Statements told in one report, which bounds its size.
_MAX_TOLD_COUNT = 16
# Random share by which a host pauses longer than the upstream wants.
_PAUSE_JITTER_SHARE = 0.2


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


@dataclasses.dataclass(frozen=True, slots=True)
class PauseStatement:
    """Until when an upstream wants no requests, in monotonic seconds."""

    started_at: int
    until: float


class UpstreamNotices:
    """The newest statements of each upstream.

    Attributes:
        limits: the newest statement on a limit, by upstream; an upstream that
            never named one has none.
        pauses: the pause that an upstream wants of this host, by upstream.
        loads: the load that an upstream last reported, by upstream.
    """

    def __init__(
        self, generator: random.Random, registry: UpstreamRegistry
    ) -> None:
        """Start without statements; mark upstreams that leave in ``registry``."""
        self.generator = generator
        self.registry = registry
        self.limits: dict[str, LimitStatement] = {}
        self.pauses: dict[str, PauseStatement] = {}
        self.loads: dict[str, Load] = {}

    def record_response(
        self, upstream: Upstream, head: ResponseHead, now: float
    ) -> None:
        """Record what a response states of the upstream that sent it."""
        if head.load is not None:
            self.loads[upstream.name] = head.load
        if head.leaving:
            self.registry.mark_leaving(upstream)
        if head.pause:
            self._put_pause(upstream, head.pause, now)
        if head.rate_limit is not None:
            self._put(upstream, head.rate_limit, now)
        elif head.signed and upstream.name in self.limits:
            self._put(upstream, math.inf, now)

    def record_told(self, statement: LimitStatement) -> None:
        """Record what another host was told, unless newer is known."""
        if statement.upstream not in self.registry.upstreams:
            return
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

    def pause_left(self, upstream: Upstream, now: float) -> float:
        """Return how long an upstream wants no requests, in seconds."""
        stated = self.pauses.get(upstream.name)
        if stated is None or stated.started_at != upstream.started_at:
            return 0
        return max(stated.until - now, 0)

    def recent(self, now: float) -> tuple[LimitStatement, ...]:
        """Return what upstreams have recently told this host, newest first."""
        told = [
            stated
            for stated in self.limits.values()
            if stated.is_own and now - stated.stated_at < _TELLING_SECONDS
        ]
        told.sort(key=lambda stated: -stated.stated_at)
        return tuple(told[:_MAX_TOLD_COUNT])

    def retain(self, names: Collection[str], now: float) -> None:
        """Discard the statements of all upstreams but those in ``names``.

        A pause is kept until it ends: the entry of an upstream can lapse and
        come back while the upstream lives.
        """
        self.limits = {
            name: stated
            for name, stated in self.limits.items()
            if name in names
        }
        self.pauses = {
            name: stated
            for name, stated in self.pauses.items()
            if name in names or stated.until > now
        }
        self.loads = {
            name: load for name, load in self.loads.items() if name in names
        }

    def _put_pause(
        self, upstream: Upstream, seconds: float, now: float
    ) -> None:
        # Hosts that were rejected together do not return together.
        jitter = 1 + _PAUSE_JITTER_SHARE * self.generator.random()
        pause = max(seconds * jitter, self.pause_left(upstream, now))
        self.pauses[upstream.name] = PauseStatement(
            upstream.started_at, now + pause
        )
        log.info(
            'upstream wants no requests for some time',
            extra={'upstream': upstream.name, 'seconds': seconds},
        )

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
