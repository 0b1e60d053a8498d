"""The owner of the pool: the one task that decides, and what it is fed by.

Takeover: every worker is asked what runs there, the records are read meanwhile,
and only what cannot be running anywhere is started.
"""

import math
import time
from collections.abc import Callable, Iterable, Sequence
from functools import singledispatchmethod

import anyio
from anyio.abc import TaskGroup

from dahliaarch_kernel.configuration import Configuration
from dahliaarch_kernel.policies import Policy
from dahliaarch_kernel.scheduler import (
    JobProgress,
    Moment,
    Scheduler,
    WorkerProfile,
)
from dahliaarch_kernel.scheduler.events import RunEnd
from dahliaarch_kernel.workload import step_summary, weighted_cores
from dahliaarch_platform.settings import Address
from dahliaarch_platform.store import StoreClient
from dahliaarch_platform.workers import WorkerClient

from ..authority import Authority, lasting_authority
from ..clock import steady_s
from ..logs import log_event
from ..metrics import Metrics
from .advising import Adviser, Ask
from .earlier_work import EarlierWork
from .effects import Effects
from .end_news import EndNews
from .feeds import Feed, follow_jobs, job_messages, WorkersFeed
from .link_settings import LinkContext, LinkSettings, StartTurns
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
    WorkersHeard,
    WorkerSilent,
    WorkerSurveyed,
    WorkerUnlisted,
    WorkerUnreadable,
)
from .recorder import Recorder
from .registry import Links
from .settings import OwnerSettings, scheduler_settings
from .takeover import KnownWorkers, read_jobs, read_workers
from .unserved import UnservedWorkers

# Starts under way at one time, urgent ones and others: over a link of 1 Mbit/s the last of them is answered
# in 0.2 s. 1,400 at once were given up before they had been sent.
_MOST_STARTS = 32
# Longest time between two passes, in seconds: leases end and jobs fall due.
_PASS_EVERY_S = 0.25
# Shortest time between two passes, in seconds: news that come together share one.
_PASS_GAP_S = 0.008
# How long a new owner decides nothing while workers have yet to answer, in
# seconds: they answer in milliseconds. While it waited 1.2 s for one that was
# gone, urgent jobs that had just come ended late.
_TAKEOVER_SURVEY_S = 0.25


