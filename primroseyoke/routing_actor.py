"""Actor that owns the routing state and the retry budgets of an entry."""

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
    """Sent when an agent has connected."""

    upstream: str
    load: Load


@dataclasses.dataclass(frozen=True, slots=True)
class AgentUnlinked:
    """Sent when an agent has disconnected."""

    upstream: str


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReported:
    """Sent when an agent has reported the load of its upstream."""

    upstream: str
    load: Load


@dataclasses.dataclass(frozen=True, slots=True)
class ChooseUpstream:
    """Ask for an upstream and count the request as in flight on it.

    ``repeated`` is true if the same request asked before and there was none.
    """

    service: str
    client: str
    excluded: tuple[str, ...]
    prefix: int = 0
    repeated: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class RequestEnded:
    """Sent when a request has ended.

    ``chosen`` is false if its upstream was not chosen by this actor.
    """

    upstream: str
    chosen: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class SpendRetry:
    """Take a token from the retry budget of a client."""

    client: str


@dataclasses.dataclass(frozen=True, slots=True)
class DumpRouting:
    """Ask for the known load of each upstream."""


class RoutingActor(pykka.ThreadingActor):
    """Owns the router and the retry budgets of an entry."""

    def __init__(self, availability_zone: str) -> None:
        """Start without upstreams."""
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
        """Return the budget, set to the limits configured for a client."""
        if self.configuration is not None:
            defaults = self.configuration.defaults_for(f'client/{client}')
            self.budget.rate = defaults.retry_rate
            self.budget.burst = defaults.retry_burst
        return self.budget
