"""Client of the host list of the platform.

``GET /hosts`` answers ``{"hosts": [{"name", "role", "availability_zone",
"address", "state"}]}``. Each address answers ``GET /state``. The list is
updated with a delay and may be outdated.
"""

import dataclasses
import logging
from typing import Literal

import msgspec
import urllib3

from .exceptions import ServiceUnavailable
from .settings import Address

__all__ = ('HostList', 'ListedHost', 'decode_hosts')

log = logging.getLogger(__name__)


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
    hosts: tuple[msgspec.Raw, ...]


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
        except urllib3.exceptions.HTTPError as error:
            raise ServiceUnavailable(
                f'host list at {self.url}: no response: {error}'
            ) from error
        return decode_hosts(response.data)


def decode_hosts(content: bytes) -> tuple[ListedHost, ...]:
    """Return the hosts of a list, without entries that are not valid.

    Raises:
        ServiceUnavailable: it is no list.
    """
    try:
        document = msgspec.json.decode(content, type=_HostListDocument)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise ServiceUnavailable(
            f'host list: no valid list: {error}'
        ) from error
    hosts = []
    for entry in document.hosts:
        try:
            hosts.append(_decode_host(entry))
        except (msgspec.MsgspecError, ValueError) as error:
            log.warning(
                'invalid entry in the host list ignored',
                extra={'reason': str(error)},
            )
    return tuple(hosts)


def _decode_host(entry: msgspec.Raw) -> ListedHost:
    host = msgspec.json.decode(entry, type=ListedHost)
    Address.parse(host.address)
    return host
