"""Gap between the scheduler and the upper bound, and its causes."""

import statistics
from collections import defaultdict
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from typing import NamedTuple

from .bound import bound
from .days import AFTER_S, draw_day, Play, play_day, SCHEDULERS, TRAFFIC_S
from .drawing import deployment_named
from .losses import Loss, losses
from .scoring import score_day, score_jobs


class Gap(NamedTuple):
    """Means over days, as shares of the maximum score.

    Parameters
    ----------
    bound : float
        What no scheduler could exceed.
    net : float
        What was reached: the bound, what is short of one beyond it, and the losses
        make up one.
    losses : list of Loss
        What each cause cost, the dearest first.
    """

    bound: float
    net: float
    losses: list[Loss]

    @property
    def beyond_reach(self) -> float:
        """Credit that no scheduler could earn; it is part of the losses."""
        return 1.0 - self.bound


def gap_on(deployment: str, seeds: Sequence[int], load: float = 1.0, workers: int = 1) -> Gap:
    """Return the gap on days of a deployment, by its name, or on drawn ones."""
    return measure_gap([Play('ours', deployment_named(deployment, seed), seed, load) for seed in seeds], workers)


def measure_gap(plays: Sequence[Play], workers: int = 1) -> Gap:
    """Return the gap over several plays, simulated on several cores."""
    with ProcessPoolExecutor(workers) as executor:
        return _mean(list(executor.map(_gap, plays)))


def _gap(wanted: Play) -> Gap:
    day = draw_day(wanted.deployment, wanted.seed, wanted.load)
    until_s = TRAFFIC_S + AFTER_S
    ledger = play_day(day, SCHEDULERS[wanted.scheduler](wanted.deployment, wanted.settings)).ledger
    score = score_day(day.deployment, day.jobs, ledger, until_s)
    return Gap(bound(day), score.net, losses(score, score_jobs(day.jobs, ledger), ledger, until_s))


def _mean(gaps: Sequence[Gap]) -> Gap:
    worth_by_cause: dict[str, float] = defaultdict(float)
    waste_by_cause: dict[str, float] = defaultdict(float)
    for loss in (loss for gap in gaps for loss in gap.losses):
        worth_by_cause[loss.cause] += loss.worth / len(gaps)
        waste_by_cause[loss.cause] += loss.waste / len(gaps)
    found = [Loss(cause, worth_by_cause[cause], waste_by_cause[cause]) for cause in worth_by_cause]
    found.sort(key=lambda loss: -loss.worth - loss.waste)
    return Gap(statistics.fmean(gap.bound for gap in gaps), statistics.fmean(gap.net for gap in gaps), found)
