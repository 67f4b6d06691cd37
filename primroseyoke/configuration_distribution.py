"""Distribution of the configuration from the log and between peers."""

import dataclasses
import logging
import random
import threading
import time
from collections.abc import Callable
from typing import Any

import pykka

from .configuration import Configuration, ConfigurationStateMachine, Outcome
from .configuration_snapshots import (
    CONFIGURATION_STREAM,
    SnapshotWriter,
    StoredSnapshot,
    compress_state,
    decompress_state,
    read_configuration_stream,
)
from .exceptions import ConfigurationInvalid, ServiceUnavailable
from .host_list import HostList
from .log_service import LogPage, LogService
from .messages import Announce, Hello, Message, Pull, Snapshot, Welcome
from .positions import Position
from .settings import Address

__all__ = (
    'CONFIGURATION_STREAM',
    'ConfigurationActor',
    'ConfigurationChanged',
    'LogReader',
    'PeerMessage',
    'find_initial_peers',
)

log = logging.getLogger(__name__)

#: Question to the actor: its announcement.
ASK_OFFSET = 'ask-offset'
#: Question to the actor: the position of the last record that it has read.
ASK_READ_POSITION = 'ask-read-position'
#: Question to the actor: its state as a ``Snapshot`` message.
ASK_SNAPSHOT = 'ask-snapshot'
#: Question to the actor: its part of a state dump.
ASK_STATE = 'ask-state'
#: Command to the actor: send the announcement to all peers.
ANNOUNCE = 'announce'
# A change must be in effect within 13 s. Half of this is left for hosts that
# get it from peers.
READ_INTERVAL_SECONDS = 2.0
_MAX_READ_INTERVAL_SECONDS = 6.0
_BACK_OFF_FACTOR = 1.5
_JITTER_RATIO = 0.2
# If no snapshot has arrived within this time, the next announcing peer is
# asked.
_PULL_TIMEOUT_SECONDS = 1.0
# More than one, since some of the listed agents may no longer be running.
_INITIAL_PEER_COUNT = 4


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationChanged:
    """Event: the current configuration, or its confirmation time, changed.

    ``confirmed_at`` is the log's time of the last confirmation.
    """

    configuration: Configuration
    confirmed_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class PeerMessage:
    """A configuration message from a peer and a function to reply to it."""

    message: Announce | Hello | Pull | Snapshot | Welcome
    reply: Callable[[Message], None]


