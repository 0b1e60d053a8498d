"""Predicts the run times of a queue from job owners' estimates by online linear regression.

Estimates of some queues are off by a factor of 1.2, those of others by 3 and more. For the
latter, the mean run time of the queue is a better prediction than the estimate. The logarithm
of the run time is regressed on the logarithm of the estimate: the slope is the weight that
the estimate gets.
"""

import math

# Weight of the prior that the slope is 1, as a sum of squared logarithms.
_PRIOR_SUM_OF_SQUARES = 0.3
# Weight of the prior that estimates are unbiased, in observations.
_PRIOR_OBSERVATIONS = 3.0
# Factor by which older observations decay with each new one: recent runs predict better.
_DECAY = 0.98
# Standard deviation of the logarithm of observed over expected run times, before any observation.
PRIOR_SPREAD = 1.0
# Limit of the logarithm of observed over estimated run time, so that an outlier has little effect.
_MAX_LOG_RATIO = 3.0


class EstimateModel:
    """Regression of the run times of one queue on their estimates, both as logarithms."""

    __slots__ = ('_mean_x', '_mean_y', '_total_weight', '_sxx', '_sxy', '_syy')

    def __init__(self) -> None:
        """Start without observations: predictions equal the estimates."""
        self._total_weight = 0.0
        self._mean_x = 0.0
        self._mean_y = 0.0
        self._sxx = 0.0
        self._sxy = 0.0
        self._syy = 0.0

    def observe(self, estimate_s: float, ran_s: float, weight: float) -> None:
        """Update the regression with the run time of a task.

        Parameters
        ----------
        estimate_s, ran_s : float
            Estimated and observed run time.
        weight : float
            Weight of this observation; all tasks of a step together weigh 1, since they are alike.
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
        """Slope of the logarithm of the run time over the logarithm of the estimate."""
        return (self._sxy + _PRIOR_SUM_OF_SQUARES) / (self._sxx + _PRIOR_SUM_OF_SQUARES)

    @property
    def spread(self) -> float:
        """Standard deviation of the logarithm of observed over expected run times."""
        slope = self.slope
        residual_squares = self._syy - 2 * slope * self._sxy + slope * slope * self._sxx
        return math.sqrt((max(residual_squares, 0.0) + PRIOR_SPREAD**2) / (self._total_weight + 1.0))

    def expect_s(self, estimate_s: float) -> float:
        """Return the expected run time of a task."""
        log_x = math.log(estimate_s)
        shrinkage = self._total_weight / (self._total_weight + _PRIOR_OBSERVATIONS)
        bias = shrinkage * (self._mean_y - self._mean_x)
        return math.exp(log_x + bias + shrinkage * (self.slope - 1.0) * (log_x - self._mean_x))
