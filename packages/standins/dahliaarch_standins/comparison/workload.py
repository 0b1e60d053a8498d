"""Draws the jobs of one day."""

import math
import random
from collections.abc import Sequence
from typing import NamedTuple

from dahliaarch_kernel.configuration import Queue
from dahliaarch_kernel.scheduler.room import fitting_count
from dahliaarch_kernel.workload import JobSpec, StepSpec

from .shapes import Deployment, JobKind, Pool
from .troubles import Burst, Cancellations

SERVICE = 'svc'
# Wall-clock time at the start of a comparison, in seconds since 1970.
WALL_S = 1_700_000_000.0
# Number of runs of a task that may fail before its job fails.
_MAX_ATTEMPTS = 4
# Length of a scoring window, in seconds: the worst windows are a part of the score.
_WINDOW_S = 2.0
# Delay between the acceptance of a job and its cancellation, in seconds.
_CANCEL_AFTER_S = (1.0, 12.0)
_WIDTH_SPREAD = 0.8
# Maximum number of tasks of one step per worker, where a job limits it.
_APART = 2


class DrawnJob(NamedTuple):
    """A job with its declared and its true properties.

    Parameters
    ----------
    kind : JobKind
        Kind of request.
    spec : JobSpec
        As submitted.
    at_s : float
        When it is submitted, on the comparison's clock.
    work_s : tuple of tuple of float
        True work by step and task.
    is_hopeless : bool
        Whether every run of it fails.
    cancel_at_s : float or None
        When it is cancelled.
    """

    kind: JobKind
    spec: JobSpec
    at_s: float
    work_s: tuple[tuple[float, ...], ...]
    is_hopeless: bool
    cancel_at_s: float | None

    @property
    def is_owed(self) -> bool:
        """Whether credit is owed for it: it is not cancelled and can be done."""
        return not self.is_hopeless and self.cancel_at_s is None

    @property
    def window(self) -> int:
        """Scoring window in which it was submitted."""
        return int(self.at_s // _WINDOW_S)

    @property
    def chain_s(self) -> float:
        """Longest chain of its work on sound workers, in seconds."""
        return sum(max(work) for work in self.work_s)

    @property
    def objective_s(self) -> float:
        """Objective of its completion time, in seconds."""
        return self.kind.stretch * self.chain_s + self.kind.slack_s


def queue_of(kind: JobKind) -> Queue:
    """Return the queue of a kind of request."""
    return Queue(
        kind.name,
        'h',
        f'/{kind.name}/',
        SERVICE,
        kind.priority,
        _MAX_ATTEMPTS,
        kind.stretch,
        kind.slack_s,
    )


def draw_jobs(
    deployment: Deployment,
    length_s: float,
    load: float,
    seed: int,
    bursts: Sequence[Burst] = (),
    waves: Sequence[Cancellations] = (),
) -> list[DrawnJob]:
    """Return the jobs of a day by time.

    Parameters
    ----------
    deployment : Deployment
        Whose jobs.
    length_s : float
        Length of the day's traffic.
    load : float
        Multiple of the rates.
    seed : int
        Seed of the draw.
    bursts : sequence of Burst
        Times when more comes of one kind.
    waves : sequence of Cancellations
        Times when many owners leave early.
    """
    choice = random.Random(seed)
    jobs = []
    for kind in deployment.kinds:
        at_s = choice.expovariate(kind.rate_per_s * load)
        while at_s < length_s:
            jobs.append(_draw_job(deployment, kind, at_s, choice, waves))
            factor = math.prod(burst.factor for burst in bursts if burst.hits(kind.priority, at_s))
            at_s += choice.expovariate(kind.rate_per_s * load * factor)
    return sorted(jobs, key=lambda job: job.at_s)


def _draw_job(
    deployment: Deployment,
    kind: JobKind,
    at_s: float,
    choice: random.Random,
    waves: Sequence[Cancellations],
) -> DrawnJob:
    steps = [_draw_step(deployment, kind, choice, after=())]
    if choice.random() < kind.second_step_share:
        steps.append(_draw_step(deployment, kind, choice, after=(0,)))
    account = _draw_account(deployment.pool, choice)
    spec = JobSpec(
        f'{choice.getrandbits(64):016x}',
        f'account-{account}',
        kind.name,
        '',
        tuple(step for step, _ in steps),
        accepted_s=WALL_S + at_s,
    )
    cancel_at_s = at_s + choice.uniform(*_CANCEL_AFTER_S) if choice.random() < kind.cancelled_share else None
    for wave in waves:
        if wave.hits(at_s) and choice.random() < wave.share:
            cancel_at_s = at_s + choice.uniform(0.0, wave.within_s)
    work_s = tuple(work for _, work in steps)
    return DrawnJob(kind, spec, at_s, work_s, choice.random() < kind.hopeless_share, cancel_at_s)


def _draw_account(pool: Pool, choice: random.Random) -> int:
    """Return the number of the account that submits a job."""
    if not pool.largest_account_share or pool.accounts == 1:
        return choice.randrange(pool.accounts)
    if choice.random() < pool.largest_account_share:
        return 0
    return choice.randrange(1, pool.accounts)


def _draw_step(
    deployment: Deployment, kind: JobKind, choice: random.Random, *, after: tuple[int, ...]
) -> tuple[StepSpec, tuple[float, ...]]:
    width = max(1, round(min(_log_normal(choice, kind.mean_width, _WIDTH_SPREAD), kind.largest_width)))
    work_s = min(_log_normal(choice, kind.mean_work_s, kind.work_spread), kind.largest_work_s)
    is_gang = kind.is_gang and width > 1
    demand = kind.demand._replace(accelerators=choice.choice(kind.accelerators))
    fits_in_rack = width <= deployment.pool.workers_per_rack * fitting_count(deployment.pool.capacity, demand)
    step = StepSpec(
        width,
        demand,
        _log_normal(choice, work_s, kind.estimate_spread),
        after=after,
        checkpoints=choice.random() < kind.checkpoint_share,
        gang=is_gang,
        same_rack=choice.random() < kind.one_rack_share and is_gang and fits_in_rack,
        max_per_worker=_APART if choice.random() < kind.apart_share else 0,
    )
    # Members of a gang progress together; other tasks vary.
    uneven = 0.0 if is_gang else kind.uneven
    return step, tuple(work_s * max(0.1, choice.gauss(1.0, uneven)) for _ in range(width))


def _log_normal(choice: random.Random, mean: float, spread: float) -> float:
    """Return a log-normal value with a given mean and spread."""
    return choice.lognormvariate(math.log(mean) - spread * spread / 2, spread)
