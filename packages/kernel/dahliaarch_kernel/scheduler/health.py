"""Runs that stand still, workers that turn slow or leave, and what moves away."""

from .clock import Moment
from .job_state import StepState
from .runs import Run, RunPhase
from .state import SchedulerState
from .workers import WorkerState

# A run is judged once it has had this long to begin, in seconds.
_GRACE_S = 1.5
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
# Time kept free at the end of a leaving worker's life, in seconds.
_LEAVE_MARGIN_S = 0.3


def expire_leases(state: SchedulerState, now: Moment) -> list[str]:
    """Give up what ran on silent workers whose leases have ended; return their ids."""
    gone = []
    for worker in tuple(state.worker_by_id.values()):
        if not worker.is_silent or now.steady_s <= worker.lease.bound_s():
            continue
        for run in tuple(worker.run_by_key.values()):
            state.remove_run(run)
        if not worker.is_listed:
            del state.worker_by_id[worker.worker_id]
            gone.append(worker.worker_id)
    return gone


def watch_progress(state: SchedulerState, now: Moment) -> None:
    """Move runs that stand still or crawl, and avoid their workers."""
    for worker in state.worker_by_id.values():
        if worker.is_silent:
            continue
        if worker.profile.draining:
            _empty_leaving(state, worker, now)
        slowness = 1.0
        for run in tuple(worker.run_by_key.values()):
            if run.phase is RunPhase.RUNNING:
                slowness = max(slowness, _judge(state, run, now))
        worker.slowness = slowness
        if slowness >= _SLOW_FACTOR:
            worker.quarantined_until_s = max(worker.quarantined_until_s, now.steady_s + _AVOID_S)


def _judge(state: SchedulerState, run: Run, now: Moment) -> float:
    """Move a run if that pays; return how many times too slow it is."""
    ran_s = run.seen_s - run.started_s
    step = state.step_of(run.key)
    if ran_s < _GRACE_S or step is None or step.spec.lasting:
        return 1.0
    worked_s = run.work_s * run.percent / 100.0
    lost_s = 0.0 if step.spec.checkpoints else worked_s
    still_s = run.seen_s - run.moved_s
    if still_s > state.settings.stall_s and run.percent < _ALMOST_DONE:
        if lost_s < _MOST_LOST_S or still_s > _HOPELESS_STALL_S:
            state.stop_unit(run, 'stands still')
        return _SLOW_FACTOR
    if run.percent < _LEAST_PERCENT:
        return 1.0
    pace = ran_s / worked_s
    usual = _usual_pace(step, run)
    limit = _SLOW_FACTOR_ALONE if usual is None else _SLOW_FACTOR
    slowness = pace / (usual or 1.0)
    if slowness < limit:
        return 1.0
    again_s = run.work_s * (usual or 1.0) * (1.0 if lost_s else 1.0 - run.percent / 100.0)
    if run.left_s(now.steady_s) > _GAIN_FACTOR * again_s + state.settings.stop_timeout_s:
        state.stop_unit(run, 'worker is slow')
    return slowness


def _usual_pace(step: StepState, run: Run) -> float | None:
    """Return the pace of the step's other runs on other workers; nothing if too few tell."""
    if step.spec.gang:
        # Members of a gang advance together, the slow one as fast as the rest.
        return None
    paces = sorted(
        (other.seen_s - other.started_s) * 100.0 / (other.work_s * other.percent)
        for other in step.run_by_index.values()
        if other.worker_id != run.worker_id and other.percent >= _LEAST_PERCENT
    )
    if len(paces) < _PEERS_THAT_TELL:
        return None
    return max(1.0, paces[len(paces) // 2])


# Below this share a pace says nothing, in percent.
_LEAST_PERCENT = 1.0
# Above this share of its work a run is left alone, in percent.
_ALMOST_DONE = 97.0


def _empty_leaving(state: SchedulerState, worker: WorkerState, now: Moment) -> None:
    """Move what will not end before a worker leaves."""
    if worker.leaves_at_s is None:
        return
    stop_by_s = worker.leaves_at_s - state.settings.stop_timeout_s - _LEAVE_MARGIN_S
    for run in tuple(worker.run_by_key.values()):
        if run.phase is not RunPhase.RUNNING:
            continue
        if now.steady_s + run.left_s(now.steady_s) > worker.leaves_at_s and now.steady_s < stop_by_s:
            state.stop_unit(run, 'worker leaves')
