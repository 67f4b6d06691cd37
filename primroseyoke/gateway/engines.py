"""Client interface of model engines: status reports and control orders."""

import dataclasses
import enum
from collections.abc import Collection
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
    """Status that a rank reports; it can be a few hundred ms old.

    A step is the number of a forward pass of the group.

    Attributes:
        group: name of the rank group.
        epoch: epoch of the group; it changes when a rank restarts.
        rank: index of this rank in the group.
        ranks: number of ranks in the group.
        is_open: whether the group serves requests.
        step: the last pass that began.
        placement_version: the expert placement in use.
        prepared_version: the placement whose weights are loaded.
        armed_version: the placement to switch to.
        armed_step: the pass from which on ``armed_version`` is used.
        held_step: the pass that does not begin until it is released.
        slowdown: time that the rank takes for its work, relative to normal.
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

    @property
    def highest_version(self) -> int:
        """Return the highest placement version that the rank reports."""
        return max(
            self.placement_version,
            self.prepared_version or 0,
            self.armed_version or 0,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class ExpertCounts:
    """How often requests of a rank selected each expert since its start."""

    epoch: int
    step: int
    counts: tuple[int, ...]


class OrderResult(enum.Enum):
    """Outcome of an order as far as the sender knows."""

    #: The rank has executed it or was already in the requested state.
    ACCEPTED = 'accepted'
    #: It contradicts the state of the rank and had no effect.
    CONFLICT = 'conflict'
    #: No effect: the address belongs to another process, so the rank has ended.
    GONE = 'gone'
    #: No effect: no connection. The rank may run beyond a network partition.
    UNREACHABLE = 'unreachable'
    #: No response: it may have been executed, or may be seconds later.
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class Prepare:
    """Load the weights of a placement; versions must increase."""

    epoch: int
    version: int
    placement: Placement


@dataclasses.dataclass(frozen=True, slots=True)
class Hold:
    """Delay the start of a pass until it is released."""

    epoch: int
    step: int


@dataclasses.dataclass(frozen=True, slots=True)
class Release:
    """Allow the held pass to start."""

    epoch: int
    step: int


@dataclasses.dataclass(frozen=True, slots=True)
class Arm:
    """Use the prepared placement from the given pass on."""

    epoch: int
    version: int
    step: int


@dataclasses.dataclass(frozen=True, slots=True)
class Disarm:
    """Cancel the switch to an armed version."""

    epoch: int
    version: int


Order = Prepare | Hold | Release | Arm | Disarm


class EngineClient(Protocol):
    """Calls model engines; implemented by the platform adapter."""

    async def report(self, upstream: Upstream) -> RankReport | None:
        """Return the status of a rank, None if it belongs to no group.

        Raises:
            ServiceUnavailable: the engine gave no valid response.
        """

    async def counts(self, upstream: Upstream) -> ExpertCounts:
        """Return how often each expert was selected.

        Raises:
            ServiceUnavailable: the engine gave no valid response.
        """

    async def placement(
        self,
        upstream: Upstream,
    ) -> tuple[tuple[int, ...], ...]:
        """Return the experts of a rank, by layer.

        Raises:
            ServiceUnavailable: the engine gave no valid response.
        """

    async def order(
        self,
        upstream: Upstream,
        order: Order,
        timeout: float,
    ) -> OrderResult:
        """Send an order and wait up to ``timeout`` seconds for its result."""

    def retain(self, names: Collection[str]) -> None:
        """Close what is open to all upstreams but those in ``names``."""
