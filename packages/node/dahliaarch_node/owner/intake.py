"""Applies messages to the scheduler and the worker links of an owner."""

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
from .barred_jobs import BarredJobs
from .held_starts import HeldStarts
from .links import WorkerLink
from .messages import (
    AdviceFailed,
    AdviceGiven,
    EvacuationsChanged,
    JobCancelled,
    JobListed,
    OwnerMessage,
    RunRuledOut,
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
from .registry import LinkRegistry
from .takeover import AssignmentsById
from .unserved import UnservedWorkers

# Maximum number of workers listed in one log line.
_MAX_LOGGED_WORKERS = 16


class HandlerDependencies(NamedTuple):
    """Components that messages are applied to.

    Parameters
    ----------
    scheduler : Scheduler
        Holds the state of jobs and workers.
    links : LinkRegistry
        Links to workers.
    previous : PreviousWork
        Delays jobs that previous owners may have started.
    unserved : UnservedWorkers
        Holds back workers whose service is not configured.
    held_starts : HeldStarts
        Starts that have not been sent yet.
    barred : BarredJobs
        Jobs that were cancelled before they were known.
    on_deposed : callable
        Called when a message shows that there is a newer owner.
    now : callable
        Returns the current time.
    """

    scheduler: Scheduler
    links: LinkRegistry
    previous: PreviousWork
    unserved: UnservedWorkers
    held_starts: HeldStarts
    barred: BarredJobs
    on_deposed: Callable[[], None]
    now: Callable[[], Moment]


class MessageHandler:
    """Applies messages one at a time.

    Parameters
    ----------
    dependencies : HandlerDependencies
        Components that messages are applied to.
    epoch : int
        Epoch of this owner.
    tasks : TaskGroup
        Task group in which links to workers run.

    Attributes
    ----------
    progress_by_id, assignments_by_id : dict
        Progress and assignments that previous owners stored, for jobs that are not loaded yet.
    """

    def __init__(self, dependencies: HandlerDependencies, epoch: int, tasks: TaskGroup) -> None:
        """Start without stored progress or assignments."""
        self.progress_by_id: dict[str, JobProgress] = {}
        self.assignments_by_id: AssignmentsById = {}
        self._scheduler = dependencies.scheduler
        self._links = dependencies.links
        self._previous = dependencies.previous
        self._unserved = dependencies.unserved
        self._held_starts = dependencies.held_starts
        self._barred = dependencies.barred
        self._on_deposed = dependencies.on_deposed
        self._now = dependencies.now
        self._epoch = epoch
        self._tasks = tasks

    def handle_all(self, messages: Iterable[OwnerMessage]) -> None:
        """Apply messages in order."""
        for message in messages:
            self.handle(message)

    @singledispatchmethod
    def handle(self, message: object) -> None:
        """Apply one message."""
        raise NotImplementedError(type(message).__name__)

    @handle.register
    def _(self, message: JobListed) -> None:
        if message.owner_epoch > self._epoch:
            # The instance that accepted the job knew a newer owner, which may have started the job.
            log_event('owner_outdated', job=message.spec.job_id, epoch=self._epoch, newer=message.owner_epoch)
            self._on_deposed()
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
            log_event('job_inherited', job=job_id, runs=len(runs), workers=workers[:_MAX_LOGGED_WORKERS])
        if job_id in self._barred:
            self._barred.discard(job_id)
            self.handle(JobCancelled(job_id))

    @handle.register
    def _(self, message: JobCancelled) -> None:
        if self._scheduler.cancel(message.job_id, self._now()):
            log_event('job_cancelled', job=message.job_id)
        elif message.job_id not in self._scheduler.job_by_id:
            self._barred.add(message.job_id, self._now().wall_s)

    @handle.register
    def _(self, message: WorkerListed) -> None:
        self._links.save_entry(message)
        known_link = self._links.find_by_name(message.incarnation.name)
        if known_link is not None and not message.incarnation.may_match(known_link.incarnation):
            log_event(
                'worker_entry_put_off', worker=known_link.incarnation.worker_id, entry_of=message.incarnation.worker_id
            )
            self._scheduler.unlist_worker(known_link.incarnation.worker_id)
            known_link.survey_now()
            return
        if known_link is not None:
            message = message.for_incarnation(known_link.incarnation)
        profile = message.profile
        is_known = profile.worker_id in self._scheduler.worker_by_id
        if not is_known and self._unserved.set_aside(message):
            log_event('worker_unserved', worker=profile.worker_id, service=profile.service)
            return
        link = self._update_worker(profile, message.incarnation, message.address, message.cold_left_s)
        if not is_known or link.is_draining != profile.draining:
            log_event(
                'worker_listed', worker=profile.worker_id, draining=profile.draining, leaves_in_s=profile.leaves_in_s
            )
        link.is_draining = profile.draining
        link.is_overcommitted = self._scheduler.worker_by_id[profile.worker_id].is_overcommitted

    @handle.register
    def _(self, message: WorkersSynced) -> None:
        self._scheduler.workers_synced(self._now())

    @handle.register
    def _(self, message: WorkerInherited) -> None:
        link = self._update_worker(message.profile, message.incarnation, message.address)
        link.is_draining = message.profile.draining
        if message.is_lapsed:
            self._links.mark_inherited_lapsed(self._scheduler.worker_by_id[message.profile.worker_id])
        link.inherited_s = self._now().steady_s
        self._scheduler.unlist_worker(message.profile.worker_id)

    @handle.register
    def _(self, message: WorkerUnreadable) -> None:
        self._links.forget_entry(message.name)
        self._unserved.forget(message.name)
        self._scheduler.suspend_worker(self._current_worker_id(message.name))

    @handle.register
    def _(self, message: WorkerUnlisted) -> None:
        worker_id = self._current_worker_id(message.name)
        log_event('worker_unlisted', worker=worker_id)
        self._links.forget_entry(message.name)
        self._unserved.forget(message.name)
        self._scheduler.unlist_worker(worker_id)

    @handle.register
    def _(self, message: WorkerSurveyed) -> None:
        now = self._now()
        for end in message.ended:
            self._handle_run_end(end, now)
        link = self._links.get(message.worker_id)
        lists_ends = link is not None and not link.may_hide_ends
        self._scheduler.worker_surveyed(
            message.worker_id,
            message.running,
            message.requested_s,
            now,
            lists_ends=lists_ends,
            is_complete=message.is_complete,
        )
        if link is not None:
            link.last_processed_end = max(link.last_processed_end, message.last_end)
        worker = self._scheduler.worker_by_id.get(message.worker_id)
        if link is not None and worker is not None:
            link.is_overcommitted = worker.is_overcommitted
        if not message.is_complete:
            return
        self._previous.on_worker_reported(message.worker_id)
        predecessor = self._links.pop_predecessor(message.worker_id)
        if predecessor is not None:
            self.handle(WorkerOver(predecessor))

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
        self._previous.on_worker_reported(message.worker_id)

    @handle.register
    def _(self, message: WorkerReplaced) -> None:
        log_event('worker_replaced', worker=message.worker_id, by=message.successor.worker_id)
        self._drop_held_starts(message.worker_id)
        predecessor = self._scheduler.worker_by_id.get(message.worker_id)
        link = self._links.get(message.worker_id)
        if predecessor is not None and link is not None:
            self._previous.on_worker_replaced(message.successor.worker_id)
            # Tasks with an unacknowledged start on the predecessor are not started on another worker before the
            # successor has reported what is running there.
            late_until_s = self._now().steady_s + self._links.max_late_run_s
            self._scheduler.worker_replaced(message.worker_id, message.successor.worker_id, late_until_s)
        self.handle(WorkerOver(message.worker_id))
        if predecessor is not None and link is not None:
            self._add_successor(predecessor.profile, message.successor, link.address)

    @handle.register
    def _(self, message: StartAcknowledged) -> None:
        self._scheduler.run_started(message.worker_id, message.key, message.run, self._now())

    @handle.register
    def _(self, message: RunRuledOut) -> None:
        self._handle_run_end(RunEnd(message.worker_id, message.key, message.run, message.kind), self._now())

    @handle.register
    def _(self, message: EvacuationsChanged) -> None:
        self._scheduler.evacuations.replace(message.domains, self._now())

    @handle.register
    def _(self, message: AdviceGiven) -> None:
        self._scheduler.advice_given(message.step, message.asked, message.ticket_by_worker, message.until_s)

    @handle.register
    def _(self, message: AdviceFailed) -> None:
        self._scheduler.advice_failed(message.step, self._now())

    def _update_worker(
        self, profile: WorkerProfile, incarnation: WorkerIncarnation, address: Address, cold_left_s: float = 0.0
    ) -> WorkerLink:
        """Pass a worker's profile to the scheduler; return the link to the worker."""
        self._scheduler.update_worker(profile, self._now(), cold_left_s)
        return self._open_link(incarnation, address)

    def _open_link(self, incarnation: WorkerIncarnation, address: Address) -> WorkerLink:
        """Return the link to an incarnation that the scheduler knows, opening it if necessary."""
        worker = self._scheduler.worker_by_id[incarnation.worker_id]
        worker.late_order_s = self._links.max_late_run_s if incarnation.born_ms else 0.0
        is_new = self._links.get(incarnation.worker_id) is None
        link = self._links.open(worker, incarnation, address, self._tasks)
        worker.unanswered_starts = link.unanswered_starts
        if is_new and link.may_hide_ends:
            log_event('worker_may_hide_ends', worker=incarnation.worker_id)
            worker.may_hide_ends = True
        return link

    def _add_successor(self, predecessor: WorkerProfile, incarnation: WorkerIncarnation, address: Address) -> None:
        """Open a link to the successor of an incarnation before the successor's entry has been read.

        Its capacity, its kind and whether it is draining may differ from those of its predecessor.
        """
        profile = predecessor._replace(worker_id=incarnation.worker_id, draining=False, leaves_in_s=None)
        self._scheduler.expect_worker(profile, self._now())
        self._open_link(incarnation, address)

    def _current_worker_id(self, name: str) -> str:
        """Return the identifier of the incarnation currently known under a worker's name."""
        link = self._links.find_by_name(name)
        return name if link is None else link.incarnation.worker_id

    def _drop_held_starts(self, worker_id: str) -> None:
        """Discard held starts for a worker that takes no more; they are not counted as crashes of that worker."""
        for start in self._held_starts.pop_for_worker(worker_id):
            self._handle_run_end(RunEnd(worker_id, start.key, start.run, EndKind.REFUSED), self._now())

    def _handle_run_end(self, end: RunEnd, now: Moment) -> None:
        log_event('run_ended', worker=end.worker_id, task=end.key, run=end.run, how=end.kind)
        self._scheduler.run_ended(end, now)
