"""Shapes of the users' jobs and workers, from their sheets and from played days.

Widths, sizes and marks were read off the `job_known` lines of days played on
the users' bench; times, spreads and worths stand on their sheets.
"""

from typing import NamedTuple

from dahliaarch_kernel.workload import Resources


class JobKind(NamedTuple):
    """One kind of request.

    Parameters
    ----------
    name : str
        Name on the sheet.
    priority : int
        Priority of its queue.
    rate_per_s : float
        Jobs a second.
    mean_width, largest_width : float
        Tasks of a step; widths are log-normal.
    mean_work_s, work_spread, largest_work_s : float
        Work of a task on a sound worker.
    demand : Resources
        What a task needs beside accelerators.
    accelerators : tuple of int
        Accelerators of a task; one entry is drawn a job.
    is_gang : bool
        Whether tasks run together.
    one_rack_share, checkpoint_share : float
        Shares of jobs so marked.
    second_step_share : float
        Share of jobs with a second step.
    estimate_error : float
        Largest relative error of the owner's estimate.
    uneven : float
        Spread of work among the tasks of a step.
    failing_share : float
        Share of runs that fail by their own fault.
    hopeless_share : float
        Share of jobs that can never be done.
    cancelled_share : float
        Share of jobs that their owner cancels.
    stretch, slack_s : float
        Objective: so many times the longest chain of work, plus seconds.
    worth, late_worth : float
        Worth of a mean job in time and late.
    """

    name: str
    priority: int
    rate_per_s: float
    mean_width: float
    largest_width: float
    mean_work_s: float
    work_spread: float
    largest_work_s: float
    demand: Resources
    accelerators: tuple[int, ...]
    is_gang: bool
    one_rack_share: float
    checkpoint_share: float
    second_step_share: float
    estimate_error: float
    uneven: float
    failing_share: float
    hopeless_share: float
    cancelled_share: float
    stretch: float
    slack_s: float
    worth: float
    late_worth: float


class Pool(NamedTuple):
    """Workers of a deployment.

    Parameters
    ----------
    workers, workers_per_rack : int
        Their numbers.
    capacity : Resources
        What each has.
    speeds : tuple of float
        Times as long as work takes, by worker in turn.
    largest_stop_s : float
        Longest time that stopping a run takes.
    far_factor : float
        Times as long as a gang of one rack takes on several.
    checkpoint_s, restore_s : float
        Work between checkpoints, and time to go on from one.
    guaranteed_share : float
        Share of all accelerators that accounts are guaranteed.
    accounts : int
        Number of client accounts.
    """

    workers: int
    workers_per_rack: int
    capacity: Resources
    speeds: tuple[float, ...] = (1.0, 1.0, 1.3)
    largest_stop_s: float = 0.9
    far_factor: float = 3.0
    checkpoint_s: float = 1.0
    restore_s: float = 0.25
    guaranteed_share: float = 0.62
    accounts: int = 4


class Deployment(NamedTuple):
    """A pool and the jobs that it serves."""

    pool: Pool
    kinds: tuple[JobKind, ...]


_GANG_ACCELERATORS = (1, 2, 4, 8, 8)

_METERS = (
    JobKind(
        'interval-recon', 1, 0.392, 2.9, 4, 6.8, 0.3, 11.0, Resources(26_000, 140_000), _GANG_ACCELERATORS, True, 0.6,
        0.45, 0.0, 0.2, 0.3, 0.05, 0.01, 0.05, 3.0, 1.0, 3.0, 0.9,
    ),
    JobKind(
        'route-valid', 0, 0.763, 2.9, 5, 2.5, 0.5, 8.0, Resources(7_500, 22_000), _GANG_ACCELERATORS, True, 0.8,
        0.0, 0.0, 0.5, 0.15, 0.02, 0.0, 0.0, 1.5, 0.25, 4.0, 0.8,
    ),
    JobKind(
        'anomaly-scan', 2, 0.294, 16.0, 48, 7.6, 0.3, 11.0, Resources(5_600, 23_000), (1,), False, 0.0,
        0.45, 0.3, 0.9, 0.3, 0.05, 0.03, 0.15, 3.0, 3.0, 1.0, 0.3,
    ),
)  # fmt: skip
_CARS = (
    JobKind(
        'damage-scan', 1, 0.429, 2.9, 8, 8.5, 0.3, 14.0, Resources(52_000, 210_000), _GANG_ACCELERATORS, True, 0.6,
        0.45, 0.0, 0.2, 0.3, 0.05, 0.01, 0.05, 3.0, 1.0, 3.0, 0.9,
    ),
    JobKind(
        'rate-quote', 0, 0.961, 2.4, 4, 2.5, 0.5, 8.0, Resources(15_000, 79_000), _GANG_ACCELERATORS, True, 0.8,
        0.0, 0.0, 0.5, 0.15, 0.02, 0.0, 0.0, 1.5, 0.25, 4.0, 0.8,
    ),
    JobKind(
        'fleet-rebalance', 2, 0.34, 14.0, 40, 9.5, 0.3, 14.0, Resources(11_000, 59_000), (1,), False, 0.0,
        0.45, 0.3, 0.9, 0.3, 0.05, 0.03, 0.15, 3.0, 3.0, 1.0, 0.3,
    ),
)  # fmt: skip


def _grown(kinds: tuple[JobKind, ...], shapes: tuple[tuple[float, float, float], ...]) -> tuple[JobKind, ...]:
    """Return kinds at other rates and widths (mean and largest)."""
    pairs = zip(kinds, shapes, strict=True)
    return tuple(
        kind._replace(rate_per_s=rate, mean_width=mean, largest_width=largest) for kind, (rate, mean, largest) in pairs
    )


# A ninth of the workers are away on an ordinary day with trouble.
_GROWN_WORKERS = 156

DEPLOYMENTS = {
    'meters': Deployment(Pool(24, 8, Resources(64_000, 262_144, 8)), _METERS),
    'cars': Deployment(
        Pool(24, 8, Resources(128_000, 524_288, 8), largest_stop_s=0.4, checkpoint_s=2.0, restore_s=0.1), _CARS
    ),
    'meters-grown': Deployment(
        Pool(_GROWN_WORKERS, 12, Resources(64_000, 262_144, 8), accounts=10),
        _grown(_METERS, ((1.29, 13.0, 29), (3.52, 5.4, 32), (1.02, 39.0, 130))),
    ),
    'cars-grown': Deployment(
        Pool(
            _GROWN_WORKERS,
            12,
            Resources(128_000, 262_144, 8),
            largest_stop_s=0.4,
            checkpoint_s=2.0,
            restore_s=0.1,
            accounts=10,
        ),
        _grown(_CARS, ((1.48, 10.0, 24), (4.44, 5.0, 24), (1.17, 30.0, 100))),
    ),
}
