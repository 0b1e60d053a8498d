"""Estimates the pace of a worker relative to other workers."""

import math

# Weight of the prior that a worker is as fast as the others, in observations: run
# times of a step's tasks differ by up to 0.3, and paces of workers by a factor of 1.3.
_PRIOR_OBSERVATIONS = 1.5
# Factor by which older observations decay with each new one, so that a worker that
# was slow for a few seconds regains its pace.
_DECAY = 0.9
# Limit of a single observation, as the natural logarithm of a ratio of run times.
_MAX_LOG_RATIO = 0.5
# Variance of the logarithm of a run time that one observation of weight 1 has.
OBSERVATION_VARIANCE = 0.09


class Pace:
    """Decaying average of the logarithms of a worker's run times relative to other workers.

    Attributes
    ----------
    prior_log_ratio : float
        Value that is assumed without observations: 0, or the mean of similar workers.
    """

    __slots__ = ('_count', '_decayed_at_s', '_sum', 'prior_log_ratio')

    def __init__(self) -> None:
        """Start without observations: the worker counts as fast as the others."""
        self._sum = 0.0
        self._count = 0.0
        self._decayed_at_s: float | None = None
        self.prior_log_ratio = 0.0

    @property
    def log_ratio(self) -> float:
        """Logarithm of the ratio of run times on this worker to those on other workers."""
        return (self._sum + _PRIOR_OBSERVATIONS * self.prior_log_ratio) / (self._count + _PRIOR_OBSERVATIONS)

    @property
    def variance(self) -> float:
        """Variance of the estimate."""
        return OBSERVATION_VARIANCE / (self._count + _PRIOR_OBSERVATIONS)

    @property
    def weight(self) -> float:
        """Weight of the observations."""
        return self._count

    @property
    def observed_mean(self) -> float:
        """Mean of the observations; 0 without any."""
        return self._sum / self._count if self._count else 0.0

    def observe(self, log_ratio: float, max_log_ratio: float = _MAX_LOG_RATIO, weight: float = 1.0) -> None:
        """Add the logarithm of the ratio of one task's run time to the median."""
        bounded = min(max(log_ratio, -max_log_ratio), max_log_ratio)
        decay = _DECAY**weight
        self._sum = self._sum * decay + bounded * weight
        self._count = self._count * decay + weight

    def decay(self, now_s: float, halving_time_s: float) -> None:
        """Halve the weight of the observations for each halving time since the last call."""
        if self._decayed_at_s is not None and now_s > self._decayed_at_s:
            factor = math.exp2((self._decayed_at_s - now_s) / halving_time_s)
            self._sum *= factor
            self._count *= factor
        self._decayed_at_s = now_s
