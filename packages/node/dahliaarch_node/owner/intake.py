"""What each message changes in what the owner believes."""

from collections.abc import Callable, Iterable
from functools import singledispatchmethod
from typing import NamedTuple

from anyio.abc import TaskGroup

from dahliaarch_kernel.scheduler import EndKind, JobProgress, Moment, Scheduler, WorkerProfile
from dahliaarch_kernel.scheduler.events import RunEnd
from dahliaarch_kernel.workload import step_summary, weighted_cores
from dahliaarch_platform.incarnations import WorkerIncarnation
from dahliaarch_platform.settings import Address

from ..logs import log_event
from .held_starts import HeldStarts
from .links import WorkerLink
from .messages import (
    AdviceFailed,
    AdviceGiven,
    JobCancelled,
    JobListed,
    OwnerMessage,
    RunNever,
    StartAcknowledged,
    WorkerInherited,
    WorkerListed,
    WorkerOver,
    WorkerReplaced,
    WorkerSilent,
    WorkersSynced,
    WorkerSurveyed,
    WorkerUnlisted,
    WorkerUnreadable,
)
from .previous_work import PreviousWork
from .registry import Links
from .takeover import AssignmentsById
from .unserved import UnservedWorkers

# Workers that one log line names at most.
_MOST_NAMED = 16


class IntakeParts(NamedTuple):
    """What messages change.

    Parameters
    ----------
    scheduler : Scheduler
        Jobs and workers.
    links : Links
        Links to workers.
    previous : PreviousWork
        What previous owners started.
    unserved : UnservedWorkers
        Workers of services that nobody configured.
    held_starts : HeldStarts
        Starts that are not sent yet.
    deposed : callable
        Called when a message tells of a newer owner.
    now : callable
        Returns the present time.
    """

    scheduler: Scheduler
    links: Links
    previous: PreviousWork
    unserved: UnservedWorkers
    held_starts: HeldStarts
    deposed: Callable[[], None]
    now: Callable[[], Moment]


