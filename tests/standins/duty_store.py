"""In-memory stand-in for the topic of the duty lease, in virtual time."""

import asyncio
import dataclasses

from primroseyoke.exceptions import ServiceUnavailable
from primroseyoke.gateway.duty_lease import DutyLease
from primroseyoke.gateway.topics import (
    AppendConflict,
    KeyedPage,
    KeyedRecord,
    TopicMissing,
)
from primroseyoke.positions import EraTracker, Position

LATENCY_SECONDS = 0.004
TIMEOUT_SECONDS = 0.8


@dataclasses.dataclass
class DutyStore:
    """The log of the lease; ``latency`` in seconds, ``calls`` counts all."""

    era: int = 1
    records: list[bytes] = dataclasses.field(default_factory=list)
    down: bool = False
    latency: float = LATENCY_SECONDS
    calls: int = 0

    def restore(self, lost_count: int) -> None:
        """Come back from an older copy, without the newest records."""
        self.era += 1
        del self.records[len(self.records) - lost_count :]

    def append(self, content: bytes, offset: int) -> int | None:
        """Append at ``offset``; return the end offset if it is another."""
        if len(self.records) != offset:
            return len(self.records)
        self.records.append(content)
        return None


class HostTopic:
    """Access of one host to the store; implements ``ConditionalTopic``.

    Attributes:
        rejected: whether the store rejects this host.
        lost_responses: number of appends to come whose response is lost after
            they were executed.
        late_appends: delays in seconds of appends to come, which are executed
            after their response timed out.
        resumed: cleared while the host is suspended.
    """

    def __init__(self, store: DutyStore) -> None:
        self.store = store
        self.eras = EraTracker('store')
        self.rejected = False
        self.lost_responses = 0
        self.late_appends: list[float] = []
        self.resumed = asyncio.Event()
        self.resumed.set()

    async def read_latest(self) -> KeyedPage:
        await self._reach_store()
        records = list(self.store.records)
        era = self.store.era
        await self._respond(era)
        if not records:
            raise TopicMissing('log-newest: status 404, no such topic')
        newest = KeyedRecord('lease', records[-1], len(records) - 1, era)
        return KeyedPage((newest,), len(records), era)

    async def read(self, offset: int, wait: float) -> KeyedPage:
        raise NotImplementedError

    async def append_at(
        self, key: str, content: bytes, offset: int
    ) -> Position:
        await self._reach_store()
        if self.late_appends:
            asyncio.get_running_loop().call_later(
                self.late_appends.pop(0), self.store.append, content, offset
            )
            await self._time_out()
        end = self.store.append(content, offset)
        era = self.store.era
        if self.lost_responses:
            self.lost_responses -= 1
            await self._time_out()
        await self._respond(era)
        if end is not None:
            raise AppendConflict(end)
        return Position(era, offset)

    async def _reach_store(self) -> None:
        await self.resumed.wait()
        self.store.calls += 1
        await asyncio.sleep(self.store.latency / 2)
        if self.store.down:
            await self._time_out()
        if self.rejected:
            raise ServiceUnavailable('expected status 200, got 503')

    async def _respond(self, era: int) -> None:
        await asyncio.sleep(self.store.latency / 2)
        await self.resumed.wait()
        self.eras.learn(era, asyncio.get_running_loop().time())
        if era < self.eras.era:
            raise ServiceUnavailable('response of an earlier era')

    async def _time_out(self) -> None:
        await asyncio.sleep(TIMEOUT_SECONDS)
        await self.resumed.wait()
        raise ServiceUnavailable('no response')


class DutyHost:
    """A host that takes part in the lease, with its access to the store."""

    def __init__(self, store: DutyStore, name: str, rank: int = 0) -> None:
        self.name = name
        self.place = rank
        self.topic = HostTopic(store)
        self.lease = self.create_lease()
        self.task: asyncio.Task[None] | None = None

    @property
    def is_running(self) -> bool:
        is_started = self.task is not None and not self.task.done()
        return is_started and self.topic.resumed.is_set()

    def start(self) -> None:
        self.task = asyncio.ensure_future(self.lease.run())

    def stop(self) -> None:
        if self.task is not None:
            self.task.cancel()

    def restart(self) -> None:
        """Start a new run of the process, which knows nothing."""
        self.stop()
        self.topic.eras = EraTracker('store')
        self.lease = self.create_lease()
        self.start()

    def create_lease(self) -> DutyLease:
        return DutyLease(
            self.topic,
            self.name,
            3.0,
            lambda: self.place,
            asyncio.get_running_loop().time,
        )


async def exchange_heartbeats(hosts: list[DutyHost]) -> None:
    """Tell all hosts who holds the lease every 0.35 s, until cancelled."""
    while True:
        for sender in hosts:
            number = sender.lease.held()
            if number is None or not sender.is_running:
                continue
            for receiver in hosts:
                if receiver is not sender:
                    receiver.lease.hear_holder(number)
        await asyncio.sleep(0.35)
