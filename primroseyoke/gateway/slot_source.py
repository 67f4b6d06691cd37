"""Where the slots of one request come from."""

import dataclasses
from collections.abc import Callable

from ..scheduling.admission import ServiceAdmission
from .balancer import Balancer
from .client_sharing import ClientSharing
from .estimates import Estimate
from .metrics import Metrics
from .wait_queue import WaitQueue

__all__ = ('SlotSource',)


@dataclasses.dataclass(frozen=True, slots=True)
class SlotSource:
    """Where the slots of one request come from.

    ``first_event`` estimates the time from sending a request to its first
    event, in seconds. ``check_suspect`` and ``check_time_left`` raise
    ``RequestFailed`` if the request must not be sent; the latter takes the
    deadline of the request and the time, both in monotonic seconds.
    """

    queue: WaitQueue
    admission: ServiceAdmission
    sharing: ClientSharing
    balancer: Balancer
    metrics: Metrics
    first_event: Estimate
    check_suspect: Callable[[], None]
    check_time_left: Callable[[float, float], None]
