"""Messages from the owner's tasks to the one that decides."""

from collections.abc import Mapping
from typing import NamedTuple

from dahliaarch_kernel.configuration import Queue
from dahliaarch_kernel.scheduler import EndKind, WorkerProfile
from dahliaarch_kernel.scheduler.events import RunEnd, RunSeen
from dahliaarch_kernel.workload import JobSpec, StepKey, TaskKey
from dahliaarch_platform.incarnations import WorkerIncarnation
from dahliaarch_platform.settings import Address


class JobListed(NamedTuple):
    """A job is in the store.

    Parameters
    ----------
    spec : JobSpec
        The job.
    queue : Queue
        Its queue when it was accepted.
    revision : int
        Store revision of its acceptance.
    owner_epoch : int
        Epoch of the owner that the accepting instance knew.
    """

    spec: JobSpec
    queue: Queue
    revision: int
    owner_epoch: int = 0


class JobCancelled(NamedTuple):
    """A cancellation is in the store."""

    job_id: str


class WorkerListed(NamedTuple):
    """A worker's entry is in the store; it may be of an earlier incarnation than the one that answers."""

    profile: WorkerProfile
    address: Address
    incarnation: WorkerIncarnation

    def for_incarnation(self, incarnation: WorkerIncarnation) -> 'WorkerListed':
        """Return it as the entry of the incarnation that is known under its name."""
        return self._replace(incarnation=incarnation, profile=self.profile._replace(worker_id=incarnation.worker_id))


class WorkerInherited(NamedTuple):
    """The previous owner knew an incarnation of a worker: tasks may run there, whether it has an entry or not."""

    profile: WorkerProfile
    address: Address
    incarnation: WorkerIncarnation
    is_lapsed: bool = False


class WorkersSynced(NamedTuple):
    """All that workers publish is known up to now."""


class WorkerUnlisted(NamedTuple):
    """The entry under a worker's name is gone."""

    name: str


class WorkerUnreadable(NamedTuple):
    """The entry under a worker's name is there and names no worker: another writer made it."""

    name: str


class WorkerSurveyed(NamedTuple):
    """A worker said what runs and what has ended.

    Parameters
    ----------
    worker_id : str
        The worker.
    running : tuple of RunSeen
        What runs.
    ended : tuple of RunEnd
        Ends not seen before.
    last_end : int
        Number of the last end listed.
    begun_s : float
        When it was asked, steady clock.
    """

    worker_id: str
    running: tuple[RunSeen, ...]
    ended: tuple[RunEnd, ...]
    last_end: int
    begun_s: float


class WorkerSilent(NamedTuple):
    """A worker does not answer."""

    worker_id: str


class WorkerOver(NamedTuple):
    """An incarnation of a worker has ended for certain."""

    worker_id: str


class WorkerReplaced(NamedTuple):
    """An incarnation of a worker has ended for certain: another one under its name has answered.

    Parameters
    ----------
    worker_id : str
        The incarnation that has ended.
    successor : WorkerIncarnation
        The one that answered.
    """

    worker_id: str
    successor: WorkerIncarnation


class StartAcknowledged(NamedTuple):
    """A worker took a start."""

    worker_id: str
    key: TaskKey
    run: int


class RunRuledOut(NamedTuple):
    """A run is certainly not on its worker and never will be."""

    worker_id: str
    key: TaskKey
    run: int
    kind: EndKind = EndKind.REFUSED


class AdviceGiven(NamedTuple):
    """The outside policy said which workers may run a step.

    Parameters
    ----------
    step : StepKey
        The step.
    asked : tuple of str
        Workers that were named.
    ticket_by_worker : mapping
        Tickets of those that may.
    until_s : float
        When the tickets expire, steady clock.
    """

    step: StepKey
    asked: tuple[str, ...]
    ticket_by_worker: Mapping[str, str]
    until_s: float


class AdviceFailed(NamedTuple):
    """The outside policy did not answer."""

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
    | AdviceGiven
    | AdviceFailed
)
