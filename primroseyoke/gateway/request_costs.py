"""Predicted costs of requests, and the work left at upstreams."""

import dataclasses
import math
from collections.abc import Collection

from ..scheduling.cost import CostModel, Prediction, Rates, StatedWork
from ..scheduling.work import Job, Speeds, WorkLeft
from .candidates import SAMPLE_SIZE_PER_SIDE
from .configuration import Engine, Service
from .in_flight import InFlightRequests

__all__ = ('ChoiceByCount', 'ChoiceByWork', 'RequestCosts')

# Length of a mean prompt, which ``Engine.prompt_time`` refers to.
_MEAN_PROMPT_TOKENS = 800
# Assumed for engines that state no times.
_DEFAULT_PROMPT_TOKEN_SECONDS = 0.00002
_DEFAULT_OUTPUT_TOKEN_SECONDS = 0.002
# Upstreams of the own zone and of the others that are compared by work. Work
# tells more upstreams apart than counts do, so that hosts with reports of 10 to
# 60 ms ago choose the same one more often: see docs/design/request-cost.md.
_WORK_SAMPLE_SIZE_PER_SIDE = 2
# Most services with a model of their costs.
_MAX_SERVICES = 1024


class RequestCosts:
    """Predicts what requests cost and tracks what is left of them.

    Attributes:
        enabled: whether choices use the predictions.
        models: predictions by service, of services whose requests state tokens.
        work: work left of the requests of this host.
        speeds: speeds of the upstreams that are in no rank group.
    """

    def __init__(self, in_flight: InFlightRequests) -> None:
        """Start without requests; ``in_flight`` has those of other hosts."""
        self.enabled = True
        self.in_flight = in_flight
        self.models: dict[str, CostModel] = {}
        self.work = WorkLeft()
        self.speeds = Speeds()

    def choice(
        self, service: Service, stated: StatedWork | None, now: float
    ) -> 'ChoiceByCount':
        """Return how to compare upstreams for a request.

        A request without engine or stated length is compared by counts, as is
        each request while this is not enabled.
        """
        if not self.enabled or service.engine is None or stated is None:
            return ChoiceByCount()
        model = self.models.get(service.name)
        if model is None:
            if len(self.models) >= _MAX_SERVICES:
                self.models.pop(next(iter(self.models)))
            model = self.models.setdefault(service.name, CostModel())
        prediction = model.predict(stated, _rates(service.engine), now)
        return ChoiceByWork(self, model, prediction, service, now, model.weight)

    def sample_size(self, service: Service, stated: StatedWork | None) -> int:
        """Return how many upstreams of each side to compare for a request."""
        model = self.models.get(service.name)
        is_by_work = self.enabled and stated is not None and model is not None
        if is_by_work and service.engine and model and model.weight:
            return _WORK_SAMPLE_SIZE_PER_SIDE
        return SAMPLE_SIZE_PER_SIDE

    def start(
        self,
        upstream: str,
        service: Service,
        stated: StatedWork | None,
        now: float,
    ) -> Job | None:
        """Record that a request was sent; return its job.

        It is None where the requests of the service state no tokens.
        """
        engine = service.engine
        choice = self.choice(service, stated, now)
        model = self.models.get(service.name)
        if not self.enabled or engine is None or model is None:
            return None
        if isinstance(choice, ChoiceByWork):
            prediction = choice.prediction
            model.record_sent(prediction)
        else:
            prediction = model.typical()
        job = Job(
            service.name,
            upstream,
            stated,
            prediction,
            _rates(engine),
            self.work_left(upstream, service.name),
        )
        self.work.start(job)
        return job

    def record_events(
        self, job: Job | None, engine: Engine | None, count: int
    ) -> None:
        """Record ``count`` events of a stream; a pass makes one."""
        if job is not None and engine is not None:
            self.work.record_output(job, count * engine.steps_per_pass)

    def record_gap(
        self, upstream: str, engine: Engine | None, gap: float, now: float
    ) -> None:
        """Learn the speed of an upstream outside of rank groups.

        Args:
            upstream: name of the upstream.
            engine: its model engine, if any.
            gap: time between two events of a stream, in seconds.
            now: monotonic seconds.
        """
        if engine is None or not self.models:
            return
        running = max(self.in_flight.total(upstream), 1)
        step = engine.step_time + running * engine.sequence_time
        self.speeds.observe(upstream, step * engine.steps_per_pass, gap, now)

    def record_whole(self, job: Job | None) -> None:
        """Record that a stream was received to its end.

        Only that of a first attempt is whole: the others may continue it.
        """
        if job is not None:
            job.is_whole = job.is_first

    def end(self, job: Job | None, now: float) -> None:
        """Record the end of a request; learn from one that is whole."""
        if job is None:
            return
        self.work.end(job)
        model = self.models.get(job.service)
        stated = job.stated
        if model is not None and stated is not None and job.is_whole:
            model.observe(stated, job.prediction, job.produced, job.rates, now)

    def work_left(self, upstream: str, service: str) -> float:
        """Return the work left at an upstream, of all hosts, in seconds."""
        model = self.models.get(service)
        typical = model.mean if model else 0
        told = self.in_flight.told_work.of(upstream, typical)
        return self.work.of(upstream).left + told

    def retain(self, names: Collection[str]) -> None:
        """Discard the speeds of all upstreams but those in ``names``."""
        self.speeds.retain(names)


