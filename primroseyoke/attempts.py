"""Attempts at one upstream: the actor that admits, runs and answers them."""

import dataclasses
import functools
import time
from collections.abc import Mapping
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import pykka

from .admission import Admission, Limits, Ticket, UpstreamLoad
from .answers import ByteLimits
from .configuration import Configuration, Defaults
from .distribution import ConfigurationChanged
from .exceptions import RequestFailed
from .executions import (
    AnswerMemory,
    Execution,
    ExecutionEnded,
    replay_messages,
)
from .handovers import KeysOpened
from .keys import Claim, Execute, KeyedCall, KeyTable, Reject, Replay, Row
from .links import Peer
from .messages import Cancel, Credit, Load, Message, Refused, Start
from .services import UpstreamClient
from .verdicts import Verdict

__all__ = (
    'AskLoad',
    'AskRemaining',
    'AttemptsActor',
    'Drain',
    'DumpState',
    'PeerLost',
    'Received',
    'Tick',
)

# An answer reserves this much at the upstream beside the request itself.
_ANSWER_RESERVE = 16384
_SHORTEST_TIMEOUT = 0.1
_KEY_EXPIRY_INTERVAL = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Received:
    """A message of a connected entry."""

    peer: Peer
    message: Message


@dataclasses.dataclass(frozen=True, slots=True)
class PeerLost:
    """An entry whose link has ended."""

    peer: Peer


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Passage of time."""


@dataclasses.dataclass(frozen=True, slots=True)
class Drain:
    """Accept no more work."""


@dataclasses.dataclass(frozen=True, slots=True)
class DumpState:
    """Ask for a dump of the state."""


@dataclasses.dataclass(frozen=True, slots=True)
class AskLoad:
    """Ask for the load as entries see it."""


@dataclasses.dataclass(frozen=True, slots=True)
class AskRemaining:
    """Ask for the number of attempts in progress and the key rows."""


@dataclasses.dataclass(frozen=True, slots=True)
class Remaining:
    """What is left while the agent drains."""

    attempts: int
    rows: Mapping[tuple[str, str, str], Row]


@dataclasses.dataclass(slots=True)
class _Job:
    """An attempt between its arrival and its end.

    ``ended`` is set when the upstream has finished and the rest of the answer
    waits for credit.
    """

    peer: Peer
    start: Start
    call: KeyedCall | None
    deadline: float
    execution: Execution | None = None
    ended: bool = False


class AttemptsActor(pykka.ThreadingActor):
    """Owns the limits, the queue and the keys of one upstream."""

    def __init__(
        self,
        upstream: str,
        address: str,
        threads: int,
        limits: ByteLimits,
    ) -> None:
        """Start cold, with no keys accepted."""
        super().__init__()
        self.upstream = upstream
        self.threads = threads
        self.configuration: Configuration | None = None
        self.confirmed_at = 0.0
        self.admission = Admission(Limits())
        self.keys = KeyTable(upstream, time.time(), Defaults().key_lifetime)
        self.keys_expired_at = 0.0
        self.jobs: dict[tuple[Peer, int], _Job] = {}
        self.numbers: dict[int, tuple[Peer, int]] = {}
        self.next_number = 0
        self.draining = False
        self.memory = AnswerMemory(limits)
        self.client = UpstreamClient(address, threads)
        self.executor = ThreadPoolExecutor(
            threads,
            thread_name_prefix='execution',
        )

    @functools.singledispatchmethod
    def on_receive(self, message: Any) -> Any:
        """Handle one message; each type has its own method."""
        raise TypeError(f'unexpected message {message!r}')

    @on_receive.register
    def _(self, message: ConfigurationChanged) -> None:
        self.configuration = message.configuration
        self.confirmed_at = message.confirmed_at
        defaults = self._defaults()
        self.admission.limits = Limits(
            defaults.cold_limit,
            min(defaults.max_running, self.threads),
            defaults.max_held,
            defaults.max_waiting,
        )
        self.keys.lifetime = defaults.key_lifetime
        self._refuse_waiting()

    @on_receive.register
    def _(self, message: UpstreamLoad) -> None:
        self.admission.observe(message)
        self._admit()

    @on_receive.register
    def _(self, message: KeysOpened) -> None:
        self.keys.open(message.rows)

    @on_receive.register
    def _(self, message: Received) -> None:
        if isinstance(message.message, Start):
            self._start(message.peer, message.message)
            return
        if not isinstance(message.message, Credit | Cancel):
            return
        job = self.jobs.get((message.peer, message.message.attempt))
        if job is None:
            return
        if isinstance(message.message, Cancel):
            self._cancel(job)
        elif job.execution is not None:
            job.execution.grant(message.message.size)
            self._end_if_sent(job)

    @on_receive.register
    def _(self, message: PeerLost) -> None:
        for (peer, _number), job in tuple(self.jobs.items()):
            if peer is message.peer:
                self._cancel(job)

    @on_receive.register
    def _(self, message: ExecutionEnded) -> None:
        execution = message.execution
        job = self.jobs[self.numbers[execution.number]]
        completed = message.failure is None and not message.cancelled
        self.admission.finish(execution.number, completed)
        if message.failure is not None:
            self._remove(execution)
            self._fail(job, message.failure)
        else:
            self._complete(job, message)
        self._admit()

    @on_receive.register
    def _(self, message: Tick) -> None:
        now = time.monotonic()
        for ticket in self.admission.expire(now):
            job = self.jobs[self.numbers[ticket.attempt]]
            self._refuse(job, 'the deadline passed in the queue', 504)
        if now - self.keys_expired_at > _KEY_EXPIRY_INTERVAL:
            self.keys_expired_at = now
            self.keys.expire(time.time())
        self._admit()

    @on_receive.register
    def _(self, message: Drain) -> None:
        self.draining = True
        self._refuse_waiting()

    @on_receive.register
    def _(self, message: AskLoad) -> Load:
        return self.load()

    @on_receive.register
    def _(self, message: AskRemaining) -> Remaining:
        return Remaining(len(self.numbers), dict(self.keys.rows))

    @on_receive.register
    def _(self, message: DumpState) -> dict[str, Any]:
        admission = self.admission
        return {
            'upstream': self.upstream,
            'offset': self._offset(),
            'confirmed_at': self.confirmed_at,
            'accepting': self._accepting(),
            'refusal': self._refusal(),
            'draining': self.draining,
            'limit': admission.limit,
            'limits': dataclasses.asdict(admission.limits),
            'running': len(admission.running),
            'waiting': len(admission.waiting),
            'held_bytes': admission.held,
            'foreign_running': admission.foreign,
            'keys': len(self.keys.rows),
            'keys_floor': repr(self.keys.floor),
            'answers': self._dump_answers(),
        }

    def load(self) -> Load:
        """Return the load for a message; safe to call from any thread."""
        admission = self.admission
        return Load(
            len(admission.running),
            len(admission.waiting),
            admission.limit,
            self._accepting(),
        )

    def _dump_answers(self) -> dict[str, Any]:
        limits = self.memory.limits
        with self.memory.changed:
            clients = dict(limits.clients)
        return {
            'open': len(self.jobs) - len(self.admission.waiting),
            'read_to_the_end': sum(job.ended for job in self.jobs.values()),
            'held_bytes': limits.held,
            'held_bytes_by_client': clients,
            'limits': {
                'answer': limits.answer,
                'client': limits.client,
                'process': limits.process,
            },
        }

    def _offset(self) -> int:
        return self.configuration.offset if self.configuration else -1

    def _defaults(self) -> Defaults:
        assert self.configuration is not None  # noqa: S101
        upstream = self.configuration.upstream(self.upstream)
        service = upstream.service if upstream else ''
        return self.configuration.defaults_for(
            f'service/{service}',
            f'upstream/{self.upstream}',
        )

    def _refusal(self) -> str:
        if self.draining:
            return 'the agent is shutting down'
        if self.configuration is None:
            return 'the agent has no configuration yet'
        if not self.configuration.takes_work(self.upstream):
            return 'the upstream is out of service'
        return ''

    def _accepting(self) -> bool:
        return not self._refusal()

    def _start(self, peer: Peer, start: Start) -> None:
        self.next_number += 1
        call = None
        if start.key:
            call = KeyedCall(
                start.service,
                start.client,
                start.key,
                start.key_time,
                start.fingerprint,
            )
        job = _Job(peer, start, call, time.monotonic() + start.deadline)
        if call is not None and not self._claim(job, call):
            return
        refusal = self._refusal()
        if refusal:
            self._refuse(job, refusal, 503)
            return
        self._offer(job)

    def _claim(self, job: _Job, call: KeyedCall) -> bool:
        """Claim the key; if it must not run, answer and return False."""
        claim = self._claim_key(job, call)
        if isinstance(claim, Execute):
            return True
        if isinstance(claim, Replay):
            replies = replay_messages(job.start, claim.answer, self.load())
            for reply in replies:
                job.peer.send(reply)
        elif isinstance(claim, Reject):
            self._reject(job, claim)
        return False

    def _claim_key(self, job: _Job, call: KeyedCall) -> Claim:
        now = time.time()
        homes = None
        fresh = False
        if self.configuration is not None:
            homes = self.configuration.homes(call.service)
            freshness = self.configuration.defaults.freshness
            fresh = now - self.confirmed_at <= freshness
        if job.start.run:
            return self.keys.claim(call, homes, fresh, now)
        return self.keys.void(call, homes, fresh, now)

    def _offer(self, job: _Job) -> None:
        number = self.next_number
        self.jobs[job.peer, job.start.attempt] = job
        self.numbers[number] = (job.peer, job.start.attempt)
        ticket = Ticket(
            number,
            job.start.client,
            len(job.start.body) + _ANSWER_RESERVE,
            job.deadline,
            job.start.idempotent,
        )
        if self.admission.offer(ticket):
            self._admit()
        else:
            self._refuse(job, 'too many requests are waiting', 503)

    def _admit(self) -> None:
        if self.configuration is None or not self.admission.report:
            return
        for ticket in self.admission.admit():
            self._execute(ticket)

    def _execute(self, ticket: Ticket) -> None:
        job = self.jobs[self.numbers[ticket.attempt]]
        execution = Execution(
            ticket.attempt,
            job.start,
            self.client,
            job.peer.send,
            self.actor_ref.tell,
            self.load,
            self.memory,
        )
        job.execution = execution
        job.start = dataclasses.replace(job.start, body=b'')
        timeout = max(job.deadline - time.monotonic(), _SHORTEST_TIMEOUT)
        self.executor.submit(execution.run, timeout)

    def _remove(self, execution: Execution) -> None:
        place = self.numbers.pop(execution.number)
        self.jobs.pop(place)

    def _complete(self, job: _Job, ended: ExecutionEnded) -> None:
        if job.call is not None:
            self.keys.finish(job.call, ended.answer)
        job.ended = True
        self._end_if_sent(job)

    def _end_if_sent(self, job: _Job) -> None:
        execution = job.execution
        if job.ended and execution is not None and execution.is_sent():
            self._remove(execution)
            job.peer.send(execution.end_message(self.load()))

    def _fail(self, job: _Job, failure: RequestFailed) -> None:
        if failure.verdict is Verdict.NOT_RUN:
            self.admission.restart_ramp()
            self._refuse(job, str(failure), failure.status)
            return
        if job.call is not None:
            self.keys.lose(job.call)
        assert job.execution is not None  # noqa: S101
        job.peer.send(job.execution.failed_message(failure, self.load()))

    def _cancel(self, job: _Job) -> None:
        if job.execution is not None:
            job.execution.cancel()
            self._end_if_sent(job)
            return
        for number, place in tuple(self.numbers.items()):
            if place == (job.peer, job.start.attempt):
                self.admission.withdraw(number)
                self._refuse(job, 'cancelled', 499)

    def _refuse(self, job: _Job, reason: str, status: int) -> None:
        """Answer that the request was not and will not be executed."""
        place = (job.peer, job.start.attempt)
        self.jobs.pop(place, None)
        for number, other in tuple(self.numbers.items()):
            if other == place:
                self.numbers.pop(number)
        reject = Reject(Verdict.NOT_RUN, status, reason, 1)
        if job.call is not None:
            refused = self.keys.refuse(job.call, reason)
            reject = dataclasses.replace(refused, status=status)
        self._reject(job, reject)

    def _reject(self, job: _Job, reject: Reject) -> None:
        job.peer.send(
            Refused(
                job.start.attempt,
                reject.verdict,
                reject.reason,
                reject.status,
                reject.retry_after,
                self.load(),
            ),
        )

    def _refuse_waiting(self) -> None:
        refusal = self._refusal()
        if not refusal:
            self._admit()
            return
        for number in tuple(self.admission.waiting):
            self.admission.withdraw(number)
            self._refuse(self.jobs[self.numbers[number]], refusal, 503)
