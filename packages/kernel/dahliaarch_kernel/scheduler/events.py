"""Facts about runs that workers report."""

from enum import StrEnum
from typing import NamedTuple

from ..workload import StepKey, TaskKey


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
        Incarnation of the worker.
    key : TaskKey
        Its task.
    run : int
        Number of the run.
    cause : LossCause
        What shows that it is gone.
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


class CrashCounted(NamedTuple):
    """A crash of a worker under a task, for the log.

    Parameters
    ----------
    worker_id : str
        Incarnation of the worker.
    key : TaskKey
        The task.
    run : int
        Number of the run.
    is_conclusive : bool
        Whether no other job was there, or none but the task was isolated.
    is_discounted : bool
        Whether it says nothing of the task, since the run may not have been there.
    """

    worker_id: str
    key: TaskKey
    run: int
    is_conclusive: bool
    is_discounted: bool


class TaskGivenUp(NamedTuple):
    """A task under which too many workers crashed; its job has failed by that.

    Parameters
    ----------
    key : TaskKey
        The task.
    worker_ids : tuple of str
        Incarnations of the workers, in the order of their crashes.
    """

    key: TaskKey
    worker_ids: tuple[str, ...]


class WaitReason(StrEnum):
    """What keeps a ready step from being started."""

    #: A previous owner may have started it on a worker that has not answered.
    PREVIOUS_OWNER = 'previous owner'
    #: Whether its job is failed by the crash limit is about to be decided.
    CRASH_REVIEW = 'crash review'
    #: Crashes of workers under its tasks are not saved yet.
    CRASHES_NOT_SAVED = 'crashes not saved'
    #: A worker refused it a moment ago.
    REFUSED = 'refused'
    #: A restarted worker may have begun it and has not listed its runs.
    UNKNOWN_START = 'unknown start'
    #: Members of its gang's previous run have not ended.
    GANG_ENDING = 'gang ending'
    #: It must run alone, and no worker is empty.
    ISOLATION = 'isolation'
    #: The outside policy has consented to no worker with room.
    ADVICE = 'advice'
    #: There is room, which is reserved for other steps.
    RESERVED = 'reserved'
    #: There is room, but not near its data or in one rack.
    LOCALITY = 'locality'
    #: There is room, but on workers that get no starts now: silent, restarted or refusing ones.
    UNAVAILABLE = 'workers unavailable'
    #: There is no room.
    NO_CAPACITY = 'no capacity'
    #: Not worked out yet.
    UNKNOWN = 'unknown'


class StepWaiting(NamedTuple):
    """A ready step whose job has nothing running, for the log.

    Parameters
    ----------
    step : StepKey
        The step.
    reason : WaitReason
        What keeps it from being started.
    waited_s : float
        How long its job has had nothing running, in seconds.
    task_count : int
        Tasks that must find room together.
    used_share : float
        Share of the pool's capacity that is in use.
    has_room_twice : bool
        Whether free room, reserved or not, holds them twice, also on workers that get no
        starts now, as their users see it.
    has_takers_twice : bool
        The same on workers that take starts.
    """

    step: StepKey
    reason: WaitReason
    waited_s: float
    task_count: int
    used_share: float
    has_room_twice: bool
    has_takers_twice: bool


Note = RunLost | CrashCounted | TaskGivenUp | StepWaiting


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
