"""Tests that assignments are stored before starts are sent, and read by the next owner."""

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
    INHERITED_JOB_ID,
    InMemoryStore,
    InMemoryWorkers,
    job_item,
    MAX_LEASE_S,
    NEW_JOB_ID,
    roster_item,
    take_over,
    worker_entry_item,
)

RUN = (EPOCH - 10 << 20) + 1
TASK = TaskKey(INHERITED_JOB_ID, 0, 0, 0)


def assignments_key_of(job_id):
    return assignments_key(AssignmentsPart(job_id, 0, 0, 0))


def assignments_item(worker_id):
    stored = StepAssignments((Assignment(0, RUN, worker_id, time.time() - 3.0),))
    return Item(assignments_key_of(INHERITED_JOB_ID), encode(stored), 3)


def assigner_item(revision=4):
    return Item(ASSIGNMENTS_EPOCH_KEY, encode(EPOCH - 10), revision)


def silent_workers(*silent_ids):
    workers = InMemoryWorkers()
    workers.silent_until_s = dict.fromkeys(silent_ids, float('inf'))
    return workers


WORKER_ITEMS = (roster_item('w0'), worker_entry_item('w0'), worker_entry_item('w1'))


@pytest.mark.parametrize(
    ('items', 'starts'),
    [
        ([assigner_item()], [('w1', TASK)]),
        ([assigner_item(), assignments_item('w0')], []),
        ([assigner_item(), assignments_item('w1')], [('w1', TASK)]),
        ([assigner_item(), assignments_item('gone')], [('w1', TASK)]),
        ([assignments_item('w1')], []),
        ([assigner_item(1), assignments_item('w1')], []),
        ([assigner_item(), assignments_item('w1'), Item(assignments_key_of(NEW_JOB_ID), b'\xc1', 3)], []),
    ],
    ids=[
        'not assigned',
        'assigned to the silent worker',
        'assigned to a worker that lists no runs',
        'assigned to a worker that was removed from the roster',
        'assigned by an owner that stores no assignments',
        'roster stored later by an owner that stores no assignments',
        'with an unreadable assignment of another job',
    ],
)
def test_a_job_waits_only_for_silent_workers_that_may_run_it(items, starts):
    # All jobs of previous owners waited for every silent worker, for up to 8 s while the pool was idle.
    workers = silent_workers('w0')
    store = InMemoryStore([job_item(INHERITED_JOB_ID, time.time()), *WORKER_ITEMS, *items])
    anyio.run(take_over, store, workers, lambda owner: workers.starts, MAX_LEASE_S - 1.0)
    assert workers.starts == starts


def test_an_owner_from_outside_the_electorate_waits_for_the_work_of_silent_workers():
    """Guards against a task that runs twice: the owner before may still renew the leases of the silent worker."""
    items = [job_item(INHERITED_JOB_ID, time.time()), *WORKER_ITEMS, assigner_item(), assignments_item('w0')]
    workers = silent_workers('w0')
    bounds = Bounds(max_hold_s=0.5)

    async def run(predecessors_end_s):
        settings = OwnerSettings(EPOCH, bounds, StoreTiming(), predecessors_end_s=predecessors_end_s)
        owner = PoolOwner(settings, InMemoryStore(items), workers, tuple, Metrics())
        with anyio.move_on_after(2.0):
            await owner.run()

    anyio.run(run, 60.0)
    assert not workers.starts
    anyio.run(run, 0.5)
    assert workers.starts == [('w1', TASK)]


