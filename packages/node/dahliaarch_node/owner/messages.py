"""Messages from the owner's other tasks to its scheduling task."""

from collections.abc import Mapping
from typing import NamedTuple

from dahliaarch_kernel.configuration import Queue
from dahliaarch_kernel.scheduler import EndKind, WorkerProfile
from dahliaarch_kernel.scheduler.events import ListedRun, RunEnd
from dahliaarch_kernel.workload import JobSpec, StepKey, TaskKey
from dahliaarch_platform.incarnations import WorkerIncarnation
from dahliaarch_platform.settings import Address


class JobListed(NamedTuple):
    """A job has been read from the store.

    Parameters
    ----------
    spec : JobSpec
        Specification of the job.
    queue : Queue
        Settings of its queue at the time of acceptance.
    revision : int
        Store revision at which it was accepted.
    owner_epoch : int
        Epoch of the owner known to the accepting instance.
    """

    spec: JobSpec
    queue: Queue
    revision: int
    owner_epoch: int = 0


class JobCancelled(NamedTuple):
    """A job's cancellation has been read from the store."""

    job_id: str


class WorkerListed(NamedTuple):
    """A worker's entry has been read from the store; it may predate the incarnation that answers."""

    profile: WorkerProfile
    address: Address
    incarnation: WorkerIncarnation
    # How much longer the worker is slow because it is warming up.
    cold_left_s: float = 0.0

    def for_incarnation(self, incarnation: WorkerIncarnation) -> 'WorkerListed':
        """Return a copy of the entry for the incarnation that is known under its name."""
        return self._replace(incarnation=incarnation, profile=self.profile._replace(worker_id=incarnation.worker_id))


class WorkerInherited(NamedTuple):
    """The previous owner knew an incarnation of a worker: tasks may be running there even if it has no entry."""

    profile: WorkerProfile
    address: Address
    incarnation: WorkerIncarnation
    is_lapsed: bool = False


class WorkersSynced(NamedTuple):
    """All worker entries published so far have been read."""


class WorkerUnlisted(NamedTuple):
    """The entry under a worker's name has been removed."""

    name: str


class WorkerUnreadable(NamedTuple):
    """The entry under a worker's name does not describe a worker: it was written by something else."""

    name: str


class WorkerSurveyed(NamedTuple):
    """A worker answered a survey with its running and ended runs.

    Parameters
    ----------
    worker_id : str
        Identifier of the worker.
    running : tuple of ListedRun
        Runs in progress.
    ended : tuple of RunEnd
        Ends that earlier surveys did not list.
    last_end : int
        Number of the last end listed.
    requested_s : float
        Steady-clock time at which the survey was sent.
    is_complete : bool
        Whether the worker listed all ends that have not been acknowledged.
    """

    worker_id: str
    running: tuple[ListedRun, ...]
    ended: tuple[RunEnd, ...]
    last_end: int
    requested_s: float
    is_complete: bool = True


class WorkerSilent(NamedTuple):
    """A worker has stopped answering."""

    worker_id: str


class WorkerOver(NamedTuple):
    """An incarnation of a worker has certainly ended."""

    worker_id: str


class WorkerReplaced(NamedTuple):
    """An incarnation of a worker has certainly ended, because another one under its name has answered.

    Parameters
    ----------
    worker_id : str
        Identifier of the ended incarnation.
    successor : WorkerIncarnation
        Incarnation that answered.
    """

    worker_id: str
    successor: WorkerIncarnation


class StartAcknowledged(NamedTuple):
    """A worker accepted a start."""

    worker_id: str
    key: TaskKey
    run: int


class RunRuledOut(NamedTuple):
    """A run is certainly not on its worker and can never start there."""

    worker_id: str
    key: TaskKey
    run: int
    kind: EndKind = EndKind.REFUSED


class EvacuationsChanged(NamedTuple):
    """These failure domains, and no others, are evacuated."""

    domains: frozenset[str]


class AdviceGiven(NamedTuple):
    """The external policy answered which workers may run a step.

    Parameters
    ----------
    step : StepKey
        Step that the query was about.
    asked : tuple of str
        Workers that the query listed.
    ticket_by_worker : mapping
        Tickets of the workers that may run the step.
    until_s : float
        Steady-clock time at which the tickets expire.
    """

    step: StepKey
    asked: tuple[str, ...]
    ticket_by_worker: Mapping[str, str]
    until_s: float


class AdviceFailed(NamedTuple):
    """A query to the external policy failed."""

    step: StepKey


OwnerMessage = (
    JobListed
    | JobCancelled
    | WorkerListed
    | WorkerInherited
    | WorkersSynced
    | WorkerUnlisted
    | WorkerUnreadable
    | WorkerSurveyed
    | WorkerSilent
    | WorkerOver
    | WorkerReplaced
    | StartAcknowledged
    | RunRuledOut
    | EvacuationsChanged
    | AdviceGiven
    | AdviceFailed
)
