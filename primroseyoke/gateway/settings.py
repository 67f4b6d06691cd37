"""Settings of a gateway process."""

import dataclasses
import enum
from collections.abc import Mapping

from ..leases import lease_margin
from ..settings import Address

__all__ = (
    'DEFAULT_MEMORY_BYTES',
    'DutyKind',
    'DutySettings',
    'GatewaySettings',
    'ResponseLimits',
    'StoreSettings',
)

# Where the platform states no limit.
DEFAULT_MEMORY_BYTES = 256 * 2**20


@dataclasses.dataclass(frozen=True, slots=True)
class StoreSettings:
    """How to reach the store."""

    address: Address


class DutyKind(enum.Enum):
    """Calls to the platform's API that one host makes for all."""

    USAGE = 'usage'
    SCALING = 'scaling'


@dataclasses.dataclass(frozen=True, slots=True)
class DutySettings:
    """Duties of one host at a time; times in seconds.

    ``api`` is the address of the platform's API, which accepts
    ``calls_per_second`` of all hosts together. A holder of the lease that does
    not renew it is replaced after ``lease_duration``. A host that was suspended
    must not act on what it knew before later than ``resume_bound`` after it
    continues. The report of a window of ``report_window`` is due
    ``report_delay`` after its end, and its counts may differ from the true ones
    by the share ``report_tolerance``.
    """

    api: Address
    kinds: frozenset[DutyKind]
    calls_per_second: float = 2.0
    lease_duration: float = 3.0
    resume_bound: float = 0.3
    report_window: float = 5.0
    report_delay: float = 10.0
    report_tolerance: float = 0.05

    @property
    def call_timeout(self) -> float:
        """Return the longest time of a call to the API, in seconds.

        It ends before the lease does if the call is sent while it is held.
        """
        return lease_margin(self.lease_duration) / 2


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseLimits:
    """Limits on the responses of upstreams; sizes in bytes.

    ``head_bytes`` limits a head, a chunk header or the trailers,
    ``event_bytes`` an event of a stream, ``informational_count`` the
    informational responses before a response. ``discarded_bytes`` limits the
    body of a response to an earlier request, ``discarded_count`` the number of
    such responses.
    """

    head_bytes: int = 16384
    event_bytes: int = 2**20
    informational_count: int = 16
    discarded_bytes: int = 2**20
    discarded_count: int = 4


@dataclasses.dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Settings of one gateway process; times in seconds.

    Listening addresses: ``callers`` for requests, ``readiness`` and
    ``metrics`` for the endpoints for operators. ``peer_ports`` are the lowest
    and the highest port for traffic between gateways. ``seeds`` are addresses
    of a few other gateways, which may be out of date. ``region_of`` maps
    availability zones to regions. ``grace`` is the time between SIGTERM and
    SIGKILL. Retries of all hosts together are limited to ``repeat_ratio`` of
    the requests plus ``repeat_slack`` within ``repeat_window``. What operators
    and upstreams publish must be in force within ``max_update_delay``. Hosts
    know that an upstream has gone at most ``upstream_expiry`` after its crash.
    ``memory_bytes`` is what the process may use before it is killed. ``duties``
    is None if the platform asks for no duty that is known; ``unknown_duties``
    are the names of others that it asks for.
    ``cost_aware`` is whether upstreams are chosen by the predicted work of
    requests that state their tokens.
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
    max_update_delay: float = 2.0
    upstream_expiry: float = 6.6
    memory_bytes: int = DEFAULT_MEMORY_BYTES
    response_limits: ResponseLimits = ResponseLimits()
    duties: DutySettings | None = None
    unknown_duties: tuple[str, ...] = ()
    cost_aware: bool = False
