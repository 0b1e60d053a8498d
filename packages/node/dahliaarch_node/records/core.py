"""Key layout and records in the store.

Jobs and cancellations share a prefix because the owner watches both. Progress and
assignments have separate prefixes: only the owner writes them, and it doesn't have to
receive its own writes through the watch.
"""

from typing import NamedTuple

from dahliaarch_kernel.configuration import Queue
from dahliaarch_kernel.scheduler import AssignmentsPart, WorkerProfile
from dahliaarch_kernel.workload import JobSpec
from dahliaarch_platform.incarnations import WorkerIncarnation
from dahliaarch_platform.settings import Address

OWNER_KEY = 'dahliaarch/owner'
ELECTORATE_KEY = 'dahliaarch/electorate'
MEMBERS_PREFIX = 'dahliaarch/members/'
JOBS_PREFIX = 'dahliaarch/jobs/'
PROGRESS_PREFIX = 'dahliaarch/progress/'
ASSIGNMENTS_PREFIX = 'dahliaarch/assignments/'
# Epoch of the last owner that stored assignments before it sent starts; written after its roster.
ASSIGNMENTS_EPOCH_KEY = f'{ASSIGNMENTS_PREFIX}.owner'
ROSTER_PREFIX = 'dahliaarch/workers'
CANCEL_SUFFIX = '.cancel'


class JobRecord(NamedTuple):
    """An accepted job and the settings of its queue at that time.

    Parameters
    ----------
    spec : JobSpec
        The job.
    queue : Queue
        The queue at the time of acceptance.
    owner_epoch : int
        Epoch of the owner that the accepting instance knew and sent the job to; 0 if
        it knew none.
    """

    spec: JobSpec
    queue: Queue
    owner_epoch: int = 0


class RosterEntry(NamedTuple):
    """An incarnation of a worker that an owner has sent orders to.

    The entries that workers write themselves expire while the store is unreachable. A
    new owner therefore queries the workers of the roster for their runs before it starts
    anything.

    Parameters
    ----------
    profile : WorkerProfile
        Profile that the worker published.
    address : Address
        Address to which orders are sent.
    incarnation : WorkerIncarnation or None
        The incarnation; None in entries of earlier versions, which identified an
        incarnation by the worker's name.
    is_lapsed : bool
        Whether its last lease expired while the worker was unreachable: nothing runs
        there, and no orders are sent there until this flag is cleared.
    """

    profile: WorkerProfile
    address: Address
    incarnation: WorkerIncarnation | None = None
    is_lapsed: bool = False

    @property
    def known_incarnation(self) -> WorkerIncarnation:
        """The incarnation, identified by the worker's name if none was stored."""
        return self.incarnation or WorkerIncarnation(self.profile.worker_id)


class Member(NamedTuple):
    """A process of an instance and the address at which its peers reach it.

    Parameters
    ----------
    instance : str
        Name of the instance.
    incarnation : str
        Random identifier, generated at each start of the process.
    host : str
        Host name or address of the process.
    port : int
        Port for messages of peers.
    """

    instance: str
    incarnation: str
    host: str
    port: int


class ElectorateRecord(NamedTuple):
    """The instances whose agreement the owner of the pool needs in order to go on without the store.

    Parameters
    ----------
    instances : tuple of str
        Names of the instances.
    epoch : int
        Epoch of the newest owner at the time of the write; 0 if the write itself claimed the pool,
        so that its revision is the epoch.
    """

    instances: tuple[str, ...]
    epoch: int = 0


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
    """Return the key of a part of the assignments of a step."""
    return f'{ASSIGNMENTS_PREFIX}{part.job_id}.{part.occurrence}.{part.step}.{part.number}'


def parse_assignments_key(key: str) -> AssignmentsPart:
    """Return the part of the assignments that a key refers to."""
    job_id, occurrence, step, number = key.removeprefix(ASSIGNMENTS_PREFIX).split('.')
    return AssignmentsPart(job_id, int(occurrence), int(step), int(number))


def roster_key(number: int) -> str:
    """Return the key of a part of the roster of workers."""
    return f'{ROSTER_PREFIX}/{number}'


def member_key(instance: str) -> str:
    """Return the key of an instance's entry."""
    return MEMBERS_PREFIX + instance


def job_id_from_key(key: str) -> str:
    """Return the job id in a key below the jobs or progress prefix."""
    return key.rpartition('/')[2].removesuffix(CANCEL_SUFFIX)
