"""Tests of what an owner takes over from its predecessor."""

import time
from collections import Counter

import anyio
import msgspec

from dahliaarch_kernel.codec import decode, encode
from dahliaarch_kernel.configuration import Queue
from dahliaarch_kernel.scheduler import WorkerProfile
from dahliaarch_kernel.scheduler.events import ListedRun
from dahliaarch_kernel.workload import JobSpec, Resources, StepSpec, TaskKey
from dahliaarch_platform.incarnations import WorkerIncarnation
from dahliaarch_platform.settings import Address, Bounds
from dahliaarch_platform.store import CommitResult, CommitStatus, Item, Page, WORKERS_PREFIX
from dahliaarch_platform.workers import (
    OrderReply,
    OrderStatus,
    Survey,
    WorkerUnansweredError,
    WorkerUnreachableError,
)

from ...metrics import Metrics
from ...records import cancel_key, job_key, JobRecord, JOBS_PREFIX, roster_key, RosterEntry
from ...timing import StoreTiming
from .. import PoolOwner
from ..messages import JobListed
from ..settings import OwnerSettings
from .sessions import InMemorySessions

EPOCH = 50_000
QUEUE = Queue('q', 'h', '/q/', 'svc', priority=1, max_attempts=3, stretch=3.0, target_latency_s=1.0)
STEP = StepSpec(1, Resources(1000, 1000, 1), 20.0)
INHERITED_JOB_ID = 'f' * 16
NEW_JOB_ID = 'e' * 16
# Number of other jobs in the store, at sixty jobs per second, each retained for three minutes.
OTHER_JOB_COUNT = 10_800
# Longest lease that workers accept, in seconds.
MAX_LEASE_S = 4.0


class InMemoryStore:
    """An in-memory store that lists its items and accepts every write without applying it.

    If there are later items, the first watch on jobs reports that the history is gone, and the items are added.
    """

    def __init__(self, items, later_items=()):
        self.items = items
        self.later_items = later_items

    async def read_page(self, prefix, after='', *, timeout_s):
        return Page(tuple(item for item in self.items if item.key.startswith(prefix)), EPOCH)

    async def watch(self, prefix, after, *, wait_s, timeout_s, **options):
        if prefix == JOBS_PREFIX and self.later_items:
            self.items, self.later_items = [*self.items, *self.later_items], ()
            return None
        await anyio.sleep(wait_s)
        return Page((), after)

    async def commit(self, conditions, writes, removals=(), *, timeout_s):
        return CommitResult(CommitStatus.DONE, EPOCH + 1)


class SlowStore(InMemoryStore):
    """A store that takes ``answer_s`` for each page."""

    answer_s = 0.25

    async def read_page(self, prefix, after='', *, timeout_s):
        await anyio.sleep(self.answer_s)
        return await super().read_page(prefix, after, timeout_s=timeout_s)


class InMemoryWorkers(InMemorySessions):
    """In-memory workers: those that run tasks answer only their first survey, the others are idle."""

    def __init__(self, running=()):
        self.running_by_id = dict(running)
        self.surveys = Counter()
        self.starts = []
        self.silent_until_s = {}

    async def survey(self, address, incarnation, *, wait_s, **options):
        self.surveys[incarnation] += 1
        if time.monotonic() < self.silent_until_s.get(incarnation, 0.0):
            raise WorkerUnreachableError('cut off')
        if incarnation not in self.running_by_id:
            await anyio.sleep(wait_s)
            return Survey(time.monotonic(), (), ())
        if self.surveys[incarnation] > 1:
            raise WorkerUnreachableError('cut off')
        return Survey(time.monotonic(), self.running_by_id[incarnation], ())

    async def start(self, address, incarnation, order, **options):
        self.starts.append((incarnation, order.key))
        return OrderReply(OrderStatus.DONE, time.monotonic())


def worker_entry_item(worker_id):
    entry = {
        'Service': 'svc',
        'Addr': '127.0.0.1:1',
        'Zone': 'z',
        'Version': 'v1',
        'Slots': 8,
        'Seq': 1,
        'State': 'ready',
        'Capacity': {'Cpu': 64_000, 'MemMb': 262_144, 'Gpu': 8},
        'Labels': ['a', 'r0'],
    }
    return Item(WORKERS_PREFIX + worker_id, msgspec.json.encode(entry), 1)


