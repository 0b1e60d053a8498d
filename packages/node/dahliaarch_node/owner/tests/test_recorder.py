"""Tests of the recorder: delayed, refused and unanswered writes, and their number and latency."""

import time

import anyio

from dahliaarch_kernel.codec import decode
from dahliaarch_kernel.configuration import Queue
from dahliaarch_kernel.scheduler import EndKind, JobProgress, Moment, Scheduler, SchedulerSettings, WorkerProfile
from dahliaarch_kernel.scheduler.events import RunEnd
from dahliaarch_kernel.workload import JobSpec, Resources, StepSpec, TaskKey
from dahliaarch_platform.incarnations import WorkerIncarnation
from dahliaarch_platform.settings import Address
from dahliaarch_platform.store import (
    CommitResult,
    CommitStatus,
    Item,
    MAX_TRANSACTION_ENTRIES,
    StoreRefusedError,
    StoreUnansweredError,
)

from ...records import OWNER_KEY, progress_key, RosterEntry
from ...timing import StoreTiming
from ..barred_jobs import BarredJobs
from ..held_starts import HeldStarts
from ..recorder import Recorder

JOB = 'a' * 16
EPOCH = 5


class LateStore:
    """A store that leaves its first transaction unanswered and applies it only on request."""

    def __init__(self):
        self.items = {OWNER_KEY: Item(OWNER_KEY, b'', EPOCH)}
        self.revision = EPOCH
        self.delayed_commit = None
        self.commits = 0
        self.max_entries = 0

    async def commit(self, conditions, writes, removals=(), *, timeout_s):
        self.commits += 1
        self.max_entries = max(self.max_entries, len(conditions) + len(writes) + len(removals))
        if self.commits == 1 and writes:
            self.delayed_commit = (conditions, writes)
            raise StoreUnansweredError('late')
        return self.apply(conditions, writes)

    def apply(self, conditions, writes):
        for row in conditions:
            item = self.items.get(row.key)
            if (item.revision if item else 0) != row.revision:
                present = tuple(self.items[each.key] for each in conditions if each.key in self.items)
                return CommitResult(CommitStatus.CONDITION_FAILED, current=present)
        self.revision += 1
        for row in writes:
            self.items[row.key] = Item(row.key, row.value, self.revision)
        return CommitResult(CommitStatus.DONE, self.revision)

    def done_tasks(self):
        progress = decode(self.items[progress_key(JOB)].value, JobProgress, 'progress')
        return set(progress.steps[0].done)


def end_task(scheduler, index):
    scheduler.run_ended(RunEnd('w', TaskKey(JOB, 0, 0, index), index + 1, EndKind.DONE), Moment(1.0, 1.0))


def make_roster(*, is_lapsed):
    profile = WorkerProfile('w', 'svc', 'z', Resources(64_000, 262_144, 8), ('a', 'r0'))
    return [RosterEntry(profile, Address('127.0.0.1', 1), WorkerIncarnation('w'), is_lapsed)]


def make_recorder(store, scheduler, deposed, on_persisted=lambda processed_ends: None):
    timing = StoreTiming(mean_retry_pause_s=0.01)
    return Recorder(
        store,
        timing,
        scheduler,
        EPOCH,
        held_starts=HeldStarts(lambda start: None),
        barred=BarredJobs(),
        processed_ends=dict,
        on_persisted=on_persisted,
        on_end_persisted=lambda job_id: None,
        on_evacuated=lambda requests: None,
        on_deposed=lambda: deposed.append(True),
    )


async def run_recorder(recorder, until):
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(recorder.run)
        recorder.flush_requested.set()
        with anyio.fail_after(5):
            while not until():
                await anyio.sleep(0.01)
        tasks.cancel_scope.cancel()


def scheduler_with_job():
    scheduler = Scheduler(SchedulerSettings(), EPOCH)
    spec = JobSpec(JOB, '', 'q', '', (StepSpec(4, Resources(1, 1, 1)),))
    scheduler.add_job(spec, Queue('q', 'h', '/', 'svc'), Moment(0.0, 0.0))
    return scheduler


def test_a_late_write_does_not_undo_a_newer_one():
    store, deposed = LateStore(), []
    scheduler = scheduler_with_job()
    recorder = make_recorder(store, scheduler, deposed)
    end_task(scheduler, 0)
    anyio.run(run_recorder, recorder, lambda: progress_key(JOB) in store.items)
    end_task(scheduler, 1)
    anyio.run(run_recorder, recorder, lambda: store.done_tasks() == {0, 1})
    store.apply(*store.delayed_commit)
    assert store.done_tasks() == {0, 1}
    assert not deposed


