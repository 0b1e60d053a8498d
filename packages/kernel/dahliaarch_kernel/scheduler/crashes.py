"""Crash accounting for tasks: crash counts, isolation of suspects and the crash limit.

A worker that crashes does not report the cause, and all of its runs are lost with it.
A crash therefore counts against every task that ran there. Tasks that become suspects
run isolated, one at a time: a suspect starts on an empty worker or, after a bounded
wait, on a worker without another isolated run, and nothing else starts there until the
run has outlasted the task's earlier runs. If the worker crashes before that, the crash
counts against the isolated task and against tasks that had started there shortly before
it, and against no others. When several workers crash together, an external cause is
assumed unless tasks of one step ran on several of them: the crashes are discounted for
tasks that had been running for a while.
"""

from collections.abc import Iterable, Sequence

from ..workload import TaskKey
from .clock import Moment
from .events import CrashCounted, TaskGivenUp
from .job_state import JobPhase, JobState, StepState
from .progress import counted_crashes, Crash, is_suspect, SUSPICION_S
from .runs import Run
from .state import SchedulerState, SilentLoss, WorkerCrash
from .workers import WorkerState

# A task with this many counted crashes is over the crash limit if the latest one is
# conclusive. Two crashes are enough to make a task a suspect.
_MAX_CRASHES_IF_CONCLUSIVE = 3
# A task with this many counted crashes is over the crash limit whatever else ran on
# those workers: users tolerate two more starts once three workers have crashed, and one
# start may already be in flight without the owner knowing.
_MAX_COUNTED_CRASHES = 4
# The same limit when discounted crashes are included.
_MAX_CRASHES = 5
# Crashes that become known within this time of each other count as simultaneous, in
# seconds: restarted workers come back, and are detected, some tenths of a second apart.
_CORRELATION_WINDOW_S = 2.0
# Number of other workers, without tasks of the same step, whose simultaneous crashes
# make a crash a correlated one.
_MIN_UNRELATED = 2
# Maximum number of discounted crashes per task: the task may still have caused some of them.
_MAX_DISCOUNTED_CRASHES = 2
# How long a suspect waits for an empty worker, in seconds: a pool whose workers are
# never empty must not block its job.
_EMPTY_WORKER_WAIT_S = 2.0
# A crash counts against a lasting task only within this time of the task's start, in
# seconds: running for days, such tasks see many workers crash.
_LASTING_TASK_CRASH_WINDOW_S = 10.0
# How long the lost runs of a worker that was given up in silence are remembered, in
# seconds: by then another incarnation answers at its address, or none ever will.
_SILENT_LOSS_RETENTION_S = 120.0


def record_worker_crash(state: SchedulerState, worker: WorkerState, now: Moment) -> None:
    """Record the crash of a worker for all tasks that ran there; the end of a draining worker counts against none."""
    crash_by_task = _crash_by_task(state, worker, now)
    silent_loss = state.silent_loss_by_worker.pop(worker.worker_id, None)
    if silent_loss is not None:
        crash_by_task |= silent_loss.crash_by_task
    if not worker.profile.draining:
        _record_crash(state, crash_by_task, now)


def record_silent_worker_crash(state: SchedulerState, worker_id: str, now: Moment) -> None:
    """Record that a worker given up in silence had crashed, since another incarnation answers at its address."""
    silent_loss = state.silent_loss_by_worker.pop(worker_id, None)
    if silent_loss is not None:
        _record_crash(state, silent_loss.crash_by_task, now)


def retain_silent_loss(state: SchedulerState, worker: WorkerState, now: Moment) -> None:
    """Remember the runs of a worker whose lease ended in silence until it is known whether it crashed."""
    retained = {
        worker_id: silent_loss
        for worker_id, silent_loss in state.silent_loss_by_worker.items()
        if now.steady_s - silent_loss.at_s < _SILENT_LOSS_RETENTION_S
    }
    crash_by_task = _crash_by_task(state, worker, now)
    if crash_by_task and not worker.profile.draining:
        retained[worker.worker_id] = SilentLoss(now.steady_s, crash_by_task)
    state.silent_loss_by_worker = retained