def roster_item(worker_id, *, is_lapsed=False):
    """Return a roster with one worker, from an owner that persisted no assignments after it."""
    profile = WorkerProfile(worker_id, 'svc', 'z', Resources(64_000, 262_144, 8), ('a', 'r0'))
    entry = RosterEntry(profile, Address('127.0.0.1', 1), WorkerIncarnation(worker_id), is_lapsed)
    return Item(roster_key(0), encode([entry]), 2)


def job_item(job_id, accepted_s, step=STEP):
    spec = JobSpec(job_id, 'acc', QUEUE.name, '20', (step,), accepted_s=accepted_s)
    return Item(job_key(job_id), encode(JobRecord(spec, QUEUE)), 1)


async def take_over(store, workers, condition, within_s, configuration=None):
    """Run an owner until it meets a condition or a time limit has passed; return it."""
    settings = OwnerSettings(EPOCH, Bounds(max_hold_s=MAX_LEASE_S), StoreTiming())
    owner = PoolOwner(settings, store, workers, tuple, Metrics())
    if configuration is not None:
        owner.set_configuration(configuration)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(owner.run)
        with anyio.move_on_after(within_s):
            while not condition(owner):
                await anyio.sleep(0.02)
        tasks.cancel_scope.cancel()
    return owner


def decode_job_record(item):
    record = decode(item.value, JobRecord, 'job record')
    return JobListed(record.spec, record.queue, EPOCH + 1, EPOCH)


def submit_if_ready(owner, update):
    """Submit a job if the owner is ready; return whether it is. Repeated submissions have no effect."""
    if owner.is_ready:
        owner.post(update)
    return owner.is_ready


def is_ready(owner):
    return owner.is_ready


def phase_of_last(owner):
    job = owner.scheduler.job_by_id.get(INHERITED_JOB_ID)
    return None if job is None else job.phase


def many_jobs():
    """Return more job records than the owner's inbox holds, and the record of one more job."""
    now_s = time.time()
    return [
        *(job_item(f'{number:016x}', now_s) for number in range(OTHER_JOB_COUNT)),
        job_item(INHERITED_JOB_ID, now_s),
    ]


def test_no_cancellation_is_lost_among_many_jobs():
    """Cancellations beyond the capacity of the owner's inbox were dropped, and cancelled jobs ran again."""
    store = InMemoryStore([*many_jobs(), Item(cancel_key(INHERITED_JOB_ID), b'', 2)])
    owner = anyio.run(take_over, store, InMemoryWorkers(), is_ready, 30.0)
    assert len(owner.scheduler.job_by_id) == OTHER_JOB_COUNT + 1
    assert phase_of_last(owner) == 'cancelled'


def test_no_cancellation_is_lost_when_many_jobs_are_read_anew():
    """They were also dropped when jobs were read again because the history was gone, and never delivered later."""
    store = InMemoryStore(
        [job_item(INHERITED_JOB_ID, time.time())], [*many_jobs()[:-1], Item(cancel_key(INHERITED_JOB_ID), b'', 2)]
    )
    owner = anyio.run(take_over, store, InMemoryWorkers(), lambda owner: phase_of_last(owner) == 'cancelled', 10.0)
    assert phase_of_last(owner) == 'cancelled'


def test_adding_many_jobs_does_not_block_an_instance():
    # Jobs were added without yielding to the event loop, and nothing else was answered for tenths of a second.
    job_counts = set()

    def record_job_count(owner):
        job_counts.add(len(owner.scheduler.job_by_id))
        return owner.is_ready

    anyio.run(take_over, InMemoryStore(many_jobs()), InMemoryWorkers(), record_job_count, 30.0)
    assert len(job_counts - {0, OTHER_JOB_COUNT + 1}) >= 3


def test_a_worker_silent_after_an_answer_keeps_the_lease():
    """Its runs were given up at once and started elsewhere while they were still running."""
    task = TaskKey(INHERITED_JOB_ID, 0, 0, 0)
    workers = InMemoryWorkers({'w0': (ListedRun(task, 1, '', 10.0),)})
    store = InMemoryStore([job_item(INHERITED_JOB_ID, time.time()), worker_entry_item('w0'), worker_entry_item('w1')])
    anyio.run(take_over, store, workers, lambda owner: workers.starts, MAX_LEASE_S - 1.0)
    assert workers.surveys['w0'] > 2
    assert not workers.starts


