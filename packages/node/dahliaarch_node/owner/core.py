"""The owner of the pool: the one task that decides, and what it is fed by.

Takeover: every worker is asked what runs there, the records are read meanwhile,
and only what cannot be running anywhere is started.
"""

import math
import time
from collections.abc import Callable, Iterable, Sequence

import anyio
from anyio.abc import TaskGroup

from dahliaarch_kernel.configuration import Configuration
from dahliaarch_kernel.policies import Policy
from dahliaarch_kernel.scheduler import Moment, Scheduler
from dahliaarch_platform.sessions import WorkerClient
from dahliaarch_platform.store import StoreClient

from ..authority import Authority, lasting_authority
from ..clock import steady_s
from ..logs import log_event
from ..metrics import Metrics
from .advising import Adviser, Ask
from .committing import Commit, Committer
from .effects import Effects
from .end_notifier import EndNotifier
from .feeds import Feed, follow_jobs, job_messages, WorkersFeed
from .heap import LongLivedHeap
from .intake import Intake, IntakeParts
from .link_settings import LinkContext, LinkSettings, StartTurns
from .load_gauges import LoadGauges
from .messages import OwnerMessage, WorkerInherited, WorkersSynced
from .previous_work import PreviousWork
from .recorder import Recorder
from .registry import Links
from .settings import OwnerSettings, scheduler_settings
from .takeover import keeps_assignments, KnownWorkers, read_jobs, read_workers
from .unserved import UnservedWorkers

