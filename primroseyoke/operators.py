"""What operators do: publish changes, watch them, look at processes."""

import dataclasses
import time
import uuid
from collections.abc import Iterator, Mapping
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import msgspec
import urllib3

from .configuration import Decision, Fold, Outcome, Record, parse_record
from .distribution import CONFIGURATION_STREAM
from .exceptions import ConfigurationInvalid, ServiceUnavailable
from .hostlists import HostList, ListedHost
from .records import LogService

__all__ = ('HostState', 'Operator', 'Published')

_APPEND_TRIES = 5
_RETRY_PAUSE = 0.5
_STATE_TIMEOUT = 2.0
_PARALLEL_STATES = 32

Parts = Mapping[str, dict[str, Any] | None]


@dataclasses.dataclass(frozen=True, slots=True)
class Published:
    """A change that was read back from the log."""

    offset: int
    decision: Decision


@dataclasses.dataclass(frozen=True, slots=True)
class HostState:
    """State dump of one listed host; ``state`` is None if it gave none."""

    host: ListedHost
    state: Mapping[str, Any] | None

    def has(self, offset: int) -> bool:
        """Tell whether a change is in force there."""
        return self.state is not None and self.state['offset'] >= offset


class Operator:
    """Acts for one operator."""

    def __init__(
        self,
        log_service: LogService,
        host_list: HostList | None,
        author: str,
    ) -> None:
        """Sign changes as ``author``."""
        self.log_service = log_service
        self.host_list = host_list
        self.author = author
        self.fold = Fold()
        self.decisions: dict[str, Published] = {}
        self.pool = urllib3.PoolManager(
            maxsize=_PARALLEL_STATES,
            retries=False,
            timeout=_STATE_TIMEOUT,
        )

    def refresh(self) -> None:
        """Read the configuration stream to its end.

        Raises:
            ServiceUnavailable: the log did not answer.
        """
        while True:
            page = self.log_service.read(
                CONFIGURATION_STREAM,
                self.fold.offset + 1,
            )
            for entry in page.records:
                self._apply(entry.offset, entry.appended_at, entry.content)
            if self.fold.offset >= page.next - 1:
                return

    def check(self, parts: Parts, reason: str) -> Decision:
        """Return what the fold would make of a change, without publishing."""
        self.refresh()
        trial = Fold()
        if self.fold.current is not None:
            trial.restore(self.fold.snapshot())
        content = self._content(parts, reason)
        offset = self.fold.offset + 1
        try:
            record = parse_record(offset, time.time(), content)
        except ConfigurationInvalid as error:
            return Decision(Outcome.INVALID, str(error))
        return trial.apply(record)

    def publish(self, parts: Parts, reason: str) -> Published:
        """Publish a change and read the decision back from the log.

        An append whose answer is lost is sent again under the same change id,
        which counts once.

        Raises:
            ConfigurationInvalid: the change would be refused; nothing was
                published.
            ServiceUnavailable: the log did not answer; the change may be in
                the log.
        """
        decision = self.check(parts, reason)
        if decision.outcome is not Outcome.ACCEPTED:
            raise ConfigurationInvalid(decision.detail)
        content = self._content(parts, reason)
        change = content['change']
        for _ in range(_APPEND_TRIES):
            if self._try_publish(content):
                return self.decisions[change]
            time.sleep(_RETRY_PAUSE)
        raise ServiceUnavailable(
            f'no answer; change {change} may be in the log'
        )

    def states(self) -> list[HostState]:
        """Return the state of each listed host.

        Raises:
            ServiceUnavailable: the host list did not answer.
        """
        if self.host_list is None:
            raise ServiceUnavailable('no host list is configured')
        hosts = self.host_list.hosts()
        with ThreadPoolExecutor(_PARALLEL_STATES) as executor:
            return list(executor.map(self._host_state, hosts))

    def watch(self, offset: int, timeout: float) -> Iterator[list[HostState]]:
        """Yield the hosts where a change is not in force, until there are none.

        The last yield is empty, unless ``timeout`` seconds have passed.
        """
        deadline = time.monotonic() + timeout
        while True:
            behind = [state for state in self.states() if not state.has(offset)]
            yield behind
            if not behind or time.monotonic() > deadline:
                return
            time.sleep(_RETRY_PAUSE)

    def dump(self, address: str) -> Any:
        """Return the state dump of the process at ``address`` (``ip:port``).

        Raises:
            ServiceUnavailable: no answer.
        """
        try:
            response = self.pool.request('GET', f'http://{address}/state')
            return msgspec.json.decode(response.data)
        except (urllib3.exceptions.HTTPError, msgspec.MsgspecError) as error:
            raise ServiceUnavailable(f'{address}: {error}') from error

    def _host_state(self, host: ListedHost) -> HostState:
        try:
            return HostState(host, self.dump(host.address))
        except ServiceUnavailable:
            return HostState(host, None)

    def _try_publish(self, content: dict[str, Any]) -> bool:
        try:
            self.log_service.append(CONFIGURATION_STREAM, content)
            self.refresh()
        except ServiceUnavailable:
            return False
        return content['change'] in self.decisions

    def _content(self, parts: Parts, reason: str) -> dict[str, Any]:
        return {
            'change': uuid.uuid4().hex,
            'author': self.author,
            'reason': reason,
            'parts': dict(parts),
            'against': {
                name: self.fold.versions.get(name, 0) for name in parts
            },
        }

    def _apply(self, offset: int, appended_at: float, content: Any) -> None:
        try:
            record: Record = parse_record(offset, appended_at, content)
        except ConfigurationInvalid:
            self.fold.skip(offset)
            return
        decision = self.fold.apply(record)
        published = Published(offset, decision)
        self.decisions.setdefault(record.change, published)
