"""State dumps of an entry and an agent."""

import dataclasses
from typing import TYPE_CHECKING, Any

from .configuration_distribution import ASK_STATE
from .routing_actor import DumpRouting

if TYPE_CHECKING:
    from .attempts import AttemptsActor
    from .entry import Entry

__all__ = ('agent_state', 'entry_state')


def entry_state(entry: 'Entry') -> dict[str, Any]:
    """Return what an entry knows, for operators."""
    answers = tuple(entry.dispatcher.answers)
    configuration: Any = entry.configuration.ask(ASK_STATE, timeout=2)
    return {
        'host': entry.settings.name,
        'availability_zone': entry.settings.availability_zone,
        **configuration,
        'log_reachable': entry.reader.reachable,
        'draining': entry.stopped.is_set(),
        'links': {
            upstream: {
                'agent': link.address,
                'up': link.outgoing is not None,
                'attempts': len(link.attempts),
            }
            for upstream, link in sorted(entry.pool.links.items())
        },
        'answers': {
            'open': len(answers),
            'held_bytes': sum(answer.held_bytes() for answer in answers),
        },
        'in_progress_by_client': dict(entry.dispatcher.limiter.in_progress),
        'routing': entry.routing.ask(DumpRouting(), timeout=2),
    }


def agent_state(actor: 'AttemptsActor') -> dict[str, Any]:
    """Return what an agent knows, for operators."""
    admission = actor.admission
    configuration = actor.configuration
    return {
        'upstream': actor.upstream,
        'offset': configuration.offset if configuration else -1,
        'confirmed_at': actor.confirmed_at,
        'accepting': not actor.refusal(),
        'refusal': actor.refusal(),
        'draining': actor.draining,
        'limit': admission.current_limit,
        'limits': dataclasses.asdict(admission.limits),
        'running': len(admission.running),
        'waiting': len(admission.waiting),
        'held_bytes': admission.reserved_bytes,
        'foreign_running': admission.untracked_running,
        'restarts_seen': admission.restart_count,
        'unreachable': actor.unreachable,
        'suspects': len(actor.crashes.suspects.evidence),
        'keys': len(actor.keys.rows),
        'keys_floor': repr(actor.keys.floor),
        'answers': _agent_answers(actor),
    }


def _agent_answers(actor: 'AttemptsActor') -> dict[str, Any]:
    limits = actor.memory.limits
    with actor.memory.changed:
        clients = dict(limits.clients)
    return {
        'open': len(actor.jobs) - len(actor.admission.waiting),
        'read_to_the_end': sum(job.ended for job in actor.jobs),
        'held_bytes': limits.held,
        'held_bytes_by_client': clients,
        'limits': {
            'answer': limits.answer,
            'client': limits.client,
            'process': limits.process,
        },
    }
