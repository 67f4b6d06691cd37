"""State dumps of an entry."""

from typing import TYPE_CHECKING, Any

from .balancing import DumpRouting
from .distribution import ASK_STATE

if TYPE_CHECKING:
    from .entry import Entry

__all__ = ('entry_state',)


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
        'routing': entry.routing.ask(DumpRouting(), timeout=2),
    }
