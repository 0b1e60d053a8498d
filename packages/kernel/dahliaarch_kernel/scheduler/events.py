"""Events about runs: reports of workers, and notes that the scheduler writes to the log."""

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
        Identifier of the worker incarnation that ran it.
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
    """Why a run is considered lost although its worker did not list its end."""

    WORKER_OVER = 'worker over'
    LEASE_ENDED = 'lease ended'
    NOT_LISTED = 'not listed'


class RunLost(NamedTuple):
    """A run that was lost without a reported end, for the log.

    Parameters
    ----------
    worker_id : str
        Incarnation of the worker.
    key : TaskKey
        Its task.
    run : int
        Number of the run.
    cause : LossCause
        Evidence that it is lost.
    ran_s : float
        How long it was known to run on the worker, in seconds.
    beside : int
        Number of runs of other jobs on the same worker.
    """

    worker_id: str
    key: TaskKey
    run: int
    cause: LossCause
    ran_s: float
    beside: int


class CrashCounted(NamedTuple):
    """A worker crash that was counted against a task, for the log.

    Parameters
    ----------
    worker_id : str
        Incarnation of the worker.
    key : TaskKey
        The task.
    run : int
        Number of the run.
    is_conclusive : bool
        Whether the run was isolated, or no other job had runs on the worker.
    is_discounted : bool
        Whether it is no evidence against the task, since the run may not have been on the worker.
    """

    worker_id: str
    key: TaskKey
    run: int
    is_conclusive: bool
    is_discounted: bool


class TaskGivenUp(NamedTuple):
    """A task over the crash limit; its job has failed.

    Parameters
    ----------
    key : TaskKey
        The task.
    worker_ids : tuple of str
        Worker incarnations that crashed, in order.
    """

    key: TaskKey
    worker_ids: tuple[str, ...]


class RunsMoved(NamedTuple):
    """A stop of a run, with its gang, because its worker leaves before it can end, for the log.

    Parameters
    ----------
    worker_id : str
        Incarnation of the worker that leaves.
    step : StepKey
        Step of the run.
    saved : str
        Whether the step saves its progress.
    timing : str
        Whether it was stopped at once, when there was capacity elsewhere or at the last moment.
    runs : int
        Number of runs stopped.
    lost_core_s : float
        Work of these runs that has to be done again, in weighted core-seconds.
    spared_core_s : float
        Work without a use that they would have done until the last moment, in weighted core-seconds.
    """

    worker_id: str
    step: StepKey
    saved: str
    timing: str
    runs: int
    lost_core_s: float
    spared_core_s: float


class DomainEvacuated(NamedTuple):
    """A failure domain is evacuated from now on, for the log.

    Parameters
    ----------
    domain : str
        The failure domain.
    workers : int
        Number of known workers there.
    running : int
        Number of runs there, which continue to their ends.
    withdrawn : int
        Number of starts there that no worker had acknowledged, and that are withdrawn.
    """

    domain: str
    workers: int
    running: int
    withdrawn: int


class DomainEmptied(NamedTuple):
    """The last run in an evacuated failure domain has ended, for the log.

    Parameters
    ----------
    domain : str
        The failure domain.
    evacuated_s : float
        How long the evacuation has been known, in seconds.
    """

    domain: str
    evacuated_s: float


class DomainReopened(NamedTuple):
    """The evacuation of a failure domain has ended, for the log.

    Parameters
    ----------
    domain : str
        The failure domain.
    evacuated_s : float
        How long the evacuation was known, in seconds.
    """

    domain: str
    evacuated_s: float


class WaitReason(StrEnum):
    """Why a ready step is not started."""

    #: A previous owner may have started it on a worker that has not answered yet.
    PREVIOUS_OWNER = 'previous owner'
    #: A decision on failing its job by the crash limit is pending.
    CRASH_REVIEW = 'crash review'
    #: Crashes counted against its tasks are not saved yet.
    CRASHES_NOT_SAVED = 'crashes not saved'
    #: A worker has just refused it.
    REFUSED = 'refused'
    #: A restarted worker may have started it and has not listed its runs yet.
    UNKNOWN_START = 'unknown start'
    #: Members of its gang's previous run have not ended yet.
    GANG_ENDING = 'gang ending'
    #: It must run isolated, and no worker is empty.
    ISOLATION = 'isolation'
    #: The external policy has not consented to any worker with free capacity.
    ADVICE = 'advice'
    #: There is free capacity, but it is reserved for other steps.
    RESERVED = 'reserved'
    #: There is free capacity, but not near its data or not in one rack.
    LOCALITY = 'locality'
    #: There is free capacity, but on workers that get no starts now: silent, restarted or refusing ones.
    UNAVAILABLE = 'workers unavailable'
    #: There is free capacity, but only in failure domains that are evacuated.
    EVACUATED = 'failure domain evacuated'
    #: There is no free capacity.
    NO_CAPACITY = 'no capacity'
    #: Not determined yet.
    UNKNOWN = 'unknown'


class StepWaiting(NamedTuple):
    """A ready step whose job has nothing running, for the log.

    Parameters
    ----------
    step : StepKey
        The step.
    reason : WaitReason
        Why it is not started.
    waited_s : float
        How long its job has had nothing running, in seconds.
    task_count : int
        Number of tasks that must be placed together.
    used_share : float
        Fraction of the pool's capacity that is in use.
    has_room_twice : bool
        Whether the free capacity, reserved or not, could hold these tasks twice, including
        workers that get no starts now, as users of the pool see it.
    has_takers_twice : bool
        The same, counting only workers that accept starts.
    account : str
        Account of the job.
    account_level : int
        Level of overuse of the account.
    account_ratio : float
        Overuse ratio of the account.
    """

    step: StepKey
    reason: WaitReason
    waited_s: float
    task_count: int
    used_share: float
    has_room_twice: bool
    has_takers_twice: bool
    account: str = ''
    account_level: int = 0
    account_ratio: float = 1.0


Note = RunLost | CrashCounted | TaskGivenUp | RunsMoved | StepWaiting | DomainEvacuated | DomainEmptied | DomainReopened


class ListedRun(NamedTuple):
    """A run that a worker lists as running in a survey.

    Parameters
    ----------
    key : TaskKey
        Its task.
    run : int
        Number of the run.
    checkpoint : str
        Latest checkpoint; empty for none.
    percent : float
        Completed share of the work in percent, 0 to 100.
    """

    key: TaskKey
    run: int
    checkpoint: str
    percent: float
