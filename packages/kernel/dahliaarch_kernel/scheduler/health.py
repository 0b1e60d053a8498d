"""Runs that stand still or crawl, and what moves away."""

from .clock import Moment
from .job_state import StepState
from .mechanisms import Mechanism
from .runs import Run, RunPhase
from .state import SchedulerState

# A run is judged once it has had this long to begin, in seconds.
_GRACE_S = 1.5
# The same where only the estimate tells: a late start weighs less by then.
_GRACE_ALONE_S = 3.0
# A run this many times slower than others of its step is on a slow worker.
_SLOW_FACTOR = 2.5
# The same against the expectation, where the step has too few other runs:
# owners' guesses are off by up to 0.9 and more would be their fault.
_SLOW_FACTOR_ALONE = 5.0
# Other runs of a step that tell what is usual.
_PEERS_THAT_TELL = 2
# Work thrown away by a move must be less than this many seconds a task.
_MOST_LOST_S = 2.5
# A run that stands still this long is moved whatever is lost.
_HOPELESS_STALL_S = 5.0
# A move from a slow worker must save this factor of the time left.
_GAIN_FACTOR = 1.5
# How long a worker with stalled or slow runs gets nothing new, in seconds.
_AVOID_S = 2.0


def watch_progress(state: SchedulerState, now: Moment) -> None:
    """Move runs that stand still or crawl, and avoid their workers.

    A worker is judged once after each of its surveys: nothing else tells.
    """
    surveyed, state.surveyed_workers = state.surveyed_workers, set()
    for worker_id in sorted(surveyed):
        worker = state.worker_by_id.get(worker_id)
        if worker is None or worker.is_silent:
            continue
        runs = [run for run in worker.run_by_key.values() if run.phase is RunPhase.RUNNING]
        worker.slowness = max((_judge(state, run, now) for run in runs), default=1.0)
        if worker.slowness >= _SLOW_FACTOR and state.settings.has(Mechanism.QUARANTINE):
            worker.quarantined_until_s = max(worker.quarantined_until_s, now.steady_s + _AVOID_S)


def _judge(state: SchedulerState, run: Run, now: Moment) -> float:
    """Move a run if that pays; return how many times too slow it is."""
    step = state.step_of(run.key)
    if step is None or step.spec.lasting or run.seen_s - run.started_s < _GRACE_S:
        return 1.0
    if _stands_still(run):
        return _judge_still(state, step, run)
    if run.percent < _LEAST_PERCENT:
        return 1.0
    return _judge_pace(state, step, run, now)


def _stands_still(run: Run) -> bool:
    """Tell whether progress that should have been seen was not."""
    still_s = run.seen_s - run.moved_s
    missed = still_s * _WHOLE / max(run.work_s, still_s)
    return still_s > _STILL_S and missed > _MISSED_PERCENT and run.percent < _ALMOST_DONE


def _judge_still(state: SchedulerState, step: StepState, run: Run) -> float:
    """Move a run that stands still, unless much work would be lost."""
    still_s = run.seen_s - run.moved_s
    is_cheap = still_s > state.settings.stall_s and _lost_s(step, run) < _MOST_LOST_S
    has_moves = state.settings.has(Mechanism.MOVES_OF_STILL)
    if has_moves and (is_cheap or still_s > _HOPELESS_STALL_S):
        state.stop_unit(run, 'stands still')
    return _SLOW_FACTOR


def _judge_pace(state: SchedulerState, step: StepState, run: Run, now: Moment) -> float:
    """Move a run that crawls if it ends sooner elsewhere."""
    usual = _usual_pace(step, run)
    if usual is None and (step.was_moved_as_slow or run.seen_s - run.started_s < _GRACE_ALONE_S):
        # That it crawled on other workers too tells that the estimate was off.
        return 1.0
    limit = _SLOW_FACTOR_ALONE if usual is None else _SLOW_FACTOR
    slowness = (run.seen_s - run.started_s) / _worked_s(run) / (usual or 1.0)
    if slowness < limit:
        return 1.0
    left_share = 1.0 if _lost_s(step, run) else 1.0 - run.percent / _WHOLE
    again_s = run.work_s * (usual or 1.0) * left_share
    if not state.settings.has(Mechanism.MOVES_OF_SLOW):
        return slowness
    if run.left_s(now.steady_s) > _GAIN_FACTOR * again_s + state.settings.stop_timeout_s:
        step.was_moved_as_slow = True
        state.stop_unit(run, 'worker is slow')
    return slowness


def _worked_s(run: Run) -> float:
    """Return the work done so far, in seconds on a sound worker."""
    return run.work_s * run.percent / _WHOLE


def _lost_s(step: StepState, run: Run) -> float:
    """Return the work that a stop throws away, in seconds."""
    return 0.0 if step.spec.checkpoints else _worked_s(run)


def _usual_pace(step: StepState, run: Run) -> float | None:
    """Return the pace of the step's other runs on other workers; nothing if too few tell."""
    if step.spec.gang:
        # Members of a gang advance together, the slow one as fast as the rest.
        return None
    paces = sorted(
        (other.seen_s - other.started_s) / _worked_s(other)
        for other in step.run_by_index.values()
        if other.worker_id != run.worker_id and other.percent >= _LEAST_PERCENT
    )
    if len(paces) < _PEERS_THAT_TELL:
        return None
    return max(1.0, paces[len(paces) // 2])


# All of a run's work, in percent.
_WHOLE = 100.0
# A run stands still when its progress was seen twice and has not moved by this
# many percent that it should have moved; reports are in whole percent.
_STILL_S = 0.6
_MISSED_PERCENT = 4.0
# Below this share a pace says nothing, in percent.
_LEAST_PERCENT = 1.0
# Above this share of its work a run is left alone, in percent.
_ALMOST_DONE = 97.0
