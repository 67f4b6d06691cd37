"""The actor that owns an entry's routing state and retry budgets."""

import dataclasses
import functools
import random
import time
from typing import Any

import pykka

from .configuration import Configuration
from .configuration_distribution import ConfigurationChanged
from .messages import Load
from .retries import RetryBudget
from .routing import Router

__all__ = (
    'AgentLinked',
    'AgentUnlinked',
    'ChooseUpstream',
    'DumpRouting',
    'LoadReported',
    'RequestEnded',
    'RoutingActor',
    'SpendRetry',
)


@dataclasses.dataclass(frozen=True, slots=True)
class AgentLinked:
    """An agent is connected."""

    upstream: str
    load: Load


@dataclasses.dataclass(frozen=True, slots=True)
class AgentUnlinked:
    """The link to an agent has ended."""

    upstream: str


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReported:
    """Load that arrived from an agent."""

    upstream: str
    load: Load


@dataclasses.dataclass(frozen=True, slots=True)
class ChooseUpstream:
    """Ask for an upstream and count the request there.

    ``repeated`` is true for a request that asked before and found none.
    """

    service: str
    client: str
    excluded: tuple[str, ...]
    prefix: int = 0
    repeated: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class RequestEnded:
    """A request at an upstream has ended.

    ``chosen`` is false for an upstream that was not chosen by the actor.
    """

    upstream: str
    chosen: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class SpendRetry:
    """Ask for a retry of a client."""

    client: str


@dataclasses.dataclass(frozen=True, slots=True)
class DumpRouting:
    """Ask for the load that the entry knows of each upstream."""


class RoutingActor(pykka.ThreadingActor):
    """Owns what the entry knows of upstreams, and the retry budgets."""

    def __init__(self, availability_zone: str) -> None:
        """Start without any upstream."""
        super().__init__()
        self.router = Router(availability_zone, random.Random())  # noqa: S311
        self.budget = RetryBudget()
        self.configuration: Configuration | None = None

    @functools.singledispatchmethod
    def on_receive(self, message: Any) -> Any:
        """Handle one message; each type has its own method."""
        raise TypeError(f'unexpected message {message!r}')

    @on_receive.register
    def _(self, message: ConfigurationChanged) -> None:
        self.configuration = message.configuration

    @on_receive.register
    def _(self, message: AgentLinked) -> None:
        self.router.add_upstream(message.upstream, message.load)

    @on_receive.register
    def _(self, message: AgentUnlinked) -> None:
        self.router.remove_upstream(message.upstream)

    @on_receive.register
    def _(self, message: LoadReported) -> None:
        self.router.update_load(message.upstream, message.load)

    @on_receive.register
    def _(self, message: RequestEnded) -> None:
        if message.chosen:
            self.router.end_request(message.upstream)

    @on_receive.register
    def _(self, message: SpendRetry) -> bool:
        budget = self._budget(message.client)
        return budget.spend(message.client, time.monotonic())

    @on_receive.register
    def _(self, message: DumpRouting) -> dict[str, Any]:
        return {
            name: dataclasses.asdict(known)
            for name, known in sorted(self.router.known_upstreams.items())
        }

    @on_receive.register
    def _(self, message: ChooseUpstream) -> str | None:
        if self.configuration is None:
            return None
        choice = self.router.choose(
            self.configuration,
            message.service,
            message.excluded,
            message.prefix,
        )
        if not message.excluded and not message.repeated:
            budget = self._budget(message.client)
            budget.earn(message.client, time.monotonic())
        if choice is not None:
            self.router.begin_request(choice)
        return choice

    def _budget(self, client: str) -> RetryBudget:
        """Return the budget with the limits of a client."""
        if self.configuration is not None:
            defaults = self.configuration.defaults_for(f'client/{client}')
            self.budget.rate = defaults.retry_rate
            self.budget.burst = defaults.retry_burst
        return self.budget
