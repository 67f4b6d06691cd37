"""Client of the platform's list of hosts.

``GET /hosts`` answers ``{"hosts": [{"name", "role", "availability_zone",
"address", "state"}]}``. The address is the one that answers ``GET /state``. The
list lags behind what is true.
"""

import dataclasses
from typing import Literal

import msgspec
import urllib3

from .exceptions import ServiceUnavailable

__all__ = ('HostList', 'ListedHost')


@dataclasses.dataclass(frozen=True, slots=True)
class ListedHost:
    """A process of this system as the platform lists it."""

    name: str
    role: Literal['entry', 'agent']
    availability_zone: str
    address: str
    state: Literal['live', 'leaving'] = 'live'


@dataclasses.dataclass(frozen=True, slots=True)
class _HostListDocument:
    hosts: tuple[ListedHost, ...]


class HostList:
    """Reads the host list."""

    def __init__(self, address: str, timeout: float = 2) -> None:
        """Use the list at ``address`` (``ip:port``), timeout in seconds."""
        self.url = f'http://{address}/hosts'
        self.pool = urllib3.PoolManager(retries=False, timeout=timeout)

    def hosts(self) -> tuple[ListedHost, ...]:
        """Return the listed hosts.

        Raises:
            ServiceUnavailable: no answer, or one that cannot be understood.
        """
        try:
            response = self.pool.request('GET', self.url)
            decoded = msgspec.json.decode(response.data, type=_HostListDocument)
        except (urllib3.exceptions.HTTPError, msgspec.MsgspecError) as error:
            raise ServiceUnavailable(f'host list: {error}') from error
        return decoded.hosts
