"""Run times and sizes learned from what has ended."""

from ..workload import StepSpec

# Weight of the newest observation; recent work tells more than old.
_NEWEST_WEIGHT = 0.15
# Bounds of one observation, so that a single odd run moves little.
_LEAST_RATIO = 0.3
_LARGEST_RATIO = 4.0
# Expected run time where the owner gave no estimate, in seconds.
_UNKNOWN_WORK_S = 5.0


class RunTimes:
    """Learned ratio of real to estimated run times, by queue."""

    def __init__(self) -> None:
        """Start by trusting the estimates."""
        self._ratio_by_queue: dict[str, float] = {}
        self._work_by_queue: dict[str, float] = {}

    def expect_s(self, queue: str, step: StepSpec) -> float:
        """Return the expected run time of one task."""
        estimate_s = step.estimate_s or _UNKNOWN_WORK_S
        return estimate_s * self._ratio_by_queue.get(queue, 1.0)

    def observe(self, queue: str, step: StepSpec, ran_s: float) -> None:
        """Take in a run that succeeded from its beginning."""
        if not step.estimate_s:
            return
        ratio = min(max(ran_s / step.estimate_s, _LEAST_RATIO), _LARGEST_RATIO)
        known = self._ratio_by_queue.get(queue, 1.0)
        self._ratio_by_queue[queue] = known + _NEWEST_WEIGHT * (ratio - known)

    def observe_job(self, queue: str, work: float) -> None:
        """Take in the size of an accepted job."""
        known = self._work_by_queue.get(queue, work)
        self._work_by_queue[queue] = known + _NEWEST_WEIGHT * (work - known)

    def mean_work(self, queue: str) -> float:
        """Return the mean size of a queue's jobs."""
        return self._work_by_queue.get(queue, 1.0)
