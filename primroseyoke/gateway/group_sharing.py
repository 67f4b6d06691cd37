"""Tells gateways the rank groups that others have found out.

Each rank tells its group, and each question is billed. So the hosts that read
the store for others ask the ranks, and the others ask these hosts.
"""

import logging
import time
from collections.abc import Mapping

import cbor2
import msgspec

from ..exceptions import ServiceUnavailable
from .http_client import HttpClient
from .listeners import ResponseWriter
from .peers import PeerReporter
from .rank_groups import RankGroupMonitor
from .requests import CallerRequest

__all__ = ('GROUPS_PATH', 'GroupSharing')

log = logging.getLogger(__name__)

GROUPS_PATH = '/groups'
_FETCH_TIMEOUT_SECONDS = 0.5
# A host that has just started waits this long for reports of other hosts before
# it asks the ranks itself.
_STARTUP_SECONDS = 1.0
_OK = 200


class GroupSharing:
    """Group membership known to the hosts that ask the ranks."""

    def __init__(
        self, reporter: PeerReporter, monitor: RankGroupMonitor, port: int
    ) -> None:
        """Fetch from the hosts that ``reporter`` hears, at ``port``."""
        self.reporter = reporter
        self.monitor = monitor
        self.port = port
        self.started_at = time.monotonic()

    async def fetch(self) -> Mapping[str, str] | None:
        """Return the group of each rank that another host knows.

        Returns:
            None if this host should ask the ranks itself.
        """
        reporter = self.reporter
        if reporter.active_count == 1:
            is_starting = time.monotonic() < self.started_at + _STARTUP_SECONDS
            return {} if is_starting and reporter.peers else None
        sharing = reporter.sharing
        if sharing is None or reporter.reader_rank < sharing.reader_count:
            return None
        address = reporter.reader_order()[0]
        client = HttpClient(address, self.port)
        try:
            answer = await client.call(
                'GET', GROUPS_PATH, timeout=_FETCH_TIMEOUT_SECONDS
            )
            return _decode_groups(answer.body)
        except ServiceUnavailable as error:
            log.info(
                'gateway did not tell the rank groups; asking the ranks',
                extra={'peer': address, 'reason': str(error)},
            )
            return None
        finally:
            client.close()

    async def serve(
        self, request: CallerRequest, response: ResponseWriter
    ) -> None:
        """Respond to a request of another gateway for the groups."""
        groups = cbor2.dumps(self.monitor.group_by_upstream)
        response.respond(_OK, (), groups)


def _decode_groups(content: bytes) -> Mapping[str, str]:
    """Decode a response.

    Raises:
        ServiceUnavailable: it is not valid.
    """
    try:
        return msgspec.convert(cbor2.loads(content), dict[str, str])
    except (cbor2.CBORError, msgspec.ValidationError) as error:
        raise ServiceUnavailable(f'{GROUPS_PATH}: {error}') from error
