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
    'trait',
)

_TRAIT_BYTES = 8

#: The traits of one request.
Traits = frozenset[int]
#: Stands for a request at a crashed upstream whose traits are not known.
UNKNOWN_REQUEST: Traits = frozenset()

_Age = Annotated[float, msgspec.Meta(ge=0)]
_Trait = Annotated[int, msgspec.Meta(ge=0)]


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """A crash of an upstream ``age`` seconds ago.

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


def trait(*texts: bytes) -> int:
    """Return a trait that identifies ``texts``; 64 bits."""
    digest = hashlib.blake2b(digest_size=_TRAIT_BYTES)
    for text in texts:
        digest.update(b'%d:' % len(text))
        digest.update(text)
    return int.from_bytes(digest.digest(), 'big')
