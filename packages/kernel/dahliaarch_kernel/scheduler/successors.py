"""Holds back tasks that the next incarnation of a worker may run because of an unacknowledged start.

A start order that one incarnation did not answer may be carried out by the next one. The task
waits until the next incarnation has listed its runs: only the list shows whether the task runs
there, and only after its first answer does that incarnation refuse orders for the previous one.
If the previous incarnation was given up in silence, the next one may run before it has answered.
"""

from collections.abc import Iterator

from .clock import Moment
from .job_state import StepState
from .state import part_of, SchedulerState
from .workers import WorkerState


def note_successor(state: SchedulerState, worker_id: str, successor_id: str, until_s: float) -> None:
    """Record that another incarnation of a worker has answered.

    Parameters
    ----------
    state : SchedulerState
        State of the scheduler, which must still hold the runs of ``worker_id``.
    worker_id, successor_id : str
        The incarnation that is over and the one that answered.
    until_s : float
        Steady time until which a delayed start may run on the successor if it reports nothing.
    """
    for step in tuple(_steps_with_unacknowledged_starts(state, worker_id)):
        step.awaited_until_by_worker.pop(worker_id, None)
        wait_for_survey(state, step, successor_id, until_s)
    for unanswered_step, late_until_s in _steps_with_unanswered_starts(state, worker_id):
        wait_for_survey(state, unanswered_step, successor_id, late_until_s)


def note_given_up(state: SchedulerState, worker: WorkerState) -> None:
    """Record that an incarnation was given up in silence, before its runs are removed.

    Steps that already wait for its list continue to wait.
    """
    worker_id = worker.worker_id
    if not worker.late_order_s or worker_id in state.given_up_unacknowledged:
        return
    for step, until_s in _steps_with_unanswered_starts(state, worker_id):
        wait_for_survey(state, step, worker_id, until_s)
    if worker_id in state.awaited_incarnations:
        state.given_up_unacknowledged.add(worker_id)


def wait_for_survey(state: SchedulerState, step: StepState, worker_id: str, until_s: float) -> None:
    """Make tasks of a step wait until an incarnation has listed its runs; an existing deadline stays in force."""
    step.awaited_until_by_worker.setdefault(worker_id, until_s)
    state.awaited_incarnations.add(worker_id)
    state.unsaved_assignments.add(part_of(step.key(0)))


def is_waiting_for_survey(state: SchedulerState, step: StepState, now: Moment) -> bool:
    """Return whether tasks of a step may run on an incarnation that has not listed its runs yet."""
    awaited = step.awaited_until_by_worker
    if not awaited:
        return False
    step.awaited_until_by_worker = {
        worker_id: until_s
        for worker_id, until_s in awaited.items()
        if until_s > now.steady_s and _is_survey_pending(state, worker_id)
    }
    return bool(step.awaited_until_by_worker)


def _is_survey_pending(state: SchedulerState, worker_id: str) -> bool:
    """Return whether an incarnation may still be alive and has not listed its runs yet."""
    worker = state.worker_by_id.get(worker_id)
    return worker_id in state.given_up_unacknowledged or (worker is not None and not worker.is_surveyed)


def _steps_with_unacknowledged_starts(state: SchedulerState, worker_id: str) -> Iterator[StepState]:
    """Yield the steps with a start that an incarnation did not acknowledge, and the steps that wait for its list."""
    worker = state.worker_by_id.get(worker_id)
    for run in worker.run_by_key.values() if worker is not None else ():
        step = state.step_of(run.key)
        if step is not None and not run.is_confirmed:
            yield step
    if _is_survey_pending(state, worker_id):
        for job in state.active_jobs():
            yield from (step for step in job.step_by_key.values() if worker_id in step.awaited_until_by_worker)


def _steps_with_unanswered_starts(state: SchedulerState, worker_id: str) -> Iterator[tuple[StepState, float]]:
    """Yield the steps with unanswered attempts to start a task on an incarnation that is over.

    Only tasks that are pending or assigned to that incarnation count; the outcome of other attempts does not matter.
    Each step comes with the steady time until which such an attempt may still be carried out.
    """
    worker = state.worker_by_id.get(worker_id)
    if worker is None:
        return
    for key, sent_s in worker.unanswered_starts.items():
        step = state.step_of(key)
        if step is None:
            continue
        run = step.run_by_index.get(key.task_index)
        is_on_worker = run is not None and run.worker_id == worker_id
        if is_on_worker or key.task_index in step.pending:
            yield step, sent_s + worker.late_order_s
