"""What operators do: publish changes, watch them, look at processes."""

import dataclasses
import time
import uuid
from collections.abc import Iterator, Mapping
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import msgspec
import urllib3

from .configuration import ConfigurationStateMachine, Decision, Outcome
from .configuration_snapshots import (
    CONFIGURATION_STREAM,
    StoredSnapshot,
    read_configuration_stream,
)
from .exceptions import ConfigurationInvalid, ServiceUnavailable
from .hostlists import HostList, ListedHost
from .log_service import LogPage, LogService

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

    @property
    def offset(self) -> int | None:
        """Return the offset in force there, None if it did not say."""
        offset = self.state.get('offset') if self.state else None
        return offset if isinstance(offset, int) else None

    def has(self, offset: int) -> bool:
        """Tell whether a change is in force there."""
        return self.offset is not None and self.offset >= offset


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
        self.fold = ConfigurationStateMachine()
        self.decisions: dict[str, Published] = {}
        self.pool = urllib3.PoolManager(
            maxsize=_PARALLEL_STATES,
            retries=False,
            timeout=_STATE_TIMEOUT,
        )

    def refresh(self) -> None:
        """Read the configuration stream to its end.

        Raises:
            ServiceUnavailable: the log did not answer, or has neither the
                next record nor a snapshot that covers it.
        """
        for found in read_configuration_stream(
            self.log_service, self.fold.offset + 1
        ):
            if isinstance(found, StoredSnapshot):
                self.fold.restore(found.content)
            else:
                self._read_page(found)

    def check(
        self,
        parts: Parts,
        reason: str,
        seen: int | None = None,
    ) -> Decision:
        """Return what the fold would make of a change, without publishing.

        Args:
            parts: new values by part name, None to remove a part.
            reason: why the change is made.
            seen: the offset at which the author read the parts; by default
                the end of the log.
        """
        self.refresh()
        for name in sorted(parts):
            changed_at = self.fold.version(name) - 1
            if seen is not None and changed_at > seen:
                detail = f'{name} was changed at offset {changed_at}'
                return Decision(Outcome.STALE, f'{detail}, after {seen}')
        trial = ConfigurationStateMachine()
        trial.restore(self.fold.snapshot())
        content = self._content(parts, reason)
        return trial.apply_log_entry(self.fold.offset + 1, time.time(), content)

    def publish(
        self,
        parts: Parts,
        reason: str,
        seen: int | None = None,
    ) -> Published:
        """Publish a change and read the decision back from the log.

        An append whose answer is lost is sent again under the same change id,
        which counts once. The arguments are those of ``check``.

        Raises:
            ConfigurationInvalid: the change would be refused; nothing was
                published.
            ServiceUnavailable: the log did not answer; the change may be in
                the log.
        """
        decision = self.check(parts, reason, seen)
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
            'against': {name: self.fold.version(name) for name in parts},
            'seen': self.fold.offset,
        }

    def _read_page(self, page: LogPage) -> None:
        if page.first > self.fold.offset + 1:
            raise ServiceUnavailable(
                f'the log begins at offset {page.first} and has no snapshot'
                ' of the records before; an entry will append one',
            )
        for entry in page.records:
            decision = self.fold.apply_log_entry(
                entry.offset,
                entry.appended_at,
                entry.content,
            )
            if isinstance(entry.content, dict):
                change = str(entry.content.get('change'))
                published = Published(entry.offset, decision)
                self.decisions.setdefault(change, published)
