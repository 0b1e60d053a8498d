"""Run times and paces of workers, learned from what was seen.

Owners' estimates are off by far more than workers differ, so a worker's pace is
learned from tasks that are alike: tasks of one step do much the same work, and
what one takes longer than the others is its worker's doing.
"""

import math
from collections.abc import Collection

from ..workload import StepSpec
from .estimates import EstimateModel, PRIOR_SPREAD
from .job_state import StepState
from .runs import Run
from .workers import WorkerState

# Expected run time where the owner gave no estimate, in seconds.
_DEFAULT_ESTIMATE_S = 5.0
# Share of its work from which a run's pace tells how long it will take, in
# percent: reports are in whole percent and a second apart.
_CONCLUSIVE_PERCENT = 20.0
# Other runs of a step that tell what is usual.
_MIN_PEERS = 2
# Place, in the order of their paces, of the worker that counts as sound.
_REFERENCE_QUANTILE = 0.25


class RunTimes:
    """Learned run times, by queue."""

    def __init__(self, *, is_learning: bool = True) -> None:
        """Start by trusting the estimates."""
        self._is_learning = is_learning
        self._model_by_queue: dict[str, EstimateModel] = {}

    def expect_s(self, queue: str, step: StepSpec) -> float:
        """Return the expected run time of one task."""
        estimate_s = step.estimate_s or _DEFAULT_ESTIMATE_S
        model = self._model_by_queue.get(queue)
        return estimate_s if model is None else model.expect_s(estimate_s)

    def spread(self, queue: str) -> float:
        """Return how far run times of a queue spread around what is expected, in logarithms."""
        model = self._model_by_queue.get(queue)
        return PRIOR_SPREAD if model is None else model.spread

    def observe(self, queue: str, step: StepSpec, ran_s: float) -> None:
        """Take in a run that succeeded from its beginning."""
        if not self._is_learning or ran_s <= 0:
            return
        model = self._model_by_queue.setdefault(queue, EstimateModel())
        model.observe(step.estimate_s or _DEFAULT_ESTIMATE_S, ran_s, 1.0 / step.task_count)


def observe_pace(step: StepState, run: Run, worker: WorkerState, elapsed_s: float, share: float) -> None:
    """Take in that a run has done a share of its work in a time.

    A run tells once, when enough of it is done, and only if it began at the
    beginning of its work and alone: members of a gang are as fast as the
    slowest of them.
    """
    if run.has_reported_pace or run.began_from_checkpoint or step.spec.gang or step.spec.lasting:
        return
    if share * 100.0 < _CONCLUSIVE_PERCENT or elapsed_s <= 0:
        return
    run.has_reported_pace = True
    log_time = math.log(elapsed_s / share)
    median = _median_log_time(step)
    if median is not None:
        worker.pace.observe(log_time - median)
    step.log_times.append(log_time - worker.pace.log_ratio)


def update_slowdowns(workers: Collection[WorkerState]) -> None:
    """Hold each worker's pace against that of a sound one."""
    ratios = sorted(worker.pace.log_ratio for worker in workers)
    reference = ratios[int(len(ratios) * _REFERENCE_QUANTILE)] if ratios else 0.0
    for worker in workers:
        worker.slowdown = max(1.0, math.exp(worker.pace.log_ratio - reference))


def _median_log_time(step: StepState) -> float | None:
    """Return the logarithm of the time that a task of a step usually takes."""
    ordered = sorted(step.log_times)
    if len(ordered) < _MIN_PEERS:
        return None
    return ordered[len(ordered) // 2]
