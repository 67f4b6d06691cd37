"""Crash evidence that processes tell each other: crashes, answers, traits."""

import dataclasses
import hashlib
from typing import Annotated

import msgspec

__all__ = (
    'NO_EVIDENCE',
    'UNKNOWN_REQUEST',
    'Clearance',
    'Crash',
    'Evidence',
    'Traits',
    'start_key',
    'trait',
    'upstream_of',
)

_TRAIT_BYTES = 8
# No name of an upstream contains it.
_START_SEPARATOR = '#'

#: The traits of one request.
Traits = frozenset[int]
#: Stands for a request at a crashed upstream whose traits are not known.
UNKNOWN_REQUEST: Traits = frozenset()

_Age = Annotated[float, msgspec.Meta(ge=0)]
_Trait = Annotated[int, msgspec.Meta(ge=0)]


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """A crash of an upstream ``age`` seconds ago.

    ``upstream`` is its name, or the ``start_key`` of the start that crashed.
    ``requests`` has the traits of each request that may have caused it; one
    without traits is unknown.
    """

    upstream: str
    requests: tuple[tuple[_Trait, ...], ...]
    age: _Age


@dataclasses.dataclass(frozen=True, slots=True)
class Clearance:
    """A request with a trait was answered ``age`` seconds ago."""

    trait: _Trait
    age: _Age


@dataclasses.dataclass(frozen=True, slots=True)
class Evidence:
    """Crashes and clearances that one process tells another."""

    crashes: tuple[Crash, ...] = ()
    clearances: tuple[Clearance, ...] = ()

    def __bool__(self) -> bool:
        """Return whether there is anything to tell."""
        return bool(self.crashes or self.clearances)

    def traits(self) -> set[int]:
        """Return the traits that it is about."""
        found = {clearance.trait for clearance in self.clearances}
        for crash in self.crashes:
            found.update(*crash.requests)
        return found


NO_EVIDENCE = Evidence()


def start_key(upstream: str, start: int) -> str:
    """Return a key that differs for each start of an upstream.

    Args:
        upstream: name of the upstream.
        start: number of the restarts before.
    """
    return f'{upstream}{_START_SEPARATOR}{start}'


def upstream_of(key: str) -> str:
    """Return the name of the upstream that a ``start_key`` was made from."""
    return key.partition(_START_SEPARATOR)[0]


def trait(*texts: bytes) -> int:
    """Return a trait that identifies ``texts``; 64 bits."""
    digest = hashlib.blake2b(digest_size=_TRAIT_BYTES)
    for text in texts:
        digest.update(b'%d:' % len(text))
        digest.update(text)
    return int.from_bytes(digest.digest(), 'big')