class Intake:
    """Takes in messages, one after the other.

    Parameters
    ----------
    parts : IntakeParts
        What they change.
    epoch : int
        Epoch of this owner.
    tasks : TaskGroup
        Where links to workers run.

    Attributes
    ----------
    progress_by_id, assignments_by_id : dict
        What previous owners kept of jobs that are not taken in yet.
    """

    def __init__(self, parts: IntakeParts, epoch: int, tasks: TaskGroup) -> None:
        """Start with nothing taken in."""
        self.progress_by_id: dict[str, JobProgress] = {}
        self.assignments_by_id: AssignmentsById = {}
        self._scheduler = parts.scheduler
        self._links = parts.links
        self._previous = parts.previous
        self._unserved = parts.unserved
        self._held_starts = parts.held_starts
        self._deposed = parts.deposed
        self._now = parts.now
        self._epoch = epoch
        self._tasks = tasks

    def handle_all(self, messages: Iterable[OwnerMessage]) -> None:
        """Take in messages, the first first."""
        for message in messages:
            self.handle(message)

    @singledispatchmethod
    def handle(self, message: object) -> None:
        """Take in one message."""
        raise NotImplementedError(type(message).__name__)

    @handle.register
    def _(self, message: JobListed) -> None:
        if message.owner_epoch > self._epoch:
            # Its acceptor knew a newer owner, which may have started it.
            log_event('owner_outdated', job=message.spec.job_id, epoch=self._epoch, newer=message.owner_epoch)
            self._deposed()
            return
        job_id = message.spec.job_id
        assignments = self.assignments_by_id.get(job_id)
        added = self._scheduler.add_job(
            message.spec,
            message.queue,
            self._now(),
            progress=self.progress_by_id.get(job_id),
            assignments=assignments,
            not_before_s=self._previous.not_before_s(message.owner_epoch),
        )
        if added:
            log_event(
                'job_known',
                job=job_id,
                queue=message.queue.name,
                revision=message.revision,
                owner_epoch=message.owner_epoch,
                account=message.spec.account,
                accepted_s=message.spec.accepted_s,
                occurrences=message.spec.occurrences,
                steps=[step_summary(step) for step in message.spec.steps],
                cores=[weighted_cores(step.demand) for step in message.spec.steps],
                stretch=message.queue.stretch,
                target_s=message.queue.target_latency_s,
            )
        if added and assignments:
            runs = [run for each in assignments.values() for run in each.runs]
            workers = sorted({run.worker_id for run in runs})
            log_event('job_inherited', job=job_id, runs=len(runs), workers=workers[:_MOST_NAMED])

    @handle.register
    def _(self, message: JobCancelled) -> None:
        if self._scheduler.cancel(message.job_id, self._now()):
            log_event('job_cancelled', job=message.job_id)

    @handle.register
    def _(self, message: WorkerListed) -> None:
        self._links.keep_entry(message)
        known = self._links.named(message.incarnation.name)
        if known is not None and not message.incarnation.may_match(known.incarnation):
            log_event(
                'worker_entry_put_off', worker=known.incarnation.worker_id, entry_of=message.incarnation.worker_id
            )
            self._scheduler.unlist_worker(known.incarnation.worker_id)
            known.look_again()
            return
        if known is not None:
            message = message.of(known.incarnation)
        profile = message.profile
        is_known = profile.worker_id in self._scheduler.worker_by_id
        if not is_known and self._unserved.sets_aside(message):
            log_event('worker_unserved', worker=profile.worker_id, service=profile.service)
            return
        link = self._keep_in_touch(profile, message.incarnation, message.address)
        if not is_known or link.is_draining != profile.draining:
            log_event(
                'worker_listed', worker=profile.worker_id, draining=profile.draining, leaves_in_s=profile.leaves_in_s
            )
        link.is_draining = profile.draining
        link.is_overfull = self._scheduler.worker_by_id[profile.worker_id].is_overfull

    @handle.register
    def _(self, message: WorkersSynced) -> None:
        self._scheduler.workers_synced(self._now())

    @handle.register
    def _(self, message: WorkerInherited) -> None:
        link = self._keep_in_touch(message.profile, message.incarnation, message.address)
        link.is_draining = message.profile.draining
        if message.is_lapsed:
            self._links.inherit_lapsed(self._scheduler.worker_by_id[message.profile.worker_id])
        link.inherited_at_s = self._now().steady_s
        self._scheduler.unlist_worker(message.profile.worker_id)

    @handle.register
    def _(self, message: WorkerUnreadable) -> None:
        self._links.forget_entry(message.name)
        self._unserved.forget(message.name)
        self._scheduler.suspend_worker(self._worker_id(message.name))

    @handle.register
    def _(self, message: WorkerUnlisted) -> None:
        worker_id = self._worker_id(message.name)
        log_event('worker_unlisted', worker=worker_id)
        self._links.forget_entry(message.name)
        self._unserved.forget(message.name)
        self._scheduler.unlist_worker(worker_id)

    @handle.register
    def _(self, message: WorkerSurveyed) -> None:
        now = self._now()
        for end in message.ended:
            self._take_in_end(end, now)
        link = self._links.get(message.worker_id)
        lists_ends = link is not None and not link.may_hide_ends
        self._scheduler.worker_surveyed(message.worker_id, message.running, message.begun_s, now, lists_ends=lists_ends)
        if link is not None:
            link.processed = max(link.processed, message.last_end)
        worker = self._scheduler.worker_by_id.get(message.worker_id)
        if link is not None and worker is not None:
            link.is_overfull = worker.is_overfull
        self._previous.reported(message.worker_id)
        former = self._links.take_predecessor(message.worker_id)
        if former is not None:
            self.handle(WorkerOver(former))

    @handle.register
    def _(self, message: WorkerSilent) -> None:
        self._drop_held_starts(message.worker_id)
        self._scheduler.worker_silent(message.worker_id, self._now())

    @handle.register
    def _(self, message: WorkerOver) -> None:
        log_event('worker_over', worker=message.worker_id)
        self._drop_held_starts(message.worker_id)
        self._scheduler.worker_over(message.worker_id, self._now())
        self._links.close(message.worker_id)
        self._previous.reported(message.worker_id)

    @handle.register
    def _(self, message: WorkerReplaced) -> None:
        log_event('worker_replaced', worker=message.worker_id, by=message.successor.worker_id)
        self._drop_held_starts(message.worker_id)
        former = self._scheduler.worker_by_id.get(message.worker_id)
        link = self._links.get(message.worker_id)
        if former is not None and link is not None:
            self._previous.replaced(message.successor.worker_id)
            # Its tasks whose start is unacknowledged are not started elsewhere before the successor has reported what
            # runs there.
            late_until_s = self._now().steady_s + self._links.longest_late_s
            self._scheduler.worker_replaced(message.worker_id, message.successor.worker_id, late_until_s)
        self.handle(WorkerOver(message.worker_id))
        if former is not None and link is not None:
            self._expect(former.profile, message.successor, link.address)

    @handle.register
    def _(self, message: StartAcknowledged) -> None:
        self._scheduler.run_started(message.worker_id, message.key, message.run, self._now())

    @handle.register
    def _(self, message: RunNever) -> None:
        self._take_in_end(RunEnd(message.worker_id, message.key, message.run, message.kind), self._now())

    @handle.register
    def _(self, message: AdviceGiven) -> None:
        self._scheduler.advice_given(message.step, message.asked, message.ticket_by_worker, message.until_s)

    @handle.register
    def _(self, message: AdviceFailed) -> None:
        self._scheduler.advice_failed(message.step, self._now())

    def _keep_in_touch(self, profile: WorkerProfile, incarnation: WorkerIncarnation, address: Address) -> WorkerLink:
        """Take in what a worker publishes; return the link to it."""
        self._scheduler.update_worker(profile, self._now())
        return self._open(incarnation, address)

    def _open(self, incarnation: WorkerIncarnation, address: Address) -> WorkerLink:
        """Return the link to an incarnation of a worker that the scheduler knows."""
        worker = self._scheduler.worker_by_id[incarnation.worker_id]
        worker.late_order_s = self._links.longest_late_s if incarnation.born_ms else 0.0
        is_new = self._links.get(incarnation.worker_id) is None
        link = self._links.open(worker, incarnation, address, self._tasks)
        worker.unanswered_starts = link.unanswered_starts
        if is_new and link.may_hide_ends:
            log_event('worker_may_hide_ends', worker=incarnation.worker_id)
            worker.may_hide_ends = True
        return link

    def _expect(self, former: WorkerProfile, incarnation: WorkerIncarnation, address: Address) -> None:
        """Ask an incarnation what runs there whose entry has not been read.

        Its room, its kind and whether it leaves may differ from those of the incarnation before.
        """
        profile = former._replace(worker_id=incarnation.worker_id, draining=False, leaves_in_s=None)
        self._scheduler.expect_worker(profile, self._now())
        self._open(incarnation, address)

    def _worker_id(self, name: str) -> str:
        """Return the incarnation that is known under a worker's name."""
        link = self._links.named(name)
        return name if link is None else link.incarnation.worker_id

    def _drop_held_starts(self, worker_id: str) -> None:
        """Let starts never be sent to a worker that takes none any more: it does not crash under them."""
        for start in self._held_starts.take_of_worker(worker_id):
            self._take_in_end(RunEnd(worker_id, start.key, start.run, EndKind.REFUSED), self._now())

    def _take_in_end(self, end: RunEnd, now: Moment) -> None:
        log_event('run_ended', worker=end.worker_id, task=end.key, run=end.run, how=end.kind)
        self._scheduler.run_ended(end, now)