class PoolOwner:
    """Decides over the pool while this instance owns it.

    Parameters
    ----------
    settings : OwnerSettings
        Everything it is built with.
    store : StoreClient
        The store.
    workers : WorkerClient
        Calls of workers.
    askers : callable
        Returns the ways to ask the outside policy now.
    metrics : Metrics
        Counters.
    authority : Authority or None
        Whether orders may be given; one that never ends by default.
    """

    def __init__(
        self,
        settings: OwnerSettings,
        store: StoreClient,
        workers: WorkerClient,
        askers: Callable[[], Sequence[Ask]],
        metrics: Metrics,
        authority: Authority | None = None,
    ) -> None:
        """Prepare; `run` takes the pool over."""
        self._authority = authority or lasting_authority()
        self._has_authority = True
        self.is_ready = False
        self.end_news = EndNews()
        self.scheduler = Scheduler(
            scheduler_settings(settings),
            settings.epoch,
            Policy(settings.own.policy, _note_policy_failure),
        )
        self._settings = settings
        self._store = store
        self._metrics = metrics
        self._send, self._receive = anyio.create_memory_object_stream[OwnerMessage](math.inf)
        self._tasks: TaskGroup | None = None
        self._feed = Feed(store, settings.timing, self.post)
        self._workers_feed = WorkersFeed(self._feed)
        self._unserved = UnservedWorkers()
        self._progress_by_id: dict[str, JobProgress] = {}
        self._earlier = EarlierWork(self.scheduler, settings.epoch)
        self._scope = anyio.CancelScope()
        context = LinkContext(
            workers,
            settings.epoch,
            LinkSettings(hold_s=settings.bounds.max_hold_s),
            metrics,
            self.post,
            self.depose,
            steady_s,
            StartTurns(anyio.Semaphore(_MOST_STARTS), anyio.Semaphore(_MOST_STARTS)),
            self._may_order,
        )
        self._links = Links(context)
        self._adviser = Adviser(askers, self.post, steady_s)
        self._effects = Effects(self.scheduler, self._links, self._adviser, self.post, metrics)
        self._recorder = Recorder(
            store,
            settings.timing,
            self.scheduler,
            settings.epoch,
            mark=self._links.ends_taken_in,
            kept=self._links.acknowledge,
            shown=self.end_news.tell,
            deposed=self.depose,
        )
        self.is_deposed = False

    @property
    def epoch(self) -> int:
        """Its epoch."""
        return self._settings.epoch

    def post(self, message: OwnerMessage) -> None:
        """Hand a message to the task that decides.

        However many wait, none is dropped: a cancellation, a refused start or
        the end of a worker is told once. One pass takes them all.
        """
        self._send.send_nowait(message)

    def depose(self) -> None:
        """Stop at once: another instance owns the pool."""
        if not self.is_deposed:
            self.is_deposed = True
            log_event('owner_deposed', epoch=self.epoch)
            self._scope.cancel()

    def set_configuration(self, configuration: Configuration) -> None:
        """Take in the accounts' guarantees and the services."""
        accounts = configuration.account_by_name.values()
        self.scheduler.set_guarantees({account.name: account.guaranteed_accelerators for account in accounts})
        services = configuration.service_by_name.values()
        self.scheduler.set_unguarded(each.name for each in services if not each.workers_check_capacity)
        of_queues = {queue.service for queue in configuration.queue_by_name.values()}
        for message in self._unserved.set_services(of_queues.union(configuration.service_by_name)):
            self.post(message)

    async def run(self) -> None:
        """Take the pool over and decide until deposed or cancelled."""
        with self._scope:
            async with anyio.create_task_group() as tasks:
                self._tasks = tasks
                jobs_revision = await self._load(tasks)
                await self._survey_all()
                self.is_ready = True
                log_event('owner_ready', epoch=self.epoch, jobs=len(self.scheduler.job_by_id))
                tasks.start_soon(follow_jobs, self._feed, jobs_revision)
                tasks.start_soon(self._recorder.run)
                tasks.start_soon(self._adviser.run)
                tasks.start_soon(self._recorder.clean, self._settings.bounds.status_s, time.time)
                await self._decide_forever()

    async def _load(self, tasks: TaskGroup) -> int:
        """Take in workers and jobs; return the revision to follow jobs from.

        Workers come first: from then on their leases are renewed, while thousands
        of jobs may take longer than these over a slow link. What workers say waits
        in the inbox, for it means nothing before the jobs are known.
        """
        workers = await read_workers(self._store, self._settings.timing)
        self._handle_all(self._workers_known(workers))
        tasks.start_soon(self._workers_feed.run, workers.entries.revision)
        kept = await read_jobs(self._store, self._settings.timing)
        self._progress_by_id = kept.progress_by_id
        self._recorder.revision_by_key = workers.revision_by_key | kept.revision_by_key
        # A silent worker may run jobs of earlier owners until its lease ends, which the
        # owner before may have given while its authority lasted.
        lease_s = self._settings.own.ownership.lease_s + self._settings.bounds.max_hold_s
        self._earlier.may_last(lease_s, steady_s())
        for item in sorted(kept.jobs.items, key=lambda each: len(each.key)):
            self._handle_all(job_messages(item))
        self._drain_inbox()
        self._progress_by_id = {}
        return kept.jobs.revision

    def _workers_known(self, workers: KnownWorkers) -> Iterable[OwnerMessage]:
        """Yield the workers that the owner before knew, then those that have an entry."""
        for entry in workers.roster:
            yield WorkerInherited(entry.profile, entry.address)
        yield from self._workers_feed.messages(workers.entries, is_whole=True)
        yield WorkersHeard()

    async def _survey_all(self) -> None:
        """Hear from every worker that answers at once.

        Jobs accepted before this owner wait for the others, each until it answers or
        its lease has ended; later ones can't run there.
        """
        self._earlier.expect_workers()
        deadline_s = steady_s() + _TAKEOVER_SURVEY_S
        while self._earlier.is_unheard and steady_s() < deadline_s:
            with anyio.move_on_after(deadline_s - steady_s()):
                self._handle(await self._receive.receive())
            self._drain_inbox()
        self._earlier.go_on()

    async def _decide_forever(self) -> None:
        while True:
            self._decide()
            await anyio.sleep(_PASS_GAP_S)
            with anyio.move_on_after(_PASS_EVERY_S):
                self._handle(await self._receive.receive())
            self._drain_inbox()

    def _may_order(self) -> bool:
        """Tell whether this instance surely owns the pool now; looked at before each order."""
        may_order = self._authority.holds(steady_s())
        if may_order is not self._has_authority:
            self._has_authority = may_order
            log_event('authority_regained' if may_order else 'authority_lost', epoch=self.epoch)
        return may_order

    def _decide(self) -> None:
        if not self._may_order():
            return
        begun_s = time.perf_counter()
        effects = self.scheduler.decide(_now())
        for note in self.scheduler.take_notes():
            self._effects.tell(note)
        for effect in effects:
            self._effects.carry_out(effect)
        self._links.close_all_but(self.scheduler.worker_by_id)
        self._metrics.active_jobs.set(self.scheduler.active_jobs)
        self._metrics.decide_s.observe(time.perf_counter() - begun_s)
        if self.scheduler.has_dirty_jobs or self._links.has_unkept_ends:
            self._recorder.needed.set()
        self._note_roster()

    def _note_roster(self) -> None:
        """Have the known workers kept when they have changed."""
        roster = self._links.roster(self.scheduler.worker_by_id)
        if roster != self._recorder.roster:
            self._recorder.roster = roster
            self._recorder.needed.set()

    def _handle_all(self, messages: Iterable[OwnerMessage]) -> None:
        for message in messages:
            self._handle(message)

    def _drain_inbox(self) -> None:
        while True:
            try:
                message = self._receive.receive_nowait()
            except anyio.WouldBlock:
                return
            self._handle(message)

    @singledispatchmethod
    def _handle(self, message: object) -> None:
        raise NotImplementedError(type(message).__name__)

    @_handle.register
    def _(self, message: JobListed) -> None:
        if message.owner_epoch > self.epoch:
            # Its acceptor knew a newer owner, which may have started it.
            log_event('owner_outdated', job=message.spec.job_id, epoch=self.epoch, newer=message.owner_epoch)
            self.depose()
            return
        job_id = message.spec.job_id
        added = self.scheduler.add_job(
            message.spec,
            message.queue,
            _now(),
            revision=message.revision,
            progress=self._progress_by_id.get(job_id),
            not_before_s=self._earlier.not_before_s(message.owner_epoch),
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

    @_handle.register
    def _(self, message: JobCancelled) -> None:
        if self.scheduler.cancel(message.job_id, _now()):
            log_event('job_cancelled', job=message.job_id)

    @_handle.register
    def _(self, message: WorkerListed) -> None:
        profile = message.profile
        is_known = profile.worker_id in self.scheduler.worker_by_id
        if not is_known and self._unserved.sets_aside(message):
            log_event('worker_unserved', worker=profile.worker_id, service=profile.service)
            return
        link = self._keep_in_touch(profile, message.address)
        if not is_known or link.is_draining != profile.draining:
            log_event(
                'worker_listed', worker=profile.worker_id, draining=profile.draining, leaves_in_s=profile.leaves_in_s
            )
        link.is_draining = profile.draining
        link.is_overfull = self.scheduler.worker_by_id[profile.worker_id].is_overfull

    @_handle.register
    def _(self, message: WorkersHeard) -> None:
        self.scheduler.workers_heard(_now())

    @_handle.register
    def _(self, message: WorkerInherited) -> None:
        link = self._keep_in_touch(message.profile, message.address)
        link.is_draining = message.profile.draining
        self.scheduler.unlist_worker(message.profile.worker_id)

    @_handle.register
    def _(self, message: WorkerUnreadable) -> None:
        self._unserved.forget(message.worker_id)
        self.scheduler.suspend_worker(message.worker_id)

    @_handle.register
    def _(self, message: WorkerUnlisted) -> None:
        log_event('worker_unlisted', worker=message.worker_id)
        self._unserved.forget(message.worker_id)
        self.scheduler.unlist_worker(message.worker_id)

    @_handle.register
    def _(self, message: WorkerSurveyed) -> None:
        now = _now()
        for end in message.ended:
            self._take_in_end(end, now)
        self.scheduler.worker_surveyed(message.worker_id, message.running, message.begun_s, now)
        link = self._links.get(message.worker_id)
        if link is not None:
            link.processed = max(link.processed, message.last_end)
        worker = self.scheduler.worker_by_id.get(message.worker_id)
        if link is not None and worker is not None:
            link.is_overfull = worker.is_overfull
        self._earlier.heard(message.worker_id)
        former = self._links.take_predecessor(message.worker_id)
        if former is not None:
            self._handle(WorkerOver(former))

    @_handle.register
    def _(self, message: WorkerSilent) -> None:
        self.scheduler.worker_silent(message.worker_id)

    @_handle.register
    def _(self, message: WorkerOver) -> None:
        log_event('worker_over', worker=message.worker_id)
        self.scheduler.worker_over(message.worker_id, _now())
        self._links.close(message.worker_id)
        self._earlier.heard(message.worker_id)

    @_handle.register
    def _(self, message: StartAcknowledged) -> None:
        self.scheduler.run_started(message.worker_id, message.key, message.run, _now())

    @_handle.register
    def _(self, message: RunNever) -> None:
        self._take_in_end(RunEnd(message.worker_id, message.key, message.run, message.kind), _now())

    @_handle.register
    def _(self, message: AdviceGiven) -> None:
        self.scheduler.advice_given(message.step, message.asked, message.ticket_by_worker, message.until_s)

    @_handle.register
    def _(self, message: AdviceFailed) -> None:
        self.scheduler.advice_failed(message.step, _now())

    def _keep_in_touch(self, profile: WorkerProfile, address: Address) -> WorkerLink:
        """Take in what a worker publishes; return the link to it."""
        self.scheduler.update_worker(profile, _now())
        assert self._tasks is not None  # noqa: S101
        return self._links.open(self.scheduler.worker_by_id[profile.worker_id], address, self._tasks)

    def _take_in_end(self, end: RunEnd, now: Moment) -> None:
        log_event('run_ended', worker=end.worker_id, task=end.key, run=end.run, how=end.kind)
        self.scheduler.run_ended(end, now)


def _now() -> Moment:
    return Moment(steady_s(), time.time())


def _note_policy_failure(program: str, error: Exception) -> None:
    log_event('policy_failed', program=program, why=str(error))
