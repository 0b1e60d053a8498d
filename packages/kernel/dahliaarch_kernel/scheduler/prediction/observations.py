"""Observations of run times from the ends of runs.

Load: a fifth of the runs is stopped, fails or is lost before its end. The long ones among
them are stopped more often than the short ones, so that the runs that succeed look shorter
than runs are.
"""

from ..events import EndKind
from ..job_state import StepState
from ..runs import Run
from .run_times import RunTimes


def observe_end(times: RunTimes, step: StepState, run: Run, kind: EndKind, now_s: float) -> None:
    """Record how long a run lasted, relative to the time that was expected when it was ordered.

    A run that did not succeed would have lasted longer than it did. Runs that resumed from a
    checkpoint, started on a cold worker or were inherited from a previous owner tell nothing,
    nor do refused ones. The members of a gang end together: the first end counts for the gang.

    Parameters
    ----------
    times : RunTimes
        Predictions to update.
    step : StepState
        The step, with the run not yet removed.
    run : Run
        The run that ended.
    kind : EndKind
        How it ended.
    now_s : float
        The current time, steady clock.
    """
    if step.spec.lasting or not run.shows_run_time or run.work_s <= 0 or kind is EndKind.REFUSED:
        return
    if step.spec.gang and not _is_first_end(step, run):
        return
    is_complete = kind is EndKind.DONE
    # Only a success or a failure is known to be reported when it happens.
    lasted_s = now_s - run.started_s if is_complete or kind is EndKind.FAILED else run.ran_s
    weight = 1.0 if step.spec.gang else 1.0 / step.spec.task_count
    job = step.job
    times.observe_ratio(job.queue.name, job.spec.account, lasted_s / run.work_s, weight, is_complete=is_complete)


def _is_first_end(step: StepState, run: Run) -> bool:
    """Return whether all members of a run of a gang are still known to run."""
    members = sum(other.number == run.number for other in step.run_by_index.values())
    return run.key.task_index not in step.done and members == step.spec.task_count
