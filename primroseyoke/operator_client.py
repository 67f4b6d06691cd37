"""Operator actions: publish changes, watch rollouts, read process states."""

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
from .host_list import HostList, ListedHost
from .log_service import LogPage, LogService
from .positions import Position

__all__ = ('HostState', 'OperatorClient', 'PublishedChange')

_APPEND_ATTEMPTS = 5
_RETRY_DELAY_SECONDS = 0.5
_STATE_TIMEOUT_SECONDS = 2.0
_MAX_PARALLEL_STATE_REQUESTS = 32

PartChanges = Mapping[str, dict[str, Any] | None]


@dataclasses.dataclass(frozen=True, slots=True)
class PublishedChange:
    """A published change: its offset in the log and the decision on it.

    The offset is of ``era``.
    """

    offset: int
    decision: Decision
    era: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class HostState:
    """State dump of a listed host; ``state`` is None if it did not respond."""

    host: ListedHost
    state: Mapping[str, Any] | None

    @property
    def offset(self) -> int | None:
        """Return the configuration offset of the host, None if unknown."""
        offset = self.state.get('offset') if self.state else None
        return offset if isinstance(offset, int) else None

    @property
    def era(self) -> int:
        """Return the era of that offset, 0 if it is unknown."""
        era = self.state.get('era') if self.state else None
        return era if isinstance(era, int) else 0

    def has_applied(self, position: Position) -> bool:
        """Tell whether the host has applied the change at ``position``."""
        return (
            self.offset is not None
            and Position(self.era, self.offset) >= position
        )


