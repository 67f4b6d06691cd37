"""Actor that admits, executes and answers the attempts at one upstream."""

import dataclasses
import functools
import time
from collections.abc import Collection, Iterable, Mapping
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import pykka

from .admission import Admission, Limits, RequestOutcome, Ticket
from .configuration import Configuration, Defaults
from .configuration_distribution import ConfigurationChanged
from .crash_detection import BrokenAttempt, CrashDetector, LoadPolled, poll_load
from .exceptions import RequestFailed
from .executions import (
    Execution,
    ExecutionEnded,
    SharedBuffers,
    replay_messages,
)
from .idempotency_keys import (
    MAX_CLOCK_SKEW_SECONDS,
    Claim,
    Execute,
    KeyedCall,
    KeyRow,
    KeyTable,
    Reject,
    Replay,
)
from .jobs import Job, JobTable, broken_by_upstream, outcome_of
from .key_handover import InheritedKeys
from .links import EntryConnection
from .messages import (
    Cancel,
    Credit,
    Hello,
    Load,
    LoadReport,
    Message,
    Refused,
    Start,
    Suspects,
)
from .response_buffering import BufferLimits
from .state_dumps import agent_state
from .send_gate import SendGate
from .suspects import Classification
from .upstream_client import UpstreamClient
from .verdicts import Verdict

__all__ = (
    'AttemptsActor',
    'CountRemaining',
    'Drain',
    'DumpState',
    'GetLoad',
    'MessageReceived',
    'PeerDisconnected',
    'SealKeys',
    'Tick',
)

# Memory reserved at the upstream for a response, besides the request body.
_RESPONSE_RESERVE_BYTES = 16384
_MIN_TIMEOUT_SECONDS = 0.1
_KEY_EXPIRY_INTERVAL_SECONDS = 10.0
# Share of the concurrency limit that an upstream which restarted unnoticed may
# receive at most, because no load report has confirmed its state since.
_UNCONFIRMED_SHARE = 0.5
# Status for a request that has crashed upstreams. It is a client error because
# callers retry requests that fail with a server error.
_SUSPECT_STATUS = 403


@dataclasses.dataclass(frozen=True, slots=True)
class MessageReceived:
    """An entry has sent a message over its link."""

    peer: EntryConnection
    message: Message


