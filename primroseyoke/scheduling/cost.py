"""Predicted cost of a request, from what its caller states.

The output of a request is predicted from its stated length: a line in
logarithms for each kind of request, and an offset for each client. The line
falls back to the mean output where statements tell nothing, for example if all
callers state the maximum. Costs are work at the reference speed, in seconds.
"""

import collections
import dataclasses
import math
from collections.abc import Hashable
from typing import Generic, TypeVar

__all__ = ('CostModel', 'KindTotals', 'Prediction', 'Rates', 'StatedWork')

# Output assumed for a kind of request that was never seen, without statement.
_PRIOR_OUTPUT_TOKENS = 80.0
# Share of the stated maximum that is assumed to be produced.
_PRIOR_MAXIMUM_SHARE = 0.5
_MAX_OUTPUT_TOKENS = 100_000.0
# Observations that the prior counts for.
_PRIOR_COUNT = 6
# Variance of the logarithm of stated lengths that the prior counts for.
_PRIOR_VARIANCE = 0.5
# Slope of the output over the stated length until it is learned: estimates of
# callers are right at the median, but often far off.
_PRIOR_SLOPE = 0.5
# Least weight of a new observation in the averages of a kind and of a client.
_KIND_SMOOTHING_FACTOR = 0.02
_CLIENT_SMOOTHING_FACTOR = 0.05
# What was learned expires after this time without observations: callers change
# their prompts with their releases.
_LIFETIME_SECONDS = 900.0
# Most kinds and most pairs of kind and client that are remembered.
_MAX_KINDS = 256
_MAX_CLIENTS = 2048
# Highest variance of logarithms that raises the mean above the median.
_MAX_SKEW_VARIANCE = 1.0
# Prior of the mean errors, relative to the mean cost: predictions count for
# half until there are observations.
_PRIOR_CONSTANT_ERROR = 0.55
_PRIOR_PREDICTION_ERROR = 0.5
_PRIOR_ERROR_COUNT = 10
_ERROR_SMOOTHING_FACTOR = 0.01
# Limits how much one outlier changes the mean errors.
_MAX_ERROR = 4.0
# Predictions whose mean error is smaller than that of the mean cost by this
# share count in full.
_FULL_EXPLAINED_SHARE = 0.18
# Predictions that differ less count as equal, relative to their mean.
_EQUAL_SPREAD = 0.1

_HINT = 'hint'
_MAXIMUM = 'maximum'
_NOTHING = ''


@dataclasses.dataclass(frozen=True, slots=True)
class StatedWork:
    """What the caller of a request states of its length, in tokens.

    ``kind`` names the kind of request, ``client`` the client account; '' if it
    has none. ``max_output`` and ``hint`` (the estimated output) are None if
    they are not stated.
    """

    kind: str
    prompt_tokens: int
    client: str = ''
    max_output: int | None = None
    hint: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Rates:
    """Work for each token at the reference speed, in seconds."""

    prompt_token: float
    output_token: float


@dataclasses.dataclass(frozen=True, slots=True)
class Prediction:
    """Predicted length of a request in tokens, and its work in seconds."""

    prompt_tokens: float
    output_tokens: float
    work: float

    @property
    def tokens(self) -> float:
        """Return the memory that the request needs at its end, in tokens."""
        return self.prompt_tokens + self.output_tokens


@dataclasses.dataclass(slots=True)
class KindTotals:
    """Sums over the complete requests of a kind; work in seconds.

    ``error`` is the sum of the absolute differences of both.
    """

    predicted: float = 0
    observed: float = 0
    error: float = 0
    count: int = 0