class ConfigurationActor(pykka.ThreadingActor):
    """Holds the configuration; notifies a subscriber and peers of changes."""

    def __init__(
        self,
        subscriber: Callable[[ConfigurationChanged], None],
        broadcast: Callable[[Message], None],
    ) -> None:
        """Pass changes to ``subscriber`` and announcements to ``broadcast``."""
        super().__init__()
        self.subscriber = subscriber
        self.broadcast = broadcast
        self.state_machine = ConfigurationStateMachine()
        self.confirmed_at = 0.0
        #: Whether the log no longer retains the record after the own offset.
        self.needs_snapshot = False
        #: State of a later era of the log, while that is being read.
        self.rebuilt: ConfigurationStateMachine | None = None
        # The position of the last pull, and when another pull may be sent.
        self.last_pull = (Position(0, -1), 0.0)
        self.packed_snapshot: Snapshot | None = None

    @property
    def reading(self) -> ConfigurationStateMachine:
        """Return the state that the log is read into.

        It is another one than the state in effect while a log that has lost
        records is read anew.
        """
        return self.rebuilt or self.state_machine

    def on_receive(self, message: Any) -> Any:
        """Handle a message from the log or a peer, a question or a command."""
        if isinstance(message, LogPage):
            return self._apply_page(message)
        if isinstance(message, StoredSnapshot):
            if self.rebuilt is not None and self.rebuilt.era == message.era:
                return self._restore_rebuilt(self.rebuilt, message.content)
            return self._restore(message.content, 0, message.era)
        if isinstance(message, PeerMessage):
            return self._handle_peer_message(message)
        return self._answer_question(message)

    def _answer_question(self, question: Any) -> Any:
        if question == ANNOUNCE:
            return self.broadcast(self._announcement())
        if question == ASK_SNAPSHOT:
            return self._snapshot()
        if question == ASK_STATE:
            return {
                'offset': self.state_machine.offset,
                'era': self.state_machine.era,
                'retained': sorted(self.state_machine.retained),
                'confirmed_at': self.confirmed_at,
                'needs_snapshot': self.needs_snapshot,
            }
        if question == ASK_READ_POSITION:
            return self.reading.position
        return self._announcement()

    def _announcement(self) -> Announce:
        position = self.state_machine.position
        return Announce(position.offset, self.confirmed_at, position.era)

    def _apply_page(self, page: LogPage) -> None:
        if page.era != self.reading.era:
            self._start_era(page.era)
            return
        before = self.reading.offset
        if page.first > before + 1:
            self._wait_for_snapshot(page)
            return
        self.needs_snapshot = False
        for entry in page.records:
            self._apply(entry.offset, entry.appended_at, entry.content)
        is_read = self.reading.offset == page.next - 1
        if self.rebuilt is not None and is_read:
            self._replace_state(self.rebuilt)
            self._update_confirmed_at(page.now)
            self._announce_change()
            return
        # A log that ends at an earlier offset has lost records, so that it does
        # not confirm the configuration.
        if is_read:
            self._update_confirmed_at(page.now)
        if self.rebuilt is None and self.reading.offset > before:
            self._announce_change()

    def _start_era(self, era: int) -> None:
        """Read the log anew, since its offsets are of a later era.

        A page of an earlier era is a late response.
        """
        if era < self.reading.era:
            log.warning(
                'configuration: page of era %d of the log ignored, it is in'
                ' era %d',
                era,
                self.reading.era,
            )
            return
        log.warning(
            'configuration: the log is in era %d and may have lost records;'
            ' reading it anew',
            era,
        )
        self.rebuilt = ConfigurationStateMachine()
        self.rebuilt.era = era

    def _replace_state(self, state_machine: ConfigurationStateMachine) -> None:
        """Take over the state of a later era; keep what the log has lost."""
        state_machine.retain_lost(self.state_machine)
        self.state_machine = state_machine
        self.rebuilt = None
        if state_machine.retained:
            log.warning(
                'configuration: parts that the log has lost stay in effect'
                ' until they are published again: %s',
                ', '.join(sorted(state_machine.retained)),
            )

    def _wait_for_snapshot(self, page: LogPage) -> None:
        if not self.needs_snapshot:
            log.warning(
                'configuration: the log now begins at offset %d, records before'
                ' it were not read; waiting for a snapshot',
                page.first,
            )
        self.needs_snapshot = True

    def _apply(self, offset: int, appended_at: float, content: Any) -> None:
        decision = self.reading.apply_log_entry(offset, appended_at, content)
        if decision.outcome is not Outcome.ACCEPTED:
            log.info(
                'configuration: record at offset %d not applied, it is %s: %s',
                offset,
                decision.outcome.value,
                decision.detail,
            )

    def _handle_peer_message(self, received: PeerMessage) -> None:
        message = received.message
        if isinstance(message, Snapshot):
            self._take_snapshot(message)
        elif isinstance(message, Announce):
            self._handle_announcement(message, received.reply)
        elif not isinstance(message, Pull):
            received.reply(self._announcement())
        elif self.state_machine.position > Position(
            message.era, message.offset
        ):
            received.reply(self._snapshot())

    def _handle_announcement(
        self,
        message: Announce,
        reply: Callable[[Message], None],
    ) -> None:
        announced = Position(message.era, message.offset)
        if announced > self.state_machine.position:
            self._pull(announced, reply)
        elif announced == self.state_machine.position:
            self._update_confirmed_at(message.confirmed_at)

    def _pull(
        self, position: Position, reply: Callable[[Message], None]
    ) -> None:
        """Pull from one peer, not from each that announces the same change."""
        now = time.monotonic()
        pulled, retry_at = self.last_pull
        if position > pulled or now >= retry_at:
            self.last_pull = (position, now + _PULL_TIMEOUT_SECONDS)
            known = self.state_machine.position
            reply(Pull(known.offset, known.era))

    def _take_snapshot(self, message: Snapshot) -> None:
        try:
            state = decompress_state(message.content)
        except ConfigurationInvalid as error:
            log.warning('configuration: snapshot ignored: %s', error)
            return
        self._restore(state, message.confirmed_at, message.era)

    def _restore(self, content: bytes, confirmed_at: float, era: int) -> None:
        try:
            newer = self._restore_era(content, era)
        except ConfigurationInvalid as error:
            log.warning('configuration: snapshot ignored: %s', error)
            return
        if newer:
            self.needs_snapshot = False
            self._update_confirmed_at(confirmed_at)
            self._announce_change()

    def _restore_rebuilt(
        self, rebuilt: ConfigurationStateMachine, content: bytes
    ) -> None:
        """Restore a snapshot whose later records are still to be read."""
        try:
            rebuilt.restore(content)
        except ConfigurationInvalid as error:
            log.warning('configuration: snapshot ignored: %s', error)

    def _restore_era(self, content: bytes, era: int) -> bool:
        """Restore a snapshot of some era; tell whether it is now in effect."""
        if era == self.state_machine.era:
            return self.state_machine.restore(content)
        if era < self.state_machine.era:
            return False
        later = ConfigurationStateMachine()
        later.restore(content)
        later.era = era
        self._replace_state(later)
        return True

    def _snapshot(self) -> Snapshot:
        # Many peers request the same snapshot within a second.
        packed_snapshot = self.packed_snapshot
        if (
            packed_snapshot is None
            or Position(packed_snapshot.era, packed_snapshot.offset)
            != self.state_machine.position
        ):
            position = self.state_machine.position
            content = compress_state(self.state_machine.snapshot())
            packed_snapshot = Snapshot(
                position.offset, 0, content, position.era
            )
            self.packed_snapshot = packed_snapshot
        return dataclasses.replace(
            packed_snapshot, confirmed_at=self.confirmed_at
        )

    def _update_confirmed_at(self, confirmed_at: float) -> None:
        if confirmed_at > self.confirmed_at:
            self.confirmed_at = confirmed_at
            self._notify()

    def _announce_change(self) -> None:
        log.info(
            'configuration: offset %d is now in effect',
            self.state_machine.offset,
        )
        self._notify()
        self.broadcast(self._announcement())

    def _notify(self) -> None:
        current = self.state_machine.current
        if current is not None:
            self.subscriber(ConfigurationChanged(current, self.confirmed_at))


