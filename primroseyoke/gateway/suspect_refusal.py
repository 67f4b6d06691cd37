"""Refuses a request that is blamed for crashes of upstreams."""

from ..exceptions import RequestFailed
from ..verdicts import Verdict
from .attempt_history import AttemptHistory
from .authorization import AuthorizedRequest
from .crash_detection import CrashDetector
from .metrics import Metrics
from .response_forwarding import BAD_GATEWAY, UNAVAILABLE, ResponseForwarder

__all__ = ('SuspectRefusal',)


class SuspectRefusal:
    """Checks before each attempt of one request whether it is a suspect."""

    def __init__(
        self,
        crash_detector: CrashDetector,
        metrics: Metrics,
        authorized: AuthorizedRequest,
        history: AttemptHistory,
        response_forwarder: ResponseForwarder,
    ) -> None:
        """Check the request of ``authorized``."""
        self.crash_detector = crash_detector
        self.metrics = metrics
        self.authorized = authorized
        self.history = history
        self.response_forwarder = response_forwarder

    def check(self) -> None:
        """Refuse the request if it is blamed for crashes of upstreams.

        Raises:
            RequestFailed: it is not sent to an upstream, or to no other one.
        """
        if self.response_forwarder.blamed:
            raise RequestFailed(
                'the request may have crashed an upstream',
                Verdict.MAY_HAVE_RUN,
                BAD_GATEWAY,
            )
        authorized = self.authorized
        delay = self.crash_detector.refusal_delay(
            authorized.request,
            authorized.service,
            authorized.client.name if authorized.client else '',
        )
        if delay is None:
            return
        self.metrics.refused_suspects.labels(authorized.service).inc()
        reason = 'requests like this one have crashed upstreams'
        if self.history.may_have_run:
            raise RequestFailed(reason, Verdict.MAY_HAVE_RUN, BAD_GATEWAY)
        raise RequestFailed(reason, Verdict.NOT_RUN, UNAVAILABLE, delay)
