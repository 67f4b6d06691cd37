"""Creation of the duties of a gateway."""

from typing import TYPE_CHECKING

from .duties import Duties
from .duty_metrics import DutyCollector

if TYPE_CHECKING:
    from .gateway import Gateway

__all__ = ('create_duties',)


def create_duties(gateway: 'Gateway') -> Duties:
    """Return the duties that the settings of ``gateway`` ask for."""
    duties = Duties(gateway.settings, gateway.platform, gateway.peer_reporter)
    gateway.proxy.metrics.registry.register(DutyCollector(duties))
    # Duties are added here in the order in which they are performed: usage
    # reports before scaling orders. Each gets ``duties.lease``, ``duties.api``
    # and ``duties.bucket``, and goes to ``duties.runner.add``.
    return duties
