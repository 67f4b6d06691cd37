"""Model engines: their reports and the orders that they take."""

import dataclasses
import enum
from typing import Protocol

from .placement import Placement
from .upstreams import Upstream

__all__ = (
    'Arm',
    'Disarm',
    'EngineClient',
    'ExpertCounts',
    'Hold',
    'Order',
    'OrderResult',
    'Prepare',
    'RankReport',
    'Release',
)


@dataclasses.dataclass(frozen=True, slots=True)
class RankReport:
    """What a rank says of itself; up to a few hundred ms old.

    ``epoch`` is that of its group, ``step`` the last pass that began,
    ``placement_version`` the version in use, ``prepared_version`` the version whose weights
    are loaded, ``armed_version`` the version that it is to switch to, ``held_step`` the
    pass that does not begin before it is released. Its work takes ``slowdown``
    times as long as usual.
    """

    group: str
    epoch: int
    rank: int
    ranks: int
    is_open: bool
    step: int
    placement_version: int
    prepared_version: int | None = None
    armed_version: int | None = None
    armed_step: int | None = None
    held_step: int | None = None
    slowdown: float = 1


@dataclasses.dataclass(frozen=True, slots=True)
class ExpertCounts:
    """How often the requests of a rank chose each expert since it started."""

    epoch: int
    step: int
    counts: tuple[int, ...]


class OrderResult(enum.Enum):
    """What is known of an order."""

    #: It was carried out, or the state that it asks for holds already.
    ACCEPTED = 'accepted'
    #: It does not fit the state of the rank, and has no effect.
    CONFLICT = 'conflict'
    #: It has no effect: another process has the address, or none.
    REFUSED = 'refused'
    #: It may have been carried out, or may be, seconds later.
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class Prepare:
    """Load the weights that a placement needs; ``version`` rises."""

    epoch: int
    version: int
    placement: Placement


@dataclasses.dataclass(frozen=True, slots=True)
class Hold:
    """Do not begin a pass before it is released."""

    epoch: int
    step: int


@dataclasses.dataclass(frozen=True, slots=True)
class Release:
    """Begin the pass that was held."""

    epoch: int
    step: int


@dataclasses.dataclass(frozen=True, slots=True)
class Arm:
    """Use the prepared placement from a pass on."""

    epoch: int
    version: int
    step: int


@dataclasses.dataclass(frozen=True, slots=True)
class Disarm:
    """Do not switch to a version that is armed."""

    epoch: int
    version: int


Order = Prepare | Hold | Release | Arm | Disarm


class EngineClient(Protocol):
    """Calls model engines; the adapter of the platform implements it."""

    async def report(self, upstream: Upstream) -> RankReport | None:
        """Return what a rank says of itself, None if it is in no group.

        Raises:
            ServiceUnavailable: no answer.
        """

    async def counts(self, upstream: Upstream) -> ExpertCounts:
        """Return how often each expert was chosen.

        Raises:
            ServiceUnavailable: no answer.
        """

    async def placement(
        self,
        upstream: Upstream,
    ) -> tuple[tuple[int, ...], ...]:
        """Return the experts of a rank by layer.

        Raises:
            ServiceUnavailable: no answer.
        """

    async def order(
        self,
        upstream: Upstream,
        order: Order,
        timeout: float,
    ) -> OrderResult:
        """Send an order; ``timeout`` in seconds."""
