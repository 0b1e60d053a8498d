"""Detects slow workers and stops stalled runs so that they restart elsewhere.

The slowness of a worker is estimated from all runs on it, as the ratio of expected
to reported progress since an earlier report. Each run is weighted by how accurately
run times of its queue are predicted.
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

# Workers that are slower than expected by this factor are avoided; healthy workers differ by less.
_SLOW_THRESHOLD = 2.0
# Standard deviations by which the estimated slowness must exceed 1 to count.
_MIN_Z_SCORE = 2.5
# Expected progress below which a report is ignored, in percent: reports are rounded
# to whole percent, and a delayed start distorts small values more.
_MIN_EXPECTED_PERCENT = 5.0
# Time subtracted from a report's span for a delayed start or a delayed report, in seconds.
_START_DELAY_ALLOWANCE_S = 0.15
# Standard deviation of the logarithm of a run's pace that the prediction of its run time does not explain.
_RESIDUAL_SPREAD = 0.15
# Bounds of the logarithm of slowness derived from a single run.
_MIN_LOG_SLOWNESS = math.log(0.5)
_MAX_LOG_SLOWNESS = math.log(20.0)
# Minimum time for which a slow or stalled worker is expected to remain degraded, in seconds.
_MIN_DEGRADATION_S = 4.0
# Delay above which a stalled run is moved even if its job would meet its target without
# the move, in seconds. Most workers recover sooner.
_MAX_DELAY_S = 8.0
# Overhead of stopping a run and starting it again, in seconds.
_RESTART_OVERHEAD_S = 0.6
# Progress of a completed run, in percent.
_FULL_PERCENT = 100.0
# Progress above which a run is no longer assessed or moved, in percent.
_NEARLY_COMPLETE_PERCENT = 97.0


class _Evidence(NamedTuple):
    """Slowness of a worker as estimated from one run.

    Parameters
    ----------
    log_slowness : float
        Natural logarithm of expected over reported progress.
    spread : float
        Standard deviation of ``log_slowness``.
    """

    log_slowness: float
    spread: float


def assess_workers(state: SchedulerState, now: Moment) -> None:
    """Estimate the slowness of workers, which are then used last, and stop stalled runs.

    A worker is assessed once after each survey, since only surveys report progress.
    """
    surveyed, state.surveyed_workers = state.surveyed_workers, set()
    for worker_id in sorted(surveyed):
        worker = state.worker_by_id.get(worker_id)
        if worker is not None and not worker.is_silent:
            _assess(state, worker, now)


def _assess(state: SchedulerState, worker: WorkerState, now: Moment) -> None:
    if worker.is_cold:
        # It is expected to be slow, and to recover by itself.
        worker.slowness = 1.0
        return
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
    """Return how many times slower than expected a worker is; 1 unless the deviation is significant."""
    weight = sum(1.0 / (each.spread * each.spread) for each in evidence)
    if not weight:
        return 1.0
    mean = sum(each.log_slowness / (each.spread * each.spread) for each in evidence) / weight
    return math.exp(mean) if mean * math.sqrt(weight) > _MIN_Z_SCORE else 1.0


def _is_on_several_workers(state: SchedulerState, run: Run) -> bool:
    """Return whether a run belongs to a gang on several workers, any of which may delay it."""
    step = state.step_of(run.key)
    if step is None or not step.spec.gang:
        return False
    return any(other.worker_id != run.worker_id for other in step.run_by_index.values())


def _evidence(state: SchedulerState, run: Run) -> _Evidence | None:
    """Return the slowness that a run's latest reports indicate; None if they are inconclusive."""
    step = state.step_of(run.key)
    if step is None or step.spec.lasting or run.phase is not RunPhase.RUNNING or run.percent > _NEARLY_COMPLETE_PERCENT:
        return None
    expected = (run.report_span_s - _START_DELAY_ALLOWANCE_S) * _FULL_PERCENT / run.work_s
    if expected < _MIN_EXPECTED_PERCENT:
        return None
    # Rounding to whole percent may hide half a percent of progress.
    log_slowness = math.log(expected / (run.report_gain + 0.5))
    spread = math.hypot(state.times.spread(step.job.queue.name), _RESIDUAL_SPREAD)
    return _Evidence(min(max(log_slowness, _MIN_LOG_SLOWNESS), _MAX_LOG_SLOWNESS), spread)


def _stop_if_stalled(state: SchedulerState, step: StepState, run: Run, slowness: float, now: Moment) -> None:
    """Stop a stalled run if a restart elsewhere benefits its job.

    Runs that are slow but still make progress are not stopped: a restart costs about as much as it gains.
    """
    if run.report_gain or not state.settings.has(Mechanism.MOVES_OF_STALLED):
        return
    estimate = _estimate_move(step, run, slowness)
    if _meets_target_only_if_moved(state, step, estimate, now) or _is_far_behind(estimate):
        step.failed_worker_ids.add(run.worker_id)
        state.stop_with_gang(run, 'stalled')


class _MoveEstimate(NamedTuple):
    """Expected effect of moving a run to another worker, all in seconds.

    Parameters
    ----------
    delay_s : float
        How far the run is behind schedule.
    repeated_s : float
        Work that has to be repeated after a move.
    remaining_s, remaining_if_moved_s : float
        Expected time to the end of the run without and with a move.
    """

    delay_s: float
    repeated_s: float
    remaining_s: float
    remaining_if_moved_s: float


def _estimate_move(step: StepState, run: Run, slowness: float) -> _MoveEstimate:
    left_s = run.work_s * (1.0 - run.percent / _FULL_PERCENT)
    repeated_s = 0.0 if step.spec.checkpoints else run.work_s - left_s
    delay_s = run.last_seen_s - run.started_s - (run.work_s - left_s)
    # A degradation is expected to last at least as long again as it has lasted so far.
    degraded_s = max(_MIN_DEGRADATION_S, delay_s)
    remaining_s = min(left_s * slowness, degraded_s + max(0.0, left_s - degraded_s / slowness))
    return _MoveEstimate(delay_s, repeated_s, remaining_s, _RESTART_OVERHEAD_S + left_s + repeated_s)


def _is_far_behind(estimate: _MoveEstimate) -> bool:
    """Return whether a run is so far behind that its worker is unlikely to recover soon."""
    return (
        estimate.delay_s > _MAX_DELAY_S and estimate.remaining_if_moved_s + estimate.repeated_s < estimate.remaining_s
    )


def _meets_target_only_if_moved(state: SchedulerState, step: StepState, estimate: _MoveEstimate, now: Moment) -> bool:
    """Return whether a job meets its target time with a move, but not without one."""
    begun_s = begin_s(step.job.spec, step.occurrence)
    left_s = target_s(step.job, state.times) - (now.wall_s - begun_s) - downstream_s(step, state.times)
    return estimate.remaining_if_moved_s <= left_s < estimate.remaining_s
