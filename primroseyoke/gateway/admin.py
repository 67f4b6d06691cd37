"""Readiness, metrics and the state dump of a gateway."""

import time
from typing import TYPE_CHECKING, Any

import msgspec

from .listeners import ResponseWriter
from .requests import CallerRequest

if TYPE_CHECKING:
    from .gateway import Gateway

__all__ = ('AdminEndpoints',)

_OK = 200
_NOT_FOUND = 404
_UNAVAILABLE = 503
_TEXT = ((b'content-type', b'text/plain; version=0.0.4'),)
_JSON = ((b'content-type', b'application/json'),)


class AdminEndpoints:
    """Answers what the platform and operators ask of a gateway."""

    def __init__(self, gateway: 'Gateway') -> None:
        """Tell about ``gateway``."""
        self.gateway = gateway

    async def handle(
        self, request: CallerRequest, response: ResponseWriter
    ) -> None:
        """Answer one request."""
        if request.path == '/ready':
            self._send_readiness(response)
        elif request.path == '/metrics':
            response.respond(_OK, _TEXT, self._metrics())
        elif request.path == '/state':
            state = msgspec.json.encode(self.state(time.monotonic()))
            response.respond(_OK, _JSON, state)
        else:
            response.send_error(_NOT_FOUND, 'no such page', 'not_run')

    def state(self, now: float) -> dict[str, Any]:
        """Return what the gateway believes; ``now`` in monotonic seconds."""
        gateway = self.gateway
        knowledge = gateway.knowledge
        catalogue = knowledge.catalogue
        balancer = gateway.balancer
        return {
            'host': gateway.settings.host,
            'availability_zone': gateway.settings.availability_zone,
            'ready': gateway.ready,
            'requests': gateway.request_listener.requests_in_progress,
            'configuration': catalogue.version if catalogue else None,
            'configuration_age': round(now - knowledge.confirmed_at, 3)
            if catalogue
            else None,
            'zones_out': sorted(knowledge.fleet.zones_out),
            'zones_paused': sorted(balancer.health.zones_paused),
            'upstreams': {
                upstream.name: {
                    'service': upstream.service,
                    'draining': upstream.draining,
                    'cold': now < upstream.cold_until,
                    'paused': balancer.health.is_paused(upstream, now),
                    'requests': balancer.usage.total(upstream.name),
                }
                for upstream in knowledge.fleet.upstreams.values()
            },
            'peers': sorted(gateway.peers.peers),
            'leads_expert_maps': gateway.peers.is_first,
        }

    def _send_readiness(self, response: ResponseWriter) -> None:
        if self.gateway.ready:
            response.respond(_OK, (), b'ready\n')
        else:
            response.send_error(_UNAVAILABLE, 'not ready', 'not_run')

    def _metrics(self) -> bytes:
        gateway = self.gateway
        metrics = gateway.proxy.metrics
        catalogue = gateway.knowledge.catalogue
        metrics.requests_in_progress.set(
            gateway.request_listener.requests_in_progress
        )
        metrics.upstreams.set(len(gateway.knowledge.fleet.upstreams))
        metrics.configuration_version.set(catalogue.version if catalogue else 0)
        return metrics.render()
