"""Calls to the platform's API that one host makes for all."""

import asyncio
import logging
from collections.abc import Callable, Coroutine
from typing import Any, Protocol

from .clocks import boot_time
from .duty_lease import DutyLease
from .peers import PeerReporter
from .platforms import Platform, PlatformApi
from .settings import GatewaySettings
from .token_bucket import TokenBucket

__all__ = ('Duties', 'Duty', 'DutyRunner')

log = logging.getLogger(__name__)

_INTERVAL_SECONDS = 0.25


class Duty(Protocol):
    """Work of the holder of the duty lease."""

    async def perform(self) -> None:
        """Do what is due, with a few calls at most."""


class DutyRunner:
    """Performs the duties, in their order, while the lease is held.

    Attributes:
        duties: the duties; earlier ones take their calls from ``bucket`` first.
        bucket: limits the calls of all duties together.
    """

    def __init__(
        self,
        lease: DutyLease,
        bucket: TokenBucket,
        clock: Callable[[], float] = boot_time,
    ) -> None:
        """Perform duties under ``lease``; ``clock`` returns seconds."""
        self.lease = lease
        self.bucket = bucket
        self.clock = clock
        self.duties: list[Duty] = []
        self.last_number: int | None = None

    def add(self, duty: Duty) -> None:
        """Add a duty, to be performed after those added before."""
        self.duties.append(duty)

    async def run(self) -> None:
        """Perform the duties until cancelled."""
        while True:
            await self.perform_all()
            await asyncio.sleep(_INTERVAL_SECONDS)

    async def perform_all(self) -> None:
        """Perform each duty once if the lease is held."""
        for duty in self.duties:
            number = self.lease.held()
            if number is None:
                return
            if number != self.last_number:
                self.last_number = number
                # The holder before may have made a call just now.
                self.bucket.empty(self.clock())
            try:
                await duty.perform()
            except Exception:
                log.exception(
                    'duty failed; it is performed again',
                    extra={'duty': type(duty).__name__},
                )


class Duties:
    """The duties of one gateway, with the lease and the API that they share.

    Attributes:
        lease, api, bucket, runner: None if the platform asks for no duty that
            is known; no call to the store is made then.
        tasks: background tasks that duties add.
        on_exit: called when this host stops.
        states: state of each duty for operators, by name.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        platform: Platform,
        reporter: PeerReporter,
    ) -> None:
        """Take part in the lease if the settings name duties."""
        self.lease: DutyLease | None = None
        self.api: PlatformApi | None = None
        self.bucket: TokenBucket | None = None
        self.runner: DutyRunner | None = None
        self.tasks: list[Callable[[], Coroutine[Any, Any, None]]] = []
        self.on_exit: list[Callable[[], None]] = []
        self.states: dict[str, Callable[[], Any]] = {}
        for name in settings.unknown_duties:
            log.warning('unknown duty ignored', extra={'duty': name})
        if settings.duties is None:
            return
        lease = DutyLease(
            platform.duty_topic(),
            settings.host,
            settings.duties.lease_duration,
            lambda: reporter.lower_host_count,
        )
        self.lease = lease
        self.api = platform.duty_api(lease.held)
        self.bucket = TokenBucket(settings.duties.calls_per_second)
        self.runner = DutyRunner(lease, self.bucket)
        reporter.held_lease = lease.held
        reporter.on_lease = lease.hear_holder
        # Other hosts learn of a new holder at once.
        lease.on_change = reporter.send_heartbeat

    def add(self, duty: Duty) -> None:
        """Add a duty, to be performed after those added before."""
        if self.runner is not None:
            self.runner.add(duty)

    def background_tasks(
        self,
    ) -> list[Callable[[], Coroutine[Any, Any, None]]]:
        """Return the tasks to run, none if there are no duties."""
        if self.lease is None or self.runner is None:
            return []
        return [self.lease.run, self.runner.run, *self.tasks]

    def drain(self) -> None:
        """Stop the duties and release the lease."""
        if self.lease is not None:
            self.lease.drain()

    def announce_exit(self) -> None:
        """Tell other hosts what they lose when this one stops."""
        for announce in self.on_exit:
            announce()

    def state(self) -> dict[str, Any] | None:
        """Return the state for operators, None if there are no duties."""
        if self.lease is None or self.api is None:
            return None
        calls = {
            f'{call} {result}': count
            for (call, result), count in sorted(self.api.call_counts.items())
        }
        return {
            'lease': self.lease.state(),
            'calls': calls,
            **{name: describe() for name, describe in self.states.items()},
        }