class CostModel:
    """Predicts the cost of the requests of one service.

    Attributes:
        mean: mean work of the predictions of requests that were sent, seconds.
        mean_prompt: mean of their prompts, in tokens.
        mean_output: mean of their predicted outputs, in tokens.
        spread: mean difference between one of these and the next, relative to
            their mean. What is learned changes it little.
        totals: predicted and observed work by kind, for metrics.
    """

    def __init__(self) -> None:
        """Start with the prior."""
        self.mean = 0.0
        self.mean_prompt = 0.0
        self.mean_output = 0.0
        self.spread = 0.0
        self.last_work = 0.0
        self.sent_count = 0
        self.totals: dict[str, KindTotals] = {}
        self.kinds: _AgedTable[_Line] = _AgedTable(_MAX_KINDS)
        self.clients: _AgedTable[_Offset] = _AgedTable(_MAX_CLIENTS)
        self.accuracy = _Accuracy()

    @property
    def weight(self) -> float:
        """Return how far predictions may decide a choice, from 0 to 1.

        It is 0 where all predictions are equal, and where they are no better
        than the mean cost.
        """
        if self.spread < _EQUAL_SPREAD:
            return 0
        return min(self.accuracy.explained / _FULL_EXPLAINED_SHARE, 1)

    def predict(
        self, stated: StatedWork, rates: Rates, now: float
    ) -> Prediction:
        """Return the predicted cost of a request; ``now`` in seconds."""
        basis, length = _basis(stated)
        line = self.kinds.find((stated.kind, basis), now)
        if line is None:
            logarithm = length
            variance = 0.0
        else:
            logarithm = line.at(length)
            variance = min(line.variance, _MAX_SKEW_VARIANCE)
        offset = self.clients.find((stated.kind, basis, stated.client), now)
        if offset is not None:
            logarithm += offset.mean
        output = _bounded_tokens(math.exp(logarithm + variance / 2))
        return Prediction(
            stated.prompt_tokens,
            output,
            _work(stated.prompt_tokens, output, rates),
        )

    def typical(self) -> Prediction:
        """Return the mean cost, for requests whose length is not known."""
        return Prediction(self.mean_prompt, self.mean_output, self.mean)

    def record_sent(self, prediction: Prediction) -> None:
        """Record the prediction of a request that was sent."""
        self.sent_count += 1
        factor = max(1 / self.sent_count, _KIND_SMOOTHING_FACTOR)
        self.mean += factor * (prediction.work - self.mean)
        self.mean_prompt += factor * (
            prediction.prompt_tokens - self.mean_prompt
        )
        self.mean_output += factor * (
            prediction.output_tokens - self.mean_output
        )
        difference = abs(prediction.work - self.last_work) / (self.mean or 1)
        self.last_work = prediction.work
        if self.sent_count > 1:
            self.spread += _KIND_SMOOTHING_FACTOR * (difference - self.spread)

    def observe(
        self,
        stated: StatedWork,
        prediction: Prediction,
        output_tokens: float,
        rates: Rates,
        now: float,
    ) -> None:
        """Learn from a complete request.

        Args:
            stated: what its caller stated.
            prediction: what was predicted when it was sent.
            output_tokens: what it produced.
            rates: work for each token.
            now: time in seconds.
        """
        self._learn_output(stated, output_tokens, now)
        work = _work(stated.prompt_tokens, output_tokens, rates)
        self.accuracy.observe(prediction.work, work)
        if len(self.totals) >= _MAX_KINDS and stated.kind not in self.totals:
            return
        totals = self.totals.setdefault(stated.kind, KindTotals())
        totals.predicted += prediction.work
        totals.observed += work
        totals.error += abs(prediction.work - work)
        totals.count += 1

    def _learn_output(
        self, stated: StatedWork, output_tokens: float, now: float
    ) -> None:
        basis, length = _basis(stated)
        produced = math.log(_bounded_tokens(output_tokens))
        line = self.kinds.find((stated.kind, basis), now) or _Line(length)
        client_key = (stated.kind, basis, stated.client)
        offset = self.clients.find(client_key, now) or _Offset()
        offset.observe(produced - line.at(length))
        line.observe(length, produced, offset.mean)
        self.kinds.put((stated.kind, basis), line, now)
        self.clients.put(client_key, offset, now)


