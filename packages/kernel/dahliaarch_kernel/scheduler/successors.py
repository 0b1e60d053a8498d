"""Tasks that the next incarnation of a worker may have begun, by a start that the incarnation before did not answer.

They wait until that incarnation has said what runs there: only then is it known, and only
from its first answer on does it refuse what was meant for the incarnation before. Where the
incarnation before was given up in silence, a next one may have begun without having answered.
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
        What is believed.
    worker_id, successor_id : str
        The incarnation that is over, its runs still known, and the one that answered.
    until_s : float
        Until when a late start may run there if nothing is reported, steady clock.
    """
    for step in tuple(_steps_with_unacknowledged_starts(state, worker_id)):
        step.awaited_until_by_worker.pop(worker_id, None)
        wait_for_survey(state, step, successor_id, until_s)
    for unanswered_step, late_until_s in _steps_with_unanswered_starts(state, worker_id):
        wait_for_survey(state, unanswered_step, successor_id, late_until_s)


def note_given_up(state: SchedulerState, worker: WorkerState) -> None:
    """Record that an incarnation was given up in silence, its runs known; what waits for its list already waits on."""
    worker_id = worker.worker_id
    if not worker.late_order_s or worker_id in state.given_up_unacknowledged:
        return
    for step, until_s in _steps_with_unanswered_starts(state, worker_id):
        wait_for_survey(state, step, worker_id, until_s)
    if worker_id in state.awaited_incarnations:
        state.given_up_unacknowledged.add(worker_id)


def wait_for_survey(state: SchedulerState, step: StepState, worker_id: str, until_s: float) -> None:
    """Let tasks of a step wait for the list of an incarnation; what waits already does so until its own time."""
    step.awaited_until_by_worker.setdefault(worker_id, until_s)
    state.awaited_incarnations.add(worker_id)
    state.unkept_assignments.add(part_of(step.key(0)))


def is_waiting_for_survey(state: SchedulerState, step: StepState, now: Moment) -> bool:
    """Tell whether tasks of a step may run on an incarnation of a worker that has not said what runs there."""
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
    """Tell whether an incarnation goes on, as far as is known, and has not said what runs there."""
    worker = state.worker_by_id.get(worker_id)
    return worker_id in state.given_up_unacknowledged or (worker is not None and not worker.is_surveyed)


def _steps_with_unacknowledged_starts(state: SchedulerState, worker_id: str) -> Iterator[StepState]:
    """Yield the steps with a start that an incarnation did not answer, and those that wait for it themselves."""
    worker = state.worker_by_id.get(worker_id)
    for run in worker.run_by_key.values() if worker is not None else ():
        step = state.step_of(run.key)
        if step is not None and not run.is_confirmed:
            yield step
    if _is_survey_pending(state, worker_id):
        for job in state.active_jobs():
            yield from (step for step in job.step_by_key.values() if worker_id in step.awaited_until_by_worker)


def _steps_with_unanswered_starts(state: SchedulerState, worker_id: str) -> Iterator[tuple[StepState, float]]:
    """Yield the steps whose tasks wait, or run on an incarnation that is over, with tries of a start without an answer.

    What became of other tries does not matter. Each comes with the time until when such a try may still run.
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
