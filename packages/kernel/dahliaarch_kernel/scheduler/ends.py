"""Handling of the ends of runs.

Handlers are looked up in a table, not by `singledispatch`, because the kinds of
end are members of one enumeration rather than types.
"""

from collections.abc import Callable

from .clock import Moment
from .departures.gangs import note_lost_member
from .events import EndKind, RunEnd
from .job_state import JobPhase, StepState
from .paces.gangs import observe_gang
from .paces.learning import observe_pace
from .prediction.observations import observe_end
from .runs import Run, RunPhase
from .state import SchedulerState

# Number of workers on which a job must fail, without any success, before the failures
# are attributed to the job rather than to the workers.
_FAULTY_JOB_MIN_WORKERS = 2
# Delay before a step is started again after a worker refused it, in seconds.
_REFUSED_STEP_DELAY_S = 0.3
# How long the step then prefers workers other than the one that refused, in seconds.
_REFUSING_WORKER_AVOIDANCE_S = 4.0


def apply_run_end(state: SchedulerState, end: RunEnd, now: Moment) -> None:
    """Apply the end of a run; a repeated report has no effect."""
    step = state.step_of(end.key)
    if step is None:
        return
    run = step.run_by_index.get(end.key.task_index)
    is_current = run is not None and run.number == end.run and run.worker_id == end.worker_id
    if run is not None and is_current:
        if end.kind is not EndKind.DONE:
            note_lost_member(state, run)
        observe_end(state.times, step, run, end.kind, now.steady_s)
        state.remove_run(run)
    _HANDLER_BY_KIND.get(end.kind, _on_interrupted)(state, step, end, run if is_current else None, now)


def _on_done(state: SchedulerState, step: StepState, end: RunEnd, run: Run | None, now: Moment) -> None:
    job = step.job
    if step.spec.lasting:
        return
    worker = state.worker_by_id.get(end.worker_id)
    if worker is not None:
        worker.failed_jobs.clear()
    if run is not None and worker is not None and run.shows_run_time:
        ran_s = now.steady_s - run.started_s
        observe_gang(state, step, run, now, has_ended=True)
        state.times.observe(job.queue.name, step.spec, ran_s / run.slowdown)
        observe_pace(step, run, worker, ran_s, 1.0, state.settings)
    job.has_success = True
    was_done = end.key.task_index in step.done
    step.mark_done(end.key.task_index)
    _stop_redundant_runs(state, step, end)
    if not was_done and not job.has_ended:
        state.dirty_jobs.add(job.spec.job_id)
    if not job.has_ended and job.has_succeeded():
        state.end_job(job, JobPhase.SUCCEEDED, now.wall_s, 'job succeeded')


def _stop_redundant_runs(state: SchedulerState, step: StepState, end: RunEnd) -> None:
    """Stop other runs of tasks that have succeeded; members of the same gang run end by themselves."""
    for index, other in tuple(step.run_by_index.items()):
        if index in step.done and other.number != end.run:
            state.stop(other, 'task has succeeded')


def _on_failed(state: SchedulerState, step: StepState, end: RunEnd, run: Run | None, now: Moment) -> None:
    job = step.job
    _attribute_failure(state, step, end)
    if step.spec.lasting or end.key.task_index in step.done:
        return
    failures = step.count_failure(end.key.task_index, end.run)
    step.failed_worker_ids.add(end.worker_id)
    if job.has_ended:
        return
    state.dirty_jobs.add(job.spec.job_id)
    if failures >= job.queue.max_attempts:
        state.end_job(job, JobPhase.FAILED, now.wall_s, 'job failed')


def _attribute_failure(state: SchedulerState, step: StepState, end: RunEnd) -> None:
    """Attribute a failure to the worker, or to the job if it has failed on several workers without a success.

    Workers on which other jobs failed as well are no evidence against the job.
    """
    job = step.job
    worker = state.worker_by_id.get(end.worker_id)
    if worker is None or worker.failed_jobs <= {job.spec.job_id}:
        job.failed_worker_ids.add(end.worker_id)
    if worker is None:
        return
    if len(job.failed_worker_ids) >= _FAULTY_JOB_MIN_WORKERS and not job.has_success:
        worker.failed_jobs.discard(job.spec.job_id)
        return
    worker.failed_jobs.add(job.spec.job_id)


def _on_interrupted(state: SchedulerState, step: StepState, end: RunEnd, run: Run | None, now: Moment) -> None:
    """Store the checkpoint of a run that was stopped, lapsed or lost its gang."""
    if not end.checkpoint or step.job.has_ended or end.key.task_index in step.done:
        return
    step.checkpoint_by_index[end.key.task_index] = end.checkpoint
    state.dirty_jobs.add(step.job.spec.job_id)


def _on_refused(state: SchedulerState, step: StepState, end: RunEnd, run: Run | None, now: Moment) -> None:
    """Avoid the worker for a while, and stop the rest of a gang, which can't run without this member."""
    step.refused_until_s = now.steady_s + _REFUSED_STEP_DELAY_S
    worker = state.worker_by_id.get(end.worker_id)
    if step.advice is not None:
        # An invalid ticket is a likelier cause than the worker.
        step.advice.invalidate_ticket(end.worker_id)
    elif worker is not None:
        worker.refusal_backoff.record_refusal(end.key.job_id, now.steady_s)
        step.refused_until_by_worker[end.worker_id] = now.steady_s + _REFUSING_WORKER_AVOIDANCE_S
    if not step.spec.gang or run is None:
        return
    for member in tuple(step.run_by_index.values()):
        if member is not run and member.number == run.number and member.phase is not RunPhase.STOPPING:
            state.stop(member, 'a member of the gang was refused')


_Handler = Callable[[SchedulerState, StepState, RunEnd, Run | None, Moment], None]
_HANDLER_BY_KIND: dict[EndKind, _Handler] = {
    EndKind.DONE: _on_done,
    EndKind.FAILED: _on_failed,
    EndKind.REFUSED: _on_refused,
}
