"""Interface between a gateway and the platform that it runs on."""

import enum
import random
from collections.abc import Callable
from typing import Protocol

from .engines import EngineClient
from .requests import Codec
from .routing_state import RoutingState
from .settings import GatewaySettings
from .topic_consumers import TopicConsumer

__all__ = ('ApiResult', 'Platform')


class ApiResult(enum.Enum):
    """How the platform's API answered a call."""

    ACCEPTED = 'accepted'
    BUSY = 'busy'
    INVALID = 'invalid'


class Platform(Protocol):
    """Services of the platform; the platform adapter implements them."""

    codec: Codec
    engines: EngineClient

    def topic_consumers(
        self,
        routing_state: RoutingState,
        on_change: Callable[[], None],
        generator: random.Random,
    ) -> list[TopicConsumer]:
        """Return the consumers that keep ``routing_state`` up to date.

        They call ``on_change`` after the set of upstreams has changed.
        """

    async def register(self) -> list[str]:
        """Add this host to the list of gateways; return their addresses.

        Raises:
            ServiceUnavailable: the store did not respond.
        """

    async def wait_for_lost_registration(self) -> None:
        """Wait until the store may have lost the registration.

        It loses what was written last when it comes back from an older copy.
        """

    async def unregister(self) -> None:
        """Remove this host from the list of gateways.

        Raises:
            ServiceUnavailable: the store did not respond.
        """

    def read_settings(self) -> GatewaySettings:
        """Read the settings file again and return its settings.

        Raises:
            SettingsInvalid: the file is missing or invalid.
        """

    def apply_settings(self, settings: GatewaySettings) -> None:
        """Apply reloaded settings."""
