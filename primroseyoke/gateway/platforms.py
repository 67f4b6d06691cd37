"""What a gateway needs of the platform that it runs on."""

import random
from collections.abc import Callable
from typing import Protocol

from .engines import EngineClient
from .requests import Codec
from .routing_state import RoutingState
from .settings import GatewaySettings
from .topics import TopicConsumer

__all__ = ('Platform',)


class Platform(Protocol):
    """What a gateway needs of the platform; the adapter implements it."""

    codec: Codec
    engines: EngineClient

    def topic_consumers(
        self,
        routing_state: RoutingState,
        on_change: Callable[[], None],
        generator: random.Random,
    ) -> list[TopicConsumer]:
        """Return what keeps ``routing_state`` up to date."""

    async def register(self) -> list[str]:
        """Add this host to the list of gateways; return their addresses.

        Raises:
            ServiceUnavailable: the store did not answer.
        """

    async def unregister(self) -> None:
        """Remove this host from the list of gateways.

        Raises:
            ServiceUnavailable: the store did not answer.
        """

    def read_settings(self) -> GatewaySettings:
        """Return the settings as they are written now.

        Raises:
            SettingsInvalid: the file cannot be used.
        """

    def apply_settings(self, settings: GatewaySettings) -> None:
        """Go on with changed settings."""
