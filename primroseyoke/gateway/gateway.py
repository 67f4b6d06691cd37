"""The gateway process: listeners, background tasks and graceful shutdown."""

import asyncio
import contextlib
import dataclasses
import logging
import random
import signal
import time

from ..exceptions import ServiceUnavailable, SettingsInvalid
from ..settings import Address
from .admin import AdminEndpoints, PeerEndpoints
from .authorization import Authorizer
from .balancer import Balancer
from .connection_pool import ConnectionPool
from .duty_setup import create_duties
from .evidence_sharing import EvidenceSharing
from .expert_rebalancing import ExpertRebalancer
from .group_sharing import GroupSharing
from .listeners import HttpListener
from .peers import PeerReporter
from .platforms import Platform
from .proxy import Proxy
from .rank_groups import RankGroupPoller
from .retry_budget import RetryBudget
from .routing_state import RoutingState
from .settings import GatewaySettings
from .tasks import TaskFactory, run_with_restarts
from .topic_sharing import TopicSharing
from .zones import ZoneProber

__all__ = ('Gateway',)

log = logging.getLogger(__name__)

# Time for the load balancer in front to stop sending connections to a draining
# gateway: it needs two failed readiness checks, one second apart.
_READINESS_NOTICE_SECONDS = 2.6
# Shutdown completes this long before the expected SIGKILL.
_EXIT_MARGIN_SECONDS = 0.25
# Share of a short grace period within which all requests are still accepted.
_ACCEPTANCE_SHARE = 0.5
# Requests without an answer are answered this long before the exit.
_LAST_ANSWER_SECONDS = 0.15
# Interval at which idle connections and expired upstreams are removed.
_SWEEP_INTERVAL_SECONDS = 1.0
# Interval at which a draining gateway checks for unfinished requests.
_DRAIN_POLL_SECONDS = 0.05
_ACCEPT_BACKLOG_LIMIT = 1024
# Rate at which all hosts together register again after a loss of the store,
# each with two calls. The store serves some hundreds of writes a second.
_REGISTRATIONS_PER_SECOND = 40


