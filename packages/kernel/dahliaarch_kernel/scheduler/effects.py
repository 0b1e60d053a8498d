"""What the scheduler wants done."""

from typing import NamedTuple

from ..workload import TaskKey


class StartRun(NamedTuple):
    """Order a worker to start a run.

    Parameters
    ----------
    worker_id : str
        The worker.
    key : TaskKey
        The task.
    run : int
        Number of the run.
    checkpoint : str
        Where to go on from; empty for the beginning.
    rank : int
        Rank that its step had, for the log.
    expected_s : float
        Run time that was expected there, for the log.
    """

    worker_id: str
    key: TaskKey
    run: int
    checkpoint: str
    rank: int = 0
    expected_s: float = 0.0


class StopRun(NamedTuple):
    """Order a worker to stop a run, or never to start it.

    Parameters
    ----------
    worker_id : str
        The worker.
    key : TaskKey
        The task.
    run : int
        Number of the run.
    reason : str
        Why, for the log.
    """

    worker_id: str
    key: TaskKey
    run: int
    reason: str


Effect = StartRun | StopRun
