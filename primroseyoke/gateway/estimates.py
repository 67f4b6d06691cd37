"""Smoothed estimates of a measured quantity and its deviation."""

__all__ = ('Estimate',)

# Weight of a new measurement in the mean and in the mean deviation.
_SMOOTHING_FACTOR = 0.1
# Number of mean deviations that the upper bound lies above the mean.
_UPPER_DEVIATION_FACTOR = 2.0


class Estimate:
    """Mean and mean deviation of a measurement, as in RFC 6298.

    Attributes:
        mean: the smoothed mean.
        deviation: the smoothed absolute deviation from the mean.
    """

    def __init__(self, mean: float, deviation: float = 0) -> None:
        """Start with estimates that hold until measurements arrive."""
        self.mean = mean
        self.deviation = deviation

    @property
    def upper_bound(self) -> float:
        """Return a bound that few measurements exceed."""
        return self.mean + _UPPER_DEVIATION_FACTOR * self.deviation

    def observe(self, measured: float) -> None:
        """Update the estimates with a measurement."""
        distance = abs(measured - self.mean)
        self.deviation += _SMOOTHING_FACTOR * (distance - self.deviation)
        self.mean += _SMOOTHING_FACTOR * (measured - self.mean)
