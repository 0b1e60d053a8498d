"""How fast a worker is against the others."""

# Weight of the belief that a worker is like the others, in observations: tasks
# of a step differ by up to 0.3 and workers by 1.3 times.
_PRIOR_OBSERVATIONS = 1.5
# Share of what was known before that stays with each observation, so that a
# worker that was slow for some seconds is trusted again.
_DECAY = 0.9
# Largest effect of one observation: natural logarithm of a ratio of times.
_MAX_LOG_RATIO = 0.5


class Pace:
    """What is known of one worker's pace, as logarithms of ratios of times."""

    __slots__ = ('_count', '_sum')

    def __init__(self) -> None:
        """Start by taking it for one like the others."""
        self._sum = 0.0
        self._count = 0.0

    @property
    def log_ratio(self) -> float:
        """Logarithm of how many times as long tasks take here as elsewhere."""
        return self._sum / (self._count + _PRIOR_OBSERVATIONS)

    def observe(self, log_ratio: float) -> None:
        """Take in one task's time against the usual one."""
        bounded = min(max(log_ratio, -_MAX_LOG_RATIO), _MAX_LOG_RATIO)
        self._sum = self._sum * _DECAY + bounded
        self._count = self._count * _DECAY + 1.0
