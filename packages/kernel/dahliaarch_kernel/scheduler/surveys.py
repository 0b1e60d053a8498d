"""Applies a worker's list of runs: updates progress, adopts runs and detects lost ones."""

from collections.abc import Sequence

from ..workload import NO_RESOURCES
from .clock import Moment
from .crashes import clear_suspect
from .ends import apply_run_end
from .events import EndKind, ListedRun, LossCause, RunEnd
from .job_state import StepState
from .paces.gangs import observe_gang
from .paces.learning import observe_pace
from .ranks import rank_of_queue
from .room import effective_demand
from .runs import Run, RunPhase
from .state import SchedulerState
from .workers import WorkerState

# Progress of a completed run, in percent.
_FULL_PERCENT = 100.0


def apply_survey(
    state: SchedulerState,
    worker: WorkerState,
    running: Sequence[ListedRun],
    requested_s: float,
    now: Moment,
    *,
    is_complete: bool = True,
) -> None:
    """Reconcile the scheduler's state with the runs that a worker lists.

    Parameters
    ----------
    state : SchedulerState
        State of the scheduler.
    worker : WorkerState
        The worker that was surveyed.
    running : sequence of ListedRun
        Runs on the worker; the ends that it listed must have been applied before.
    requested_s : float
        Steady time of the request: the list does not cover starts after it.
    now : Moment
        Current time.
    is_complete : bool
        Whether the worker listed all ends. A full list of ends leaves out the latest ones, so that a
        missing run may have succeeded and must not start again.
    """
    worker.is_surveyed = worker.is_surveyed or is_complete
    worker.silent_since_s = None
    state.surveyed_workers.add(worker.worker_id)
    unassigned = [run for each in running if (run := _apply_listed_run(state, worker, each, now)) is not None]
    if worker.replace_unassigned_runs(unassigned):
        state.failed_searches.grown_workers.add(worker.worker_id)
    listed_keys = {(listed_run.key, listed_run.run) for listed_run in running}
    for run in tuple(worker.run_by_key.values()):
        if (run.key, run.number) in listed_keys:
            continue
        if not is_complete or not _is_known_absent(run, requested_s):
            run.was_unlisted = run.was_unlisted or run.started_s < requested_s
            continue
        state.record_loss(worker, run, LossCause.NOT_LISTED)
        apply_run_end(state, RunEnd(worker.worker_id, run.key, run.number, EndKind.LAPSED, run.checkpoint), now)


def _is_known_absent(run: Run, requested_s: float) -> bool:
    """Return whether a run that is missing from a list requested at a given time is certainly not on the worker."""
    # A worker refuses orders of previous owners once it has answered this one.
    return run.is_inherited or (run.is_confirmed and run.last_seen_s < requested_s)


def _apply_listed_run(state: SchedulerState, worker: WorkerState, listed_run: ListedRun, now: Moment) -> Run | None:
    """Update or adopt a listed run; stop and return it if no task needs it."""
    run = worker.run_by_key.get(listed_run.key)
    if run is None or run.number != listed_run.run:
        step = state.step_of(listed_run.key)
        reason = _stop_reason(step, worker, listed_run)
        if step is None or reason:
            return _stop_unassigned(state, step, worker, listed_run, reason, now)
        run = _adopt(state, step, worker, listed_run, now)
    _update_run(state, worker, run, listed_run, now)
    return None


def _update_run(state: SchedulerState, worker: WorkerState, run: Run, listed_run: ListedRun, now: Moment) -> None:
    if run.phase is RunPhase.STARTING:
        run.phase = RunPhase.RUNNING
        state.job_by_id[run.key.job_id].mark_begun()
    run.is_confirmed = True
    run.is_inherited = False
    run.record_progress(listed_run.percent, now.steady_s)
    step = state.step_of(run.key)
    if step is not None:
        clear_suspect(step, run)
        share = listed_run.percent / _FULL_PERCENT
        observe_pace(step, run, worker, now.steady_s - run.started_s, share, state.settings)
        observe_gang(state, step, run, now, has_ended=False)
    if listed_run.checkpoint:
        run.checkpoint = listed_run.checkpoint


def _stop_reason(step: StepState | None, worker: WorkerState, listed_run: ListedRun) -> str:
    """Return why a listed run that the scheduler does not know is not needed; empty if it can be adopted."""
    if worker.is_lapsed:
        # The next owner may already have read from the store that nothing runs on this worker.
        return 'lease had ended'
    if step is None or step.job.has_ended or listed_run.key.task_index in step.done:
        return 'run of a task that needs none'
    is_elsewhere = listed_run.key.task_index in step.run_by_index
    if is_elsewhere or (step.spec.gang and _has_other_run(list(step.run_by_index.values()), listed_run.run)):
        return 'task runs elsewhere'
    return ''


def _stop_unassigned(
    state: SchedulerState,
    step: StepState | None,
    worker: WorkerState,
    listed_run: ListedRun,
    reason: str,
    now: Moment,
) -> Run:
    """Order the stop of a listed run that is not needed, and return the run, which holds capacity until it is gone."""
    # What the tasks of a forgotten job hold is unknown.
    demand = NO_RESOURCES if step is None else effective_demand(step)
    run = Run(listed_run.key, listed_run.run, worker.worker_id, demand, now.steady_s, 0.0)
    state.stop(run, reason)
    return run


def _adopt(state: SchedulerState, step: StepState, worker: WorkerState, listed_run: ListedRun, now: Moment) -> Run:
    """Adopt a run that a previous owner started."""
    work_s = state.times.expect_s(step.job.queue.name, step.spec)
    started_s = now.steady_s - work_s * listed_run.percent / _FULL_PERCENT
    run = Run(listed_run.key, listed_run.run, worker.worker_id, effective_demand(step), started_s, work_s)
    run.phase = RunPhase.RUNNING
    # Its start time is unknown, so the worker's pace can't be learned from it.
    run.has_reported_pace = True
    run.discard_pace_baseline()
    run.rank = rank_of_queue(step.job.queue)
    run.last_seen_s = now.steady_s
    run.assigned_s = now.wall_s - (now.steady_s - started_s)
    state.add_run(step, run)
    step.job.mark_begun()
    if worker.may_hide_ends:
        state.stop(run, 'its worker may not list its end')
    return run


def _has_other_run(runs: list[Run], number: int) -> bool:
    return any(run.number != number for run in runs)
