"""The agent: the process through which all requests reach one upstream."""

import dataclasses
import logging
import threading
import time
import uuid
from typing import Annotated, Any, cast

import msgspec
import pykka

from .attempts import (
    AttemptsActor,
    CountRemaining,
    Drain,
    DumpState,
    GetLoad,
    MessageReceived,
    PeerDisconnected,
    SealKeys,
    Tick,
)
from .configuration_distribution import (
    ANNOUNCE,
    ASK_STATE,
    ConfigurationActor,
    LogReader,
    PeerMessage,
)
from .crash_detection import poll_load
from .exceptions import ServiceUnavailable
from .key_handover import KeyHandover
from .links import EntryConnection, LinkServer
from .log_service import LogService
from .messages import (
    Announce,
    Hello,
    Load,
    LoadReport,
    Message,
    Pull,
    Snapshot,
    Welcome,
)
from .metrics import Metrics
from .programs import run_daemon, run_periodically
from .response_buffering import BufferLimits
from .settings import Address
from .upstream_client import UpstreamClient

__all__ = ('Agent', 'AgentSettings', 'main')

log = logging.getLogger(__name__)

_TICK_INTERVAL_SECONDS = 0.1
# Changes are announced immediately. The periodic announcement recovers lost
# ones and renews the time at which the configuration was last confirmed.
_ANNOUNCE_INTERVAL_SECONDS = 10.0
_LOAD_POLL_INTERVAL_SECONDS = 0.5
# Replies carry the load as well, so an unchanged load is rarely worth a report:
# with 128 links, a report at each poll would cost an entry 19 KB/s.
_LOAD_REPORT_INTERVAL_SECONDS = 5.0
_LOAD_CHANGE_SHARE = 0.25
_DRAIN_GRACE_SECONDS = 1.0
# Far below the retention time of a log that keeps records for a day.
_RENEW_INTERVAL_SECONDS = 3600.0


@dataclasses.dataclass(frozen=True)
class AgentSettings:
    """Section ``[agent]``; times in seconds, sizes in bytes.

    ``answer_bytes``, ``client_bytes`` and ``process_bytes`` limit the bytes
    buffered for slow readers: for one response, for one client and for all. At
    a limit the agent stops reading the buffered responses, and the upstream
    holds the rest until their readers catch up.
    """

    name: str
    availability_zone: str
    listen: Address
    upstream: Address
    log_service: Address
    threads: Annotated[int, msgspec.Meta(ge=1, le=1024)] = 64
    drain_timeout: Annotated[float, msgspec.Meta(ge=0, le=3600)] = 300
    answer_bytes: Annotated[int, msgspec.Meta(ge=1, le=2**30)] = 2**18
    client_bytes: Annotated[int, msgspec.Meta(ge=1, le=2**30)] = 2**21
    process_bytes: Annotated[int, msgspec.Meta(ge=1, le=2**30)] = 2**23
    statsd: Address = Address('127.0.0.1', 0)
    log_level: str = 'INFO'


