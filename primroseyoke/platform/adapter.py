"""Implementation of the gateway's platform interface."""

import asyncio
import random
from collections.abc import Callable

from ..gateway.engines import EngineClient
from ..gateway.http_client import HttpClient
from ..gateway.platforms import PlatformApi
from ..gateway.requests import Codec
from ..gateway.routing_state import RoutingState
from ..gateway.settings import GatewaySettings
from ..gateway.topic_consumers import TopicConsumer
from ..gateway.topics import ConditionalTopic
from ..exceptions import SettingsInvalid
from ..positions import EraTracker
from .cloud import HttpPlatformApi
from .engines import HttpEngines
from .feeds import (
    OPERATOR_TOPIC,
    UPSTREAM_TOPIC,
    OperatorFeed,
    UpstreamFeed,
    upstream_effect,
)
from .headers import HeaderCodec
from .settings import load_platform_settings
from .store import HttpKeyedTopic

__all__ = ('PlatformAdapter',)

# Keys are the addresses of gateways, values the names of their hosts.
_GATEWAY_TOPIC = 'keyed.gateways'
_DUTY_TOPIC = 'keyed.duties'
# Upstreams write every 1.2 s, and a draining upstream must get no requests from
# 2 s after it announced that. Each read of the store is billed, so this is the
# longest interval that meets the 2 s.
_UPSTREAM_READ_INTERVAL_SECONDS = 1.0
_REGISTRATION_CHECK_SECONDS = 0.5


class PlatformAdapter:
    """Connects a gateway to the platform; implements ``platforms.Platform``."""

    def __init__(self, settings: GatewaySettings, path: str) -> None:
        """Connect to the store named in ``settings``, read from ``path``."""
        self.settings = settings
        self.path = path
        self.store_connections: list[HttpClient] = []
        self.eras = EraTracker('store')
        self.registered_era = 0
        self.codec: Codec = HeaderCodec()
        self.engines: EngineClient = HttpEngines()
        self.gateway_topic = self._open_topic(_GATEWAY_TOPIC)

    def topic_consumers(
        self,
        routing_state: RoutingState,
        on_change: Callable[[], None],
        generator: random.Random,
    ) -> list[TopicConsumer]:
        """Return the consumers that keep ``routing_state`` up to date."""
        operator_feed = OperatorFeed(routing_state)
        upstream_feed = UpstreamFeed(routing_state, on_change)
        return [
            TopicConsumer(
                OPERATOR_TOPIC,
                self._open_topic(OPERATOR_TOPIC),
                operator_feed.receive,
                0,
                generator,
                # What an operator was told is in force stays so.
                keeps_lost=True,
            ),
            TopicConsumer(
                UPSTREAM_TOPIC,
                self._open_topic(UPSTREAM_TOPIC),
                upstream_feed.receive,
                _UPSTREAM_READ_INTERVAL_SECONDS,
                generator,
                upstream_effect,
            ),
        ]

    async def register(self) -> list[str]:
        """Register this gateway; return the addresses of all gateways."""
        await self.gateway_topic.append(
            self.settings.address,
            self.settings.host.encode(),
        )
        page = await self.gateway_topic.read_latest()
        self.registered_era = page.era
        return [record.key for record in page.records if record.value]

    async def wait_for_lost_registration(self) -> None:
        """Wait until the store may have lost the registration."""
        while self.eras.era == self.registered_era:
            await asyncio.sleep(_REGISTRATION_CHECK_SECONDS)

    async def unregister(self) -> None:
        """Remove this gateway from the registered ones."""
        await self.gateway_topic.append(self.settings.address, b'')

    def duty_topic(self) -> ConditionalTopic:
        """Return the topic that holds the duty lease."""
        return self._open_topic(_DUTY_TOPIC)

    def duty_api(self, held: Callable[[], int | None]) -> PlatformApi:
        """Return the API for calls under a lease.

        Raises:
            SettingsInvalid: the settings name no duty, and no address.
        """
        duties = self.settings.duties
        if duties is None:
            raise SettingsInvalid('cloud.duties: no known duty')
        return HttpPlatformApi(duties.api, held, duties.call_timeout)

    def read_settings(self) -> GatewaySettings:
        """Reload the settings file.

        Raises:
            SettingsInvalid: the file is missing or its content invalid.
        """
        return load_platform_settings(self.path)

    def apply_settings(self, settings: GatewaySettings) -> None:
        """Apply changed settings; reconnect if the store's address changed."""
        self.settings = settings
        address = settings.store.address
        for connection in self.store_connections:
            if (connection.host, connection.port) != (
                address.host,
                address.port,
            ):
                connection.host = address.host
                connection.port = address.port
                connection.close()

    def _open_topic(self, topic: str) -> HttpKeyedTopic:
        address = self.settings.store.address
        connection = HttpClient(address.host, address.port)
        self.store_connections.append(connection)
        return HttpKeyedTopic(connection, topic, self.eras)