def test_a_job_after_a_takeover_waits_for_no_silent_worker():
    """With one worker lost since the previous owner, urgent jobs started 1.2 s after a takeover and ended late."""
    workers = InMemoryWorkers()
    workers.silent_until_s['w0'] = float('inf')
    # The previous owner persisted no assignments, so its job may be running on the silent worker.
    store = InMemoryStore(
        [job_item(INHERITED_JOB_ID, time.time()), worker_entry_item('w0'), worker_entry_item('w1'), roster_item('w0')]
    )
    update = decode_job_record(job_item(NEW_JOB_ID, time.time()))
    anyio.run(take_over, store, workers, lambda owner: submit_if_ready(owner, update) and workers.starts, 0.8)
    assert workers.starts == [('w1', TaskKey(NEW_JOB_ID, 0, 0, 0))]


def test_previous_jobs_start_once_all_silent_workers_answered():
    """They waited for the longest lease of that worker, as if it had stayed silent."""
    workers = InMemoryWorkers()
    workers.silent_until_s['w0'] = time.monotonic() + 1.6
    store = InMemoryStore(
        [job_item(INHERITED_JOB_ID, time.time()), worker_entry_item('w0'), worker_entry_item('w1'), roster_item('w0')]
    )
    anyio.run(take_over, store, workers, lambda owner: workers.starts, MAX_LEASE_S - 1.0)
    assert [key for _, key in workers.starts] == [TaskKey(INHERITED_JOB_ID, 0, 0, 0)]


def test_what_is_read_at_a_takeover_is_read_at_once():
    """Four sequential reads from a store that takes 0.25 s per answer delayed decisions by a second."""
    store = SlowStore([job_item(INHERITED_JOB_ID, time.time()), worker_entry_item('w0')])
    begun_s = time.monotonic()
    anyio.run(take_over, store, InMemoryWorkers(), is_ready, 5.0)
    assert time.monotonic() - begun_s < 3 * SlowStore.answer_s


class LossyWorkers(InMemoryWorkers):
    """Workers that leave a given number of surveys unanswered before they answer one."""

    def __init__(self, unanswered_by_id):
        super().__init__()
        self.unanswered_by_id = unanswered_by_id

    async def survey(self, address, incarnation, *, timeout_s, **options):
        if self.unanswered_by_id.get(incarnation, 0):
            self.unanswered_by_id[incarnation] -= 1
            await anyio.sleep(timeout_s)
            raise WorkerUnansweredError('lost')
        return await super().survey(address, incarnation, **options)


def test_jobs_of_the_owner_before_wait_briefly_for_lost_answers():
    # The survey timeout doubled with each missing answer, and every job of the previous owner waited until the last
    # worker had answered.
    workers = LossyWorkers({'w0': 4})
    store = InMemoryStore(
        [job_item(INHERITED_JOB_ID, time.time()), worker_entry_item('w0'), worker_entry_item('w1'), roster_item('w0')]
    )
    anyio.run(take_over, store, workers, lambda owner: workers.starts, 2.0)
    assert [key for _, key in workers.starts] == [TaskKey(INHERITED_JOB_ID, 0, 0, 0)]


class UnhealthyWorkers(InMemoryWorkers):
    """Workers of which one, w0, answers every survey with the status that it is unhealthy."""

    async def survey(self, address, incarnation, **options):
        if incarnation == 'w0':
            return OrderStatus.UNHEALTHY
        return await super().survey(address, incarnation, **options)


def test_a_job_that_never_began_waits_for_no_refusing_worker():
    # A new owner has no record that the job was never started, so for all it knows it runs on that worker.
    workers = UnhealthyWorkers()
    store = InMemoryStore([job_item(INHERITED_JOB_ID, time.time()), worker_entry_item('w0'), worker_entry_item('w1')])
    anyio.run(take_over, store, workers, lambda owner: workers.starts, 3.0)
    assert workers.starts == [('w1', TaskKey(INHERITED_JOB_ID, 0, 0, 0))]
