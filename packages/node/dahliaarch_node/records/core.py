"""Layout of the system's keys in the store.

Jobs and cancellations lie under one prefix, since the owner watches both;
progress and assignments lie under others, since only the owner writes them and its
own writes need not come back to it.
"""

from typing import NamedTuple

from dahliaarch_kernel.configuration import Queue
from dahliaarch_kernel.scheduler import AssignmentsPart, WorkerProfile
from dahliaarch_kernel.workload import JobSpec
from dahliaarch_platform.incarnations import WorkerIncarnation
from dahliaarch_platform.settings import Address

OWNER_KEY = 'dahliaarch/owner'
MEMBERS_PREFIX = 'dahliaarch/members/'
JOBS_PREFIX = 'dahliaarch/jobs/'
PROGRESS_PREFIX = 'dahliaarch/progress/'
ASSIGNMENTS_PREFIX = 'dahliaarch/assignments/'
# Epoch of the last owner that kept assignments before it sent starts; written after its roster.
ASSIGNER_KEY = f'{ASSIGNMENTS_PREFIX}.owner'
ROSTER_PREFIX = 'dahliaarch/workers'
CANCEL_SUFFIX = '.cancel'


class JobRecord(NamedTuple):
    """An accepted job and its queue as it was then.

    Parameters
    ----------
    spec : JobSpec
        The job.
    queue : Queue
        Its queue.
    owner_epoch : int
        Epoch of the owner that the accepting instance knew, and sent the job to; 0
        when it knew none.
    """

    spec: JobSpec
    queue: Queue
    owner_epoch: int = 0


class RosterEntry(NamedTuple):
    """An incarnation of a worker that an owner has given orders to.

    Workers' own entries lapse while the store is away; a new owner asks these
    what they run before it starts anything.

    Parameters
    ----------
    profile : WorkerProfile
        What the worker published.
    address : Address
        Where it takes orders.
    incarnation : WorkerIncarnation or None
        Which incarnation of it is meant; none in what earlier versions wrote, which knew
        an incarnation by the worker's name.
    is_lapsed : bool
        Whether its last lease has ended in silence: nothing runs there, and nothing
        is sent there before this is taken back.
    """

    profile: WorkerProfile
    address: Address
    incarnation: WorkerIncarnation | None = None
    is_lapsed: bool = False

    @property
    def known_incarnation(self) -> WorkerIncarnation:
        """Which incarnation of the worker is meant."""
        return self.incarnation or WorkerIncarnation(self.profile.worker_id)


class Member(NamedTuple):
    """One run of an instance's process and where its peers reach it.

    Parameters
    ----------
    instance : str
        Name of the instance.
    incarnation : str
        Drawn anew at each start of the process.
    host : str
        Its address.
    port : int
        Its port for peers.
    """

    instance: str
    incarnation: str
    host: str
    port: int


def job_key(job_id: str) -> str:
    """Return the key of a job's record."""
    return JOBS_PREFIX + job_id


def cancel_key(job_id: str) -> str:
    """Return the key that marks a job as cancelled."""
    return JOBS_PREFIX + job_id + CANCEL_SUFFIX


def progress_key(job_id: str) -> str:
    """Return the key of a job's progress."""
    return PROGRESS_PREFIX + job_id


def assignments_key(part: AssignmentsPart) -> str:
    """Return the key of where tasks are assigned."""
    return f'{ASSIGNMENTS_PREFIX}{part.job_id}.{part.occurrence}.{part.step}.{part.number}'


def assignments_part(key: str) -> AssignmentsPart:
    """Return whose assignments are under a key."""
    job_id, occurrence, step, number = key.removeprefix(ASSIGNMENTS_PREFIX).split('.')
    return AssignmentsPart(job_id, int(occurrence), int(step), int(number))


def roster_key(number: int) -> str:
    """Return the key of a part of the list of workers."""
    return f'{ROSTER_PREFIX}/{number}'


def member_key(instance: str) -> str:
    """Return the key of an instance's entry."""
    return MEMBERS_PREFIX + instance


def job_id_of(key: str) -> str:
    """Return the job that a key of the jobs' or the progress prefix is about."""
    return key.rpartition('/')[2].removesuffix(CANCEL_SUFFIX)
