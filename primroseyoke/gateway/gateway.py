"""The gateway: one process of the load balancer in front of upstreams."""

import asyncio
import contextlib
import dataclasses
import logging
import random
import signal
import time
from collections.abc import Callable, Coroutine
from typing import Any

from ..exceptions import ServiceUnavailable, SettingsInvalid
from ..settings import Address
from .authorization import Authorizer
from .balancer import Balancer
from .budgets import SendBudget
from .connection_pool import ChannelPool
from .expert_rebalancing import ExpertRebalancer
from .groups import GroupDirectory
from .knowledge import Knowledge
from .listeners import CallerListener
from .admin import Pages
from .peers import PeerReports
from .platforms import Platform
from .proxy import Relay
from .settings import GatewaySettings
from .zones import ZoneProber

__all__ = ('Gateway',)

log = logging.getLogger(__name__)

# The balancer in front notices within two failed checks, a second apart, that
# a gateway is leaving; new connections still come until then. In seconds.
_NOTICE = 2.6
# The last moment to leave before SIGKILL, in seconds.
_EXIT_MARGIN = 0.25
# A stream takes this long at most, as a rule, in seconds: later than this
# before the exit none is begun.
_STREAM_TIME = 4.5
# How often kept connections are checked, in seconds.
_SWEEP = 1.0
_BACKLOG = 1024
# A failure that comes back at once must not fill the log, in seconds.
_RESTART_PAUSE = 1.0

Work = Callable[[], Coroutine[Any, Any, None]]


async def keep_running(work: Work) -> None:
    """Run background work to its end; start it again if it fails."""
    while True:
        try:
            await work()
        except Exception:
            log.exception('background work failed; it starts again')
            await asyncio.sleep(_RESTART_PAUSE)
        else:
            return


