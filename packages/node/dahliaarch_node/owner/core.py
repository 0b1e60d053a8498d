"""The pool owner: the task that runs the scheduler, and the sources of its messages.

On takeover the owner asks every worker what is running there while it reads the
records in the store. It starts only tasks that cannot be running on any worker.
"""

import math
import time
from collections.abc import Callable, Iterable, Sequence

import anyio
from anyio.abc import TaskGroup

from dahliaarch_kernel.admission import encode_digest, summarize
from dahliaarch_kernel.configuration import Configuration
from dahliaarch_kernel.policies import Policy
from dahliaarch_kernel.scheduler import Mechanism, Moment, Scheduler
from dahliaarch_platform.sessions import WorkerClient
from dahliaarch_platform.store import StoreClient

from ..authority import Authority, permanent_authority
from ..clock import steady_s
from ..logs import log_event
from ..metrics import Metrics
from .advising import AdviceDispatcher, AskPolicyFunction
from .barred_jobs import BarredJobs
from .committing import CommitFunction, Committer
from .effects import EffectExecutor
from .end_notifier import EndNotifier
from .evacuations import EvacuationsFeed
from .feeds import FeedContext, follow_jobs, job_messages, WorkersFeed
from .heap import GarbageCollectionTuner
from .intake import HandlerDependencies, MessageHandler
from .link_settings import link_settings, LinkContext, StartLimits
from .load_gauges import LoadGauges
from .messages import OwnerMessage, WorkerInherited, WorkersSynced
from .previous_work import PreviousWork
from .recorder import Recorder
from .registry import LinkRegistry
from .settings import OwnerSettings, scheduler_settings
from .takeover import are_assignments_complete, KnownWorkers, read_jobs, read_workers
from .unserved import UnservedWorkers

# Limit on concurrent start orders, applied to urgent ones and to all others separately. Over a 1 Mbit/s link
# the last of them is answered within 0.2 s, and none times out before it has been sent.
_MAX_CONCURRENT_STARTS = 32
# Jobs loaded at a takeover before control is yielded to other tasks, so that callers are still answered.
_LOAD_BATCH_SIZE = 64
# Maximum time between two scheduling passes, in seconds: leases expire and jobs become due without a message.
_MAX_PASS_INTERVAL_S = 0.25
# Minimum time between two scheduling passes, in seconds: updates that arrive together share one pass.
_MIN_PASS_INTERVAL_S = 0.008
# How long a new owner waits for all workers to answer before its first pass, in
# seconds. Workers answer within milliseconds. With a timeout of 1.2 s, one dead
# worker made newly submitted urgent jobs miss their target.
_TAKEOVER_SURVEY_TIMEOUT_S = 0.25


