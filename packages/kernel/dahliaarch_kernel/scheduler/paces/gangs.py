"""Learns paces of workers from gangs, whose members all run at the pace of the slowest.

Handles deployments whose workers differ by a factor of two and whose work is mostly gangs:
tasks that can be compared within a step are then too rare on most workers. Run times of gangs
differ far more than workers do, so a gang weighs little unless the run times of its queue are
predicted well, and its evidence goes to the member that the other evidence leaves as the most
likely slowest one.
"""

import math
from collections.abc import Sequence
from statistics import median
from typing import NamedTuple

from ..clock import Moment
from ..job_state import StepState
from ..mechanisms import Mechanism
from ..room import is_near
from ..runs import Run, RunPhase
from ..state import SchedulerState
from ..workers import WorkerState
from .learning import MAX_LOG_RATIO
from .pace import OBSERVATION_VARIANCE

# Progress from which the pace of a gang's member predicts its run time, in percent.
_CONCLUSIVE_PERCENT = 20.0
# Lowest probability used as that of a member not being slower than the gang.
_MIN_PROBABILITY = 1e-6


class Belief(NamedTuple):
    """What is known about the pace of a worker before an observation.

    Parameters
    ----------
    mean, variance : float
        Of the logarithm of its ratio of run times.
    """

    mean: float
    variance: float


def observe_gang(state: SchedulerState, step: StepState, run: Run, now: Moment, *, has_ended: bool) -> None:
    """Update the paces of a gang's workers, once per run of the gang.

    A gang that resumed from a checkpoint, started on a cold worker or runs over racks or away from its
    data doesn't count: it is slow for a reason that does not lie in its workers.
    """
    if not step.spec.gang or step.spec.lasting or run.has_reported_pace:
        return
    if not (state.settings.has(Mechanism.GANG_PACES) and state.settings.has(Mechanism.WORKER_PACES)):
        return
    members = [run, *(each for each in step.run_by_index.values() if each is not run and each.number == run.number)]
    if len(members) < step.spec.task_count:
        return
    run_time_s = _elapsed_s(members, now) if has_ended else _predicted_run_time_s(members)
    if run_time_s is None or run_time_s <= 0:
        return
    workers = _comparable_workers(state, step, members)
    for member in members:
        member.has_reported_pace = True
    if not workers:
        return
    queue = step.job.queue.name
    log_ratio = math.log(run_time_s / state.times.expect_s(queue, step.spec))
    _attribute(workers, log_ratio + state.pace_reference, state.times.spread(queue))


def slowest_probabilities(beliefs: Sequence[Belief], log_ratio: float, noise: float) -> list[float]:
    """Return for each member the probability that it is the slowest, given the gang's ratio of run times.

    Parameters
    ----------
    beliefs : sequence of Belief
        What is known about each member's worker.
    log_ratio : float
        Logarithm of the gang's run time over its expected run time.
    noise : float
        Variance of ``log_ratio`` that does not come from the workers.
    """
    log_weights = []
    for belief in beliefs:
        variance = belief.variance + noise
        z_score = (log_ratio - belief.mean) / math.sqrt(variance)
        not_slower = max(0.5 * math.erfc(-z_score / math.sqrt(2.0)), _MIN_PROBABILITY)
        log_weights.append(-0.5 * z_score * z_score - 0.5 * math.log(variance) - math.log(not_slower))
    largest = max(log_weights)
    weights = [math.exp(each - largest) for each in log_weights]
    total = sum(weights)
    return [each / total for each in weights]


def _attribute(workers: Sequence[WorkerState], log_ratio: float, spread: float) -> None:
    """Share the observation among the workers by the probability that each is the slowest."""
    weight = min(1.0, OBSERVATION_VARIANCE / (spread * spread))
    if abs(log_ratio) > MAX_LOG_RATIO:
        # Workers don't differ by this much: the job itself is longer or shorter than expected.
        weight *= (MAX_LOG_RATIO / log_ratio) ** 2
    beliefs = [Belief(worker.pace.log_ratio, worker.pace.variance) for worker in workers]
    noise = spread * spread
    shares = slowest_probabilities(beliefs, log_ratio, noise)
    for worker, belief, share in zip(workers, beliefs, shares, strict=True):
        # A gang that is faster than expected of one member bounds the slowness of each.
        bounded_share = _slower_probability(belief, log_ratio, noise) if log_ratio < belief.mean else 0.0
        worker.pace.observe(log_ratio, MAX_LOG_RATIO, weight * max(share, bounded_share))


def _slower_probability(belief: Belief, log_ratio: float, noise: float) -> float:
    """Return the probability that a worker is slower than a gang appears."""
    z_score = (log_ratio - belief.mean) / math.sqrt(belief.variance + noise)
    return 0.5 * math.erfc(z_score / math.sqrt(2.0))


def _elapsed_s(members: Sequence[Run], now: Moment) -> float:
    return now.steady_s - max(member.started_s for member in members)


def _predicted_run_time_s(members: Sequence[Run]) -> float | None:
    """Return the run time that the members' reports predict; None until most of them have reported enough.

    The median is taken, so that one worker that reports false percentages has no effect.
    """
    predicted = [
        member.ran_s * 100.0 / member.percent
        for member in members
        if member.percent >= _CONCLUSIVE_PERCENT and member.phase is RunPhase.RUNNING
    ]
    return median(predicted) if len(predicted) * 2 > len(members) else None


def _comparable_workers(state: SchedulerState, step: StepState, members: Sequence[Run]) -> list[WorkerState]:
    """Return the distinct workers of a gang; none if it is slow or fast for other reasons than its workers."""
    if any(not member.shows_run_time for member in members):
        return []
    ids = dict.fromkeys(member.worker_id for member in members)
    workers = [state.worker_by_id[each] for each in ids if each in state.worker_by_id]
    if len(workers) < len(ids) or not all(is_near(worker, step) for worker in workers):
        return []
    if step.spec.same_rack and len({worker.rack for worker in workers}) > 1:
        return []
    return workers
