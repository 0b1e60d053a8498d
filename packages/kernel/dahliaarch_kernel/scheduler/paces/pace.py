"""Estimates the pace of a worker relative to other workers."""

# Weight of the prior that a worker is as fast as the others, in observations: run
# times of a step's tasks differ by up to 0.3, and paces of workers by a factor of 1.3.
_PRIOR_OBSERVATIONS = 1.5
# Factor by which older observations decay with each new one, so that a worker that
# was slow for a few seconds regains its pace.
_DECAY = 0.9
# Limit of a single observation, as the natural logarithm of a ratio of run times.
_MAX_LOG_RATIO = 0.5


class Pace:
    """Decaying average of the logarithms of a worker's run times relative to other workers."""

    __slots__ = ('_count', '_sum')

    def __init__(self) -> None:
        """Start without observations: the worker counts as fast as the others."""
        self._sum = 0.0
        self._count = 0.0

    @property
    def log_ratio(self) -> float:
        """Logarithm of the ratio of run times on this worker to those on other workers."""
        return self._sum / (self._count + _PRIOR_OBSERVATIONS)

    def observe(self, log_ratio: float) -> None:
        """Add the logarithm of the ratio of one task's run time to the median."""
        bounded = min(max(log_ratio, -_MAX_LOG_RATIO), _MAX_LOG_RATIO)
        self._sum = self._sum * _DECAY + bounded
        self._count = self._count * _DECAY + 1.0
