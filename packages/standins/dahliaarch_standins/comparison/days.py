"""Simulates days: each scheduler gets the same jobs and the same troubles."""

from collections.abc import Callable, Mapping, Sequence
from concurrent.futures import ProcessPoolExecutor
from typing import NamedTuple

from dahliaarch_kernel.scheduler import Scheduler, SchedulerSettings

from .baselines import BestFit
from .decider import Decider
from .scoring import DayScore, score_day
from .shapes import Deployment
from .simulation import Simulation
from .troubles import draw_loaded, draw_troubles, Troubles
from .workload import draw_jobs, DrawnJob

# Length of a day's traffic, and of the time simulated after it, in seconds.
TRAFFIC_S = 36.0
AFTER_S = 25.0


class Day(NamedTuple):
    """A drawn day.

    Parameters
    ----------
    deployment : Deployment
        Where it is played.
    jobs : list of DrawnJob
        Its jobs.
    troubles : Troubles
        Its troubles.
    seed : int
        Seed of everything else.
    """

    deployment: Deployment
    jobs: list[DrawnJob]
    troubles: Troubles
    seed: int


class Play(NamedTuple):
    """A day and the scheduler to simulate it with.

    Parameters
    ----------
    scheduler : str
        Name of the scheduler.
    deployment : Deployment
        Where.
    seed : int
        Seed of the day.
    load : float
        Multiple of the deployment's rates.
    settings : SchedulerSettings
        Limits and weights of ours.
    """

    scheduler: str
    deployment: Deployment
    seed: int
    load: float = 1.0
    settings: SchedulerSettings = SchedulerSettings()


def draw_day(deployment: Deployment, seed: int, load: float = 1.0) -> Day:
    """Return a day of a deployment."""
    priorities = tuple(kind.priority for kind in deployment.kinds)
    is_loaded = deployment.is_loaded
    troubles = draw_loaded(priorities, seed) if is_loaded else draw_troubles(priorities, TRAFFIC_S, seed)
    jobs = draw_jobs(deployment, TRAFFIC_S, load, seed, troubles.bursts, troubles.waves)
    return Day(deployment, jobs, troubles, seed)


def play_day(day: Day, scheduler: Decider) -> Simulation:
    """Simulate a day and return its ledger."""
    simulation = Simulation(day.deployment, day.jobs, day.troubles, scheduler, day.seed)
    simulation.run(TRAFFIC_S + AFTER_S)
    return simulation


def play(wanted: Play) -> DayScore:
    """Simulate a day and return its score."""
    day = draw_day(wanted.deployment, wanted.seed, wanted.load)
    scheduler = SCHEDULERS[wanted.scheduler](wanted.deployment, wanted.settings)
    ledger = play_day(day, scheduler).ledger
    return score_day(day.deployment, day.jobs, ledger, TRAFFIC_S + AFTER_S)


def play_all(plays: Sequence[Play], workers: int = 1) -> list[DayScore]:
    """Simulate days on several cores; results are in the order of the plays."""
    if workers == 1:
        return [play(each) for each in plays]
    with ProcessPoolExecutor(workers) as executor:
        return list(executor.map(play, plays))


def settings_for(deployment: Deployment, settings: SchedulerSettings) -> SchedulerSettings:
    """Return settings with the limits of the deployment's platform."""
    pool = deployment.pool
    return settings._replace(far_factor=pool.far_factor, stop_timeout_s=pool.largest_stop_s)


def _ours(deployment: Deployment, settings: SchedulerSettings) -> Scheduler:
    pool = deployment.pool
    scheduler = Scheduler(settings_for(deployment, settings), epoch=1)
    guaranteed = int(pool.workers * pool.capacity.accelerators * pool.guaranteed_share / pool.accounts)
    scheduler.set_guarantees({f'account-{number}': guaranteed for number in range(pool.accounts)})
    return scheduler


def _best_fit(deployment: Deployment, settings: SchedulerSettings) -> Scheduler:
    return BestFit(settings_for(deployment, settings))


SCHEDULERS: Mapping[str, Callable[[Deployment, SchedulerSettings], Scheduler]] = {
    'ours': _ours,
    'best-fit': _best_fit,
}
