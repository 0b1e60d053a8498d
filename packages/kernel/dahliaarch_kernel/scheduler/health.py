"""Workers on which runs stall or crawl, and what moves away from them.

Whether a worker is slow shows in all that runs there: how far each run has
come since it was last reported, against how far it should have come. How much
that says depends on how well run times of its queue are known.
"""

import math
from typing import NamedTuple

from .clock import Moment
from .job_state import StepState
from .mechanisms import Mechanism
from .objectives import begin_s, downstream_s, target_s
from .runs import Run, RunPhase
from .state import SchedulerState
from .workers import WorkerState

# A worker this many times slower than expected is avoided; sound ones differ by less.
_SLOW_THRESHOLD = 2.0
# How certain that must be, in standard deviations.
_MIN_Z_SCORE = 2.5
# Progress that a run should have made for its report to tell, in percent: reports
# are in whole percent, and a late start weighs less by then.
_MIN_EXPECTED_PERCENT = 5.0
# What a run may make less for a late start or a late report, in seconds.
_START_DELAY_ALLOWANCE_S = 0.15
# Spread of a run's pace for other reasons than its length, in logarithms.
_RESIDUAL_SPREAD = 0.15
# Bounds of what one run shows, in logarithms.
_MIN_LOG_SLOWNESS = math.log(0.5)
_MAX_LOG_SLOWNESS = math.log(20.0)
# How much longer a worker that is slow or stalled is expected to be so, in seconds.
_MIN_DEGRADATION_S = 4.0
# A run that is so far behind is moved though its job ends in time without, in
# seconds: most workers have recovered by then.
_MAX_DELAY_S = 8.0
# What stopping a run and starting it again takes beside its work, in seconds.
_RESTART_OVERHEAD_S = 0.6
# All of a run's work, in percent.
_FULL_PERCENT = 100.0
# Above this share of its work a run is left alone, in percent.
_NEARLY_COMPLETE_PERCENT = 97.0


class _Evidence(NamedTuple):
    """What one run shows of its worker.

    Parameters
    ----------
    log_slowness : float
        Logarithm of how many times slower than expected it was.
    spread : float
        Standard deviation of that.
    """

    log_slowness: float
    spread: float


def watch_progress(state: SchedulerState, now: Moment) -> None:
    """Move runs that are stalled, and note which workers are slow: those are used last.

    A worker is assessed once after each of its surveys: nothing else shows it.
    """
    surveyed, state.surveyed_workers = state.surveyed_workers, set()
    for worker_id in sorted(surveyed):
        worker = state.worker_by_id.get(worker_id)
        if worker is not None and not worker.is_silent:
            _assess(state, worker, now)


def _assess(state: SchedulerState, worker: WorkerState, now: Moment) -> None:
    evidence_by_run = {run: _evidence(state, run) for run in worker.run_by_key.values()}
    independent = [
        each for run, each in evidence_by_run.items() if each is not None and not _is_on_several_workers(state, run)
    ]
    worker.slowness = _estimate_slowness(independent)
    is_slow = worker.slowness >= _SLOW_THRESHOLD
    for run, evidence in evidence_by_run.items():
        step = state.step_of(run.key)
        if evidence is None or step is None or run.phase is not RunPhase.RUNNING:
            continue
        is_gang_delayed = _is_on_several_workers(state, run) and _estimate_slowness([evidence]) >= _SLOW_THRESHOLD
        if is_slow or is_gang_delayed:
            _stop_if_stalled(state, step, run, math.exp(evidence.log_slowness), now)


def _estimate_slowness(evidence: list[_Evidence]) -> float:
    """Return how many times slower than expected a worker is; 1 unless that is certain."""
    weight = sum(1.0 / (each.spread * each.spread) for each in evidence)
    if not weight:
        return 1.0
    mean = sum(each.log_slowness / (each.spread * each.spread) for each in evidence) / weight
    return math.exp(mean) if mean * math.sqrt(weight) > _MIN_Z_SCORE else 1.0


def _is_on_several_workers(state: SchedulerState, run: Run) -> bool:
    """Tell whether a run is of a gang on several workers, any of which may hold it up."""
    step = state.step_of(run.key)
    if step is None or not step.spec.gang:
        return False
    return any(other.worker_id != run.worker_id for other in step.run_by_index.values())


def _evidence(state: SchedulerState, run: Run) -> _Evidence | None:
    """Return what a run's latest reports tell; nothing while they tell too little."""
    step = state.step_of(run.key)
    if step is None or step.spec.lasting or run.phase is not RunPhase.RUNNING or run.percent > _NEARLY_COMPLETE_PERCENT:
        return None
    expected = (run.report_span_s - _START_DELAY_ALLOWANCE_S) * _FULL_PERCENT / run.work_s
    if expected < _MIN_EXPECTED_PERCENT:
        return None
    # Half a percent is what rounding hides of the progress.
    log_slowness = math.log(expected / (run.report_gain + 0.5))
    spread = math.hypot(state.times.spread(step.job.queue.name), _RESIDUAL_SPREAD)
    return _Evidence(min(max(log_slowness, _MIN_LOG_SLOWNESS), _MAX_LOG_SLOWNESS), spread)


def _stop_if_stalled(state: SchedulerState, step: StepState, run: Run, slowness: float, now: Moment) -> None:
    """Stop a run that is stalled, if its job gains by that.

    One that crawls stays: its restart costs about what its job would gain.
    """
    if run.report_gain or not state.settings.has(Mechanism.MOVES_OF_STALLED):
        return
    estimate = _estimate_move(step, run, slowness)
    if _meets_target_only_if_moved(state, step, estimate, now) or _is_far_behind(estimate):
        step.failed_on.add(run.worker_id)
        state.stop_unit(run, 'stalled')


class _MoveEstimate(NamedTuple):
    """What becomes of a run where it is and elsewhere, all in seconds.

    Parameters
    ----------
    missed_s : float
        By how much it is behind.
    lost_s : float
        Work that a move throws away.
    stay_s, moved_s : float
        Time to its end.
    """

    delay_s: float
    repeated_s: float
    remaining_s: float
    remaining_if_moved_s: float


def _estimate_move(step: StepState, run: Run, slowness: float) -> _MoveEstimate:
    left_s = run.work_s * (1.0 - run.percent / _FULL_PERCENT)
    repeated_s = 0.0 if step.spec.checkpoints else run.work_s - left_s
    delay_s = run.seen_s - run.started_s - (run.work_s - left_s)
    # What has been slow for long will be for long.
    degraded_s = max(_MIN_DEGRADATION_S, delay_s)
    remaining_s = min(left_s * slowness, degraded_s + max(0.0, left_s - degraded_s / slowness))
    return _MoveEstimate(delay_s, repeated_s, remaining_s, _RESTART_OVERHEAD_S + left_s + repeated_s)


def _is_far_behind(estimate: _MoveEstimate) -> bool:
    """Tell whether a run is behind for so long that its worker will hardly recover soon."""
    return (
        estimate.delay_s > _MAX_DELAY_S and estimate.remaining_if_moved_s + estimate.repeated_s < estimate.remaining_s
    )


def _meets_target_only_if_moved(state: SchedulerState, step: StepState, estimate: _MoveEstimate, now: Moment) -> bool:
    """Tell whether a job ends in time by a move alone."""
    begun_s = begin_s(step.job.spec, step.occurrence)
    left_s = target_s(step.job, state.times) - (now.wall_s - begun_s) - downstream_s(step, state.times)
    return estimate.remaining_if_moved_s <= left_s < estimate.remaining_s