class OperatorClient:
    """Publishes changes on behalf of an operator and reads process states."""

    def __init__(
        self,
        log_service: LogService,
        host_list: HostList | None,
        author: str,
    ) -> None:
        """Record ``author`` as the author of changes."""
        self.log_service = log_service
        self.host_list = host_list
        self.author = author
        self.state_machine = ConfigurationStateMachine()
        self.decisions: dict[str, PublishedChange] = {}
        self.pool = urllib3.PoolManager(
            maxsize=_MAX_PARALLEL_STATE_REQUESTS,
            retries=False,
            timeout=_STATE_TIMEOUT_SECONDS,
        )

    def refresh(self) -> None:
        """Read the configuration stream to its end.

        Raises:
            ServiceUnavailable: the log did not respond, or contains neither
                the next record nor a snapshot that covers it.
        """
        for item in read_configuration_stream(
            self.log_service, self.state_machine.offset + 1
        ):
            if isinstance(item, StoredSnapshot):
                self.state_machine.restore(item.content)
            elif item.era == self.state_machine.era:
                self._apply_page(item)
            else:
                self._start_era(item.era)
                return

    def check(
        self,
        parts: PartChanges,
        reason: str,
        seen: int | None = None,
    ) -> Decision:
        """Return the decision on a change without publishing it.

        Args:
            parts: new values by part name, None to remove a part.
            reason: why the change is made.
            seen: the offset at which the author read the parts; by default
                the end of the log. A part changed later makes the change stale.
        """
        self.refresh()
        for name in sorted(parts):
            changed_at = self.state_machine.version(name) - 1
            if seen is not None and changed_at > seen:
                detail = f'{name} was changed at offset {changed_at}'
                return Decision(Outcome.STALE, f'{detail}, after {seen}')
        preview = ConfigurationStateMachine()
        preview.restore(self.state_machine.snapshot())
        content = self._change_record(parts, reason)
        return preview.apply_log_entry(
            self.state_machine.offset + 1, time.time(), content
        )

    def publish(
        self,
        parts: PartChanges,
        reason: str,
        seen: int | None = None,
    ) -> PublishedChange:
        """Publish a change and read the decision back from the log.

        An append without a response is repeated with the same change id, which
        is applied only once. The arguments are those of ``check``.

        Raises:
            ConfigurationInvalid: the change would be rejected; nothing was
                published.
            ServiceUnavailable: the log did not respond; the change may be in
                the log.
        """
        decision = self.check(parts, reason, seen)
        if decision.outcome is not Outcome.ACCEPTED:
            raise ConfigurationInvalid(decision.detail)
        content = self._change_record(parts, reason)
        change = content['change']
        for _ in range(_APPEND_ATTEMPTS):
            if self._append_and_read_back(content):
                return self.decisions[change]
            time.sleep(_RETRY_DELAY_SECONDS)
        raise ServiceUnavailable(
            f'log service did not respond; change {change} may be in the log'
        )

    def host_states(self) -> list[HostState]:
        """Return the state of each listed host.

        Raises:
            ServiceUnavailable: the host list did not respond.
        """
        if self.host_list is None:
            raise ServiceUnavailable('no host list is configured')
        hosts = self.host_list.hosts()
        with ThreadPoolExecutor(_MAX_PARALLEL_STATE_REQUESTS) as executor:
            return list(executor.map(self._fetch_host_state, hosts))

    def watch(
        self, offset: int, timeout: float, era: int | None = None
    ) -> Iterator[list[HostState]]:
        """Yield the hosts that have not applied a change, until all have.

        The last list is empty unless ``timeout`` seconds have passed. The offset
        is of the era of the log, by default the latest that a host has read.
        """
        deadline = time.monotonic() + timeout
        while True:
            states = self.host_states()
            latest = max((state.era for state in states), default=0)
            position = Position(latest if era is None else era, offset)
            outdated = [
                state for state in states if not state.has_applied(position)
            ]
            yield outdated
            if not outdated or time.monotonic() > deadline:
                return
            time.sleep(_RETRY_DELAY_SECONDS)

    def dump(self, address: str) -> Any:
        """Return the state dump of the process at ``address`` (``ip:port``).

        Raises:
            ServiceUnavailable: no response, or an invalid one.
        """
        try:
            response = self.pool.request('GET', f'http://{address}/state')
            return msgspec.json.decode(response.data)
        except (urllib3.exceptions.HTTPError, msgspec.MsgspecError) as error:
            raise ServiceUnavailable(
                f'{address}: no valid state dump: {error}'
            ) from error

    def _fetch_host_state(self, host: ListedHost) -> HostState:
        try:
            return HostState(host, self.dump(host.address))
        except ServiceUnavailable:
            return HostState(host, None)

    def _append_and_read_back(self, content: dict[str, Any]) -> bool:
        try:
            self.log_service.append(CONFIGURATION_STREAM, content)
            self.refresh()
        except ServiceUnavailable:
            return False
        return content['change'] in self.decisions

    def _change_record(self, parts: PartChanges, reason: str) -> dict[str, Any]:
        return {
            'change': uuid.uuid4().hex,
            'author': self.author,
            'reason': reason,
            'parts': dict(parts),
            'against': {
                name: self.state_machine.version(name) for name in parts
            },
            'seen': self.state_machine.offset,
        }

    def _start_era(self, era: int) -> None:
        """Read the log anew after it has come back from an older copy.

        Raises:
            ServiceUnavailable: the response is of an earlier era.
        """
        if era < self.state_machine.era:
            raise ServiceUnavailable(
                f'log service: response of era {era} after a later one'
            )
        self.state_machine = ConfigurationStateMachine()
        self.state_machine.era = era
        self.refresh()

    def _apply_page(self, page: LogPage) -> None:
        if page.first > self.state_machine.offset + 1:
            raise ServiceUnavailable(
                f'the log begins at offset {page.first} and has no snapshot'
                ' of the records before; an entry will append one',
            )
        for entry in page.records:
            decision = self.state_machine.apply_log_entry(
                entry.offset,
                entry.appended_at,
                entry.content,
            )
            if isinstance(entry.content, dict):
                change = str(entry.content.get('change'))
                published = PublishedChange(entry.offset, decision, page.era)
                self.decisions.setdefault(change, published)
