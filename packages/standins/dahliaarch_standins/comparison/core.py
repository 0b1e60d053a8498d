"""Plays the same days with several schedulers and compares what owners get."""

import statistics
from collections.abc import Callable, Sequence
from typing import NamedTuple

from dahliaarch_kernel.scheduler import Scheduler, SchedulerSettings
from dahliaarch_kernel.workload import weighted_cores

from .baselines import BestFit
from .deployments import Deployment, DEPLOYMENTS, JobKind
from .simulation import Decider, Simulation
from .workload import draw_day, DrawnJob

# Length of a day's traffic and of the time after it, in seconds.
_TRAFFIC_S = 45.0
_AFTER_S = 20.0
# The users' formula: a fixed part of a job's worth and one by its size.
_FIXED_PART = 0.3
_LARGEST_SIZE_FACTOR = 4.0
# Price of a weighted core-second that is thrown away, as the users' sites have it.
_PRICE_OF_WASTE = 0.0015
# A job is late up to this multiple of its objective.
_LATE_FACTOR = 3.0


class Comparison(NamedTuple):
    """What one scheduler made of some days.

    Parameters
    ----------
    scheduler : str
        Its name.
    credit : float
        Worth earned over worth owed.
    net : float
        The same less the price of work that was thrown away.
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
    credit: float
    net: float
    served: float
    urgent_in_time: float
    mean_completion_s: float
    longest_gang_wait_s: float
    idle_while_gangs_wait: float
    wasted_share: float


def compare(deployment: str, seeds: Sequence[int], load: float = 1.0, names: Sequence[str] = ()) -> list[Comparison]:
    """Return a row for each scheduler, the same days for all.

    Parameters
    ----------
    deployment : str
        Name of a deployment.
    seeds : sequence of int
        One day each.
    load : float
        Multiple of the deployment's rates.
    names : sequence of str
        Schedulers; all by default.
    """
    chosen = names or tuple(_SCHEDULERS)
    return [_play(name, DEPLOYMENTS[deployment], seeds, load) for name in chosen]


class _Day(NamedTuple):
    """Sums over one day."""

    earned: float
    owed: float
    served: int
    urgent_in_time: int
    urgent: int
    jobs: int
    completions_s: list[float]
    gang_waits_s: list[float]
    idle: list[float]
    wasted: float
    worked: float


def _play(name: str, deployment: Deployment, seeds: Sequence[int], load: float) -> Comparison:
    days = [_play_day(name, deployment, seed, load) for seed in seeds]
    owed = sum(day.owed for day in days)
    earned = sum(day.earned for day in days)
    wasted = sum(day.wasted for day in days)
    return Comparison(
        name,
        earned / owed,
        (earned - _PRICE_OF_WASTE * wasted) / owed,
        sum(day.served for day in days) / sum(day.jobs for day in days),
        sum(day.urgent_in_time for day in days) / max(1, sum(day.urgent for day in days)),
        statistics.fmean(each for day in days for each in day.completions_s),
        max((each for day in days for each in day.gang_waits_s), default=0.0),
        statistics.fmean([each for day in days for each in day.idle] or [0.0]),
        wasted / sum(day.worked for day in days),
    )


def _play_day(name: str, deployment: Deployment, seed: int, load: float) -> _Day:
    jobs = draw_day(deployment, _TRAFFIC_S, load, seed)
    simulation = Simulation(deployment, jobs, _SCHEDULERS[name](deployment), seed)
    simulation.run(_TRAFFIC_S + _AFTER_S)
    return _sums(deployment, jobs, simulation)


def _sums(deployment: Deployment, jobs: list[DrawnJob], simulation: Simulation) -> _Day:
    mean_work = {kind: _mean_work(jobs, kind) for kind in deployment.kinds}
    owed = [job for job in jobs if not job.is_hopeless and job.cancel_at_s is None]
    earned = 0.0
    served = 0
    urgent_in_time = 0
    for job in owed:
        took_s = simulation.ended_s_by_job.get(job.spec.job_id, float('inf')) - job.at_s
        lateness = took_s / _objective_s(job)
        if lateness <= _LATE_FACTOR:
            served += 1
            worth = job.kind.worth if lateness <= 1 else job.kind.late_worth
            earned += worth * _size(job, mean_work)
        urgent_in_time += job.kind.priority == 0 and lateness <= 1
    begun_s = simulation.begun_s_by_job
    ended_s = simulation.ended_s_by_job
    return _Day(
        earned,
        sum(job.kind.worth * _size(job, mean_work) for job in owed),
        served,
        urgent_in_time,
        sum(job.kind.priority == 0 for job in owed),
        len(owed),
        [ended_s[job.spec.job_id] - job.at_s for job in owed if job.spec.job_id in ended_s],
        [begun_s.get(job.spec.job_id, _TRAFFIC_S + _AFTER_S) - job.at_s for job in owed if job.spec.steps[0].gang],
        simulation.idle_while_waiting,
        simulation.wasted,
        simulation.worked,
    )


def _objective_s(job: DrawnJob) -> float:
    """Return the time in which the owner wants the job to end."""
    return job.kind.stretch * sum(max(work) for work in job.work_s) + job.kind.slack_s


def _work(job: DrawnJob) -> float:
    pairs = zip(job.spec.steps, job.work_s, strict=True)
    return sum(weighted_cores(step.demand) * sum(work) for step, work in pairs)


def _mean_work(jobs: list[DrawnJob], kind: JobKind) -> float:
    return statistics.fmean([_work(job) for job in jobs if job.kind is kind] or [1.0])


def _size(job: DrawnJob, mean_work: dict[JobKind, float]) -> float:
    share = _work(job) / mean_work[job.kind]
    return min(_FIXED_PART + (1 - _FIXED_PART) * share, _LARGEST_SIZE_FACTOR)


def _scheduler(deployment: Deployment) -> Scheduler:
    pool = deployment.pool
    settings = SchedulerSettings(far_factor=pool.far_factor, stop_timeout_s=pool.largest_stop_s)
    scheduler = Scheduler(settings, epoch=1)
    guaranteed = int(pool.workers * pool.capacity.accelerators * pool.guaranteed_share / pool.accounts)
    scheduler.set_guarantees({f'account-{number}': guaranteed for number in range(pool.accounts)})
    return scheduler


_SCHEDULERS: dict[str, Callable[[Deployment], Decider]] = {
    'worth': _scheduler,
    'best-fit': BestFit,
}