class PoolOwner:
    """Schedules the jobs of the pool while this instance owns it.

    Parameters
    ----------
    settings : OwnerSettings
        Epoch, time bounds and operator settings.
    store : StoreClient
        Client of the store.
    workers : WorkerClient
        Opens sessions with workers.
    policy_queries : callable
        Returns the functions through which the external policy can currently be queried.
    metrics : Metrics
        Metrics of this instance.
    authority : Authority or None
        Tells whether orders may be sent; by default an authority that never expires.
    relays : callable
        Returns the functions that can currently commit a transaction through another instance.
    """

    def __init__(
        self,
        settings: OwnerSettings,
        store: StoreClient,
        workers: WorkerClient,
        policy_queries: Callable[[], Sequence[AskPolicyFunction]],
        metrics: Metrics,
        authority: Authority | None = None,
        relays: Callable[[], Sequence[CommitFunction]] = tuple,
    ) -> None:
        """Build the components; `run` takes over the pool."""
        self._authority = authority or permanent_authority()
        self._has_authority = True
        self.is_ready = False
        self.end_notifier = EndNotifier()
        self.scheduler = Scheduler(
            scheduler_settings(settings),
            settings.epoch,
            Policy(settings.own.policy, _log_policy_failure),
        )
        self._settings = settings
        self._store = store
        self._metrics = metrics
        self._load_gauges = LoadGauges(self.scheduler, metrics)
        self._gc_tuner = GarbageCollectionTuner(metrics)
        self._send, self._receive = anyio.create_memory_object_stream[OwnerMessage](math.inf)
        self._feed = FeedContext(store, settings.timing, self.post)
        self._workers_feed = WorkersFeed(self._feed)
        self._evacuations_feed = EvacuationsFeed(self._feed)
        self._unserved = UnservedWorkers()
        self._barred = BarredJobs()
        self._previous = PreviousWork(self.scheduler, settings.epoch)
        self._scope = anyio.CancelScope()
        context = LinkContext(
            workers,
            settings.epoch,
            link_settings(settings.own.workers, settings.bounds.max_hold_s),
            metrics,
            self.post,
            self.depose,
            steady_s,
            StartLimits(anyio.Semaphore(_MAX_CONCURRENT_STARTS), anyio.Semaphore(_MAX_CONCURRENT_STARTS)),
            self._may_order,
        )
        self._links = LinkRegistry(context)
        self._advice_dispatcher = AdviceDispatcher(policy_queries, self.post, self._links.name_of, steady_s)
        self._effects = EffectExecutor(self.scheduler, self._links, self._advice_dispatcher, self.post, metrics, _now)
        self._recorder = Recorder(
            Committer(store, relays),
            settings.timing,
            self.scheduler,
            settings.epoch,
            held_starts=self._effects.held_starts,
            barred=self._barred,
            processed_ends=self._links.last_processed_ends,
            on_persisted=self._links.acknowledge,
            on_end_persisted=self.end_notifier.notify,
            on_evacuated=self._evacuations_feed.record_items,
            on_deposed=self.depose,
        )
        self.is_deposed = False

    @property
    def epoch(self) -> int:
        """Epoch of this owner."""
        return self._settings.epoch

    @property
    def has_fenced_workers(self) -> bool:
        """Whether no worker accepts orders of previous owners any more."""
        return self._previous.have_all_workers_reported

    def post(self, message: OwnerMessage) -> None:
        """Queue a message for the scheduling task.

        The queue is unbounded and drops no message, because a cancellation, a refused
        start or the end of a worker is reported only once. One pass handles all of them.
        """
        self._send.send_nowait(message)

    def make_digest(self) -> bytes:
        """Return the encoded summary of the backlog; empty before the takeover is complete or if disabled."""
        if not self.is_ready or not self._settings.own.scheduler.has(Mechanism.ADMISSION):
            return b''
        started_s = time.perf_counter()
        data = encode_digest(summarize(self.scheduler, _now()))
        self._metrics.digest_s.observe(time.perf_counter() - started_s)
        self._metrics.digest_bytes.set(len(data))
        return data

    def depose(self) -> None:
        """Stop immediately because another instance owns the pool."""
        if not self.is_deposed:
            self.is_deposed = True
            log_event('owner_deposed', epoch=self.epoch)
            self._scope.cancel()

    def set_configuration(self, configuration: Configuration) -> None:
        """Apply the accounts' guarantees and the services of a configuration."""
        accounts = configuration.account_by_name.values()
        self.scheduler.set_guarantees({account.name: account.guaranteed_accelerators for account in accounts})
        services = configuration.service_by_name.values()
        self.scheduler.set_services_without_capacity_check(
            each.name for each in services if not each.workers_check_capacity
        )
        queue_services = {queue.service for queue in configuration.queue_by_name.values()}
        for message in self._unserved.set_services(queue_services.union(configuration.service_by_name)):
            self.post(message)

    async def run(self) -> None:
        """Take over the pool and schedule its jobs until deposed or cancelled."""
        with self._scope, self._load_gauges, self._gc_tuner:
            async with anyio.create_task_group() as tasks:
                dependencies = HandlerDependencies(
                    self.scheduler,
                    self._links,
                    self._previous,
                    self._unserved,
                    self._effects.held_starts,
                    self._barred,
                    self.depose,
                    _now,
                )
                handler = MessageHandler(dependencies, self.epoch, tasks)
                jobs_revision = await self._load_state(handler, tasks)
                self._gc_tuner.finish_loading()
                await self._await_reports(handler)
                self.is_ready = True
                log_event(
                    'owner_ready',
                    epoch=self.epoch,
                    jobs=len(self.scheduler.job_by_id),
                    knows_assignments=self._previous.knows_all_assignments,
                )
                tasks.start_soon(follow_jobs, self._feed, jobs_revision)
                tasks.start_soon(self._recorder.run)
                tasks.start_soon(self._advice_dispatcher.run)
                tasks.start_soon(self._recorder.run_cleanup, self._settings.bounds.status_s, time.time)
                await self._run_passes(handler)

    async def _load_state(self, handler: MessageHandler, tasks: TaskGroup) -> int:
        """Load workers and jobs; return the revision to follow jobs from.

        Workers are loaded first so that their leases are renewed from then on: over a
        slow link, loading thousands of jobs may take longer than a lease lasts. Reports
        from workers stay queued until the jobs they refer to are loaded.
        """
        workers = await read_workers(self._store, self._settings.timing)
        handler.handle_all(self._known_worker_messages(workers))
        tasks.start_soon(self._workers_feed.run, workers.entries.revision)
        stored = await read_jobs(self._store, self._settings.timing)
        handler.progress_by_id = stored.progress_by_id
        self._previous.knows_all_assignments = are_assignments_complete(workers, stored)
        if self._previous.knows_all_assignments:
            handler.assignments_by_id = stored.assignments_by_id
        self._evacuations_feed.record_listing(stored.evacuations)
        tasks.start_soon(self._evacuations_feed.run, stored.evacuations.revision)
        self._recorder.revision_by_key = workers.revision_by_key | stored.revision_by_key
        # A silent worker may run jobs of previous owners until its lease expires, and the
        # previous owner may have granted that lease at any time until its authority ended.
        lease_s = self._settings.predecessors_end_s + self._settings.bounds.max_hold_s
        self._previous.set_lease_bound(lease_s, steady_s())
        for number, item in enumerate(sorted(stored.jobs.items, key=lambda each: len(each.key))):
            handler.handle_all(job_messages(item))
            if number % _LOAD_BATCH_SIZE == 0:
                await anyio.sleep(0)
        self._drain_inbox(handler)
        handler.progress_by_id = {}
        handler.assignments_by_id = {}
        return stored.jobs.revision

    def _known_worker_messages(self, workers: KnownWorkers) -> Iterable[OwnerMessage]:
        """Yield messages for the workers on the previous owner's roster, then for those with an entry."""
        # A delayed write may have left a lapsed roster entry of a worker that another entry lists as in use.
        in_use = {entry.known_incarnation.name for entry in workers.roster if not entry.is_lapsed}
        for entry in workers.roster:
            is_lapsed = entry.is_lapsed and entry.known_incarnation.name not in in_use
            yield WorkerInherited(entry.profile, entry.address, entry.known_incarnation, is_lapsed)
        yield from self._workers_feed.messages(workers.entries, is_snapshot=True)
        yield WorkersSynced()

    async def _await_reports(self, handler: MessageHandler) -> None:
        """Wait for reports from all workers until the survey timeout.

        Jobs accepted under previous owners wait for each remaining worker until it answers or
        its lease has expired. Jobs accepted later cannot be running there.
        """
        self._previous.start_survey()
        deadline_s = steady_s() + _TAKEOVER_SURVEY_TIMEOUT_S
        while self._previous.has_unreported and steady_s() < deadline_s:
            with anyio.move_on_after(deadline_s - steady_s()):
                handler.handle(await self._receive.receive())
            self._drain_inbox(handler)
        self._previous.finish_survey()

    async def _run_passes(self, handler: MessageHandler) -> None:
        while True:
            self._run_pass()
            await anyio.sleep(_MIN_PASS_INTERVAL_S)
            with anyio.move_on_after(_MAX_PASS_INTERVAL_S):
                handler.handle(await self._receive.receive())
            self._drain_inbox(handler)

    def _may_order(self) -> bool:
        """Return whether this instance certainly owns the pool now; checked before each order."""
        may_order = self._authority.is_valid(steady_s())
        if may_order is not self._has_authority:
            self._has_authority = may_order
            log_event('authority_regained' if may_order else 'authority_lost', epoch=self.epoch)
        return may_order

    def _run_pass(self) -> None:
        if self._may_order():
            self._decide_and_order()
        if self.scheduler.has_dirty_jobs or self._links.has_unacknowledged_ends or self._effects.held_starts:
            self._recorder.flush_requested.set()
        self._update_roster()

    def _decide_and_order(self) -> None:
        """Run the scheduler and carry out its decisions."""
        started_s = time.perf_counter()
        effects = self.scheduler.decide(_now())
        for note in self.scheduler.take_notes():
            self._effects.log_note(note)
        for effect in effects:
            self._effects.execute(effect)
        self._links.close_all_but(self.scheduler.worker_by_id)
        self._load_gauges.update(steady_s())
        self._metrics.held_starts.set(len(self._effects.held_starts))
        self._metrics.decide_s.observe(time.perf_counter() - started_s)

    def _update_roster(self) -> None:
        """Have the roster of known workers persisted if it has changed."""
        roster = self._links.roster(self.scheduler.worker_by_id)
        if roster != self._recorder.roster:
            self._links.record_lapsed(roster, self._recorder.set_roster(roster))
        self._links.readmit(self.scheduler.worker_by_id, self._recorder.persisted_roster_version)

    def _drain_inbox(self, handler: MessageHandler) -> None:
        while True:
            try:
                message = self._receive.receive_nowait()
            except anyio.WouldBlock:
                return
            handler.handle(message)


def _now() -> Moment:
    return Moment(steady_s(), time.time())


def _log_policy_failure(program: str, error: Exception) -> None:
    log_event('policy_failed', program=program, why=str(error))