class ConditionalStore(InMemoryStore):
    """A store that tracks revisions, checks conditions and can refuse all writes."""

    def __init__(self, items):
        super().__init__(items)
        self.item_by_key = {item.key: item for item in items}
        self.revision = EPOCH + 1000
        self.refuses_writes = False
        # For each write of the roster, whether the job NEW_JOB_ID has stored assignments then.
        self.has_assignments_at_roster_write = []

    @property
    def items(self):
        return list(self.item_by_key.values())

    @items.setter
    def items(self, items):
        self.item_by_key = {item.key: item for item in items}

    async def read_page(self, prefix, after='', *, timeout_s):
        return Page(tuple(item for item in self.items if item.key.startswith(prefix)), self.revision)

    async def commit(self, conditions, writes, removals=(), *, timeout_s):
        if self.refuses_writes:
            raise StoreRefusedError('503')
        current_by_key = {
            condition.key: self.item_by_key[condition.key]
            for condition in conditions
            if condition.key in self.item_by_key
        }
        if any(
            (current_by_key[condition.key].revision if condition.key in current_by_key else 0) != condition.revision
            for condition in conditions
        ):
            return CommitResult(CommitStatus.CONDITION_FAILED, current=tuple(current_by_key.values()))
        self.revision += 1
        for write in writes:
            self.item_by_key[write.key] = Item(write.key, write.value, self.revision)
        for key in removals:
            self.item_by_key.pop(key, None)
        if any(write.key.startswith(ROSTER_PREFIX) for write in writes):
            self.has_assignments_at_roster_write.append(assignments_key_of(NEW_JOB_ID) in self.item_by_key)
        return CommitResult(CommitStatus.DONE, self.revision)

    def claim(self, epoch):
        self.item_by_key[OWNER_KEY] = Item(OWNER_KEY, b'', epoch)


class RecordingWorkers(InMemoryWorkers):
    """Workers that record whether the assignment, a roster and the assigner were stored when a start arrived."""

    def __init__(self, store):
        super().__init__()
        self.store = store
        self.checks_at_start = []

    async def start(self, address, incarnation, order, **options):
        stored = self.store.item_by_key.get(assignments_key_of(order.key.job_id))
        runs = () if stored is None else decode(stored.value, StepAssignments, 'assignments').runs
        self.checks_at_start.append([(each.worker_id, each.run) for each in runs] == [(incarnation, order.run)])
        self.checks_at_start.append(any(key.startswith(ROSTER_PREFIX) for key in self.store.item_by_key))
        self.checks_at_start.append(ASSIGNMENTS_EPOCH_KEY in self.store.item_by_key)
        return await super().start(address, incarnation, order, **options)

    async def stop(self, address, incarnation, key, run, fence, *, timeout_s):
        return OrderReply(OrderStatus.DONE, time.monotonic())


def make_owner(epoch, store, workers):
    settings = OwnerSettings(epoch, Bounds(max_hold_s=MAX_LEASE_S), StoreTiming(mean_retry_pause_s=0.02))
    return PoolOwner(settings, store, workers, tuple, Metrics())


async def wait_until(condition, within_s):
    with anyio.move_on_after(within_s):
        while not condition():
            await anyio.sleep(0.01)


def run_scenario(scenario, items):
    """Run a scenario with an owner that has completed its takeover."""
    store = ConditionalStore(items)
    store.claim(EPOCH)
    workers = RecordingWorkers(store)

    async def run():
        async with anyio.create_task_group() as tasks:
            owner = make_owner(EPOCH, store, workers)
            tasks.start_soon(owner.run)
            await wait_until(lambda: owner.is_ready, 5.0)
            await scenario(owner, store, workers)
            tasks.cancel_scope.cancel()

    anyio.run(run)
    return store, workers


def test_a_start_is_sent_once_its_assignment_is_stored():
    async def scenario(owner, store, workers):
        owner.post(decode_job_record(job_item(NEW_JOB_ID, time.time())))
        await wait_until(lambda: workers.starts, 2.0)

    _, workers = run_scenario(scenario, [worker_entry_item('w0')])
    assert workers.checks_at_start == [True, True, True]


def test_starts_are_held_while_the_store_refuses_writes():
    start_counts = []

    async def scenario(owner, store, workers):
        store.refuses_writes = True
        owner.post(decode_job_record(job_item(NEW_JOB_ID, time.time())))
        await anyio.sleep(0.5)
        start_counts.append(len(workers.starts))
        store.refuses_writes = False
        await wait_until(lambda: workers.starts, 2.0)
        await anyio.sleep(0.1)
        start_counts.append(len(workers.starts))

    run_scenario(scenario, [worker_entry_item('w0')])
    assert start_counts == [0, 1]


