"""The entry: accepts caller requests, routes them and relays responses."""

import dataclasses
import logging
import threading
import time
from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import Annotated, Any

import msgspec
import pykka
from result import Err

from . import __version__
from .caller_requests import (
    KEYS_PREFIX,
    issue_key_response,
    parse_request,
    problem_response,
)
from .concurrency import ClientConcurrencyLimiter
from .configuration import Configuration
from .configuration_distribution import (
    ANNOUNCE,
    ConfigurationActor,
    ConfigurationChanged,
    LogReader,
    PeerMessage,
    find_initial_peers,
)
from .dispatch import Dispatcher, Response
from .exceptions import RequestFailed, RequestInvalid
from .http_server import make_caller_server, start_listening
from .links import Link, LinkPool
from .log_service import LogService
from .messages import (
    Announce,
    Hello,
    Message,
    Pull,
    Snapshot,
    Suspects,
    Welcome,
)
from .metrics import Metrics
from .programs import run_daemon, run_periodically
from .routing import choose_links
from .routing_actor import (
    AgentLinked,
    AgentUnlinked,
    LoadReported,
    RoutingActor,
)
from .settings import Address
from .state_dumps import entry_state

__all__ = ('Entry', 'EntrySettings', 'ResponseBody', 'main')

log = logging.getLogger(__name__)

# Changes are announced immediately. The periodic announcement recovers lost
# ones and renews the time at which the configuration was last confirmed.
_ANNOUNCE_INTERVAL_SECONDS = 10.0
# How often an entry without a configuration looks for agents to get it from.
_PEER_DISCOVERY_INTERVAL_SECONDS = 2.0
READY_PATH = '/ready'


@dataclasses.dataclass(frozen=True)
class EntrySettings:
    """Section ``[entry]``; times in seconds.

    ``threads`` limits the requests in progress, including those of slow
    readers. A caller that reads nothing for ``reader_timeout`` is disconnected.
    """

    name: str
    availability_zone: str
    listen: Address
    admin: Address
    log_service: Address
    threads: Annotated[int, msgspec.Meta(ge=1, le=2048)] = 64
    links_per_service: Annotated[int, msgspec.Meta(ge=1, le=1024)] = 24
    reader_timeout: Annotated[int, msgspec.Meta(ge=1, le=3600)] = 120
    balancer_delay: Annotated[float, msgspec.Meta(ge=0, le=600)] = 5
    drain_timeout: Annotated[float, msgspec.Meta(ge=0, le=3600)] = 300
    statsd: Address = Address('127.0.0.1', 0)
    host_list: Address = Address('127.0.0.1', 0)
    log_level: str = 'INFO'


