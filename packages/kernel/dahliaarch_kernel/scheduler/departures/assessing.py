"""Decides which runs can't end before their workers leave, and when they are stopped.

The load: some 25 of 176 workers give notice within the same second, 5.5 s before they leave,
while most of their runs last longer than that and the rest of the pool is nearly full.
"""

from collections.abc import Iterator
from enum import StrEnum
from typing import NamedTuple

from ..clock import Moment
from ..job_state import StepState
from ..prediction import MEDIAN
from ..ranks import RANK_ORDINARY
from ..runs import Run, RunPhase
from ..state import SchedulerState
from ..workers import WorkerState

# Margin between the last possible stop and a worker's departure, in seconds.
_LEAVE_MARGIN_S = 0.3
# How long before the last possible stop a stop is ordered that has waited until then, in
# seconds: more than the interval between two passes.
_LAST_STOP_LEAD_S = 0.3


class Timing(StrEnum):
    """When a run that can't end before its worker leaves is stopped."""

    #: Like every other run that has to be stopped.
    AT_ONCE = 'at once'
    #: When its tasks could start elsewhere at once, or at the last moment.
    CAPACITY_ELSEWHERE = 'capacity elsewhere'
    #: At the last moment at which a stop fits.
    LAST_MOMENT = 'last moment'


# Timing of runs of urgent work, and of other runs whose steps save progress or do not.
_URGENT_TIMING = Timing.AT_ONCE
_SAVED_TIMING = Timing.CAPACITY_ELSEWHERE
_UNSAVED_TIMING = Timing.CAPACITY_ELSEWHERE


class Departure(NamedTuple):
    """A run that can't end before its worker leaves.

    Parameters
    ----------
    run : Run
        The run.
    step : StepState
        Its step.
    last_stop_s : float
        The last time at which a stop still fits, steady clock.
    """

    run: Run
    step: StepState
    last_stop_s: float

    @property
    def members(self) -> list[Run]:
        """The runs that are stopped with it: its whole gang, or itself."""
        return list(self.step.run_by_index.values()) if self.step.spec.gang else [self.run]

    def is_last_moment(self, now_s: float) -> bool:
        """Return whether a later pass may be too late for a stop."""
        return now_s >= self.last_stop_s - _LAST_STOP_LEAD_S


def departures(state: SchedulerState, worker: WorkerState, now: Moment) -> Iterator[Departure]:
    """Yield the runs on a leaving worker that end too late, as long as a stop of them fits."""
    leaves_at_s = worker.leaves_at_s
    if leaves_at_s is None or not worker.profile.draining or worker.is_silent:
        return
    last_stop_s = leaves_at_s - state.settings.stop_timeout_s - _LEAVE_MARGIN_S
    if now.steady_s > last_stop_s:
        return
    for run in tuple(worker.run_by_key.values()):
        step = state.step_of(run.key)
        if step is None or run.phase is not RunPhase.RUNNING:
            continue
        if now.steady_s + run.left_s(now.steady_s, _min_end_probability(run, step, leaves_at_s, now)) > leaves_at_s:
            yield Departure(run, step, last_stop_s)


def timing(departure: Departure) -> Timing:
    """Return when a run is stopped whose worker leaves too early."""
    step = departure.step
    if step.spec.speculative or step.spec.lasting or _has_suspect(departure) or _is_partial_gang(step):
        return Timing.AT_ONCE
    if departure.run.rank < RANK_ORDINARY:
        # It may preempt other runs, and needs no free capacity to restart.
        return _URGENT_TIMING
    return _SAVED_TIMING if step.spec.checkpoints else _UNSAVED_TIMING


def may_stop(step: StepState) -> bool:
    """Return whether a step has enough tasks at work for one more to be stopped."""
    spec = step.spec
    if not spec.lasting or not spec.max_unavailable:
        return True
    at_work = sum(run.phase is RunPhase.RUNNING for run in step.run_by_index.values())
    return spec.task_count - at_work < spec.max_unavailable


def _min_end_probability(run: Run, step: StepState, leaves_at_s: float, now: Moment) -> float:
    """Return the probability of ending before the worker leaves from which a run is left alone.

    A stop loses the work that is not saved; staying in vain delays the restart by the rest of the notice. A
    run that is more likely than not to end in time is left alone in any case.
    """
    if step.spec.checkpoints:
        return MEDIAN
    lost_s = max(0.0, now.steady_s - run.started_s)
    delay_s = max(0.0, leaves_at_s - now.steady_s)
    return min(MEDIAN, delay_s / (delay_s + lost_s)) if delay_s else 0.0


def _has_suspect(departure: Departure) -> bool:
    """Return whether a task to be stopped is suspected of crashing workers: it must start in isolation."""
    suspects = departure.step.suspects
    return any(run.isolation_s or run.key.task_index in suspects for run in departure.members)


def _is_partial_gang(step: StepState) -> bool:
    """Return whether members of a gang are unknown or have ended, so that it is ending already."""
    return step.spec.gang and len(step.run_by_index) < step.spec.task_count
