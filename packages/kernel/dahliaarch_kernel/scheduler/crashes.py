"""Tasks under which workers crash: what is counted, which run alone, which are given up.

A worker that dies says nothing of what killed it, and what ran beside the cause
died as well. So a death counts against every task that was there, and those that
it makes suspects run isolated, one at a time: a suspect starts on a worker of its own, or
after a wait where no other suspect runs isolated, and nothing starts beside it until
it has outlived its earlier runs. A worker that dies meanwhile counts against it alone.
Workers that die together die of something else, unless one step had tasks on them: a
task that had run there for a while is not suspected of it.
"""

from collections.abc import Iterable, Sequence

from ..workload import TaskKey
from .clock import Moment
from .events import CrashCounted, TaskGivenUp
from .job_state import JobPhase, JobState, StepState
from .progress import counted_crashes, Crash, is_suspect, OUTLIVED_S
from .runs import Run
from .state import Death, SchedulerState, SilentLoss
from .workers import WorkerState

# A task is given up after this many crashes if the last is conclusive. Two are
# enough to suspect it.
_CONCLUSIVE_CRASHES = 3
# A task is given up after this many crashes, whatever ran beside it: users bear two
# more starts once three workers have crashed, and one may be under way unknown.
_MOST_CRASHES = 4
# The same, discounted ones included.
_MOST_CRASHES_IN_ALL = 5
# Workers that are known to have crashed within this time did so together, in seconds:
# they are back, and known to be, some tenths apart.
_TOGETHER_S = 2.0
# So many other workers make it a crash of several.
_CORRELATED_OTHERS = 2
# Crashes of one task that are discounted: it may have caused some of them all the same.
_MOST_DISCOUNTED = 2
# How long a suspect waits for a worker without other work, in seconds: its job must
# not be held up by a pool that is never empty.
_ALONE_WAIT_S = 2.0
# Tasks that last are suspected only of deaths within this time of their start, in
# seconds: in days of work they see many workers die.
_LASTING_COUNTS_S = 10.0
# How long it is remembered what ran on a worker that fell silent for good, in
# seconds: by then another incarnation answers at its address, or none ever will.
_SILENCE_REMEMBERED_S = 120.0


def worker_crashed(state: SchedulerState, worker: WorkerState, now: Moment) -> None:
    """Note the death of a worker for all tasks that were there; one that leaves as announced crashes under none."""
    crash_by_task = _crash_by_task(state, worker, now)
    silent = state.silent_loss_by_worker.pop(worker.worker_id, None)
    if silent is not None:
        crash_by_task |= silent.crash_by_task
    if not worker.profile.draining:
        _note(state, crash_by_task, now)


def silent_worker_crashed(state: SchedulerState, worker_id: str, now: Moment) -> None:
    """Note that a worker that was given up had crashed: another incarnation answers at its address."""
    silent = state.silent_loss_by_worker.pop(worker_id, None)
    if silent is not None:
        _note(state, silent.crash_by_task, now)


def worker_given_up(state: SchedulerState, worker: WorkerState, now: Moment) -> None:
    """Remember what was on a worker whose lease ended in silence, until it is known whether it crashed."""
    remembered = {
        worker_id: silent
        for worker_id, silent in state.silent_loss_by_worker.items()
        if now.steady_s - silent.at_s < _SILENCE_REMEMBERED_S
    }
    crash_by_task = _crash_by_task(state, worker, now)
    if crash_by_task and not worker.profile.draining:
        remembered[worker.worker_id] = SilentLoss(now.steady_s, crash_by_task)
    state.silent_loss_by_worker = remembered


def worker_answered(state: SchedulerState, worker_id: str) -> None:
    """Forget what a worker was suspected of: it was only out of touch."""
    state.silent_loss_by_worker.pop(worker_id, None)


def suspects(step: StepState) -> set[int]:
    """Return the waiting tasks of a step that are suspects; a gang is one, since its members start together."""
    found = step.suspects & step.pending
    return set(step.pending) if found and step.spec.gang else found


def waits_for_own_place(step: StepState, now_s: float) -> bool:
    """Tell whether the suspects of a step wait for workers that run nothing, as they do for a bounded time."""
    if step.alone_until_s is None:
        step.alone_until_s = now_s + _ALONE_WAIT_S
    return now_s <= step.alone_until_s


def isolation_s(step: StepState) -> float:
    """Return how long a suspect of a step must have run before others may start beside it, in seconds."""
    crashes = (crash for crashes in step.crashes_by_index.values() for crash in crashes)
    return OUTLIVED_S + max((crash.ran_s for crash in crashes), default=0.0)


def clear_suspect(step: StepState, run: Run) -> None:
    """Clear a suspect whose run has gone on for longer than those that its workers died under."""
    if run.isolation_s and not run.is_isolated:
        step.suspects.discard(run.key.task_index)


def _crash_by_task(state: SchedulerState, worker: WorkerState, now: Moment) -> dict[TaskKey, Crash]:
    runs = list(worker.run_by_key.values())
    blamed = [run for run in runs if run.is_isolated] or runs
    crashed_s = now.steady_s if worker.silent_since_s is None else worker.silent_since_s
    return {run.key: _crash(state, worker, run, crashed_s) for run in blamed}


