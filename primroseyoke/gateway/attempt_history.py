"""What has become of the attempts of one request so far."""

import logging

from ..exceptions import RequestFailed, UpstreamWithdrawn
from ..verdicts import Verdict
from .attempts import Attempt
from .requests import CallerRequest

__all__ = ('AttemptHistory',)

log = logging.getLogger(__name__)


class AttemptHistory:
    """Counts and logs the attempts of one request.

    Attributes:
        may_have_run: number of attempts that an upstream may have run.
        rejected: number of attempts that upstreams rejected without running.
        upstreams: names of the upstreams, in order of the attempts.
        failed_attempt: the attempt that failed last, None if nothing was sent.
    """

    def __init__(self, request: CallerRequest) -> None:
        """Start without attempts of ``request``."""
        self.request = request
        self.may_have_run = 0
        self.rejected = 0
        self.upstreams: list[str] = []
        self.failed_attempt: Attempt | None = None

    def record_possible_run(self, attempt: Attempt | None = None) -> None:
        """Count an attempt that may have run; each one counts once."""
        if attempt is None:
            self.may_have_run += 1
        elif not attempt.may_have_run:
            attempt.may_have_run = True
            self.may_have_run += 1

    def record_failure(
        self, failure: RequestFailed, attempt: Attempt | None = None
    ) -> None:
        """Count a failure; ``attempt`` is None if nothing was sent."""
        if isinstance(failure, UpstreamWithdrawn):
            # Nothing was sent, so this counts as no attempt.
            self._log(
                'upstream withdrew before the request was sent',
                upstream=self.upstreams.pop(),
            )
            return
        self.failed_attempt = attempt
        if failure.verdict is not Verdict.NOT_RUN:
            self.record_possible_run(attempt)
            return
        self.rejected += 1
        if attempt is not None and attempt.may_have_run:
            # It was silent for long before it was rejected.
            attempt.may_have_run = False
            self.may_have_run -= 1

    def log_failure(self, failure: RequestFailed, sent_again: bool) -> None:
        """Log the last failure, and whether the request is sent again."""
        if isinstance(failure, UpstreamWithdrawn):
            return
        attempt = self.failed_attempt
        self._log(
            'upstream attempt failed',
            upstream=attempt.upstream.name if attempt else self.upstreams[-1],
            reason=str(failure),
            verdict=failure.verdict.value,
            sent_again=sent_again,
            events=attempt.event_count if attempt else 0,
            prompt_parts=self.request.prompt_parts,
        )

    def log_silence(self, failure: RequestFailed, last_event_id: str) -> None:
        """Log that an upstream is silent, but not given up."""
        self._log(
            'upstream silent; another one may take over',
            reason=str(failure),
            last_event_id=last_event_id,
        )

    def log_not_replaced(self, failure: RequestFailed) -> None:
        """Log that no other upstream is free while one is silent."""
        self._log('no other upstream for a silent one', reason=str(failure))

    def _log(self, message: str, **fields: object) -> None:
        log.info(message, extra={'request': self.request.request_id, **fields})
