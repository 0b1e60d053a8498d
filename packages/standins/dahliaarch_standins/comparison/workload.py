"""Draws the jobs of one day."""

import math
import random
from typing import NamedTuple

from dahliaarch_kernel.configuration import Queue
from dahliaarch_kernel.workload import JobSpec, StepSpec

from .deployments import Deployment, JobKind

SERVICE = 'svc'
# Time of day when the clock of a comparison stands at 0, seconds since 1970.
WALL_S = 1_700_000_000.0
_MAX_ATTEMPTS = 4
# How much later than its acceptance an owner cancels a job, in seconds.
_CANCEL_AFTER_S = (1.0, 12.0)
# Urgent jobs come in a burst once a day, as on the users' standard days.
_BURST_S = (5.0, 11.0)
_BURST_FACTOR = 2.3


class DrawnJob(NamedTuple):
    """A job, what its owner knows of it and what is true.

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


def draw_day(deployment: Deployment, length_s: float, load: float, seed: int) -> list[DrawnJob]:
    """Return the jobs of a day by time; ``load`` multiplies their rates."""
    choice = random.Random(seed)
    jobs = []
    for kind in deployment.kinds:
        at_s = choice.expovariate(kind.rate_per_s * load)
        while at_s < length_s:
            jobs.append(_draw_job(deployment, kind, at_s, choice))
            at_s += choice.expovariate(kind.rate_per_s * load * _burst(kind, at_s))
    return sorted(jobs, key=lambda job: job.at_s)


def _burst(kind: JobKind, at_s: float) -> float:
    """Return how many times as much of a kind comes at a time."""
    begun_s, ended_s = _BURST_S
    return _BURST_FACTOR if kind.priority == 0 and begun_s <= at_s < ended_s else 1.0


def _draw_job(deployment: Deployment, kind: JobKind, at_s: float, choice: random.Random) -> DrawnJob:
    steps = [_draw_step(kind, choice, after=())]
    if choice.random() < kind.second_step_share:
        steps.append(_draw_step(kind, choice, after=(0,)))
    account = f'account-{choice.randrange(deployment.pool.accounts)}'
    spec = JobSpec(
        f'{choice.getrandbits(64):016x}',
        account,
        kind.name,
        '',
        tuple(step for step, _ in steps),
        accepted_s=WALL_S + at_s,
    )
    cancel_at_s = at_s + choice.uniform(*_CANCEL_AFTER_S) if choice.random() < kind.cancelled_share else None
    work_s = tuple(work for _, work in steps)
    return DrawnJob(kind, spec, at_s, work_s, choice.random() < kind.hopeless_share, cancel_at_s)


def _draw_step(kind: JobKind, choice: random.Random, *, after: tuple[int, ...]) -> tuple[StepSpec, tuple[float, ...]]:
    width = max(1, round(min(_log_normal(choice, kind.mean_width, _WIDTH_SPREAD), kind.largest_width)))
    work_s = min(_log_normal(choice, kind.mean_work_s, kind.work_spread), kind.largest_work_s)
    is_gang = kind.is_gang and width > 1
    step = StepSpec(
        width,
        kind.demand._replace(accelerators=choice.choice(kind.accelerators)),
        work_s * (1.0 + choice.uniform(-1.0, 1.0) * kind.estimate_error),
        after=after,
        checkpoints=choice.random() < kind.checkpoint_share,
        gang=is_gang,
        same_rack=is_gang and width <= _WIDEST_IN_ONE_RACK and choice.random() < kind.one_rack_share,
    )
    # Members of a gang advance together; other tasks are uneven.
    uneven = 0.0 if is_gang else kind.uneven
    return step, tuple(work_s * choice.uniform(1.0 - uneven, 1.0 + uneven) for _ in range(width))


def _log_normal(choice: random.Random, mean: float, spread: float) -> float:
    sigma = math.sqrt(math.log(1.0 + spread * spread))
    return choice.lognormvariate(math.log(mean) - sigma * sigma / 2, sigma)


_WIDTH_SPREAD = 0.8
# Wider gangs are not asked to stay in one rack.
_WIDEST_IN_ONE_RACK = 9