class Gateway:
    """Owns the sockets, tasks and components of one gateway process."""

    def __init__(self, settings: GatewaySettings, platform: Platform) -> None:
        """Create and connect the components; no sockets are opened yet."""
        self.settings = settings
        self.platform = platform
        self.generator = random.Random()
        self.routing_state = RoutingState()
        self.balancer = Balancer(
            self.routing_state.registry,
            settings.availability_zone,
            self.generator,
            settings.region_of,
            settings.address,
        )
        self.balancer.costs.enabled = settings.cost_aware
        self.pool = ConnectionPool(platform.codec, settings.response_limits)
        self.proxy = Proxy(
            Authorizer(self.routing_state, self.generator),
            self.balancer,
            self.pool,
            RetryBudget(
                settings.repeat_ratio,
                settings.repeat_slack,
                settings.repeat_window,
            ),
        )
        self.peer_reporter = PeerReporter(
            settings.host,
            settings.address,
            settings.peer_ports[0] if settings.peer_ports else 0,
            settings.availability_zone,
        )
        topic_sharing = TopicSharing(
            self.peer_reporter,
            settings.peer_ports[0] if settings.peer_ports else 0,
            settings.availability_zone,
            settings.max_update_delay,
            self.generator,
        )
        self.peer_reporter.sharing = topic_sharing
        self.evidence_sharing = EvidenceSharing(
            self.proxy.crash_detector, self.peer_reporter, self.generator
        )
        self.peer_reporter.balancer = self.balancer
        self.peer_reporter.on_report = self.proxy.wake_waiting
        self.peer_reporter.backlog = self.proxy.context.backlog
        self.peer_reporter.waiting = self.proxy.context.waiting
        self.balancer.on_acquire = self.peer_reporter.report_requested.set
        self.expert_rebalancer = ExpertRebalancer(
            settings.host,
            platform.engines,
            self.routing_state,
            self._leads_rebalancing,
            self.balancer.in_flight.total,
            self.balancer.groups,
        )
        self.request_listener = HttpListener(
            platform.codec,
            self.proxy.handle,
            lambda: self.routing_state.limits,
            settings.memory_bytes,
        )
        self.proxy.metrics.add_memory(self.request_listener.budget)
        self.admin_listener = HttpListener(
            platform.codec,
            AdminEndpoints(self).handle,
            lambda: self.routing_state.limits,
        )
        self.group_sharing = GroupSharing(
            self.peer_reporter, self.balancer.groups, topic_sharing.port
        )
        self.peer_listener = HttpListener(
            platform.codec,
            PeerEndpoints(topic_sharing, self.group_sharing).handle,
            lambda: self.routing_state.limits,
        )
        self.duties = create_duties(self)
        self.servers: list[asyncio.Server] = []
        self.stopping = asyncio.Event()
        self.tasks: set[asyncio.Task[None]] = set()

    @property
    def ready(self) -> bool:
        """Return whether new connections should be sent to this gateway."""
        configured = self.routing_state.configuration is not None
        return configured and not self.stopping.is_set()

    @property
    def retry_budget(self) -> RetryBudget:
        """Return the budget of retries that the requests share."""
        return self.proxy.context.retry_budget

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then drain and close."""
        self._handle_signals()
        log.info(
            'gateway started', extra={'zone': self.settings.availability_zone}
        )
        for address, listener in self._listeners():
            await self._listen(address, listener)
        await self._open_peer_endpoint()
        for task_factory in self._background_tasks():
            self._start_task(task_factory)
        await self.stopping.wait()
        await self._drain()
        self.duties.announce_exit()
        self.peer_reporter.announce_exit()
        log.info(
            'gateway stopped',
            extra={'unfinished': self.request_listener.requests_in_progress},
        )
        await self.close()

    def reload(self) -> None:
        """Reload the settings; keep the current ones if the file is invalid."""
        try:
            settings = self.platform.read_settings()
        except SettingsInvalid as error:
            log.error(
                'settings not reloaded; keeping the current settings',
                extra={'reason': str(error)},
            )
            return
        changed = [
            field.name
            for field in dataclasses.fields(settings)
            if getattr(settings, field.name)
            != getattr(self.settings, field.name)
        ]
        self.settings = settings
        self.platform.apply_settings(settings)
        self.balancer.costs.enabled = settings.cost_aware
        self.retry_budget.ratio = settings.repeat_ratio
        self.retry_budget.slack = settings.repeat_slack
        self.retry_budget.window = settings.repeat_window
        self.request_listener.budget.resize(settings.memory_bytes)
        self.peer_reporter.add_peers(settings.seeds)
        log.info('settings reloaded', extra={'changed': changed})

    async def close(self) -> None:
        """Cancel all tasks and close all connections immediately."""
        for server in self.servers:
            server.close()
        tasks = [
            *self.tasks,
            *self.request_listener.tasks,
            *self.admin_listener.tasks,
            *self.peer_listener.tasks,
        ]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.pool.close_idle(frozenset())

    def _handle_signals(self) -> None:
        loop = asyncio.get_running_loop()
        for signum in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signum, self.stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload)

    def _listeners(self) -> list[tuple[Address, HttpListener]]:
        listeners = [
            (self.settings.callers, self.request_listener),
            (self.settings.readiness, self.admin_listener),
        ]
        if self.settings.metrics is not None:
            listeners.append((self.settings.metrics, self.admin_listener))
        if self.settings.peer_ports:
            peers = Address(self.settings.address, self.settings.peer_ports[0])
            listeners.append((peers, self.peer_listener))
        return listeners

    def _background_tasks(self) -> list[TaskFactory]:
        topic_consumers = self.platform.topic_consumers(
            self.routing_state,
            self._on_upstreams_changed,
            self.generator,
        )
        sharing = self.peer_reporter.sharing
        if sharing is not None:
            sharing.consumers = topic_consumers
            if self.settings.peer_ports:
                sharing.add_all(topic_consumers)
        return [
            *(consumer.run for consumer in topic_consumers),
            self._register,
            self._sweep,
            ZoneProber(
                self.routing_state.registry,
                self.balancer.health,
                self.generator,
            ).run,
            self.expert_rebalancer.run,
            self.evidence_sharing.run,
            *self.duties.background_tasks(),
            RankGroupPoller(
                self.platform.engines,
                self.routing_state,
                self.balancer.groups,
                self.group_sharing.fetch if self.settings.peer_ports else None,
            ).run,
        ]

    async def _listen(
        self,
        address: Address,
        listener: HttpListener,
    ) -> None:
        server = await asyncio.get_running_loop().create_server(
            listener.create_protocol,
            address.host,
            address.port,
            backlog=_ACCEPT_BACKLOG_LIMIT,
        )
        self.servers.append(server)

    async def _open_peer_endpoint(self) -> None:
        if not self.settings.peer_ports:
            return
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self.peer_reporter,
            local_addr=(self.settings.address, self.settings.peer_ports[0]),
        )
        self.peer_reporter.add_peers(self.settings.seeds)
        self._start_task(self.peer_reporter.run)

    def _start_task(self, task_factory: TaskFactory) -> None:
        task = asyncio.get_running_loop().create_task(
            run_with_restarts(task_factory)
        )
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _on_upstreams_changed(self) -> None:
        self.balancer.prune()
        self._close_unused()

    def _close_unused(self) -> None:
        """Close idle connections, and all to upstreams that have gone."""
        names = frozenset(self.routing_state.registry.upstreams)
        self.pool.close_idle(names)
        self.platform.engines.retain(names)

    async def _register(self) -> None:
        """Register, and again whenever the store may have lost that.

        Hosts that start later learn of this one from the store alone.
        """
        while not self.stopping.is_set():
            try:
                self.peer_reporter.add_all_hosts(await self.platform.register())
            except ServiceUnavailable as error:
                log.warning(
                    'gateway registration failed; retrying',
                    extra={'reason': str(error)},
                )
                await asyncio.sleep(_SWEEP_INTERVAL_SECONDS)
                continue
            self._update_hosts()
            await self.platform.wait_for_lost_registration()
            spread = self.peer_reporter.host_count / _REGISTRATIONS_PER_SECOND
            await asyncio.sleep(self.generator.random() * spread)

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(_SWEEP_INTERVAL_SECONDS)
            self.routing_state.registry.expire(time.monotonic())
            self._close_unused()
            self._refute_false_crashes()
            self._update_hosts()

    def _update_hosts(self) -> None:
        """Share limits with the hosts that are known now."""
        reporter = self.peer_reporter
        self.balancer.limits.sharing.update_hosts(reporter.hosts)
        if reporter.knows_hosts:
            self.retry_budget.host_count = reporter.host_count

    def _leads_rebalancing(self) -> bool:
        has_stalled_group = self.balancer.groups.has_stalled_group
        return self.ready and self.peer_reporter.leads(has_stalled_group)

    def _refute_false_crashes(self) -> None:
        """Drop evidence that the store contradicts, if it is up to date."""
        self.proxy.crash_detector.expire()
        now = time.monotonic()
        expiry = self.settings.upstream_expiry
        reachable_since = self.routing_state.registry.store_recovered_at
        if (
            not self.routing_state.is_stale(now)
            and now - reachable_since > expiry
        ):
            self.proxy.crash_detector.refute_false_crashes(expiry)

    async def _drain(self) -> None:
        """Unregister this gateway and finish the requests in progress.

        Requests are still accepted until the load balancer in front has
        noticed that this gateway is not ready.
        """
        loop = asyncio.get_running_loop()
        log.info(
            'gateway draining',
            extra={'requests': self.request_listener.requests_in_progress},
        )
        started = loop.time()
        self.request_listener.draining = True
        self.duties.drain()
        self._limit_new_requests(time.monotonic())
        self.peer_reporter.announce_drain()
        with contextlib.suppress(ServiceUnavailable):
            await self.platform.unregister()
        await asyncio.sleep(
            max(started + _READINESS_NOTICE_SECONDS - loop.time(), 0)
        )
        self.request_listener.close_idle()
        deadline = started + self.settings.grace - _EXIT_MARGIN_SECONDS
        await self.expert_rebalancer.wait_for_changes(deadline - loop.time())
        await self._finish_requests(deadline)
        # A request may have arrived since; none is accepted from now on.
        for server in self.servers:
            server.close()
        await self._finish_requests(deadline)

    def _limit_new_requests(self, now: float) -> None:
        grace = self.settings.grace
        acceptance = min(_READINESS_NOTICE_SECONDS, grace * _ACCEPTANCE_SHARE)
        time_left = grace - _EXIT_MARGIN_SECONDS - _LAST_ANSWER_SECONDS
        self.proxy.shut_down(now + acceptance, now + time_left)

    async def _finish_requests(self, deadline: float) -> None:
        """Wait until no request is being read or answered, or the deadline."""
        loop = asyncio.get_running_loop()
        while self.request_listener.busy_count and loop.time() < deadline:
            await asyncio.sleep(_DRAIN_POLL_SECONDS)
