"""Random deployments, drawn by a seed.

They differ in all that a deployment may differ in: size of the pool, racks and
workers, kinds of requests, how urgent, wide, long and well estimated they are, what
they are worth, and how full the pool is.
"""

import math
import random

from dahliaarch_kernel.workload import dominant_share, Resources

from .deployments import DEPLOYMENTS
from .shapes import Deployment, JobKind, Pool

# Name of the days that are each simulated on another random deployment.
DRAWN = 'drawn'
# The same, with all troubles at once.
DRAWN_LOADED = 'drawn-loaded'

_WORKERS = (12, 20, 32, 48, 72)
_WORKERS_PER_RACK = (4, 6, 8, 12)
_CAPACITIES = (
    Resources(32_000, 131_072, 8),
    Resources(64_000, 262_144, 8),
    Resources(128_000, 262_144, 8),
    Resources(64_000, 131_072, 4),
    Resources(192_000, 524_288, 16),
)
_SPEEDS = ((1.0,), (1.0, 1.0, 1.3), (1.0, 1.15), (1.0, 1.0, 1.0, 1.6))
# Share of the pool that the mean load takes.
_LOAD = (0.45, 0.8)
# Share of that load by priority, before they are made to sum to one.
_SHARES = ((0.15, 0.4), (0.2, 0.6), (0.2, 0.6))
_PRIORITIES = 3
# Share of the kinds of requests, other than urgent ones, whose tasks are gangs.
_GANG_SHARE = 0.5


def deployment_named(name: str, seed: int) -> Deployment:
    """Return a deployment by its name, or the one that a seed draws."""
    if name in DEPLOYMENTS:
        return DEPLOYMENTS[name]
    return draw_deployment(seed)._replace(is_loaded=name == DRAWN_LOADED)


def draw_deployment(seed: int) -> Deployment:
    """Return a deployment."""
    choice = random.Random(f'deployment/{seed}')
    pool = _draw_pool(choice)
    shares = [choice.uniform(*span) for span in _SHARES]
    load = choice.uniform(*_LOAD)
    kinds = [_draw_kind(choice, pool, priority) for priority in range(_PRIORITIES)]
    return Deployment(
        pool,
        tuple(
            kind._replace(rate_per_s=load * share / sum(shares) * pool.workers / _worker_s(kind, pool))
            for kind, share in zip(kinds, shares, strict=True)
        ),
    )


def _draw_pool(choice: random.Random) -> Pool:
    shortest_stop_s = choice.uniform(0.05, 0.3)
    return Pool(
        choice.choice(_WORKERS),
        choice.choice(_WORKERS_PER_RACK),
        choice.choice(_CAPACITIES),
        choice.choice(_SPEEDS),
        shortest_stop_s,
        choice.uniform(shortest_stop_s, 0.9),
        far_factor=choice.choice((1.5, 2.0, 3.0)),
        checkpoint_s=choice.choice((0.5, 1.0, 2.0)),
        restore_s=choice.uniform(0.1, 0.6),
        hold_s=choice.choice((6.0, 10.0)),
        guaranteed_share=choice.uniform(0.2, 0.8),
        accounts=choice.randint(2, 10),
        waste_price=choice.uniform(0.001, 0.003),
    )


def _draw_kind(choice: random.Random, pool: Pool, priority: int) -> JobKind:
    """Return a kind of request: urgent ones are short and strict."""
    is_urgent = priority == 0
    is_gang = is_urgent or choice.random() < _GANG_SHARE
    accelerators = tuple(sorted(choice.choices((1, 1, 2, 4, pool.capacity.accelerators), k=3)))
    mean_work_s = choice.uniform(1.0, 4.0) if is_urgent else choice.uniform(4.0, 14.0)
    worth = choice.uniform(1.0, 6.0)
    return JobKind(
        f'priority-{priority}',
        priority=priority,
        rate_per_s=0.0,
        mean_width=choice.uniform(1.5, 5.0) if is_gang else choice.uniform(4.0, 20.0),
        largest_width=8 if is_gang else 40,
        mean_work_s=mean_work_s,
        work_spread=choice.uniform(0.1, 0.6),
        largest_work_s=3 * mean_work_s,
        demand=_draw_demand(choice, pool.capacity),
        accelerators=accelerators,
        is_gang=is_gang,
        one_rack_share=choice.uniform(0.0, 0.8) if is_gang else 0.0,
        checkpoint_share=0.0 if is_urgent else choice.uniform(0.0, 1.0),
        second_step_share=0.0 if is_urgent else choice.uniform(0.0, 0.4),
        apart_share=choice.uniform(0.0, 0.2),
        estimate_spread=choice.uniform(0.1, 1.0),
        uneven=0.0 if is_gang else choice.uniform(0.0, 0.3),
        failing_share=choice.uniform(0.0, 0.06),
        hopeless_share=0.0 if is_urgent else choice.uniform(0.0, 0.04),
        cancelled_share=choice.uniform(0.0, 0.15),
        stretch=choice.uniform(1.3, 2.0) if is_urgent else choice.uniform(2.0, 4.0),
        slack_s=choice.uniform(0.2, 1.0) if is_urgent else choice.uniform(0.5, 3.0),
        worth=worth,
        late_worth=worth * choice.uniform(0.1, 0.4),
    )


def _draw_demand(choice: random.Random, capacity: Resources) -> Resources:
    """Return the cores and memory of a task, so that a few fit on a worker."""
    return Resources(
        int(capacity.cpu_millis * choice.uniform(0.05, 0.4)),
        int(capacity.memory_mb * choice.uniform(0.05, 0.4)),
    )


def _worker_s(kind: JobKind, pool: Pool) -> float:
    """Return the mean worker-seconds of a job."""
    shares = [dominant_share(kind.demand._replace(accelerators=count), pool.capacity) for count in kind.accelerators]
    steps = 1.0 + kind.second_step_share
    return steps * kind.mean_width * kind.mean_work_s * math.fsum(shares) / len(shares)
