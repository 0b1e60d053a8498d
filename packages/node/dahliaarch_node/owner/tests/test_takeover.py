"""What an owner takes over from the one before it."""

import time
from collections import Counter

import anyio
import msgspec

from dahliaarch_kernel.codec import encode
from dahliaarch_kernel.configuration import Queue
from dahliaarch_kernel.scheduler.events import RunSeen
from dahliaarch_kernel.workload import JobSpec, Resources, StepSpec, TaskKey
from dahliaarch_platform.settings import Bounds
from dahliaarch_platform.store import CommitResult, CommitStatus, Item, Page, WORKERS_PREFIX
from dahliaarch_platform.workers import OrderReply, OrderStatus, Survey, WorkerUnreachableError

from ...metrics import Metrics
from ...records import cancel_key, job_key, JobRecord, JOBS_PREFIX
from ...timing import StoreTiming
from .. import PoolOwner
from ..settings import OwnerSettings

EPOCH = 50_000
QUEUE = Queue('q', 'h', '/q/', 'svc', priority=1, max_attempts=3, stretch=3.0, target_latency_s=1.0)
STEP = StepSpec(1, Resources(1000, 1000, 1), 20.0)
LAST = 'f' * 16
# Jobs that a store keeps at a time, at sixty a second: each for three minutes.
MANY = 10_800
# Longest lease that workers grant.
LONGEST_LEASE_S = 4.0


class KeptStore:
    """A store that lists what it holds and takes every write.

    The history of jobs is gone once, after which later items are there.
    """

    def __init__(self, items, later=()):
        self.items = items
        self.later = later

    async def read_page(self, prefix, after='', *, timeout_s):
        return Page(tuple(item for item in self.items if item.key.startswith(prefix)), EPOCH)

    async def watch(self, prefix, after, *, wait_s, timeout_s, **options):
        if prefix == JOBS_PREFIX and self.later:
            self.items, self.later = [*self.items, *self.later], ()
            return None
        await anyio.sleep(wait_s)
        return Page((), after)

    async def commit(self, conditions, writes, removals=(), *, timeout_s):
        return CommitResult(CommitStatus.DONE, EPOCH + 1)


class Workers:
    """Workers in memory: one runs a task and falls silent after its first answer, others are idle."""

    def __init__(self, running=()):
        self.running_by_id = dict(running)
        self.surveys = Counter()
        self.starts = []

    async def survey(self, address, life, *, wait_s, **options):
        self.surveys[life] += 1
        if life not in self.running_by_id:
            await anyio.sleep(wait_s)
            return Survey(time.monotonic(), (), ())
        if self.surveys[life] > 1:
            raise WorkerUnreachableError('cut off')
        return Survey(time.monotonic(), self.running_by_id[life], ())

    async def start(self, address, life, order, *, timeout_s):
        self.starts.append((life, order.key))
        return OrderReply(OrderStatus.DONE, time.monotonic())


def worker_entry(worker_id):
    entry = {
        'Service': 'svc',
        'Addr': '127.0.0.1:1',
        'Zone': 'z',
        'Slots': 8,
        'State': 'ready',
        'Capacity': {'Cpu': 64_000, 'MemMb': 262_144, 'Gpu': 8},
        'Labels': ['a', 'r0'],
    }
    return Item(WORKERS_PREFIX + worker_id, msgspec.json.encode(entry), 1)


def kept_job(job_id, accepted_s):
    spec = JobSpec(job_id, 'acc', QUEUE.name, '20', (STEP,), accepted_s=accepted_s)
    return Item(job_key(job_id), encode(JobRecord(spec, QUEUE)), 1)


async def take_over(store, workers, holds, within_s):
    """Run an owner until something holds of it, or for so long; return it."""
    settings = OwnerSettings(EPOCH, Bounds(max_hold_s=LONGEST_LEASE_S), StoreTiming())
    owner = PoolOwner(settings, store, workers, tuple, Metrics())
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(owner.run)
        with anyio.move_on_after(within_s):
            while not holds(owner):
                await anyio.sleep(0.02)
        tasks.cancel_scope.cancel()
    return owner


def is_ready(owner):
    return owner.is_ready


def phase_of_last(owner):
    job = owner.scheduler.job_by_id.get(LAST)
    return None if job is None else job.phase


def many_jobs():
    """Return more records than the owner's inbox takes, and one more job."""
    now_s = time.time()
    return [*(kept_job(f'{number:016x}', now_s) for number in range(MANY)), kept_job(LAST, now_s)]


def test_no_cancellation_is_lost_among_many_jobs():
    """Beyond the room of the owner's inbox they were dropped, and cancelled jobs ran again."""
    store = KeptStore([*many_jobs(), Item(cancel_key(LAST), b'', 2)])
    owner = anyio.run(take_over, store, Workers(), is_ready, 30.0)
    assert len(owner.scheduler.job_by_id) == MANY + 1
    assert phase_of_last(owner) == 'cancelled'


def test_no_cancellation_is_lost_when_many_jobs_are_read_anew():
    """They were dropped likewise once the history was gone, and never told again."""
    store = KeptStore([kept_job(LAST, time.time())], [*many_jobs()[:-1], Item(cancel_key(LAST), b'', 2)])
    owner = anyio.run(take_over, store, Workers(), lambda owner: phase_of_last(owner) == 'cancelled', 10.0)
    assert phase_of_last(owner) == 'cancelled'


def test_a_worker_that_falls_silent_after_its_first_answer_keeps_the_lease_of_the_owner_before():
    """Its runs were given up at once and started elsewhere, while they ran on."""
    task = TaskKey(LAST, 0, 0, 0)
    workers = Workers({'w0': (RunSeen(task, 1, '', 10.0),)})
    store = KeptStore([kept_job(LAST, time.time()), worker_entry('w0'), worker_entry('w1')])
    anyio.run(take_over, store, workers, lambda owner: workers.starts, LONGEST_LEASE_S - 1.0)
    assert workers.surveys['w0'] > 2
    assert not workers.starts
