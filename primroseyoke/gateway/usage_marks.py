"""Marks of requests that two hosts may count, kept among the counts.

A caller whose request had no response sends it again, often to another host. The
first host has counted it, because an upstream may have run it, and marks it as
lost. The second host marks a request that was probably sent before. If both marks
are there, the second count is left out.

A mark is an entry of the counts of a window, so it is exchanged like a count.
"""

from ..evidence import trait

__all__ = (
    'MARK_PREFIX',
    'is_mark',
    'lost_mark',
    'repeated_client',
    'repeated_mark',
)

#: First character of each mark; names of client accounts don't begin with it.
MARK_PREFIX = '\x00'
_LOST = f'{MARK_PREFIX}l'
_REPEATED = f'{MARK_PREFIX}r'
# Hexadecimal digits of a 64-bit hash of the request ID.
_HASH_DIGITS = 16
_HASH_FORMAT = '016x'


def is_mark(entry: str) -> bool:
    """Return whether an entry of the counts is a mark."""
    return entry.startswith(MARK_PREFIX)


def lost_mark(client: str, request_id: str) -> str:
    """Return the mark of a request that was counted without a response."""
    return f'{_LOST}{_hash(request_id)}{client}'


def repeated_mark(client: str, request_id: str) -> str:
    """Return the mark of a request that was probably sent before."""
    return f'{_REPEATED}{_hash(request_id)}{client}'


def repeated_client(entry: str) -> tuple[str, str] | None:
    """Return the client of a mark of a repeated request, and its lost mark.

    It is None if ``entry`` is something else.
    """
    if not entry.startswith(_REPEATED):
        return None
    identity = entry.removeprefix(_REPEATED)
    return identity[_HASH_DIGITS:], f'{_LOST}{identity}'


def _hash(request_id: str) -> str:
    return format(trait(request_id.encode()), _HASH_FORMAT)