def discard_silent_loss(state: SchedulerState, worker_id: str) -> None:
    """Discard the possible crash of a worker that answers again: it was only unreachable."""
    state.silent_loss_by_worker.pop(worker_id, None)


def pending_suspects(step: StepState) -> set[int]:
    """Return the pending suspects of a step; in a gang, one makes all suspects, since members start together."""
    found = step.suspects & step.pending
    return set(step.pending) if found and step.spec.gang else found


def waits_for_empty_worker(step: StepState, now_s: float) -> bool:
    """Return whether the suspects of a step still wait for empty workers; the wait is bounded."""
    if step.empty_worker_wait_until_s is None:
        step.empty_worker_wait_until_s = now_s + _EMPTY_WORKER_WAIT_S
    return now_s <= step.empty_worker_wait_until_s


def isolation_s(step: StepState) -> float:
    """Return how long a suspect of a step must run before other tasks may start on its worker, in seconds."""
    crashes = (crash for crashes in step.crashes_by_index.values() for crash in crashes)
    return SUSPICION_S + max((crash.ran_s for crash in crashes), default=0.0)


def clear_suspect(step: StepState, run: Run) -> None:
    """Clear a suspect whose run has outlasted the runs that ended in crashes."""
    if run.isolation_s and not run.is_isolated:
        step.suspects.discard(run.key.task_index)


def _crash_by_task(state: SchedulerState, worker: WorkerState, now: Moment) -> dict[TaskKey, Crash]:
    crashed_s = now.steady_s if worker.silent_since_s is None else worker.silent_since_s
    counted_runs = _runs_that_may_have_crashed(worker)
    is_conclusive = len({run.key.job_id for run in counted_runs}) == 1
    return {
        run.key: Crash(
            run.number,
            worker.worker_id,
            run.ran_s,
            is_conclusive,
            is_discounted=not _counts_as_running(state, run, crashed_s),
        )
        for run in counted_runs
    }


def _runs_that_may_have_crashed(worker: WorkerState) -> list[Run]:
    """Return the runs against which a crash of their worker counts.

    Beside an isolated run only those count that had just started when it did.
    """
    runs = list(worker.run_by_key.values())
    isolated = [run for run in runs if run.is_isolated]
    if not isolated:
        return runs
    cleared_s = min(run.started_s for run in isolated) - SUSPICION_S
    return [run for run in runs if run.is_isolated or run.started_s > cleared_s]


def _counts_as_running(state: SchedulerState, run: Run, crashed_s: float) -> bool:
    """Return whether a run counts as running when its worker crashed: it did not fail to start or end unreported."""
    if not run.is_confirmed and (run.was_unlisted or run.is_inherited):
        return False
    step = state.step_of(run.key)
    return step is None or step.spec.lasting or not run.may_have_ended(crashed_s)


def check_restored_crashes(job: JobState, now: Moment) -> None:
    """Schedule the crash limit for a restored job: its previous owner may have stopped before applying it."""
    saved = (crashes for step in job.step_by_key.values() for crashes in step.crashes_by_index.values())
    if any(_is_over_crash_limit(crashes) for crashes in saved):
        job.crash_limit_at_s = now.steady_s


def apply_crash_limit(state: SchedulerState, now: Moment) -> None:
    """Fail jobs with a task over the crash limit once simultaneous crashes of other workers are known."""
    for job in tuple(state.active_jobs()):
        if job.crash_limit_at_s is not None and job.crash_limit_at_s <= now.steady_s:
            job.crash_limit_at_s = None
            _fail_if_over_crash_limit(state, job, now)


