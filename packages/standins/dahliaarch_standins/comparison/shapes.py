"""Deployments: kinds of requests and a pool of workers."""

from typing import NamedTuple

from dahliaarch_kernel.workload import Resources


class JobKind(NamedTuple):
    """One kind of request.

    Parameters
    ----------
    name : str
        Name of its queue.
    priority : int
        Priority of its queue; 0 is urgent.
    rate_per_s : float
        Jobs a second.
    mean_width, largest_width : float
        Tasks of a step; widths are log-normal.
    mean_work_s, work_spread, largest_work_s : float
        Work of a task on a sound worker; it is log-normal.
    demand : Resources
        What a task needs beside accelerators.
    accelerators : tuple of int
        Accelerators of a task; one entry is drawn a job.
    is_gang : bool
        Whether tasks run together.
    one_rack_share : float
        Share of the gangs that want one rack, of those that fit in one.
    checkpoint_share, second_step_share, apart_share : float
        Shares of jobs that save their progress, have a second step and limit
        their tasks on one worker.
    estimate_spread : float
        Spread of the owner's estimate around the truth: it is log-normal.
    uneven : float
        Spread of work among the tasks of a step.
    failing_share : float
        Share of runs that fail by their own fault.
    hopeless_share, cancelled_share : float
        Shares of jobs that can never be done and that their owner cancels.
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
    one_rack_share: float = 0.0
    checkpoint_share: float = 0.0
    second_step_share: float = 0.0
    apart_share: float = 0.0
    estimate_spread: float = 0.0
    uneven: float = 0.0
    failing_share: float = 0.0
    hopeless_share: float = 0.0
    cancelled_share: float = 0.0
    stretch: float = 3.0
    slack_s: float = 1.0
    worth: float = 1.0
    late_worth: float = 0.3


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
    shortest_stop_s, largest_stop_s : float
        Bounds of the time that stopping a run takes.
    far_factor : float
        Times as long as a gang of one rack takes on several.
    checkpoint_s, restore_s : float
        Work between checkpoints, and time to go on from one.
    hold_s : float
        Longest lease that workers grant.
    guaranteed_share : float
        Share of all accelerators that accounts are guaranteed.
    accounts : int
        Number of client accounts.
    largest_account_share : float
        Share of the jobs that the first account submits; the others submit equally many. With 0, all accounts do.
    waste_price : float
        Price of a weighted core-second that is thrown away.
    """

    workers: int
    workers_per_rack: int
    capacity: Resources
    speeds: tuple[float, ...] = (1.0,)
    shortest_stop_s: float = 0.25
    largest_stop_s: float = 0.9
    far_factor: float = 3.0
    checkpoint_s: float = 1.0
    restore_s: float = 0.25
    hold_s: float = 6.0
    guaranteed_share: float = 0.62
    accounts: int = 4
    largest_account_share: float = 0.0
    waste_price: float = 0.002


class Deployment(NamedTuple):
    """A pool and the jobs that it serves.

    Parameters
    ----------
    pool : Pool
        The pool.
    kinds : tuple of JobKind
        What it serves.
    is_loaded : bool
        Whether all troubles come together on each of its days.
    """

    pool: Pool
    kinds: tuple[JobKind, ...]
    is_loaded: bool = False
