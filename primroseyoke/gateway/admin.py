"""Readiness, metrics and the state dump of a gateway."""

import time
from typing import TYPE_CHECKING, Any

import msgspec

from .listeners import Answer
from .requests import CallerRequest

if TYPE_CHECKING:
    from .gateway import Gateway

__all__ = ('Pages',)

_OK = 200
_NOT_FOUND = 404
_UNAVAILABLE = 503
_TEXT = ((b'content-type', b'text/plain; version=0.0.4'),)
_JSON = ((b'content-type', b'application/json'),)


class Pages:
    """Answers what the platform and operators ask of a gateway."""

    def __init__(self, gateway: 'Gateway') -> None:
        """Tell about ``gateway``."""
        self.gateway = gateway

    async def handle(self, request: CallerRequest, answer: Answer) -> None:
        """Answer one request."""
        if request.path == '/ready':
            self._answer_readiness(answer)
        elif request.path == '/metrics':
            answer.whole(_OK, _TEXT, self._metrics())
        elif request.path == '/state':
            state = msgspec.json.encode(self.state(time.monotonic()))
            answer.whole(_OK, _JSON, state)
        else:
            answer.refuse(_NOT_FOUND, 'no such page', 'not_run')

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
            'requests': gateway.callers.busy,
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

    def _answer_readiness(self, answer: Answer) -> None:
        if self.gateway.ready:
            answer.whole(_OK, (), b'ready\n')
        else:
            answer.refuse(_UNAVAILABLE, 'not ready', 'not_run')

    def _metrics(self) -> bytes:
        gateway = self.gateway
        measures = gateway.relay.measures
        catalogue = gateway.knowledge.catalogue
        measures.busy.set(gateway.callers.busy)
        measures.upstreams.set(len(gateway.knowledge.fleet.upstreams))
        measures.configuration.set(catalogue.version if catalogue else 0)
        return measures.text()