class Gateway:
    """Owns the sockets and the parts of one process."""

    def __init__(self, settings: GatewaySettings, platform: Platform) -> None:
        """Put the parts together."""
        self.settings = settings
        self.platform = platform
        self.generator = random.Random()
        self.knowledge = Knowledge()
        self.balancer = Balancer(
            self.knowledge.fleet,
            settings.availability_zone,
            self.generator,
            settings.region_of,
        )
        self.pool = ChannelPool(platform.codec)
        self.budget = SendBudget(
            settings.repeat_ratio,
            settings.repeat_slack,
            settings.repeat_window,
        )
        self.relay = Relay(
            Authorizer(self.knowledge, self.generator),
            self.balancer,
            self.pool,
            self.budget,
        )
        self.peers = PeerReports(
            settings.host,
            settings.address,
            settings.peer_ports[0] if settings.peer_ports else 0,
        )
        self.peers.balancer = self.balancer
        self.peers.on_news = self.relay.call_waiting
        self.balancer.on_begin = self.peers.begun.set
        self.director = ExpertRebalancer(
            settings.host,
            platform.engines,
            self.knowledge,
            lambda: self.ready and self.peers.is_first,
            self.balancer.usage.total,
            self.balancer.groups,
        )
        self.callers = CallerListener(
            platform.codec,
            self.relay.handle,
            lambda: self.knowledge.limits,
        )
        self.pages = CallerListener(
            platform.codec,
            Pages(self).handle,
            lambda: self.knowledge.limits,
        )
        self.servers: list[asyncio.Server] = []
        self.stopping = asyncio.Event()
        self.tasks: set[asyncio.Task[None]] = set()

    @property
    def ready(self) -> bool:
        """Tell whether callers should be sent here."""
        known = self.knowledge.catalogue is not None
        return known and not self.stopping.is_set()

    async def run(self) -> None:
        """Serve until SIGTERM, then drain."""
        self._handle_signals()
        log.info('started', extra={'zone': self.settings.availability_zone})
        for address, listener in self._listeners():
            await self._listen(address, listener)
        await self._open_peers()
        for work in self._background():
            self._start(work)
        await self.stopping.wait()
        await self._drain()
        self.peers.leave()
        log.info('stopped', extra={'unfinished': self.callers.busy})
        await self.close()

    def reload(self) -> None:
        """Read the settings again; keep the present ones if they are wrong."""
        try:
            settings = self.platform.read_settings()
        except SettingsInvalid as error:
            log.error('settings not reloaded', extra={'reason': str(error)})
            return
        changed = [
            field.name
            for field in dataclasses.fields(settings)
            if getattr(settings, field.name)
            != getattr(self.settings, field.name)
        ]
        self.settings = settings
        self.platform.use(settings)
        self.budget.ratio = settings.repeat_ratio
        self.budget.slack = settings.repeat_slack
        self.budget.window = settings.repeat_window
        self.peers.introduce(settings.seeds)
        log.info('settings reloaded', extra={'changed': changed})

    async def close(self) -> None:
        """End all tasks and connections at once."""
        for server in self.servers:
            server.close()
        tasks = [*self.tasks, *self.callers.tasks, *self.pages.tasks]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.pool.close_idle(frozenset())

    def _handle_signals(self) -> None:
        loop = asyncio.get_running_loop()
        for signum in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signum, self.stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload)

    def _listeners(self) -> list[tuple[Address, CallerListener]]:
        listeners = [
            (self.settings.callers, self.callers),
            (self.settings.readiness, self.pages),
        ]
        if self.settings.metrics is not None:
            listeners.append((self.settings.metrics, self.pages))
        return listeners

    def _background(self) -> list[Work]:
        followers = self.platform.followers(
            self.knowledge,
            self._upstreams_changed,
            self.generator,
        )
        return [
            *(follower.run for follower in followers),
            self._register,
            self._sweep,
            ZoneProber(
                self.knowledge.fleet,
                self.balancer.health,
                self.generator,
            ).run,
            self.director.run,
            GroupDirectory(
                self.platform.engines,
                self.knowledge,
                self.balancer.groups,
            ).run,
        ]

    async def _listen(
        self,
        address: Address,
        listener: CallerListener,
    ) -> None:
        server = await asyncio.get_running_loop().create_server(
            listener.accept,
            address.host,
            address.port,
            backlog=_BACKLOG,
        )
        self.servers.append(server)

    async def _open_peers(self) -> None:
        if not self.settings.peer_ports:
            return
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self.peers,
            local_addr=(self.settings.address, self.settings.peer_ports[0]),
        )
        self.peers.introduce(self.settings.seeds)
        self._start(self.peers.run)

    def _start(self, work: Work) -> None:
        task = asyncio.get_running_loop().create_task(keep_running(work))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _upstreams_changed(self) -> None:
        self.balancer.prune()
        self.pool.close_idle(frozenset(self.knowledge.fleet.upstreams))

    async def _register(self) -> None:
        while True:
            try:
                self.peers.introduce(await self.platform.register())
                return
            except ServiceUnavailable as error:
                log.warning('not registered', extra={'reason': str(error)})
                await asyncio.sleep(_SWEEP)

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(_SWEEP)
            self.knowledge.fleet.expire(time.monotonic())
            self.pool.close_idle(frozenset(self.knowledge.fleet.upstreams))
            self.balancer.hosts = self.peers.hosts
            self.budget.hosts = self.peers.hosts

    async def _drain(self) -> None:
        """Finish the requests in progress and those that still arrive."""
        loop = asyncio.get_running_loop()
        log.info('draining', extra={'requests': self.callers.busy})
        started = loop.time()
        self.callers.draining = True
        self.relay.authorizer.last_stream_at = (
            time.monotonic() + self.settings.grace - _STREAM_TIME
        )
        self.peers.drain()
        with contextlib.suppress(ServiceUnavailable):
            await self.platform.unregister()
        await asyncio.sleep(max(started + _NOTICE - loop.time(), 0))
        self.callers.close_idle()
        deadline = started + self.settings.grace - _EXIT_MARGIN
        while self.callers.busy and loop.time() < deadline:
            await asyncio.sleep(0.05)
        await self.director.wait_for_changes()
