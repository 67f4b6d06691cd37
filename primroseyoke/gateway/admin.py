"""HTTP endpoints for operators and for other gateways."""

import time
from typing import TYPE_CHECKING, Any

import msgspec

from .group_sharing import GROUPS_PATH, GroupSharing
from .listeners import ResponseWriter
from .requests import CallerRequest
from .topic_sharing import TopicSharing

if TYPE_CHECKING:
    from .gateway import Gateway

__all__ = ('AdminEndpoints', 'PeerEndpoints')

_OK = 200
_NOT_FOUND = 404
_UNAVAILABLE = 503
_TEXT = ((b'content-type', b'text/plain; version=0.0.4'),)
_JSON = ((b'content-type', b'application/json'),)


class AdminEndpoints:
    """Serves ``/ready``, ``/metrics`` and ``/state`` of a gateway."""

    def __init__(self, gateway: 'Gateway') -> None:
        """Report on ``gateway``."""
        self.gateway = gateway

    async def handle(
        self, request: CallerRequest, response: ResponseWriter
    ) -> None:
        """Respond to one request."""
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
        """Return the state of the gateway; ``now`` in monotonic seconds."""
        gateway = self.gateway
        routing_state = gateway.routing_state
        configuration = routing_state.configuration
        balancer = gateway.balancer
        return {
            'host': gateway.settings.host,
            'availability_zone': gateway.settings.availability_zone,
            'ready': gateway.ready,
            'requests': gateway.request_listener.requests_in_progress,
            'memory': self._memory(),
            'configuration': configuration.version if configuration else None,
            'configuration_age': round(now - routing_state.confirmed_at, 3)
            if configuration
            else None,
            'topics': self._topics(),
            'zones_out': sorted(routing_state.registry.zones_out),
            'zones_paused': sorted(balancer.health.zones_paused),
            'upstreams': {
                upstream.name: {
                    'service': upstream.service,
                    'group': balancer.groups.group_by_upstream.get(
                        upstream.name
                    ),
                    'draining': upstream.draining,
                    'cold': now < upstream.cold_until,
                    'paused': balancer.health.is_paused(upstream, now),
                    'wants_pause': round(
                        balancer.limits.notices.pause_left(upstream, now), 3
                    ),
                    'rate_limit': balancer.limits.notices.rate_limit(
                        upstream, now
                    ),
                    'requests': balancer.in_flight.total(upstream.name),
                }
                for upstream in routing_state.registry.upstreams.values()
            },
            'peers': sorted(gateway.peer_reporter.peers),
            'leads_expert_maps': gateway.peer_reporter.is_leader,
            'duties': gateway.duties.state(),
            'usage': gateway.proxy.context.usage_state(),
        }

    def _memory(self) -> dict[str, int]:
        budget = self.gateway.request_listener.budget
        held = {use.value: size for use, size in budget.held.items()}
        return {**held, 'limit': int(budget.limit)}

    def _topics(self) -> dict[str, dict[str, float]]:
        sharing = self.gateway.peer_reporter.sharing
        consumers = sharing.consumers if sharing else ()
        return {consumer.name: consumer.state() for consumer in consumers}

    def _send_readiness(self, response: ResponseWriter) -> None:
        if self.gateway.ready:
            response.respond(_OK, (), b'ready\n')
        else:
            response.send_error(_UNAVAILABLE, 'not ready', 'not_run')

    def _metrics(self) -> bytes:
        gateway = self.gateway
        metrics = gateway.proxy.metrics
        configuration = gateway.routing_state.configuration
        metrics.requests_in_progress.set(
            gateway.request_listener.requests_in_progress
        )
        metrics.suspect_traits.set(
            len(gateway.proxy.crash_detector.suspects.blame)
        )
        metrics.limited_upstreams.set(
            gateway.balancer.limits.limited_count(time.monotonic())
        )
        metrics.leaving_upstreams.set(
            len(gateway.routing_state.registry.leaving)
        )
        for name, state in self._topics().items():
            metrics.record_topic(name, state)
        metrics.configuration_age.set(
            time.monotonic() - gateway.routing_state.confirmed_at
        )
        metrics.upstreams.set(len(gateway.routing_state.registry.upstreams))
        metrics.configuration_version.set(
            configuration.version if configuration else 0
        )
        return metrics.render()


class PeerEndpoints:
    """Serves topics and rank groups to other gateways."""

    def __init__(self, topics: TopicSharing, groups: GroupSharing) -> None:
        """Serve what ``topics`` and ``groups`` know."""
        self.topics = topics
        self.groups = groups

    async def handle(
        self, request: CallerRequest, response: ResponseWriter
    ) -> None:
        """Respond to one request."""
        if request.path == GROUPS_PATH:
            await self.groups.serve(request, response)
        else:
            await self.topics.serve(request, response)