class Entry:
    """Owns the threads and actors of one entry process."""

    def __init__(self, settings: EntrySettings) -> None:
        """Create all parts; ``run`` starts and stops them."""
        self.settings = settings
        self.stop_requested = threading.Event()
        self.finished = threading.Event()
        self.metrics = Metrics(settings.statsd, f'entry.{settings.name}')
        self.routing = RoutingActor.start(settings.availability_zone)
        self.link_pool = LinkPool(
            Hello(settings.name, settings.availability_zone, __version__),
            self._handle_message,
            lambda link: self.routing.tell(AgentUnlinked(link.upstream)),
        )
        self.dispatcher = Dispatcher(
            self.link_pool,
            self.routing,
            ClientConcurrencyLimiter(settings.threads),
        )
        self.configuration = ConfigurationActor.start(
            self._apply_configuration,
            self.link_pool.broadcast,
        )
        self.log_reader = LogReader(
            LogService(str(settings.log_service)),
            self.configuration,
            lambda: True,
            writes_snapshots=True,
        )
        self.host_list = settings.host_list
        self.request_server = make_caller_server(
            settings.listen,
            self._handle_request,
            settings.threads,
            settings.reader_timeout,
        )
        self.admin_server = make_caller_server(
            settings.admin,
            self._handle_admin,
            2,
            settings.reader_timeout,
        )

    def run(self) -> None:
        """Serve until ``stop`` is called, then drain."""
        self.link_pool.event_loop.start()
        self.log_reader.start()
        run_periodically(
            _ANNOUNCE_INTERVAL_SECONDS, self._announce, self.finished
        )
        run_periodically(
            _PEER_DISCOVERY_INTERVAL_SECONDS,
            self._discover_agents,
            self.finished,
        )
        for server in (self.request_server, self.admin_server):
            start_listening(server)
            threading.Thread(target=server.serve, daemon=True).start()
        log.info(
            'entry listening for caller requests on %s', self.settings.listen
        )
        self.stop_requested.wait()
        self._drain()

    def stop(self, *_unused: Any) -> None:
        """Make ``run`` drain and return; used as a signal handler."""
        self.stop_requested.set()

    def _drain(self) -> None:
        # The load balancer in front keeps sending connections until its health
        # check has seen that this entry is not ready.
        time.sleep(self.settings.balancer_delay)
        self.request_server.shutdown_timeout = self.settings.drain_timeout
        self.request_server.stop()
        self.finished.set()
        self.log_reader.stop()
        self.link_pool.stop()
        self.admin_server.stop()
        pykka.ActorRegistry.stop_all(timeout=2)
        log.info('entry stopped')

    def _announce(self) -> None:
        self.configuration.tell(ANNOUNCE)

    def _discover_agents(self) -> None:
        if self.dispatcher.configuration is None:
            # On the event loop thread, so that a configuration that arrives
            # meanwhile sets its links after these.
            self.link_pool.event_loop.call(
                self._link_discovered_agents, find_initial_peers(self.host_list)
            )

    def _link_discovered_agents(self, addresses: Mapping[str, str]) -> None:
        if self.dispatcher.configuration is None:
            self.link_pool.set_agents(addresses)

    def _apply_configuration(self, changed: ConfigurationChanged) -> None:
        self.dispatcher.configuration = changed.configuration
        self.routing.tell(changed)
        self.link_pool.set_agents(self._link_addresses(changed.configuration))

    def _link_addresses(self, configuration: Configuration) -> dict[str, str]:
        return choose_links(
            configuration,
            self.settings.name,
            self.settings.availability_zone,
            self.settings.links_per_service,
        )

    def _handle_message(self, link: Link, message: Message) -> None:
        if isinstance(message, Announce | Pull | Snapshot):
            self.configuration.tell(PeerMessage(message, link.send))
            return
        if isinstance(message, Suspects):
            self._merge_suspects(message)
            return
        if isinstance(message, Welcome):
            # The agent needs the crash evidence before the first request.
            evidence = self.dispatcher.suspects.snapshot(time.monotonic())
            if evidence:
                link.send(Suspects(evidence))
            self.routing.tell(AgentLinked(link.upstream, message.load))
            self.configuration.tell(PeerMessage(message, link.send))
            return
        load = getattr(message, 'load', None)
        if load is not None:
            self.routing.tell(LoadReported(link.upstream, load))

    def _merge_suspects(self, message: Suspects) -> None:
        """Merge crash evidence and forward what is new.

        Runs on the event loop thread of the links, the only one that changes
        the table.
        """
        changed = self.dispatcher.suspects.merge(
            message.evidence, time.monotonic()
        )
        if changed:
            self.link_pool.broadcast(Suspects(changed))

    def _handle_request(
        self,
        environ: Mapping[str, Any],
        start_response: Callable[..., Any],
    ) -> Iterable[bytes]:
        if environ['PATH_INFO'] == READY_PATH:
            return self._handle_ready(start_response)
        started_at = time.monotonic()
        try:
            response = self._execute(environ, start_response)
        except (RequestInvalid, RequestFailed) as error:
            self.metrics.count(f'refused.{error.status}')
            return problem_response(environ, start_response, error)
        self.metrics.time('head', time.monotonic() - started_at)
        return response

    def _execute(
        self,
        environ: Mapping[str, Any],
        start_response: Callable[..., Any],
    ) -> Iterable[bytes]:
        if environ['PATH_INFO'].startswith(KEYS_PREFIX):
            return issue_key_response(
                environ, start_response, self.dispatcher.issue_key
            )
        outcome = self.dispatcher.execute(parse_request(environ))
        if isinstance(outcome, Err):
            raise outcome.err_value
        response = outcome.ok_value
        headers = list(response.headers)
        if response.replayed:
            headers.append(('Idempotent-Replayed', 'true'))
        body = ResponseBody(response)
        try:
            start_response(f'{response.status} Status', headers)
        except Exception:
            body.close()
            raise
        return body

    def _handle_ready(
        self,
        start_response: Callable[..., Any],
    ) -> Iterable[bytes]:
        ready = not self.stop_requested.is_set()
        ready = ready and self.dispatcher.configuration is not None
        status = '200 OK' if ready else '503 Service Unavailable'
        start_response(status, [('Content-Length', '0')])
        return []

    def _handle_admin(
        self,
        environ: Mapping[str, Any],
        start_response: Callable[..., Any],
    ) -> Iterable[bytes]:
        if environ['PATH_INFO'] != '/state':
            start_response('404 Not Found', [('Content-Length', '0')])
            return []
        body = msgspec.json.encode(entry_state(self))
        start_response(
            '200 OK',
            [
                ('Content-Type', 'application/json'),
                ('Content-Length', str(len(body))),
            ],
        )
        return [body]


class ResponseBody:
    """Response body for the HTTP server, which closes it at the end."""

    def __init__(self, response: Response) -> None:
        self.response = response

    def __iter__(self) -> Iterator[bytes]:
        # The server does not close the body if it fails before its first bytes
        # and the caller has disconnected as well.
        try:
            yield from self.response.chunks()
        finally:
            self.close()

    def close(self) -> None:
        self.response.close()


def main() -> None:
    """Run the entry from the command line."""
    run_daemon('entry', EntrySettings, Entry)


if __name__ == '__main__':
    main()
