"""Client of the host list of the platform.

``GET /hosts`` answers ``{"hosts": [{"name", "role", "availability_zone",
"address", "state"}]}``. Each address answers ``GET /state``. The list is
updated with a delay and may be outdated.
"""

import dataclasses
from typing import Literal

import msgspec
import urllib3

from .exceptions import ServiceUnavailable

__all__ = ('HostList', 'ListedHost')


@dataclasses.dataclass(frozen=True, slots=True)
class ListedHost:
    """An entry or agent in the platform's host list."""

    name: str
    role: Literal['entry', 'agent']
    availability_zone: str
    address: str
    state: Literal['live', 'leaving'] = 'live'


@dataclasses.dataclass(frozen=True, slots=True)
class _HostListDocument:
    hosts: tuple[ListedHost, ...]


class HostList:
    """Reads the host list over HTTP."""

    def __init__(self, address: str, timeout: float = 2) -> None:
        """Read from ``address`` (``ip:port``) with a timeout in seconds."""
        self.url = f'http://{address}/hosts'
        self.pool = urllib3.PoolManager(retries=False, timeout=timeout)

    def hosts(self) -> tuple[ListedHost, ...]:
        """Return the listed hosts.

        Raises:
            ServiceUnavailable: no response, or an invalid one.
        """
        try:
            response = self.pool.request('GET', self.url)
            decoded = msgspec.json.decode(response.data, type=_HostListDocument)
        except (urllib3.exceptions.HTTPError, msgspec.MsgspecError) as error:
            raise ServiceUnavailable(
                f'host list at {self.url}: no valid response: {error}'
            ) from error
        return decoded.hosts