class _Line:
    """Logarithm of the output as a line over that of the stated length.

    It starts as the statement itself.
    """

    def __init__(self, length: float) -> None:
        self.count = _PRIOR_COUNT
        self.mean_length = length
        self.mean_output = length
        self.length_variance = 0.0
        self.covariance = 0.0
        self.variance = 0.0

    def at(self, length: float) -> float:
        """Return the expected logarithm of the output."""
        prior = _PRIOR_VARIANCE * _PRIOR_COUNT / self.count
        slope = (self.covariance + _PRIOR_SLOPE * prior) / (
            self.length_variance + prior
        )
        slope = min(max(slope, 0), 1)
        return self.mean_output + slope * (length - self.mean_length)

    def observe(self, length: float, output: float, offset: float) -> None:
        """Update the line; ``offset`` is how far the client's outputs exceed it.

        The residual is taken without the offset, which the prediction adds.
        """
        residual = output - self.at(length) - offset
        self.count += 1
        factor = max(1 / self.count, _KIND_SMOOTHING_FACTOR)
        length_change = length - self.mean_length
        output_change = output - self.mean_output
        self.mean_length += factor * length_change
        self.mean_output += factor * output_change
        kept = 1 - factor
        self.length_variance = kept * (
            self.length_variance + factor * length_change**2
        )
        self.covariance = kept * (
            self.covariance + factor * length_change * output_change
        )
        self.variance += factor * (residual**2 - self.variance)


class _Offset:
    """How far the outputs of a client exceed those of its kind, logarithmic."""

    def __init__(self) -> None:
        self.mean = 0.0
        self.count = _PRIOR_COUNT

    def observe(self, residual: float) -> None:
        """Update the mean with the distance from the line of the kind."""
        self.count += 1
        factor = max(1 / self.count, _CLIENT_SMOOTHING_FACTOR)
        self.mean += factor * (residual - self.mean)


class _Accuracy:
    """Mean errors of predictions and of the mean cost, relative to it."""

    def __init__(self) -> None:
        self.mean = 0.0
        self.count = 0
        self.constant_error = _PRIOR_CONSTANT_ERROR
        self.prediction_error = _PRIOR_PREDICTION_ERROR

    @property
    def explained(self) -> float:
        """Return by which share the error of predictions is smaller."""
        if not self.constant_error:
            return 0
        return max(1 - self.prediction_error / self.constant_error, 0)

    def observe(self, predicted: float, observed: float) -> None:
        """Record a prediction and what was observed, in seconds."""
        self.count += 1
        mean_factor = max(1 / self.count, _KIND_SMOOTHING_FACTOR)
        self.mean += mean_factor * (observed - self.mean)
        if not self.mean:
            return
        factor = max(
            1 / (self.count + _PRIOR_ERROR_COUNT), _ERROR_SMOOTHING_FACTOR
        )
        errors = [
            min(abs(estimate - observed) / self.mean, _MAX_ERROR)
            for estimate in (self.mean, predicted)
        ]
        self.constant_error += factor * (errors[0] - self.constant_error)
        self.prediction_error += factor * (errors[1] - self.prediction_error)


_Entry = TypeVar('_Entry')


class _AgedTable(Generic[_Entry]):
    """Entries by key; the one that was updated longest ago is replaced."""

    def __init__(self, size: int) -> None:
        self.size = size
        self.entries: collections.OrderedDict[
            Hashable, tuple[float, _Entry]
        ] = collections.OrderedDict()

    def find(self, key: Hashable, now: float) -> _Entry | None:
        """Return an entry that has not expired."""
        found = self.entries.get(key)
        if found is None or now - found[0] > _LIFETIME_SECONDS:
            return None
        return found[1]

    def put(self, key: Hashable, entry: _Entry, now: float) -> None:
        """Add or replace an entry, and discard the oldest one if full."""
        self.entries[key] = (now, entry)
        self.entries.move_to_end(key)
        if len(self.entries) > self.size:
            self.entries.popitem(last=False)


def _basis(stated: StatedWork) -> tuple[str, float]:
    """Return what the prediction rests on and the logarithm of the prior."""
    if stated.hint:
        return _HINT, math.log(stated.hint)
    if stated.max_output:
        return _MAXIMUM, math.log(stated.max_output * _PRIOR_MAXIMUM_SHARE)
    return _NOTHING, math.log(_PRIOR_OUTPUT_TOKENS)


def _bounded_tokens(tokens: float) -> float:
    return min(max(tokens, 1), _MAX_OUTPUT_TOKENS)


def _work(prompt_tokens: float, output_tokens: float, rates: Rates) -> float:
    return (
        prompt_tokens * rates.prompt_token + output_tokens * rates.output_token
    )
