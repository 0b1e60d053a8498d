"""How far an owner's estimates predict the run times of a queue.

Estimates of some queues are off by 1.2 times, of others by 3 and more: there the
usual time of the queue predicts more than the estimate. Logarithms of times are
held against logarithms of estimates; how steep the line through them is says how
much of an estimate to believe.
"""

import math

# Weight of the belief that estimates predict everything, in squared logarithms.
_PRIOR_SUM_OF_SQUARES = 0.3
# Weight of the belief that they are right in the mean, in observations.
_PRIOR_OBSERVATIONS = 3.0
# Share of what is known that stays with each observation: recent work predicts more.
_DECAY = 0.98
# Spread of times around what is expected, in logarithms, before any was seen.
PRIOR_SPREAD = 1.0
# Bounds of one observation, so that a single odd run moves little.
_MAX_LOG_RATIO = 3.0


class EstimateModel:
    """What is known of one queue's estimates."""

    __slots__ = ('_mean_x', '_mean_y', '_total_weight', '_sxx', '_sxy', '_syy')

    def __init__(self) -> None:
        """Start by believing every estimate."""
        self._total_weight = 0.0
        self._mean_x = 0.0
        self._mean_y = 0.0
        self._sxx = 0.0
        self._sxy = 0.0
        self._syy = 0.0

    def observe(self, estimate_s: float, ran_s: float, weight: float) -> None:
        """Take in the run time of a task that was estimated.

        Parameters
        ----------
        estimate_s, ran_s : float
            What the owner guessed, and what was seen.
        weight : float
            Share of one observation: tasks of a step tell the same.
        """
        log_x = math.log(estimate_s)
        log_ratio = math.log(ran_s) - log_x
        log_y = log_x + min(max(log_ratio, -_MAX_LOG_RATIO), _MAX_LOG_RATIO)
        decay = _DECAY**weight
        self._total_weight = self._total_weight * decay + weight
        deviation_x = log_x - self._mean_x
        deviation_y = log_y - self._mean_y
        self._mean_x += weight * deviation_x / self._total_weight
        self._mean_y += weight * deviation_y / self._total_weight
        self._sxx = self._sxx * decay + weight * deviation_x * (log_x - self._mean_x)
        self._sxy = self._sxy * decay + weight * deviation_x * (log_y - self._mean_y)
        self._syy = self._syy * decay + weight * deviation_y * (log_y - self._mean_y)

    @property
    def slope(self) -> float:
        """How much longer tasks take, in logarithms, for each step of the estimate."""
        return (self._sxy + _PRIOR_SUM_OF_SQUARES) / (self._sxx + _PRIOR_SUM_OF_SQUARES)

    @property
    def spread(self) -> float:
        """Spread of times around what is expected, in logarithms."""
        slope = self.slope
        residual_squares = self._syy - 2 * slope * self._sxy + slope * slope * self._sxx
        return math.sqrt((max(residual_squares, 0.0) + PRIOR_SPREAD**2) / (self._total_weight + 1.0))

    def expect_s(self, estimate_s: float) -> float:
        """Return the expected run time of a task."""
        log_x = math.log(estimate_s)
        shrinkage = self._total_weight / (self._total_weight + _PRIOR_OBSERVATIONS)
        bias = shrinkage * (self._mean_y - self._mean_x)
        return math.exp(log_x + bias + shrinkage * (self.slope - 1.0) * (log_x - self._mean_x))
