"""Score of a day by the users' measures."""

import heapq
import statistics
from collections import defaultdict
from collections.abc import Callable, Hashable, Iterable, Sequence
from typing import NamedTuple

from dahliaarch_kernel.workload import weighted_cores

from .ledger import Ledger
from .shapes import Deployment, JobKind
from .workload import DrawnJob

# Fixed part of a job's worth, and the part in proportion to its size.
_FIXED_PART = 0.3
_LARGEST_SIZE_FACTOR = 4.0
# A job is late up to this multiple of its objective.
LATE_FACTOR = 3.0
# Time from a job's end until its owner learns of it, in seconds.
SHOWN_AFTER_S = 0.03
# Weights of the whole day, the worst windows, the worst kind of request and the
# worst tenth of accounts.
_WEIGHT_OF_DAY = 0.7
_WEIGHT_OF_WINDOWS = 0.15
_WEIGHT_OF_KIND = 0.15
_WEIGHT_OF_ACCOUNT = 0.2
# Number of worst windows that count.
WORST_WINDOWS = 2


class JobScore(NamedTuple):
    """Outcome of one owed job.

    Parameters
    ----------
    job : DrawnJob
        The job.
    owed, earned : float
        Its worth in time, and what it earned.
    lateness : float
        Its time over its objective; infinite when it did not end.
    """

    job: DrawnJob
    owed: float
    earned: float
    lateness: float

    @property
    def lost(self) -> float:
        """Worth that it did not earn."""
        return self.owed - self.earned


class DayScore(NamedTuple):
    """Sums over one day.

    Parameters
    ----------
    owed, earned : float
        Worth of all owed jobs, and what was earned.
    parts : float
        What counts, before the price of waste, 0 to 1.
    wasted, worked : float
        Weighted core-seconds thrown away, and all.
    price : float
        Price of what was thrown away, as a share of what was owed.
    jobs, served, urgent, urgent_in_time : int
        Numbers of owed jobs.
    completions_s, gang_waits_s, idle : list of float
        Times of jobs, waits of gangs, shares of idle accelerators while one waits.
    """

    owed: float
    earned: float
    parts: float
    wasted: float
    worked: float
    price: float
    jobs: int
    served: int
    urgent: int
    urgent_in_time: int
    completions_s: list[float]
    gang_waits_s: list[float]
    idle: list[float]

    @property
    def net(self) -> float:
        """Credit less the price of waste."""
        return self.parts - self.price


def worth_of(jobs: Sequence[DrawnJob]) -> dict[str, float]:
    """Return the worth in time of each owed job, by its id."""
    works: dict[JobKind, list[float]] = defaultdict(list)
    for job in jobs:
        works[job.kind].append(_work(job))
    mean_by_kind = {kind: statistics.fmean(found) for kind, found in works.items()}
    return {job.spec.job_id: job.kind.worth * _size(job, mean_by_kind) for job in jobs if job.is_owed}


def score_jobs(jobs: Sequence[DrawnJob], ledger: Ledger) -> list[JobScore]:
    """Return the outcome of each owed job."""
    owed_by_id = worth_of(jobs)
    found = []
    for job in jobs:
        if not job.is_owed:
            continue
        owed = owed_by_id[job.spec.job_id]
        ended_s = ledger.ended_s_by_job.get(job.spec.job_id, float('inf'))
        wanted_s = job.objective_s + job.kind.stretch * ledger.failed_s_by_job[job.spec.job_id]
        lateness = (ended_s + SHOWN_AFTER_S - job.at_s) / wanted_s
        found.append(JobScore(job, owed, owed * _credit(job.kind, lateness), lateness))
    return found


def score_day(deployment: Deployment, jobs: Sequence[DrawnJob], ledger: Ledger, until_s: float) -> DayScore:
    """Return the score of a day."""
    scores = score_jobs(jobs, ledger)
    urgent = [score for score in scores if not score.job.kind.priority]
    owed = sum(score.owed for score in scores)
    ended_s = ledger.ended_s_by_job
    begun_s = ledger.begun_s_by_job
    gangs = [score.job for score in scores if score.job.spec.steps[0].gang]
    return DayScore(
        owed,
        sum(score.earned for score in scores),
        _parts(scores),
        ledger.wasted,
        ledger.worked,
        deployment.pool.waste_price * ledger.wasted / max(owed, 1.0),
        len(scores),
        sum(score.lateness <= LATE_FACTOR for score in scores),
        len(urgent),
        sum(score.lateness <= 1 for score in urgent),
        [ended_s[score.job.spec.job_id] - score.job.at_s for score in scores if score.job.spec.job_id in ended_s],
        [begun_s.get(job.spec.job_id, until_s) - job.at_s for job in gangs],
        ledger.idle_while_waiting,
    )


def _credit(kind: JobKind, lateness: float) -> float:
    """Return the share of its worth that a job earns."""
    if lateness <= 1:
        return 1.0
    return kind.late_worth / kind.worth if lateness <= LATE_FACTOR else 0.0


class PartsWeights(NamedTuple):
    """Weights of the parts of a score.

    Parameters
    ----------
    day, windows, kind, account : float
        The whole day, the worst windows, the worst kind of request and the worst account.
    """

    day: float
    windows: float
    kind: float
    account: float


def parts_weights() -> PartsWeights:
    """Return the weights of the parts; they sum to one."""
    weights = (_WEIGHT_OF_DAY, _WEIGHT_OF_WINDOWS, _WEIGHT_OF_KIND, _WEIGHT_OF_ACCOUNT)
    return PartsWeights(*(weight / sum(weights) for weight in weights))


def costs_of_loss(scores: Sequence[JobScore]) -> dict[str, float]:
    """Return the weight of one unit of worth of each job in the score of the day, for the given worst groups."""
    weights = parts_weights()
    cost_by_id: dict[str, float] = defaultdict(float)
    worst = (
        (weights.day, [scores]),
        (weights.windows, _worst(scores, lambda score: score.job.window, WORST_WINDOWS)),
        (weights.kind, _worst(scores, lambda score: score.job.kind.name, 1)),
        (weights.account, _worst(scores, lambda score: score.job.spec.account, 1)),
    )
    for weight, groups in worst:
        for group in groups:
            owed = sum(score.owed for score in group)
            for score in group:
                cost_by_id[score.job.spec.job_id] += weight / len(groups) / owed
    return cost_by_id


def _worst(scores: Iterable[JobScore], key: Callable[[JobScore], Hashable], count: int) -> list[Sequence[JobScore]]:
    """Return the groups that earned the smallest shares."""
    groups: dict[Hashable, list[JobScore]] = defaultdict(list)
    for score in scores:
        groups[key(score)].append(score)
    return heapq.nsmallest(count, groups.values(), key=_share)


def _parts(scores: Sequence[JobScore]) -> float:
    cost_by_id = costs_of_loss(scores)
    return 1.0 - sum(cost_by_id[score.job.spec.job_id] * score.lost for score in scores)


def _share(scores: Sequence[JobScore]) -> float:
    owed = sum(score.owed for score in scores)
    return sum(score.earned for score in scores) / owed


def _work(job: DrawnJob) -> float:
    pairs = zip(job.spec.steps, job.work_s, strict=True)
    return sum(weighted_cores(step.demand) * sum(work) for step, work in pairs)


def _size(job: DrawnJob, mean_by_kind: dict[JobKind, float]) -> float:
    share = _work(job) / mean_by_kind[job.kind]
    return min(_FIXED_PART + (1 - _FIXED_PART) * share, _LARGEST_SIZE_FACTOR)
