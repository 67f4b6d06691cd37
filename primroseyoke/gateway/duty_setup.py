"""Creation of the duties of a gateway."""

from typing import TYPE_CHECKING

from .duties import Duties
from .duty_metrics import DutyCollector
from .scaling import UpstreamScaler
from .scaling_metrics import ScalingMetrics
from .service_load import ServiceLoadReader
from .settings import DutyKind, DutySettings
from .usage_counts import Windows
from .usage_reports import UsageReports

if TYPE_CHECKING:
    from .gateway import Gateway

__all__ = ('create_duties',)


def create_duties(gateway: 'Gateway') -> Duties:
    """Return the duties that the settings of ``gateway`` ask for."""
    duties = Duties(gateway.settings, gateway.platform, gateway.peer_reporter)
    gateway.proxy.metrics.registry.register(DutyCollector(duties))
    settings = gateway.settings.duties
    if settings is not None:
        # Usage reports come first, because they have a deadline.
        if DutyKind.USAGE in settings.kinds:
            _add_usage_reports(gateway, duties, settings)
        if DutyKind.SCALING in settings.kinds:
            _add_scaling(gateway, duties)
    return duties


def _add_usage_reports(
    gateway: 'Gateway', duties: Duties, settings: DutySettings
) -> None:
    lease, api, bucket = duties.lease, duties.api, duties.bucket
    if lease is None or api is None or bucket is None:
        return
    reports = UsageReports(
        gateway.settings.host,
        Windows(settings.report_window, settings.report_delay),
        gateway.peer_reporter,
        lease,
        api,
        bucket,
    )
    gateway.proxy.context.usage = reports
    gateway.proxy.metrics.add_usage(reports.reporter)
    duties.add(reports.reporter)
    duties.tasks.append(reports.sharing.run)
    duties.on_exit.append(reports.sharing.announce_exit)


def _add_scaling(gateway: 'Gateway', duties: Duties) -> None:
    lease, api, bucket = duties.lease, duties.api, duties.bucket
    if lease is None or api is None or bucket is None:
        return
    proxy = gateway.proxy
    loads = ServiceLoadReader(
        gateway.balancer,
        proxy.context.queues,
        proxy.arrivals,
        proxy.refusals,
        lambda: gateway.peer_reporter.active_count,
    )
    scaler = UpstreamScaler(
        gateway.settings.host,
        lease,
        api,
        gateway.routing_state,
        gateway.balancer,
        loads,
        ScalingMetrics(proxy.metrics.registry),
        may_call=bucket.try_take,
    )
    duties.add(scaler)
    duties.states['scaling'] = scaler.state
