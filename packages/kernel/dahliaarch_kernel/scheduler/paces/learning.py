"""Learns paces of workers from observed runs.

Job owners' estimates are far less accurate than the differences between workers. A worker's
pace is therefore learned by comparing tasks of the same step: they do much the same work,
so differences between their run times are attributed to their workers.
"""

import math
from collections.abc import Collection

from ..clock import Moment
from ..job_state import StepState
from ..mechanisms import Mechanism
from ..runs import Run
from ..settings import SchedulerSettings
from ..workers import WorkerState
from .groups import share_by_group

# Progress from which a run's pace predicts its run time, in percent: reports are
# rounded to whole percent and arrive one second apart.
_CONCLUSIVE_PERCENT = 20.0
# Minimum number of other runs of a step from which a median run time is taken.
_MIN_PEERS = 2
# Quantile of the workers' paces that serves as the pace of a healthy worker.
_REFERENCE_QUANTILE = 0.25
# Slowdown above which a worker counts as slow: half way between the healthy workers
# of the users' sites and those that are slower by a factor of 1.3.
SLOW_FACTOR = 1.12
# Limit of a single observation, as the natural logarithm of a ratio of run times: it covers
# workers that differ by a factor of 2.2.
MAX_LOG_RATIO = 0.9
# Time in which evidence on a worker's pace loses half of its weight, in seconds.
_HALVING_TIME_S = 20.0
# Minimum time between two updates of slowdowns, in seconds.
_UPDATE_INTERVAL_S = 0.25
# Standard errors by which a worker must be slower than healthy ones to count as slow.
_MIN_Z_SCORE = 0.25


def observe_pace(
    step: StepState, run: Run, worker: WorkerState, elapsed_s: float, share: float, settings: SchedulerSettings
) -> None:
    """Update the pace of a worker from the share of its work that a run did in a time.

    Each run counts once, when enough of its work is done. Runs that resumed from a checkpoint
    or started while their worker was warming up don't count, nor do members of a gang, which
    are all as fast as the slowest of them.
    """
    if run.began_cold or step.spec.gang or step.spec.lasting:
        return
    if run.has_reported_pace or run.began_from_checkpoint:
        return
    if share * 100.0 < _CONCLUSIVE_PERCENT or elapsed_s <= 0:
        return
    run.has_reported_pace = True
    log_time = math.log(elapsed_s / share)
    median = _median_log_time(step)
    if median is not None:
        if settings.has(Mechanism.GANG_PACES):
            worker.pace.observe(log_time - median, MAX_LOG_RATIO)
        else:
            worker.pace.observe(log_time - median)
    step.log_run_times.append(log_time - worker.pace.log_ratio)


def is_update_due(updated_s: float, now: Moment, settings: SchedulerSettings) -> bool:
    """Return whether slowdowns must be updated; not at each pass with the costlier estimates from gangs."""
    return not settings.has(Mechanism.GANG_PACES) or abs(now.steady_s - updated_s) >= _UPDATE_INTERVAL_S


def update_slowdowns(workers: Collection[WorkerState], now: Moment, settings: SchedulerSettings) -> float:
    """Update each worker's slowdown relative to the pace of a healthy worker, which is returned as a log ratio."""
    learns_from_gangs = settings.has(Mechanism.GANG_PACES)
    if learns_from_gangs:
        for worker in workers:
            worker.pace.decay(now.steady_s, _HALVING_TIME_S)
        share_by_group(workers)
    ratios = sorted(worker.pace.log_ratio for worker in workers)
    reference = ratios[int(len(ratios) * _REFERENCE_QUANTILE)] if ratios else 0.0
    for worker in workers:
        worker.slowdown = max(1.0, math.exp(worker.pace.log_ratio - reference))
        if learns_from_gangs:
            worker.slowdown_margin = math.exp(_MIN_Z_SCORE * math.sqrt(worker.pace.variance))
    return reference


def _median_log_time(step: StepState) -> float | None:
    """Return the median logarithm of the run times of a step; None if too few are known."""
    ordered = sorted(step.log_run_times)
    if len(ordered) < _MIN_PEERS:
        return None
    return ordered[len(ordered) // 2]
