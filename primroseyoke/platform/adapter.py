"""What a gateway gets from the platform."""

import random
from collections.abc import Callable

from ..gateway.clients import HttpClient
from ..gateway.engines import Engines
from ..gateway.knowledge import Knowledge
from ..gateway.requests import Codec
from ..gateway.settings import GatewaySettings
from ..gateway.topics import TopicFollower
from .engines import EngineCalls
from .feeds import OPERATOR_TOPIC, UPSTREAM_TOPIC, OperatorFeed, UpstreamFeed
from .headers import HeaderCodec
from .settings import load_platform_settings
from .store import KeyedLog

__all__ = ('UsersPlatform',)

# Gateways by address; the value is the host's name.
_GATEWAY_TOPIC = 'keyed.gateways'
# Upstreams write every 1.2 s. A leaving one must get no requests 2 s after it
# said so, and each read is priced: a second is the longest safe pause.
_UPSTREAM_INTERVAL = 1.0


class UsersPlatform:
    """The platform that the users run; implements ``platforms.Platform``."""

    def __init__(self, settings: GatewaySettings, path: str) -> None:
        """Use the store in ``settings``, which were read from ``path``."""
        self.settings = settings
        self.path = path
        self.clients: list[HttpClient] = []
        self.codec: Codec = HeaderCodec()
        self.engines: Engines = EngineCalls()
        self.gateways = self._log(_GATEWAY_TOPIC)

    def followers(
        self,
        knowledge: Knowledge,
        changed: Callable[[], None],
        generator: random.Random,
    ) -> list[TopicFollower]:
        """Return what keeps ``knowledge`` up to date."""
        operators = OperatorFeed(knowledge)
        upstreams = UpstreamFeed(knowledge, changed)
        return [
            TopicFollower(
                OPERATOR_TOPIC,
                self._log(OPERATOR_TOPIC),
                operators.receive,
                0,
                generator,
            ),
            TopicFollower(
                UPSTREAM_TOPIC,
                self._log(UPSTREAM_TOPIC),
                upstreams.receive,
                _UPSTREAM_INTERVAL,
                generator,
            ),
        ]

    async def register(self) -> list[str]:
        """Add this host to the list of gateways; return their addresses."""
        await self.gateways.append(
            self.settings.address,
            self.settings.host.encode(),
        )
        page = await self.gateways.newest()
        return [record.key for record in page.records if record.value]

    async def unregister(self) -> None:
        """Remove this host from the list of gateways."""
        await self.gateways.append(self.settings.address, b'')

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
        for client in self.clients:
            if (client.host, client.port) != (address.host, address.port):
                client.host = address.host
                client.port = address.port
                client.close()

    def _log(self, topic: str) -> KeyedLog:
        address = self.settings.store.address
        client = HttpClient(address.host, address.port)
        self.clients.append(client)
        return KeyedLog(client, topic)
