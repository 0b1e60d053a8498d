"""Applies a worker's list of runs: updates progress, adopts runs and detects lost ones."""

from collections.abc import Sequence

from .clock import Moment
from .crashes import clear_suspect
from .ends import apply_run_end
from .events import EndKind, ListedRun, LossCause, RunEnd
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
    """
    worker.is_surveyed = True
    worker.silent_since_s = None
    state.surveyed_workers.add(worker.worker_id)
    listed_keys = set()
    for listed_run in running:
        listed_keys.add((listed_run.key, listed_run.run))
        _apply_listed_run(state, worker, listed_run, now)
    for run in tuple(worker.run_by_key.values()):
        if (run.key, run.number) in listed_keys:
            continue
        if not _is_known_absent(run, requested_s):
            run.was_unlisted = run.was_unlisted or run.started_s < requested_s
            continue
        state.record_loss(worker, run, LossCause.NOT_LISTED)
        apply_run_end(state, RunEnd(worker.worker_id, run.key, run.number, EndKind.LAPSED, run.checkpoint), now)


def _is_known_absent(run: Run, requested_s: float) -> bool:
    """Return whether a run that is missing from a list requested at a given time is certainly not on the worker."""
    # A worker refuses orders of previous owners once it has answered this one.
    return run.is_inherited or (run.is_confirmed and run.last_seen_s < requested_s)


def _apply_listed_run(state: SchedulerState, worker: WorkerState, listed_run: ListedRun, now: Moment) -> None:
    run = worker.run_by_key.get(listed_run.key)
    if run is None or run.number != listed_run.run:
        run = _adopt(state, worker, listed_run, now)
        if run is None:
            return
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


def _adopt(state: SchedulerState, worker: WorkerState, listed_run: ListedRun, now: Moment) -> Run | None:
    """Adopt a run that a previous owner started, or stop one that is not needed."""
    step = state.step_of(listed_run.key)
    unexpected = Run(
        listed_run.key, listed_run.run, worker.worker_id, worker.profile.capacity.times(0), now.steady_s, 0.0
    )
    if worker.is_lapsed:
        # The next owner may already have read from the store that nothing runs on this worker.
        state.stop(unexpected, 'lease had ended')
        return None
    if step is None or step.job.has_ended or listed_run.key.task_index in step.done:
        state.stop(unexpected, 'run of a task that needs none')
        return None
    other = step.run_by_index.get(listed_run.key.task_index)
    if other is not None or (step.spec.gang and _has_other_run(list(step.run_by_index.values()), listed_run.run)):
        state.stop(unexpected, 'task runs elsewhere')
        return None
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