class LogReader:
    """Reads the configuration stream in a separate thread."""

    def __init__(
        self,
        service: LogService,
        actor: pykka.ActorRef[ConfigurationActor],
        is_enabled: Callable[[], bool],
        writes_snapshots: bool = False,
    ) -> None:
        """Read while ``is_enabled()`` is true; pass the pages to ``actor``."""
        self.service = service
        self.actor = actor
        self.is_enabled = is_enabled
        self.stopped = threading.Event()
        self.thread = threading.Thread(
            target=self._run,
            name='log-reader',
            daemon=True,
        )
        self.reachable = False
        self.snapshot_writer: SnapshotWriter | None = None
        if writes_snapshots:
            self.snapshot_writer = SnapshotWriter(service, self._take_snapshot)

    def start(self) -> None:
        """Start the thread."""
        self.thread.start()

    def stop(self) -> None:
        """End the thread after the current read."""
        self.stopped.set()

    def _run(self) -> None:
        interval = READ_INTERVAL_SECONDS
        while not self.stopped.is_set():
            if self.is_enabled():
                interval = self._read(interval)
            pause = interval * random.uniform(
                1 - _JITTER_RATIO, 1 + _JITTER_RATIO
            )  # noqa: S311
            self.stopped.wait(pause)

    def _read(self, interval: float) -> float:
        try:
            self._read_to_end()
        except ServiceUnavailable as error:
            if self.reachable:
                log.warning(
                    'configuration: log not readable, retrying: %s', error
                )
            self.reachable = False
            return min(interval * _BACK_OFF_FACTOR, _MAX_READ_INTERVAL_SECONDS)
        self.reachable = True
        return READ_INTERVAL_SECONDS

    def _read_to_end(self) -> None:
        position: Any = self.actor.ask(ASK_READ_POSITION)
        self._read_from(position)
        after: Any = self.actor.ask(ASK_READ_POSITION)
        if after.era > position.era:
            # The offset was of an earlier era.
            self._read_from(after)

    def _read_from(self, position: Position) -> None:
        for found in read_configuration_stream(
            self.service, position.offset + 1
        ):
            self.actor.tell(found)
            if self.snapshot_writer is not None and isinstance(found, LogPage):
                self.snapshot_writer.write_if_due(found)

    def _take_snapshot(self) -> tuple[int, bytes]:
        snapshot: Any = self.actor.ask(ASK_SNAPSHOT)
        return snapshot.offset, snapshot.content


def find_initial_peers(host_list: Address) -> dict[str, str]:
    """Return the addresses of some agents of the host list, by upstream.

    While the log is down, a new entry gets its configuration from them. The
    result is empty without a host list (port 0) or if it cannot be read.
    """
    if not host_list.port:
        return {}
    try:
        hosts = HostList(str(host_list)).hosts()
    except ServiceUnavailable as error:
        log.warning('host list not readable, no initial peers: %s', error)
        return {}
    agents = [host for host in hosts if host.role == 'agent']
    chosen = random.sample(agents, min(_INITIAL_PEER_COUNT, len(agents)))
    return {host.name: host.address for host in chosen}