class Agent:
    """Owns the threads and actors of one agent process."""

    def __init__(self, settings: AgentSettings) -> None:
        """Create all parts; ``run`` starts and stops them."""
        self.settings = settings
        self.stop_requested = threading.Event()
        self.finished = threading.Event()
        self.incarnation = uuid.uuid4().hex
        self.metrics = Metrics(settings.statsd, f'agent.{settings.name}')
        self.last_reported_load = Load()
        self.last_report_at = 0.0
        self.attempts_actor = AttemptsActor.start(
            settings.name,
            str(settings.upstream),
            settings.threads,
            BufferLimits(
                settings.answer_bytes,
                settings.client_bytes,
                settings.process_bytes,
            ),
        )
        self.upstream_client = UpstreamClient(
            str(settings.upstream), connections=1
        )
        self.link_server = LinkServer(
            settings.listen,
            self._welcome,
            self._handle_message,
            lambda peer: self.attempts_actor.tell(PeerDisconnected(peer)),
            self._dump_state,
        )
        self.configuration = ConfigurationActor.start(
            self.attempts_actor.tell,
            self.link_server.broadcast,
        )
        log_service = LogService(str(settings.log_service))
        self.log_reader = LogReader(
            log_service,
            self.configuration,
            lambda: not self.link_server.connections,
        )
        self.handover = KeyHandover(
            log_service, settings.name, self.incarnation
        )

    def run(self) -> None:
        """Serve until ``stop`` is called, then drain."""
        self.link_server.start()
        self.log_reader.start()
        run_periodically(_TICK_INTERVAL_SECONDS, self._tick, self.finished)
        run_periodically(
            _LOAD_POLL_INTERVAL_SECONDS, self._poll_load, self.finished
        )
        run_periodically(
            _ANNOUNCE_INTERVAL_SECONDS, self._announce, self.finished
        )
        threading.Thread(
            target=self._open_keys,
            args=(time.time(),),
            daemon=True,
        ).start()
        log.info('agent listening for entries on %s', self.settings.listen)
        self.stop_requested.wait()
        self._drain()

    def stop(self, *_unused: Any) -> None:
        """Make ``run`` drain and return; used as a signal handler."""
        self.stop_requested.set()

    def _welcome(self) -> Welcome:
        return Welcome(
            self.settings.name,
            self.incarnation,
            self._load(),
        )

    def _handle_message(self, peer: EntryConnection, message: Message) -> None:
        if isinstance(message, Announce | Hello | Pull | Snapshot):
            self.configuration.tell(PeerMessage(message, peer.send))
        if not isinstance(message, Announce | Pull | Snapshot):
            self.attempts_actor.tell(MessageReceived(peer, message))

    def _dump_state(self) -> Any:
        try:
            attempts: Any = self.attempts_actor.ask(DumpState(), timeout=2)
            configuration: Any = self.configuration.ask(ASK_STATE, timeout=2)
        except pykka.Timeout as error:
            raise ServiceUnavailable('the agent is too busy') from error
        # The offset of the attempts actor is the one in force; it overrides.
        return {**configuration, **attempts}

    def _tick(self) -> None:
        self.attempts_actor.tell(Tick())

    def _announce(self) -> None:
        self.configuration.tell(ANNOUNCE)

    def _poll_load(self) -> None:
        poll_load(self.upstream_client, self.attempts_actor.tell)
        load = self._load()
        self.metrics.gauge('running', load.running)
        self.metrics.gauge('waiting', load.waiting)
        self.metrics.gauge('limit', load.limit)
        now = time.monotonic()
        overdue = now - self.last_report_at >= _LOAD_REPORT_INTERVAL_SECONDS
        if overdue or _is_significant_change(self.last_reported_load, load):
            self.last_reported_load = load
            self.last_report_at = now
            self.link_server.broadcast(LoadReport(load))

    def _load(self) -> Load:
        return cast(Load, self.attempts_actor.ask(GetLoad()))

    def _open_keys(self, listening_since: float) -> None:
        opened = self.handover.register(listening_since, self.stop_requested)
        if opened is not None:
            self.attempts_actor.tell(opened)
            run_periodically(
                _RENEW_INTERVAL_SECONDS,
                self.handover.renew_registration,
                self.stop_requested,
            )

    def _drain(self) -> None:
        self.attempts_actor.tell(Drain())
        self.link_server.broadcast(LoadReport(self._load()))
        deadline = time.monotonic() + self.settings.drain_timeout
        while (
            self.attempts_actor.ask(CountRemaining())
            and time.monotonic() < deadline
        ):
            time.sleep(_TICK_INTERVAL_SECONDS)
        # Requests that arrive later must not change the rows handed over.
        sealed: Any = self.attempts_actor.ask(SealKeys())
        if not sealed.attempts:
            self.handover.hand_over(sealed.rows, sealed.floor, time.time())
        # Leave time for the last replies to reach the entries.
        time.sleep(_DRAIN_GRACE_SECONDS)
        self.finished.set()
        self.link_server.stop()
        self.log_reader.stop()
        pykka.ActorRegistry.stop_all(timeout=2)
        log.info('agent stopped')


def _is_significant_change(before: Load, after: Load) -> bool:
    """Return whether a load change should be reported before the interval."""
    if before.accepting != after.accepting:
        return True
    step = max(before.limit, 1) * _LOAD_CHANGE_SHARE
    if abs(after.limit - before.limit) >= step:
        return True
    occupied_before = before.running + before.waiting
    occupied_after = after.running + after.waiting
    return abs(occupied_after - occupied_before) >= max(step, 1)


def main() -> None:
    """Run the agent from the command line."""
    run_daemon('agent', AgentSettings, Agent)


if __name__ == '__main__':
    main()
