"""Assignments are kept before starts are sent, and read by the next owner."""

import time

import anyio
import pytest

from dahliaarch_kernel.codec import decode, encode
from dahliaarch_kernel.scheduler import Assignment, AssignmentsPart, StepAssignments
from dahliaarch_kernel.workload import TaskKey
from dahliaarch_platform.settings import Bounds
from dahliaarch_platform.store import CommitResult, CommitStatus, Item, Page, StoreRefusedError
from dahliaarch_platform.workers import OrderReply, OrderStatus

from ...metrics import Metrics
from ...records import (
    ASSIGNMENTS_EPOCH_KEY,
    assignments_key,
    OWNER_KEY,
    ROSTER_PREFIX,
)
from ...timing import StoreTiming
from .. import PoolOwner
from ..messages import JobCancelled, WorkerOver, WorkerSilent
from ..settings import OwnerSettings
from .test_takeover import (
    decode_job_record,
    EPOCH,
    kept_job,
    KeptStore,
    LAST,
    LONGEST_LEASE_S,
    NEW,
    roster,
    take_over,
    worker_entry,
    Workers,
)

RUN = (EPOCH - 10 << 20) + 1
TASK = TaskKey(LAST, 0, 0, 0)


def key_of(job_id):
    return assignments_key(AssignmentsPart(job_id, 0, 0, 0))


def assigned(worker_id):
    kept = StepAssignments((Assignment(0, RUN, worker_id, time.time() - 3.0),))
    return Item(key_of(LAST), encode(kept), 3)


def assigner(revision=4):
    return Item(ASSIGNMENTS_EPOCH_KEY, encode(EPOCH - 10), revision)


def silent_workers(*silent):
    workers = Workers()
    workers.silent_until_s = dict.fromkeys(silent, float('inf'))
    return workers


KEPT = (roster('w0'), worker_entry('w0'), worker_entry('w1'))


@pytest.mark.parametrize(
    ('items', 'starts'),
    [
        ([assigner()], [('w1', TASK)]),
        ([assigner(), assigned('w0')], []),
        ([assigner(), assigned('w1')], [('w1', TASK)]),
        ([assigner(), assigned('gone')], [('w1', TASK)]),
        ([assigned('w1')], []),
        ([assigner(1), assigned('w1')], []),
        ([assigner(), assigned('w1'), Item(key_of(NEW), b'\xc1', 3)], []),
    ],
    ids=[
        'assigned nowhere',
        'assigned to the silent worker',
        'assigned to one that lists nothing',
        'assigned to one that was taken off the roster',
        'by an owner that kept no assignments',
        'with a roster that such an owner kept later',
        'beside an assignment that can not be read',
    ],
)
def test_a_job_waits_for_a_silent_worker_only_if_it_may_run_there(items, starts):
    # All jobs of previous owners waited for every silent worker: up to 8 s beside an idle pool.
    workers = silent_workers('w0')
    store = KeptStore([kept_job(LAST, time.time()), *KEPT, *items])
    anyio.run(take_over, store, workers, lambda owner: workers.starts, LONGEST_LEASE_S - 1.0)
    assert workers.starts == starts


class ConditionalStore(KeptStore):
    """A store of several owners, which keeps revisions and conditions; and can refuse all writes."""

    def __init__(self, items):
        super().__init__(items)
        self.item_by_key = {item.key: item for item in items}
        self.revision = EPOCH + 1000
        self.refuses = False
        # What is assigned when a roster is written.
        self.assigned_at_roster = []

    @property
    def items(self):
        return list(self.item_by_key.values())

    @items.setter
    def items(self, items):
        self.item_by_key = {item.key: item for item in items}

    async def read_page(self, prefix, after='', *, timeout_s):
        return Page(tuple(item for item in self.items if item.key.startswith(prefix)), self.revision)

    async def commit(self, conditions, writes, removals=(), *, timeout_s):
        if self.refuses:
            raise StoreRefusedError('down')
        present = {row.key: self.item_by_key[row.key] for row in conditions if row.key in self.item_by_key}
        if any((present[row.key].revision if row.key in present else 0) != row.revision for row in conditions):
            return CommitResult(CommitStatus.CONDITION_FAILED, current=tuple(present.values()))
        self.revision += 1
        for write in writes:
            self.item_by_key[write.key] = Item(write.key, write.value, self.revision)
        for key in removals:
            self.item_by_key.pop(key, None)
        if any(write.key.startswith(ROSTER_PREFIX) for write in writes):
            self.assigned_at_roster.append(key_of(NEW) in self.item_by_key)
        return CommitResult(CommitStatus.DONE, self.revision)

    def claim(self, epoch):
        self.item_by_key[OWNER_KEY] = Item(OWNER_KEY, b'', epoch)


class NotingWorkers(Workers):
    """Workers that note what the store held when a start came."""

    def __init__(self, store):
        super().__init__()
        self.store = store
        self.held = []

    async def start(self, address, incarnation, order, **options):
        kept = self.store.item_by_key.get(key_of(order.key.job_id))
        runs = () if kept is None else decode(kept.value, StepAssignments, 'assignments').runs
        self.held.append([(each.worker_id, each.run) for each in runs] == [(incarnation, order.run)])
        self.held.append(any(key.startswith(ROSTER_PREFIX) for key in self.store.item_by_key))
        self.held.append(ASSIGNMENTS_EPOCH_KEY in self.store.item_by_key)
        return await super().start(address, incarnation, order, **options)

    async def stop(self, address, incarnation, key, run, fence, *, timeout_s):
        return OrderReply(OrderStatus.DONE, time.monotonic())