def test_an_unanswered_write_does_not_depose_its_owner():
    store, deposed = LateStore(), []
    scheduler = scheduler_with_job()
    recorder = make_recorder(store, scheduler, deposed)
    end_task(scheduler, 0)
    anyio.run(run_recorder, recorder, lambda: store.commits >= 1)
    store.apply(*store.delayed_commit)
    end_task(scheduler, 1)
    anyio.run(run_recorder, recorder, lambda: store.done_tasks() == {0, 1})
    assert not deposed


def test_all_jobs_that_ended_long_ago_are_removed_however_many():
    store = LateStore()
    scheduler = Scheduler(SchedulerSettings(), EPOCH)
    queue = Queue('q', 'h', '/', 'svc')
    for number in range(95):
        spec = JobSpec(f'{number:016x}', '', 'q', '', (StepSpec(1, Resources(1, 1, 1)),))
        scheduler.add_job(spec, queue, Moment(0.0, 1.0))
        scheduler.cancel(spec.job_id, Moment(0.0, 1.0))
    anyio.run(make_recorder(store, scheduler, []).remove_ended, 100.0)
    assert not scheduler.job_by_id
    assert store.max_entries <= MAX_TRANSACTION_ENTRIES


class RefusingStore(LateStore):
    """A store that rejects every fifth transaction."""

    async def commit(self, conditions, writes, removals=(), *, timeout_s):
        self.commits += 1
        if not self.commits % 5:
            raise StoreRefusedError('full')
        return self.apply(conditions, writes)


def test_persisted_progress_is_not_written_twice():
    """After a store outage the ends of hundreds of jobs were written repeatedly and none was acknowledged.

    The ends take about twenty transactions. After a failed one all jobs were written again from the first: with one
    transaction in five refused, twenty in a row never succeed, and ends are acknowledged only once all are persisted.
    """
    store, persisted = RefusingStore(), []
    scheduler = Scheduler(SchedulerSettings(), EPOCH)
    for number in range(300):
        job_id = f'{number:016x}'
        spec = JobSpec(job_id, '', 'q', '', (StepSpec(1, Resources(1, 1, 1)),))
        scheduler.add_job(spec, Queue('q', 'h', '/', 'svc'), Moment(0.0, 0.0))
        scheduler.run_ended(RunEnd('w', TaskKey(job_id, 0, 0, 0), 1, EndKind.DONE), Moment(1.0, 1.0))
    recorder = make_recorder(store, scheduler, [], persisted.append)
    anyio.run(run_recorder, recorder, lambda: persisted)
    assert all(job.is_end_saved for job in scheduler.job_by_id.values())
    # Twenty transactions and the refused ones.
    assert store.commits <= 25


async def measure_persist_delay(scheduler, index):
    """Return the time from the end of a task until it is persisted, in seconds."""
    store = LateStore()
    store.commits = 1
    recorder = make_recorder(store, scheduler, [])
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(recorder.run)
        await anyio.sleep(0.01)
        begun_s = time.monotonic()
        end_task(scheduler, index)
        recorder.flush_requested.set()
        while progress_key(JOB) not in store.items:
            await anyio.sleep(0.001)
        tasks.cancel_scope.cancel()
    return time.monotonic() - begun_s


def test_ends_of_jobs_are_persisted_at_once_those_of_tasks_later():
    """The end of a job is reported only once it is persisted; batching for 0.03 s made urgent jobs late."""
    scheduler = scheduler_with_job()
    assert anyio.run(measure_persist_delay, scheduler, 0) > 0.025
    for index in (1, 2):
        end_task(scheduler, index)
    assert anyio.run(measure_persist_delay, scheduler, 3) < 0.02


def test_an_unanswered_roster_write_is_overwritten():
    # If it is applied late, the unanswered write would give the next owner an outdated state of a worker.
    store = LateStore()
    recorder = make_recorder(store, Scheduler(SchedulerSettings(), EPOCH), [])
    first, second = make_roster(is_lapsed=False), make_roster(is_lapsed=True)

    async def scenario():
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(recorder.run)
            for roster in (first, second, list(first)):
                number = recorder.set_roster(roster)
                store.commits = 0 if roster is second else 1
                await anyio.sleep(0.05 if roster is second else 0.5)
            assert recorder.persisted_roster_version == number
            tasks.cancel_scope.cancel()

    anyio.run(scenario)
    assert store.apply(*store.delayed_commit).status is CommitStatus.CONDITION_FAILED