# Starts under way at one time, urgent ones and others: over a link of 1 Mbit/s the last of them is answered
# in 0.2 s, and none is given up before it has been sent.
_MOST_STARTS = 32
# Jobs that are taken in at a takeover between two turns of other tasks: callers are answered meanwhile.
_JOBS_AT_A_TIME = 64
# Longest time between two passes, in seconds: leases end and jobs fall due.
_PASS_EVERY_S = 0.25
# Shortest time between two passes, in seconds: updates that come together share one.
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
    relays : callable
        Returns the ways to have a transaction made by other instances now.
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
        relays: Callable[[], Sequence[Commit]] = tuple,
    ) -> None:
        """Prepare; `run` takes the pool over."""
        self._authority = authority or lasting_authority()
        self._has_authority = True
        self.is_ready = False
        self.end_notifier = EndNotifier()
        self.scheduler = Scheduler(
            scheduler_settings(settings),
            settings.epoch,
            Policy(settings.own.policy, _note_policy_failure),
        )
        self._settings = settings
        self._store = store
        self._metrics = metrics
        self._load_gauges = LoadGauges(self.scheduler, metrics)
        self._heap = LongLivedHeap(metrics)
        self._send, self._receive = anyio.create_memory_object_stream[OwnerMessage](math.inf)
        self._feed = Feed(store, settings.timing, self.post)
        self._workers_feed = WorkersFeed(self._feed)
        self._unserved = UnservedWorkers()
        self._previous = PreviousWork(self.scheduler, settings.epoch)
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
        self._adviser = Adviser(askers, self.post, self._links.name_of, steady_s)
        self._effects = Effects(self.scheduler, self._links, self._adviser, self.post, metrics, _now)
        self._recorder = Recorder(
            Committer(store, relays),
            settings.timing,
            self.scheduler,
            settings.epoch,
            starts=self._effects.held_starts,
            mark=self._links.ends_taken_in,
            kept=self._links.acknowledge,
            shown=self.end_notifier.notify,
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
        the end of a worker is reported once. One pass takes them all.
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
        self.scheduler.set_services_without_capacity_check(
            each.name for each in services if not each.workers_check_capacity
        )
        of_queues = {queue.service for queue in configuration.queue_by_name.values()}
        for message in self._unserved.set_services(of_queues.union(configuration.service_by_name)):
            self.post(message)

    async def run(self) -> None:
        """Take the pool over and decide until deposed or cancelled."""
        with self._scope, self._load_gauges, self._heap:
            async with anyio.create_task_group() as tasks:
                parts = IntakeParts(
                    self.scheduler,
                    self._links,
                    self._previous,
                    self._unserved,
                    self._effects.held_starts,
                    self.depose,
                    _now,
                )
                intake = Intake(parts, self.epoch, tasks)
                jobs_revision = await self._load(intake, tasks)
                self._heap.loaded()
                await self._survey_all(intake)
                self.is_ready = True
                log_event(
                    'owner_ready',
                    epoch=self.epoch,
                    jobs=len(self.scheduler.job_by_id),
                    knows_assignments=self._previous.is_recorded,
                )
                tasks.start_soon(follow_jobs, self._feed, jobs_revision)
                tasks.start_soon(self._recorder.run)
                tasks.start_soon(self._adviser.run)
                tasks.start_soon(self._recorder.clean, self._settings.bounds.status_s, time.time)
                await self._decide_forever(intake)

    async def _load(self, intake: Intake, tasks: TaskGroup) -> int:
        """Take in workers and jobs; return the revision to follow jobs from.

        Workers come first: from then on their leases are renewed, while thousands
        of jobs may take longer than these over a slow link. What workers say waits
        in the inbox, for it means nothing before the jobs are known.
        """
        workers = await read_workers(self._store, self._settings.timing)
        intake.handle_all(self._workers_known(workers))
        tasks.start_soon(self._workers_feed.run, workers.entries.revision)
        kept = await read_jobs(self._store, self._settings.timing)
        intake.progress_by_id = kept.progress_by_id
        self._previous.is_recorded = keeps_assignments(workers, kept)
        if self._previous.is_recorded:
            intake.assignments_by_id = kept.assignments_by_id
        self._recorder.revision_by_key = workers.revision_by_key | kept.revision_by_key
        # A silent worker may run jobs of previous owners until its lease ends, which the
        # previous owner may have given while its authority lasted.
        lease_s = self._settings.own.ownership.lease_s + self._settings.bounds.max_hold_s
        self._previous.may_last(lease_s, steady_s())
        for number, item in enumerate(sorted(kept.jobs.items, key=lambda each: len(each.key))):
            intake.handle_all(job_messages(item))
            if number % _JOBS_AT_A_TIME == 0:
                await anyio.sleep(0)
        self._drain_inbox(intake)
        intake.progress_by_id = {}
        intake.assignments_by_id = {}
        return kept.jobs.revision

    def _workers_known(self, workers: KnownWorkers) -> Iterable[OwnerMessage]:
        """Yield the workers that the previous owner knew, then those that have an entry."""
        # A write that was carried out late may have left an entry of a worker that is known better by another.
        in_use = {entry.known_incarnation.name for entry in workers.roster if not entry.is_lapsed}
        for entry in workers.roster:
            is_lapsed = entry.is_lapsed and entry.known_incarnation.name not in in_use
            yield WorkerInherited(entry.profile, entry.address, entry.known_incarnation, is_lapsed)
        yield from self._workers_feed.messages(workers.entries, is_whole=True)
        yield WorkersSynced()

    async def _survey_all(self, intake: Intake) -> None:
        """Contact every worker that answers at once.

        Jobs accepted before this owner wait for the others, each until it answers or
        its lease has ended; later ones can't run there.
        """
        self._previous.expect_workers()
        deadline_s = steady_s() + _TAKEOVER_SURVEY_S
        while self._previous.has_unreported and steady_s() < deadline_s:
            with anyio.move_on_after(deadline_s - steady_s()):
                intake.handle(await self._receive.receive())
            self._drain_inbox(intake)
        self._previous.go_on()

    async def _decide_forever(self, intake: Intake) -> None:
        while True:
            self._decide()
            await anyio.sleep(_PASS_GAP_S)
            with anyio.move_on_after(_PASS_EVERY_S):
                intake.handle(await self._receive.receive())
            self._drain_inbox(intake)

    def _may_order(self) -> bool:
        """Tell whether this instance surely owns the pool now; looked at before each order."""
        may_order = self._authority.holds(steady_s())
        if may_order is not self._has_authority:
            self._has_authority = may_order
            log_event('authority_regained' if may_order else 'authority_lost', epoch=self.epoch)
        return may_order

    def _decide(self) -> None:
        if self._may_order():
            self._order()
        if self.scheduler.has_dirty_jobs or self._links.has_unkept_ends or self._effects.held_starts:
            self._recorder.needed.set()
        self._note_roster()

    def _order(self) -> None:
        """Decide, and give the orders."""
        begun_s = time.perf_counter()
        effects = self.scheduler.decide(_now())
        for note in self.scheduler.take_notes():
            self._effects.tell(note)
        for effect in effects:
            self._effects.carry_out(effect)
        self._links.close_all_but(self.scheduler.worker_by_id)
        self._load_gauges.update(steady_s())
        self._metrics.held_starts.set(len(self._effects.held_starts))
        self._metrics.decide_s.observe(time.perf_counter() - begun_s)

    def _note_roster(self) -> None:
        """Have the known workers kept when they have changed."""
        roster = self._links.roster(self.scheduler.worker_by_id)
        if roster != self._recorder.roster:
            self._links.note_offered(roster, self._recorder.offer_roster(roster))
        self._links.readmit(self.scheduler.worker_by_id, self._recorder.kept_roster_number)

    def _drain_inbox(self, intake: Intake) -> None:
        while True:
            try:
                message = self._receive.receive_nowait()
            except anyio.WouldBlock:
                return
            intake.handle(message)


def _now() -> Moment:
    return Moment(steady_s(), time.time())


def _note_policy_failure(program: str, error: Exception) -> None:
    log_event('policy_failed', program=program, why=str(error))
