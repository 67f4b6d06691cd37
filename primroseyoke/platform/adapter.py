"""What a gateway gets from the platform."""

import random
from collections.abc import Callable

from ..gateway.clients import HttpClient
from ..gateway.engines import Engines
from ..gateway.knowledge import Knowledge
from ..gateway.requests import Codec
from ..gateway.settings import GatewaySettings
from ..gateway.topics import TopicFollower
from .engines import HttpEngines
from .feeds import OPERATOR_TOPIC, UPSTREAM_TOPIC, OperatorFeed, UpstreamFeed
from .headers import HeaderCodec
from .settings import load_platform_settings
from .store import HttpKeyedTopic

__all__ = ('PlatformAdapter',)

# Gateways by address; the value is the host's name.
_GATEWAY_TOPIC = 'keyed.gateways'
# Upstreams write every 1.2 s. A leaving one must get no requests 2 s after it
# said so, and each read is priced: a second is the longest safe pause.
_UPSTREAM_READ_INTERVAL_SECONDS = 1.0


class PlatformAdapter:
    """The platform that the users run; implements ``platforms.Platform``."""

    def __init__(self, settings: GatewaySettings, path: str) -> None:
        """Use the store in ``settings``, which were read from ``path``."""
        self.settings = settings
        self.path = path
        self.store_connections: list[HttpClient] = []
        self.codec: Codec = HeaderCodec()
        self.engines: Engines = HttpEngines()
        self.gateway_topic = self._open_topic(_GATEWAY_TOPIC)

    def followers(
        self,
        knowledge: Knowledge,
        changed: Callable[[], None],
        generator: random.Random,
    ) -> list[TopicFollower]:
        """Return what keeps ``knowledge`` up to date."""
        operator_feed = OperatorFeed(knowledge)
        upstream_feed = UpstreamFeed(knowledge, changed)
        return [
            TopicFollower(
                OPERATOR_TOPIC,
                self._open_topic(OPERATOR_TOPIC),
                operator_feed.receive,
                0,
                generator,
            ),
            TopicFollower(
                UPSTREAM_TOPIC,
                self._open_topic(UPSTREAM_TOPIC),
                upstream_feed.receive,
                _UPSTREAM_READ_INTERVAL_SECONDS,
                generator,
            ),
        ]

    async def register(self) -> list[str]:
        """Add this host to the list of gateways; return their addresses."""
        await self.gateway_topic.append(
            self.settings.address,
            self.settings.host.encode(),
        )
        page = await self.gateway_topic.newest()
        return [record.key for record in page.records if record.value]

    async def unregister(self) -> None:
        """Remove this host from the list of gateways."""
        await self.gateway_topic.append(self.settings.address, b'')

    def read_settings(self) -> GatewaySettings:
        """Return the settings as they are written now.

        Raises:
            SettingsInvalid: the file cannot be used.
        """
        return load_platform_settings(self.path)

    def use(self, settings: GatewaySettings) -> None:
        """Go on with changed settings: the store may have moved."""
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
        return HttpKeyedTopic(connection, topic)
