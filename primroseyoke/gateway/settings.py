"""Settings of a gateway."""

import dataclasses
from collections.abc import Mapping

from ..settings import Address

__all__ = ('GatewaySettings', 'StoreSettings')


@dataclasses.dataclass(frozen=True, slots=True)
class StoreSettings:
    """Where the store is."""

    address: Address


@dataclasses.dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Settings of one gateway process; times in seconds.

    ``callers`` and ``readiness`` are the addresses it listens at,
    ``metrics`` where it tells its metrics and state,
    ``peer_ports`` the lowest and highest port for traffic between gateways,
    ``seeds`` addresses of a few other gateways, which may be out of date.
    ``grace`` is the time between SIGTERM and SIGKILL. The sends beyond the
    first of each request stay within ``repeat_ratio`` of the requests and
    ``repeat_slack`` in ``repeat_window``, over all hosts.
    """

    host: str
    availability_zone: str
    address: str
    callers: Address
    readiness: Address
    store: StoreSettings
    metrics: Address | None = None
    peer_ports: tuple[int, ...] = ()
    seeds: tuple[str, ...] = ()
    region_of: Mapping[str, str] = dataclasses.field(default_factory=dict)
    grace: float = 8.0
    repeat_ratio: float = 0.2
    repeat_slack: float = 0.0
    repeat_window: float = 10.0