@dataclasses.dataclass(frozen=True, slots=True)
class PeerDisconnected:
    """The link of an entry has closed."""

    peer: EntryConnection


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Run the periodic work: admission, deadlines and key expiry."""


@dataclasses.dataclass(frozen=True, slots=True)
class Drain:
    """Refuse new and waiting requests from now on."""


@dataclasses.dataclass(frozen=True, slots=True)
class DumpState:
    """Request a dump of the state."""


@dataclasses.dataclass(frozen=True, slots=True)
class GetLoad:
    """Request the load that is reported to entries."""


@dataclasses.dataclass(frozen=True, slots=True)
class CountRemaining:
    """Request the number of attempts that have not ended."""


@dataclasses.dataclass(frozen=True, slots=True)
class SealKeys:
    """Accept no further idempotency keys."""


@dataclasses.dataclass(frozen=True, slots=True)
class SealedKeyTable:
    """Key rows to hand over to the next process; see ``KeyTable.seal``.

    ``attempts`` is the number of attempts that have not ended; as long as it is
    not zero, the rows are not final.
    """

    rows: Mapping[tuple[str, str, str], KeyRow]
    floor: float
    attempts: int


class AttemptsActor(pykka.ThreadingActor):
    """Owns the limits, the queue and the idempotency keys of one upstream."""

    def __init__(
        self,
        upstream: str,
        address: str,
        threads: int,
        limits: BufferLimits,
    ) -> None:
        """Start with the cold limit and accept no keys yet."""
        super().__init__()
        self.upstream = upstream
        self.threads = threads
        self.configuration: Configuration | None = None
        self.confirmed_at = 0.0
        self.admission = Admission(Limits())
        self.keys = KeyTable(upstream, Defaults().key_lifetime)
        self.last_key_expiry = 0.0
        self.jobs = JobTable()
        self.draining = False
        self.unreachable = False
        self.reported_refusal = self.refusal_reason()
        self.shared_buffers = SharedBuffers(limits)
        self.upstream_client = UpstreamClient(address, threads)
        self.executor = ThreadPoolExecutor(
            threads,
            thread_name_prefix='execution',
        )
        poll = functools.partial(
            poll_load, self.upstream_client, self.actor_ref.tell
        )
        self.crash_detector = CrashDetector(
            upstream, lambda: self.executor.submit(poll)
        )
        self.send_gate = SendGate(poll)

    @functools.singledispatchmethod
    def on_receive(self, message: Any) -> Any:
        """Handle one message with the method registered for its type."""
        raise TypeError(f'no handler for actor message {message!r}')

    @on_receive.register
    def _(self, message: ConfigurationChanged) -> None:
        previous = self.configuration
        self.configuration = message.configuration
        self.confirmed_at = message.confirmed_at
        was_out_of_service = (
            previous is not None
            and not previous.accepts_requests(self.upstream)
        )
        if was_out_of_service and self.configuration.accepts_requests(
            self.upstream
        ):
            # The upstream may have been replaced and be cold.
            self.admission.restart_ramp(crashed=False)
        defaults = self._defaults()
        too_large = self.admission.change_limits(
            Limits(
                defaults.cold_limit,
                min(defaults.max_running, self.threads),
                defaults.max_held,
                defaults.max_waiting,
            ),
        )
        self._refuse_tickets(too_large, 'the request is too large', 413)
        # Overrides for one upstream do not apply: two homes of a key could
        # then disagree on whether it has expired.
        self.keys.lifetime = message.configuration.defaults.key_lifetime
        self._admit_or_refuse_waiting()

    @on_receive.register
    def _(self, message: LoadPolled) -> None:
        if message.report is not None:
            restarts_before = self.admission.restart_count
            self.admission.observe_load(
                message.report, message.requested_at, time.monotonic()
            )
            if self.admission.restart_count != restarts_before:
                self.send_gate.withhold()
            elif self.admission.suspended_at is None:
                self.send_gate.confirm(message.requested_at)
            if self.admission.suspended_at is None:
                self.unreachable = False
                self._report_acceptance()
        elif (
            message.refused
            or self.crash_detector.unresolved
            or self.admission.last_report is None
        ):
            self._mark_unreachable()
        restarts = self.admission.restart_count
        self._reclassify(self.crash_detector.resolve(message, restarts))
        self._admit_waiting()

    @on_receive.register
    def _(self, message: InheritedKeys) -> None:
        self.keys.open(message.rows, message.floor)

    @on_receive.register
    def _(self, message: MessageReceived) -> None:
        if isinstance(message.message, Start):
            self._start(message.peer, message.message)
            return
        if isinstance(message.message, Hello):
            self.crash_detector.add_peer(message.peer)
            # It may have changed since the welcome was sent.
            message.peer.send(LoadReport(self.load()))
        if isinstance(message.message, Suspects):
            self._reclassify(
                self.crash_detector.merge(message.message.evidence)
            )
            self._admit_waiting()
        if not isinstance(message.message, Credit | Cancel):
            return
        job = self.jobs.find(message.peer, message.message.attempt)
        if job is None:
            return
        if isinstance(message.message, Cancel):
            self._cancel(job)
        elif job.execution is not None:
            job.execution.grant(message.message.size)
            self._finish_if_sent(job)

    @on_receive.register
    def _(self, message: PeerDisconnected) -> None:
        self.crash_detector.peers.discard(message.peer)
        for job in self.jobs:
            if job.peer is message.peer:
                self._cancel(job)

    @on_receive.register
    def _(self, message: ExecutionEnded) -> None:
        job = self.jobs.by_number[message.execution.number]
        self.admission.finish(job.number, outcome_of(message))
        if message.withheld and time.monotonic() < job.deadline:
            job.start = message.execution.start
            job.execution = None
            self._accept(job, self.refusal_reason())
            return
        if message.failure is None:
            self._complete(job, message)
            self._admit_waiting()
            return
        self.jobs.remove(job)
        if broken_by_upstream(message):
            self._defer_failure(job, message.failure)
        else:
            self._fail(job, message.failure)
        self._admit_waiting()

    @on_receive.register
    def _(self, message: Tick) -> None:
        now = time.monotonic()
        if now - self.last_key_expiry > _KEY_EXPIRY_INTERVAL_SECONDS:
            self.last_key_expiry = now
            self.keys.expire(time.time())
        self._admit_waiting()

    @on_receive.register
    def _(self, message: Drain) -> None:
        self.draining = True
        self._admit_or_refuse_waiting()

    @on_receive.register
    def _(self, message: GetLoad) -> Load:
        return self.load()

    @on_receive.register
    def _(self, message: CountRemaining) -> int:
        return self._count_remaining()

    @on_receive.register
    def _(self, message: SealKeys) -> SealedKeyTable:
        rows, floor = self.keys.seal()
        return SealedKeyTable(rows, floor, self._count_remaining())

    @on_receive.register
    def _(self, message: DumpState) -> dict[str, Any]:
        return agent_state(self)

    def load(self) -> Load:
        """Return the current load; safe to call from any thread."""
        admission = self.admission
        return Load(
            admission.total_running(),
            len(admission.waiting),
            admission.current_limit,
            not self.refusal_reason(),
            starting=self.configuration is None and not self.draining,
        )

    def refusal_reason(self) -> str:
        """Return why new requests are refused, empty if they are accepted."""
        if self.draining:
            return 'the agent is shutting down'
        if self.configuration is None:
            return 'the agent has no configuration yet'
        if not self.configuration.accepts_requests(self.upstream):
            return 'the upstream is out of service'
        if self.unreachable:
            return 'the upstream cannot be reached'
        return ''

    def _defaults(self) -> Defaults:
        assert self.configuration is not None  # noqa: S101
        upstream = self.configuration.upstream(self.upstream)
        service = upstream.service if upstream else ''
        return self.configuration.defaults_for(
            f'service/{service}',
            f'upstream/{self.upstream}',
        )

    def _count_remaining(self) -> int:
        return len(self.jobs) + len(self.crash_detector.unresolved)

    def _start(self, peer: EntryConnection, start: Start) -> None:
        call = None
        if start.key:
            call = KeyedCall(
                start.service,
                start.client,
                start.key,
                start.key_time,
                start.sent_at,
                start.fingerprint,
                start.refused_by,
            )
        # After a pause of the process its sockets may hold old requests, so the
        # time since sending counts against the deadline.
        age = max(time.time() - start.sent_at - MAX_CLOCK_SKEW_SECONDS, 0)
        job = Job(peer, start, call, time.monotonic() + start.deadline - age)
        if call is not None and not self._claim(job, call):
            return
        self._accept(
            job, self.refusal_reason() or self._missing_key_reason(start)
        )

    def _missing_key_reason(self, start: Start) -> str:
        """Return why a non-idempotent call without a key cannot be executed.

        An entry with an older configuration may treat it as idempotent and
        send it without its key.
        """
        if start.key or self.configuration is None:
            return ''
        service = self.configuration.service(start.service)
        if service is None or service.is_idempotent(start.method, start.path):
            return ''
        return 'this call must not repeat and has no key'

    def _claim(self, job: Job, call: KeyedCall) -> bool:
        """Claim the key; if the call must not run, reply and return False."""
        claim = self._claim_key(job, call)
        if isinstance(claim, Execute):
            return True
        if isinstance(claim, Replay):
            replies = replay_messages(job.start, claim.response, self.load())
            for reply in replies:
                job.peer.send(reply)
        elif isinstance(claim, Reject):
            self._reject(job, claim)
        return False

    def _claim_key(self, job: Job, call: KeyedCall) -> Claim:
        now = time.time()
        homes = None
        fresh = False
        if self.configuration is not None:
            homes = self.configuration.homes(call.service)
            freshness = self.configuration.defaults.freshness
            fresh = now - self.confirmed_at <= freshness
        if job.start.run:
            return self.keys.claim(call, homes, fresh, now)
        return self.keys.invalidate(call, homes, fresh, now)

    def _accept(self, job: Job, refusal: str) -> None:
        """Queue a job for admission, or refuse it for the given reason."""
        if refusal:
            self._refuse(job, refusal, 503)
            return
        classification = self.crash_detector.admit(job.start.traits)
        if classification is Classification.REFUSED:
            self._refuse_suspect(job)
            return
        if not job.number:
            self.jobs.add(job)
        ticket = Ticket(
            job.number,
            job.start.client,
            len(job.start.body) + _RESPONSE_RESERVE_BYTES,
            job.deadline,
            job.start.idempotent,
            exclusive=classification is Classification.SUSPECT,
        )
        refused = self.admission.enqueue(ticket)
        if ticket.reserved_bytes > self.admission.limits.max_held:
            self._refuse_tickets(refused, 'the request is too large', 413)
        else:
            self._refuse_tickets(refused, 'too many requests are waiting', 503)
        self._admit_waiting()

    def _admit_waiting(self) -> None:
        # After a pause of the process, jobs past their deadline must not start.
        admitted, expired = self.admission.advance(time.monotonic())
        self.send_gate.allowance = max(
            self.admission.limits.cold_limit,
            int(self.admission.current_limit * _UNCONFIRMED_SHARE),
        )
        reason = 'the deadline passed in the queue'
        self._refuse_tickets(expired, reason, 504)
        for ticket in admitted:
            self._execute(ticket)

    def _execute(self, ticket: Ticket) -> None:
        job = self.jobs.by_number[ticket.attempt]
        execution = Execution(
            ticket.attempt,
            job.start,
            self.upstream_client,
            job.peer.send,
            self.actor_ref.tell,
            self.load,
            self.shared_buffers,
        )
        job.execution = execution
        job.restarts_at_start = self.admission.restart_count
        if self.admission.total_running() > 1:
            for number in self.admission.running:
                self.jobs.by_number[number].ran_concurrently = True
        job.start = dataclasses.replace(job.start, body=b'')
        timeout = max(job.deadline - time.monotonic(), _MIN_TIMEOUT_SECONDS)
        self.executor.submit(
            execution.run_confirmed,
            timeout,
            self.send_gate,
            self.send_gate.generation,
        )

    def _defer_failure(self, job: Job, failure: RequestFailed) -> None:
        """Suspend admission and defer the reply until the cause is known."""
        now = time.monotonic()
        self.admission.suspend(now)
        self.send_gate.withhold()
        self.crash_detector.defer(
            BrokenAttempt(
                job.start.traits,
                not job.ran_concurrently,
                job.restarts_at_start,
                functools.partial(self._fail, job, failure),
                now,
            ),
        )

    def _mark_unreachable(self) -> None:
        """Refuse requests until the upstream reports its load again."""
        self.unreachable = True
        self.admission.restart_ramp()
        self.admission.suspend(time.monotonic())
        self.send_gate.withhold()
        self._admit_or_refuse_waiting()

    def _reclassify(self, traits: Collection[int]) -> None:
        """Apply new crash evidence to the jobs with one of these traits."""
        if not traits:
            return
        for job in self.jobs:
            if job.start.traits.isdisjoint(traits):
                continue
            classification = self.crash_detector.classify(job.start.traits)
            exclusive = classification is not Classification.CLEAR
            self.admission.set_exclusive(job.number, exclusive)
            if (
                classification is Classification.REFUSED
                and job.execution is None
            ):
                self.admission.withdraw(job.number)
                self._refuse_suspect(job)

    def _refuse_suspect(self, job: Job) -> None:
        reason = 'this request has crashed upstreams and is not run again'
        self._refuse(job, reason, _SUSPECT_STATUS)

    def _complete(self, job: Job, ended: ExecutionEnded) -> None:
        if job.keyed_call is not None:
            self.keys.finish(job.keyed_call, ended.stored_response)
        if outcome_of(ended) is RequestOutcome.COMPLETED:
            self._reclassify(self.crash_detector.clear(job.start.traits))
        job.upstream_finished = True
        self._finish_if_sent(job)

    def _finish_if_sent(self, job: Job) -> None:
        execution = job.execution
        if (
            job.upstream_finished
            and execution is not None
            and execution.is_fully_sent()
        ):
            self.jobs.remove(job)
            job.peer.send(execution.end_message(self.load()))

    def _fail(
        self,
        job: Job,
        failure: RequestFailed,
        crashed: bool = False,
    ) -> None:
        if failure.verdict is Verdict.NOT_RUN:
            self._refuse(job, str(failure), failure.status)
            self._mark_unreachable()
            return
        if job.keyed_call is not None:
            self.keys.mark_may_have_run(job.keyed_call)
        assert job.execution is not None  # noqa: S101
        failed = job.execution.failed_message(failure, self.load())
        job.peer.send(dataclasses.replace(failed, crashed=crashed))

    def _cancel(self, job: Job) -> None:
        if job.execution is not None:
            job.execution.cancel()
            self._finish_if_sent(job)
            return
        self.admission.withdraw(job.number)
        self._refuse(job, 'cancelled', 499)
        self._admit_waiting()

    def _refuse(self, job: Job, reason: str, status: int) -> None:
        """Reply that the request was not and will not be executed."""
        self.jobs.remove(job)
        retry_after = 0 if status == _SUSPECT_STATUS else 1
        reject = Reject(Verdict.NOT_RUN, status, reason, retry_after)
        if job.keyed_call is not None:
            refused = self.keys.refuse(job.keyed_call, reason)
            reject = dataclasses.replace(refused, status=status)
        self._reject(job, reject)

    def _reject(self, job: Job, reject: Reject) -> None:
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

    def _report_acceptance(self) -> None:
        """Tell the entries at once when requests start or stop being refused.

        With the next periodic report, entries would refuse requests or send
        them in vain until then.
        """
        refusal = self.refusal_reason()
        if bool(refusal) != bool(self.reported_refusal):
            for peer in self.crash_detector.peers:
                peer.send(LoadReport(self.load()))
        self.reported_refusal = refusal

    def _admit_or_refuse_waiting(self) -> None:
        self._report_acceptance()
        refusal = self.refusal_reason()
        if not refusal:
            self._admit_waiting()
            return
        tickets = tuple(self.admission.waiting.values())
        for ticket in tickets:
            self.admission.withdraw(ticket.attempt)
        self._refuse_tickets(tickets, refusal, 503)

    def _refuse_tickets(
        self,
        tickets: Iterable[Ticket],
        reason: str,
        status: int,
    ) -> None:
        for ticket in tickets:
            job = self.jobs.by_number[ticket.attempt]
            self._refuse(job, reason, status)
