"""Why ready steps are not started, and how long their jobs have had no running task."""

from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Mapping
from heapq import nsmallest
from typing import NamedTuple

from ..workload import Resources, weighted_cores
from .events import WaitReason
from .job_state import JobState, StepState
from .workers import WorkerState

# How long a job must have had no running task before its ready steps are reported, in seconds.
_REPORT_AFTER_S = 1.0
# Minimum interval at which the wait reason of a step is recomputed, in seconds.
_EXPLAIN_INTERVAL_S = 1.0
# The pool has idle capacity while a smaller share of its capacity is in use.
_IDLE_SHARE = 0.5
# Maximum number of steps explained per pass: each takes as long as a few placements.
_MAX_EXPLAINED_PER_PASS = 4


class Load(NamedTuple):
    """Number of active jobs and of waiting steps.

    Parameters
    ----------
    active_jobs : int
        Jobs that have not ended.
    waiting_by_reason : mapping
        Number of ready steps of jobs without a running task, by wait reason.
    """

    active_jobs: int
    waiting_by_reason: Mapping[WaitReason, int]


class Stall(NamedTuple):
    """A ready step whose job has no running task, or whose tasks are lasting.

    Parameters
    ----------
    since_s : float
        Start of the stall, steady clock.
    reason : WaitReason
        Wait reason, if known.
    explained_s : float
        When the reason was determined, steady clock.
    """

    since_s: float
    reason: WaitReason = WaitReason.UNKNOWN
    explained_s: float = float('-inf')


class StallTracker:
    """The ready steps of jobs without a running task, and those with lasting tasks.

    Attributes
    ----------
    used_share : float
        Share of the pool's capacity that was in use at the last update.
    """

    def __init__(self) -> None:
        """Start without stalled steps."""
        self.used_share = 1.0
        self._stall_by_step: dict[StepState, Stall] = {}
        # Since when less than half of the pool's capacity has been in use, steady clock.
        self._idle_since_s = float('inf')

    def update(self, jobs: Iterable[JobState], used: float, now_s: float) -> None:
        """Determine which steps are stalled; those that already were keep their start time.

        Parameters
        ----------
        jobs : iterable of JobState
            Jobs that have not ended.
        used : float
            Share of the pool's capacity that is in use.
        now_s : float
            The current time, steady clock.
        """
        self.used_share = used
        self._idle_since_s = min(self._idle_since_s, now_s) if self.has_idle_capacity else float('inf')
        previous = self._stall_by_step
        self._stall_by_step = {step: previous.get(step) or Stall(now_s) for step in _stalled_steps(jobs)}

    def waited_s(self, step: StepState, now_s: float) -> float:
        """Return how long a step has been stalled, in seconds; 0 if it is not."""
        stall = self._stall_by_step.get(step)
        return 0.0 if stall is None else now_s - stall.since_s

    def waited_with_idle_capacity_s(self, step: StepState, now_s: float) -> float:
        """Return how long a step has been stalled while less than half of the pool was in use, in seconds.

        For lasting tasks the whole wait counts: they serve nobody until they run,
        however busy the pool is.
        """
        waited_s = self.waited_s(step, now_s)
        return waited_s if step.spec.lasting else max(0.0, min(waited_s, now_s - self._idle_since_s))

    @property
    def has_idle_capacity(self) -> bool:
        """Whether less than half of the pool's capacity was in use at the last update."""
        return self.used_share < _IDLE_SHARE

    def set_reason(self, step: StepState, reason: WaitReason, now_s: float) -> bool:
        """Record why a step waits; return whether the reason is new and must be reported."""
        stall = self._stall_by_step.get(step)
        if stall is None:
            return False
        self._stall_by_step[step] = stall._replace(reason=reason, explained_s=now_s)
        return stall.reason is not reason

    def due_for_report(self, now_s: float) -> list[StepState]:
        """Return the steps whose wait reason is to be determined now, least recently explained first."""
        explained_s_by_step = {
            step: stall.explained_s
            for step, stall in self._stall_by_step.items()
            if now_s - stall.since_s >= _REPORT_AFTER_S and now_s - stall.explained_s >= _EXPLAIN_INTERVAL_S
        }
        return nsmallest(_MAX_EXPLAINED_PER_PASS, explained_s_by_step, key=explained_s_by_step.__getitem__)

    def count_by_reason(self) -> Mapping[WaitReason, int]:
        """Return the number of waiting steps for each reason."""
        return Counter(stall.reason for stall in self._stall_by_step.values())


def used_share(workers: Iterable[WorkerState]) -> float:
    """Return the share of the listed workers' capacity that runs use; 1 without workers.

    Workers in evacuated failure domains do not count, since nothing may be started there.
    The share is computed for accelerators and for weighted cores; the lower one is returned.
    """
    listed = [worker for worker in workers if worker.is_listed and not worker.is_evacuated]
    return min(
        _share(listed, lambda resources: float(resources.accelerators)),
        _share(listed, weighted_cores),
    )


def _share(workers: Iterable[WorkerState], size: Callable[[Resources], float]) -> float:
    capacity = sum(size(worker.profile.capacity) for worker in workers)
    used = sum(size(worker.used) for worker in workers)
    return used / capacity if capacity else 1.0


def _stalled_steps(jobs: Iterable[JobState]) -> Iterator[StepState]:
    for job in jobs:
        has_runs = _has_runs(job)
        yield from (step for step in job.ready_steps() if step.spec.lasting or not has_runs)


def _has_runs(job: JobState) -> bool:
    return any(True for _ in job.runs())