def _crash(state: SchedulerState, worker: WorkerState, run: Run, crashed_s: float) -> Crash:
    is_conclusive = run.is_isolated or not worker.count_runs_of_other_jobs(run)
    was_there = _was_surely_there(state, run, crashed_s)
    return Crash(run.number, worker.worker_id, run.ran_s, is_conclusive, is_discounted=not was_there)


def _was_surely_there(state: SchedulerState, run: Run, crashed_s: float) -> bool:
    """Tell whether a run had begun when its worker crashed, and its end, if it had one, would have been listed."""
    if not run.is_confirmed and (run.was_absent or run.is_inherited):
        return False
    step = state.step_of(run.key)
    return step is None or step.spec.lasting or not run.may_have_ended(crashed_s)


def check_kept_crashes(job: JobState, now: Moment) -> None:
    """Apply the crash limit to a job whose crashes a previous owner kept: it may have ended before it could."""
    kept = (crashes for step in job.step_by_key.values() for crashes in step.crashes_by_index.values())
    if any(_is_over_crash_limit(crashes) for crashes in kept):
        job.crash_limit_at_s = now.steady_s


def apply_crash_limit(state: SchedulerState, now: Moment) -> None:
    """Give up jobs with a task that too many workers crashed under, once it is known who crashed beside them."""
    for job in tuple(state.active_jobs()):
        if job.crash_limit_at_s is not None and job.crash_limit_at_s <= now.steady_s:
            job.crash_limit_at_s = None
            _fail_over_crash_limit(state, job, now)


def _note(state: SchedulerState, crash_by_task: dict[TaskKey, Crash], now: Moment) -> None:
    recent = [death for death in state.recent_deaths if now.steady_s - death.at_s < _TOGETHER_S]
    state.recent_deaths = [*recent, Death(now.steady_s, crash_by_task)]
    for key, crash in crash_by_task.items():
        _count(state, key, crash)
    _discount_correlated(state)
    for each, latest in crash_by_task.items():
        _schedule_crash_limit(state, each, latest, now)


def _discount_correlated(state: SchedulerState) -> None:
    """Discount crashes of tasks that had run for a while on workers that crashed together with others."""
    for death in state.recent_deaths:
        for key, crash in death.crash_by_task.items():
            if crash.ran_s >= OUTLIVED_S and _others(state.recent_deaths, death, key) >= _CORRELATED_OTHERS:
                _discount(state, key, crash)


def _discount(state: SchedulerState, key: TaskKey, crash: Crash) -> None:
    step = state.step_of(key)
    if step is None:
        return
    if _may_discount(step, key) and step.discount_crash(key.task_index, crash.run):
        state.dirty_jobs.add(key.job_id)


def _may_discount(step: StepState, key: TaskKey) -> bool:
    crashes = step.crashes_by_index.get(key.task_index, ())
    return sum(crash.is_discounted for crash in crashes) < _MOST_DISCOUNTED


def _others(deaths: Iterable[Death], death: Death, key: TaskKey) -> int:
    """Return how many other workers crashed on which no task of a task's step ran."""
    return sum(
        other is not death and not any(each[:-1] == key[:-1] for each in other.crash_by_task) for other in deaths
    )


def _counts(step: StepState, key: TaskKey, crash: Crash) -> bool:
    """Tell whether a crash says anything of a task that may still be given up."""
    if step.job.has_ended or key.task_index in step.done:
        return False
    return not step.spec.lasting or crash.ran_s <= _LASTING_COUNTS_S


def _count(state: SchedulerState, key: TaskKey, crash: Crash) -> None:
    step = state.step_of(key)
    if step is None or not _counts(step, key, crash):
        return
    if crash.is_discounted and not _may_discount(step, key):
        crash = crash._replace(is_discounted=False)
    if step.count_crash(key.task_index, crash):
        note = CrashCounted(crash.worker_id, key, crash.run, crash.is_conclusive, crash.is_discounted)
        state.notes.append(note)
    state.dirty_jobs.add(key.job_id)
    if is_suspect(step.crashes_by_index[key.task_index]):
        step.suspects.add(key.task_index)


def _schedule_crash_limit(state: SchedulerState, key: TaskKey, crash: Crash, now: Moment) -> None:
    """Apply the crash limit, at once or a little later, to a task that is over it."""
    step = state.step_of(key)
    if step is not None and _is_over_crash_limit(step.crashes_by_index.get(key.task_index, ())):
        # Who crashed beside it may not be known yet; no crash soon after a start is discounted.
        step.job.crash_limit_at_s = now.steady_s + (0.0 if crash.ran_s < OUTLIVED_S else _TOGETHER_S)


def _fail_over_crash_limit(state: SchedulerState, job: JobState, now: Moment) -> None:
    for step in job.step_by_key.values():
        for index, crashes in step.crashes_by_index.items():
            if index not in step.done and _is_over_crash_limit(crashes):
                state.notes.append(TaskGivenUp(step.key(index), tuple(each.worker_id for each in crashes)))
                state.end_job(job, JobPhase.FAILED, now.wall_s, 'job failed: its task crashes workers')
                return


def _is_over_crash_limit(crashes: Sequence[Crash]) -> bool:
    counted = counted_crashes(crashes)
    if len(counted) >= _MOST_CRASHES or len(crashes) >= _MOST_CRASHES_IN_ALL:
        return True
    return len(counted) >= _CONCLUSIVE_CRASHES and counted[-1].is_conclusive
