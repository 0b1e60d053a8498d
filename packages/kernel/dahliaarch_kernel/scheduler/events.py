"""Facts about runs that workers report."""

from enum import StrEnum
from typing import NamedTuple

from ..workload import TaskKey


class EndKind(StrEnum):
    """How a run ended."""

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LAPSED = 'lapsed'
    BROKEN = 'broken'
    ALONE = 'alone'
    REFUSED = 'refused'


class RunEnd(NamedTuple):
    """The end of a run.

    Parameters
    ----------
    worker_id : str
        Where it ran.
    key : TaskKey
        Its task.
    run : int
        Number of the run.
    kind : EndKind
        How it ended.
    checkpoint : str
        Latest checkpoint; empty for none.
    """

    worker_id: str
    key: TaskKey
    run: int
    kind: EndKind
    checkpoint: str = ''


class LossCause(StrEnum):
    """Why a run is believed to be gone though its worker did not list its end."""

    WORKER_OVER = 'worker over'
    LEASE_ENDED = 'lease ended'
    NOT_LISTED = 'not listed'


class RunLost(NamedTuple):
    """A run that its worker took with it, for the log.

    Parameters
    ----------
    worker_id : str
        Life of the worker.
    key : TaskKey
        Its task.
    run : int
        Number of the run.
    cause : LossCause
        What tells that it is gone.
    ran_s : float
        How long it was known to run there, in seconds.
    beside : int
        Runs of other jobs that went with it.
    """

    worker_id: str
    key: TaskKey
    run: int
    cause: LossCause
    ran_s: float
    beside: int


class TaskGivenUp(NamedTuple):
    """A task under which too many workers crashed; its job has failed by that.

    Parameters
    ----------
    key : TaskKey
        The task.
    worker_ids : tuple of str
        Lives of the workers, in the order of their crashes.
    """

    key: TaskKey
    worker_ids: tuple[str, ...]


Note = RunLost | TaskGivenUp


class RunSeen(NamedTuple):
    """A run that a worker lists as running.

    Parameters
    ----------
    key : TaskKey
        Its task.
    run : int
        Number of the run.
    checkpoint : str
        Latest checkpoint; empty for none.
    percent : float
        Work done so far, 0 to 100.
    """

    key: TaskKey
    run: int
    checkpoint: str
    percent: float