def owner_of(epoch, store, workers):
    settings = OwnerSettings(epoch, Bounds(max_hold_s=LONGEST_LEASE_S), StoreTiming(mean_retry_pause_s=0.02))
    return PoolOwner(settings, store, workers, tuple, Metrics())


async def until(holds, within_s):
    with anyio.move_on_after(within_s):
        while not holds():
            await anyio.sleep(0.01)


def play(scenario, items):
    """Run a scenario with an owner that has taken a pool over."""
    store = ConditionalStore(items)
    store.claim(EPOCH)
    workers = NotingWorkers(store)

    async def run():
        async with anyio.create_task_group() as tasks:
            owner = owner_of(EPOCH, store, workers)
            tasks.start_soon(owner.run)
            await until(lambda: owner.is_ready, 5.0)
            await scenario(owner, store, workers)
            tasks.cancel_scope.cancel()

    anyio.run(run)
    return store, workers


def test_a_start_is_sent_only_once_the_store_holds_its_assignment():
    async def scenario(owner, store, workers):
        owner.post(decode_job_record(kept_job(NEW, time.time())))
        await until(lambda: workers.starts, 2.0)

    _, workers = play(scenario, [worker_entry('w0')])
    assert workers.held == [True, True, True]


def test_no_start_is_sent_while_the_store_refuses_writes_and_each_is_once_it_takes_them():
    sent = []

    async def scenario(owner, store, workers):
        store.refuses = True
        owner.post(decode_job_record(kept_job(NEW, time.time())))
        await anyio.sleep(0.5)
        sent.append(len(workers.starts))
        store.refuses = False
        await until(lambda: workers.starts, 2.0)
        await anyio.sleep(0.1)
        sent.append(len(workers.starts))

    play(scenario, [worker_entry('w0')])
    assert sent == [0, 1]


def test_a_start_is_not_sent_once_its_job_was_cancelled_while_it_was_held():
    async def scenario(owner, store, workers):
        store.refuses = True
        owner.post(decode_job_record(kept_job(NEW, time.time())))
        await anyio.sleep(0.1)
        owner.post(JobCancelled(NEW))
        await anyio.sleep(0.1)
        store.refuses = False
        await until(lambda: owner.scheduler.job_by_id[NEW].is_end_saved, 2.0)
        await anyio.sleep(0.2)

    store, workers = play(scenario, [worker_entry('w0')])
    assert not workers.starts
    assert key_of(NEW) not in store.item_by_key


def test_an_owner_that_was_replaced_sends_no_start():
    # It started jobs that it was told of until it knew its successor, which could not know.
    async def scenario(owner, store, workers):
        store.claim(EPOCH + 1)
        owner.post(decode_job_record(kept_job(NEW, time.time())))
        await until(lambda: owner.is_deposed, 2.0)
        await anyio.sleep(0.1)

    _, workers = play(scenario, [worker_entry('w0')])
    assert not workers.starts


def test_the_assignments_of_a_job_are_removed_with_its_end():
    async def scenario(owner, store, workers):
        owner.post(decode_job_record(kept_job(NEW, time.time())))
        await until(lambda: workers.starts, 2.0)
        assert key_of(NEW) in store.item_by_key
        owner.post(JobCancelled(NEW))
        await until(lambda: key_of(NEW) not in store.item_by_key, 2.0)

    store, _ = play(scenario, [worker_entry('w0')])
    assert key_of(NEW) not in store.item_by_key


def test_a_worker_is_taken_off_the_roster_after_the_assignments_of_its_tasks():
    # Else a next owner finds a task assigned to a worker that nobody knows, and can not tell why.
    async def scenario(owner, store, workers):
        owner.post(decode_job_record(kept_job(NEW, time.time())))
        await until(lambda: workers.starts, 2.0)
        store.assigned_at_roster.clear()
        owner.post(WorkerOver('w0'))
        await until(lambda: store.assigned_at_roster, 2.0)

    store, _ = play(scenario, [worker_entry('w0')])
    assert store.assigned_at_roster == [False]


def test_a_worker_does_not_crash_under_a_start_that_is_held():
    # A task that was never sent to three workers that crashed would be given up for it.
    crashes = []

    async def scenario(owner, store, workers):
        store.refuses = True
        owner.post(decode_job_record(kept_job(NEW, time.time())))
        await anyio.sleep(0.1)
        owner.post(WorkerOver('w0'))
        await anyio.sleep(0.1)
        store.refuses = False
        await anyio.sleep(0.5)
        step = owner.scheduler.job_by_id[NEW].step_by_key[0, 0]
        crashes.append((step.crashes_by_index, step.pending))

    _, workers = play(scenario, [worker_entry('w0')])
    assert crashes == [({}, {0})]
    assert not workers.starts


def test_a_start_that_is_held_for_a_worker_that_falls_silent_goes_to_another():
    async def scenario(owner, store, workers):
        store.refuses = True
        owner.post(decode_job_record(kept_job(NEW, time.time())))
        await anyio.sleep(0.1)
        (run,) = owner.scheduler.job_by_id[NEW].runs()
        workers.silent_until_s[run.worker_id] = float('inf')
        owner.post(WorkerSilent(run.worker_id))
        await anyio.sleep(0.1)
        store.refuses = False
        await until(lambda: workers.starts, 2.0)
        assert [worker for worker, _ in workers.starts] == [{'w0': 'w1', 'w1': 'w0'}[run.worker_id]]

    play(scenario, [worker_entry('w0'), worker_entry('w1')])
