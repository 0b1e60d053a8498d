"""Compares several schedulers on the same days."""

import statistics
from collections.abc import Sequence
from typing import NamedTuple

from .days import Play, play_all, SCHEDULERS
from .drawing import deployment_named
from .scoring import DayScore


class Comparison(NamedTuple):
    """Results of one scheduler over several days.

    Parameters
    ----------
    scheduler : str
        Its name.
    net : float
        What counts to the users, less the price of work that was thrown away.
    credit : float
        Worth earned over worth owed.
    served : float
        Share of jobs that ended within the time in which they are worth anything.
    urgent_in_time : float
        Share of the jobs of priority 0 that ended within their objective.
    mean_completion_s : float
        Mean time from submission to the end, of jobs that ended.
    longest_gang_wait_s : float
        Longest time that a gang waited for its start.
    idle_while_gangs_wait : float
        Mean share of accelerators that were free while a gang waited.
    wasted_share : float
        Share of all core-seconds that were thrown away.
    """

    scheduler: str
    net: float
    credit: float
    served: float
    urgent_in_time: float
    mean_completion_s: float
    longest_gang_wait_s: float
    idle_while_gangs_wait: float
    wasted_share: float


def compare(
    deployment: str,
    seeds: Sequence[int],
    load: float = 1.0,
    names: Sequence[str] = (),
    workers: int = 1,
) -> list[Comparison]:
    """Return a row for each scheduler, the same days for all.

    Parameters
    ----------
    deployment : str
        Name of a deployment, or ``drawn`` for one of its own each day.
    seeds : sequence of int
        One day each.
    load : float
        Multiple of the deployment's rates.
    names : sequence of str
        Schedulers; all by default.
    workers : int
        Processes that play days.
    """
    chosen = names or tuple(SCHEDULERS)
    plays = [Play(name, deployment_named(deployment, seed), seed, load) for name in chosen for seed in seeds]
    scores = play_all(plays, workers)
    days = len(seeds)
    return [_row(name, scores[place * days : (place + 1) * days]) for place, name in enumerate(chosen)]


def _row(name: str, days: Sequence[DayScore]) -> Comparison:
    waits = [each for day in days for each in day.gang_waits_s]
    return Comparison(
        name,
        statistics.fmean(day.net for day in days),
        sum(day.earned for day in days) / sum(day.owed for day in days),
        sum(day.served for day in days) / sum(day.jobs for day in days),
        sum(day.urgent_in_time for day in days) / max(1, sum(day.urgent for day in days)),
        statistics.fmean([each for day in days for each in day.completions_s] or [0.0]),
        max(waits, default=0.0),
        statistics.fmean([each for day in days for each in day.idle] or [0.0]),
        sum(day.wasted for day in days) / max(1.0, sum(day.worked for day in days)),
    )
