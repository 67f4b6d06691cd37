"""Applies the shares of client accounts to the requests of this host."""

import logging
import time
from collections.abc import Iterator
from typing import TYPE_CHECKING

from prometheus_client import CollectorRegistry, Counter
from prometheus_client.core import GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from ..scheduling.shares import ClientShares

if TYPE_CHECKING:
    from .authorization import AuthorizedRequest

__all__ = ('ClientSharing',)

log = logging.getLogger(__name__)

# All requests count alike until their cost is predicted.
_REQUEST_COST = 1.0


class ClientSharing:
    """Decides which requests let those of other accounts go first.

    Requests without an account always go first. All times are monotonic
    seconds.

    Attributes:
        shares: work of the heaviest accounts of all hosts.
        yielding: the accounts that were found above their share.
    """

    def __init__(
        self, shares: ClientShares, registry: CollectorRegistry
    ) -> None:
        """Apply ``shares``; add the metrics to ``registry``."""
        self.shares = shares
        self.yielding: set[str] = set()
        self.yielded_waits = Counter(
            'gateway_yielded_waits',
            'Waits of up to 0.1 s of requests of accounts above their share',
            ('service',),
            registry=registry,
        )
        registry.register(_SharesCollector(shares))

    def record_arrival(
        self, authorized: 'AuthorizedRequest', now: float
    ) -> None:
        """Record a request when it arrives."""
        if authorized.client is not None:
            self.shares.record_attempt(
                authorized.client.name,
                authorized.request.request_id,
                _REQUEST_COST,
                now,
            )

    def record_refusal(
        self,
        authorized: 'AuthorizedRequest',
        retry_after: float,
        now: float,
    ) -> None:
        """Record a failed request that its caller may send again.

        Args:
            authorized: the request.
            retry_after: the time that the caller is told to wait, in seconds; 0
                if it is told none.
            now: monotonic seconds.
        """
        request_id = authorized.request.request_id
        if authorized.client is not None and retry_after and request_id:
            self.shares.record_refusal(
                authorized.client.name, request_id, now + retry_after
            )

    def record_wait(self, authorized: 'AuthorizedRequest', now: float) -> None:
        """Record that a request waits for a slot.

        Without accounts, there are no shares that contention matters for.
        """
        if not authorized.configuration.clients:
            return
        if self.must_yield(authorized, now):
            self.yielded_waits.labels(authorized.service).inc()
        client = authorized.client
        self.shares.record_wait(
            client.name if client else '', authorized.service, now
        )

    def must_yield(self, authorized: 'AuthorizedRequest', now: float) -> bool:
        """Tell whether a request waits behind those of other accounts.

        It does if its account is above its share, and only under contention.
        """
        client = authorized.client
        if client is None or not self.shares.is_contended(
            authorized.service, now
        ):
            return False
        is_above = self.shares.is_above_share(client.name, now)
        if is_above != (client.name in self.yielding):
            self._log_change(client.name, is_above)
        return is_above

    def _log_change(self, client: str, is_above: bool) -> None:
        # Accounts that are no longer tracked are not above their share.
        self.yielding.intersection_update(self.shares.usages)
        if is_above:
            self.yielding.add(client)
            log.warning(
                'client account above its share; others go first',
                extra={'client': client},
            )
        else:
            self.yielding.discard(client)
            log.info(
                'client account within its share again',
                extra={'client': client},
            )


class _SharesCollector(Collector):
    """Reads the metrics of the shares when they are requested."""

    def __init__(self, shares: ClientShares) -> None:
        self.shares = shares

    def collect(self) -> Iterator[Metric]:
        now = time.monotonic()
        yield GaugeMetricFamily(
            'gateway_tracked_clients',
            'Client accounts whose work this host tracks',
            len(self.shares.usages),
        )
        yield GaugeMetricFamily(
            'gateway_clients_above_share',
            'Client accounts above their share',
            len(self.shares.above_share(now)),
        )
        yield GaugeMetricFamily(
            'gateway_contended_services',
            'Services for whose slots requests wait, and 10 s longer',
            len(self.shares.contended_until),
        )
