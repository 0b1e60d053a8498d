"""Predicts run times of tasks from estimates and from observed runs of their queues."""

from ...workload import StepSpec
from .estimates import EstimateModel, PRIOR_SPREAD

# Run time assumed for tasks without an estimate, in seconds.
_DEFAULT_ESTIMATE_S = 5.0


class RunTimes:
    """Predicts run times of tasks from estimates and from observed runs of their queues.

    Parameters
    ----------
    is_learning : bool
        Whether observed runs correct the estimates.
    """

    def __init__(self, *, is_learning: bool = True) -> None:
        """Start without observations: predictions equal the estimates."""
        self._is_learning = is_learning
        self._model_by_queue: dict[str, EstimateModel] = {}

    def expect_s(self, queue: str, step: StepSpec) -> float:
        """Return the expected run time of one task."""
        estimate_s = step.estimate_s or _DEFAULT_ESTIMATE_S
        model = self._model_by_queue.get(queue)
        return estimate_s if model is None else model.expect_s(estimate_s)

    def spread(self, queue: str) -> float:
        """Return the standard deviation of the logarithm of observed over expected run times of a queue."""
        model = self._model_by_queue.get(queue)
        return PRIOR_SPREAD if model is None else model.spread

    def observe(self, queue: str, step: StepSpec, ran_s: float) -> None:
        """Record the run time of a task that succeeded without resuming from a checkpoint."""
        if not self._is_learning or ran_s <= 0:
            return
        model = self._model_by_queue.setdefault(queue, EstimateModel())
        model.observe(step.estimate_s or _DEFAULT_ESTIMATE_S, ran_s, 1.0 / step.task_count)
