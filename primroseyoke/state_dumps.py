"""State dumps of entries and agents, for operators."""

import dataclasses
from typing import TYPE_CHECKING, Any

from .configuration_distribution import ASK_STATE
from .routing_actor import DumpRouting

if TYPE_CHECKING:
    from .attempts import AttemptsActor
    from .entry import Entry

__all__ = ('agent_state', 'entry_state')


def entry_state(entry: 'Entry') -> dict[str, Any]:
    """Return the state dump of an entry."""
    responses = tuple(entry.dispatcher.responses)
    configuration: Any = entry.configuration.ask(ASK_STATE, timeout=2)
    return {
        'host': entry.settings.name,
        'availability_zone': entry.settings.availability_zone,
        **configuration,
        'log_reachable': entry.log_reader.reachable,
        'draining': entry.stop_requested.is_set(),
        'links': {
            upstream: {
                'agent': link.address,
                'up': link.outgoing is not None,
                'attempts': len(link.attempts),
            }
            for upstream, link in sorted(entry.link_pool.links.items())
        },
        'answers': {
            'open': len(responses),
            'held_bytes': sum(response.held_bytes() for response in responses),
        },
        'in_progress_by_client': dict(entry.dispatcher.limiter.in_progress),
        'routing': entry.routing.ask(DumpRouting(), timeout=2),
    }


def agent_state(actor: 'AttemptsActor') -> dict[str, Any]:
    """Return the state dump of an agent."""
    admission = actor.admission
    configuration = actor.configuration
    return {
        'upstream': actor.upstream,
        'offset': configuration.offset if configuration else -1,
        'era': configuration.era if configuration else 0,
        'confirmed_at': actor.confirmed_at,
        'accepting': not actor.refusal_reason(),
        'refusal': actor.refusal_reason(),
        'draining': actor.draining,
        'limit': admission.current_limit,
        'limits': dataclasses.asdict(admission.limits),
        'running': len(admission.running),
        'waiting': len(admission.waiting),
        'held_bytes': admission.reserved_bytes,
        'foreign_running': admission.untracked_running,
        'restarts_seen': admission.restart_count,
        'unreachable': actor.unreachable,
        'suspects': len(actor.crash_detector.suspects.blame),
        'keys': len(actor.keys.rows),
        'keys_floor': repr(actor.keys.floor),
        'answers': _agent_responses(actor),
    }


def _agent_responses(actor: 'AttemptsActor') -> dict[str, Any]:
    limits = actor.shared_buffers.limits
    with actor.shared_buffers.changed:
        clients = dict(limits.held_bytes_by_client)
    return {
        'open': len(actor.jobs) - len(actor.admission.waiting),
        'read_to_the_end': sum(job.upstream_finished for job in actor.jobs),
        'held_bytes': limits.held_bytes,
        'held_bytes_by_client': clients,
        'limits': {
            'answer': limits.response_limit,
            'client': limits.client_limit,
            'process': limits.process_limit,
        },
    }