def test_a_held_start_is_not_sent_once_its_job_is_cancelled():
    async def scenario(owner, store, workers):
        store.refuses_writes = True
        owner.post(decode_job_record(job_item(NEW_JOB_ID, time.time())))
        await anyio.sleep(0.1)
        owner.post(JobCancelled(NEW_JOB_ID))
        await anyio.sleep(0.1)
        store.refuses_writes = False
        await wait_until(lambda: owner.scheduler.job_by_id[NEW_JOB_ID].is_end_saved, 2.0)
        await anyio.sleep(0.2)

    store, workers = run_scenario(scenario, [worker_entry_item('w0')])
    assert not workers.starts
    assert assignments_key_of(NEW_JOB_ID) not in store.item_by_key


def test_an_owner_that_was_replaced_sends_no_start():
    # An owner continued to start new jobs until it knew its successor, which could not know of these starts.
    async def scenario(owner, store, workers):
        store.claim(EPOCH + 1)
        owner.post(decode_job_record(job_item(NEW_JOB_ID, time.time())))
        await wait_until(lambda: owner.is_deposed, 2.0)
        await anyio.sleep(0.1)

    _, workers = run_scenario(scenario, [worker_entry_item('w0')])
    assert not workers.starts


def test_the_assignments_of_a_job_are_removed_with_its_end():
    async def scenario(owner, store, workers):
        owner.post(decode_job_record(job_item(NEW_JOB_ID, time.time())))
        await wait_until(lambda: workers.starts, 2.0)
        assert assignments_key_of(NEW_JOB_ID) in store.item_by_key
        owner.post(JobCancelled(NEW_JOB_ID))
        await wait_until(lambda: assignments_key_of(NEW_JOB_ID) not in store.item_by_key, 2.0)

    store, _ = run_scenario(scenario, [worker_entry_item('w0')])
    assert assignments_key_of(NEW_JOB_ID) not in store.item_by_key


def test_a_worker_leaves_the_roster_after_its_assignments():
    # Otherwise the next owner finds a task assigned to an unknown worker and cannot tell the reason.
    async def scenario(owner, store, workers):
        owner.post(decode_job_record(job_item(NEW_JOB_ID, time.time())))
        await wait_until(lambda: workers.starts, 2.0)
        store.has_assignments_at_roster_write.clear()
        owner.post(WorkerOver('w0'))
        await wait_until(lambda: store.has_assignments_at_roster_write, 2.0)

    store, _ = run_scenario(scenario, [worker_entry_item('w0')])
    assert store.has_assignments_at_roster_write == [False]


def test_no_crash_is_counted_for_a_held_start():
    # A task would be given up if three workers crashed to which its start had not even been sent.
    crashes = []

    async def scenario(owner, store, workers):
        store.refuses_writes = True
        owner.post(decode_job_record(job_item(NEW_JOB_ID, time.time())))
        await anyio.sleep(0.1)
        owner.post(WorkerOver('w0'))
        await anyio.sleep(0.1)
        store.refuses_writes = False
        await anyio.sleep(0.5)
        step = owner.scheduler.job_by_id[NEW_JOB_ID].step_by_key[0, 0]
        crashes.append((step.crashes_by_index, step.pending))

    _, workers = run_scenario(scenario, [worker_entry_item('w0')])
    assert crashes == [({}, {0})]
    assert not workers.starts


def test_a_held_start_leaves_a_worker_that_falls_silent():
    async def scenario(owner, store, workers):
        store.refuses_writes = True
        owner.post(decode_job_record(job_item(NEW_JOB_ID, time.time())))
        await anyio.sleep(0.1)
        (run,) = owner.scheduler.job_by_id[NEW_JOB_ID].runs()
        workers.silent_until_s[run.worker_id] = float('inf')
        owner.post(WorkerSilent(run.worker_id))
        await anyio.sleep(0.1)
        store.refuses_writes = False
        await wait_until(lambda: workers.starts, 2.0)
        assert [worker for worker, _ in workers.starts] == [{'w0': 'w1', 'w1': 'w0'}[run.worker_id]]

    run_scenario(scenario, [worker_entry_item('w0'), worker_entry_item('w1')])