class ChoiceByCount:
    """Compares upstreams for one request by their number of requests."""

    def load(self, upstream: str, taken: int) -> float:
        """Return the load of an upstream with ``taken`` requests."""
        return taken

    def fits(self, upstream: str, taken: int) -> bool:
        """Tell whether the memory of an upstream has room for the request."""
        return True


@dataclasses.dataclass(frozen=True)
class ChoiceByWork(ChoiceByCount):
    """Compares upstreams for one request by the work that is left there.

    ``prediction`` is that of the request, ``now`` is in monotonic seconds.
    ``weight`` is how far the work decides, and not the number of requests.
    """

    costs: RequestCosts
    model: CostModel
    prediction: Prediction
    service: Service
    now: float
    weight: float

    def load(self, upstream: str, taken: int) -> float:
        """Return the load of an upstream with ``taken`` requests.

        It is the time that the other requests add to the time to the first
        event and to the end of this one, in units of a request. Requests share
        an engine evenly, so one that has more work left than this one delays
        it only by the work of this one. The distribution of what is left of
        each of them is taken as exponential.
        """
        own = self.prediction.work
        if not self.weight or not taken or not own:
            return taken
        left = self.costs.work_left(upstream, self.service.name)
        mean_left = max(left / taken, math.ulp(own))
        shared = -left * math.expm1(-own / mean_left)
        unread = self.costs.work.of(upstream).unread
        unit = min(own, self.model.mean or own)
        speed = self.costs.speeds.of(upstream, self.now)
        load = (shared + unread) / unit / speed
        return taken + self.weight * (load - taken)

    def fits(self, upstream: str, taken: int) -> bool:
        """Tell whether the memory of an upstream has room for the request.

        Requests of other hosts are taken to need the mean of those of this one.
        An upstream without requests takes any, so that none waits forever.
        """
        engine = self.service.engine
        limit = engine.memory_tokens if engine else 0
        if not limit or not taken:
            return True
        sums = self.costs.work.of(upstream)
        others = max(taken - sums.count, 0) * self.model.typical().tokens
        return sums.tokens + others + self.prediction.tokens <= limit


def _rates(engine: Engine) -> Rates:
    prompt_token = engine.prompt_time / _MEAN_PROMPT_TOKENS
    return Rates(
        prompt_token or _DEFAULT_PROMPT_TOKEN_SECONDS,
        engine.sequence_time or _DEFAULT_OUTPUT_TOKEN_SECONDS,
    )