def _record_crash(state: SchedulerState, crash_by_task: dict[TaskKey, Crash], now: Moment) -> None:
    recent = [event for event in state.recent_crashes if now.steady_s - event.at_s < _CORRELATION_WINDOW_S]
    state.recent_crashes = [*recent, WorkerCrash(now.steady_s, crash_by_task)]
    for key, crash in crash_by_task.items():
        _count_crash(state, key, crash)
    _discount_correlated(state)
    for each, latest in crash_by_task.items():
        _schedule_crash_limit(state, each, latest, now)


def _discount_correlated(state: SchedulerState) -> None:
    """Discount correlated crashes for tasks that had been running for a while."""
    for event in state.recent_crashes:
        for key, crash in event.crash_by_task.items():
            if crash.ran_s >= SUSPICION_S and _count_unrelated(state.recent_crashes, event, key) >= _MIN_UNRELATED:
                _discount(state, key, crash)


def _discount(state: SchedulerState, key: TaskKey, crash: Crash) -> None:
    step = state.step_of(key)
    if step is None:
        return
    if _can_discount(step, key) and step.discount_crash(key.task_index, crash.run):
        state.dirty_jobs.add(key.job_id)


def _can_discount(step: StepState, key: TaskKey) -> bool:
    crashes = step.crashes_by_index.get(key.task_index, ())
    return sum(crash.is_discounted for crash in crashes) < _MAX_DISCOUNTED_CRASHES


def _count_unrelated(crashes: Iterable[WorkerCrash], event: WorkerCrash, key: TaskKey) -> int:
    """Return the number of other crashed workers that ran no task of the same step."""
    return sum(
        other is not event and not any(each[:-1] == key[:-1] for each in other.crash_by_task) for other in crashes
    )


def _is_countable(step: StepState, key: TaskKey, crash: Crash) -> bool:
    """Return whether a crash counts against its task: the task is unfinished and may have caused it."""
    if step.job.has_ended or key.task_index in step.done:
        return False
    return not step.spec.lasting or crash.ran_s <= _LASTING_TASK_CRASH_WINDOW_S


def _count_crash(state: SchedulerState, key: TaskKey, crash: Crash) -> None:
    step = state.step_of(key)
    if step is None or not _is_countable(step, key, crash):
        return
    if crash.is_discounted and not _can_discount(step, key):
        crash = crash._replace(is_discounted=False)
    if step.count_crash(key.task_index, crash):
        note = CrashCounted(crash.worker_id, key, crash.run, crash.is_conclusive, crash.is_discounted)
        state.notes.append(note)
    state.dirty_jobs.add(key.job_id)
    if is_suspect(step.crashes_by_index[key.task_index]):
        step.suspects.add(key.task_index)


def _schedule_crash_limit(state: SchedulerState, key: TaskKey, crash: Crash, now: Moment) -> None:
    """Schedule the crash limit, at once or a little later, for the job of a task that is over it."""
    step = state.step_of(key)
    if step is not None and _is_over_crash_limit(step.crashes_by_index.get(key.task_index, ())):
        # Simultaneous crashes of other workers may not be known yet. A crash soon after a
        # start is never discounted as correlated, so there is nothing to wait for.
        step.job.crash_limit_at_s = now.steady_s + (0.0 if crash.ran_s < SUSPICION_S else _CORRELATION_WINDOW_S)


def _fail_if_over_crash_limit(state: SchedulerState, job: JobState, now: Moment) -> None:
    for step in job.step_by_key.values():
        for index, crashes in step.crashes_by_index.items():
            if index not in step.done and _is_over_crash_limit(crashes):
                state.notes.append(TaskGivenUp(step.key(index), tuple(each.worker_id for each in crashes)))
                state.end_job(job, JobPhase.FAILED, now.wall_s, 'job failed: its task crashes workers')
                return


def _is_over_crash_limit(crashes: Sequence[Crash]) -> bool:
    counted = counted_crashes(crashes)
    if len(counted) >= _MAX_COUNTED_CRASHES or len(crashes) >= _MAX_CRASHES:
        return True
    return len(counted) >= _MAX_CRASHES_IF_CONCLUSIVE and counted[-1].is_conclusive
