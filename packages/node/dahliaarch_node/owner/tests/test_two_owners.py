"""Tests of two concurrent owners, the older of which does not know of its successor yet.

A task ran on two workers at once. The store rejected the requests of the owner and
served the other instances, one of which took the pool over. An instance that did not
know of the takeover accepted a job 15 ms before the old owner learned of it, and
forwarded the job to the old owner, which started it. The new owner assumed that it
alone knew of the job, since the revision of its acceptance was above its own epoch
(4790 and 4783), and started it at once, 0.36 s after the first run, which ran on a
worker that did not answer the new owner.
"""

import time

import anyio

from dahliaarch_kernel.codec import decode, encode
from dahliaarch_kernel.scheduler.events import ListedRun
from dahliaarch_kernel.workload import JobSpec, TaskKey
from dahliaarch_platform.settings import Bounds
from dahliaarch_platform.workers import OrderReply, OrderStatus, Survey, WorkerUnreachableError

from ...metrics import Metrics
from ...records import JobRecord
from ...timing import StoreTiming
from .. import PoolOwner
from ..messages import JobListed
from ..registry import fence_of
from ..settings import OwnerSettings
from .sessions import InMemorySessions
from .test_takeover import (
    EPOCH,
    InMemoryStore,
    MAX_LEASE_S,
    NEW_JOB_ID,
    QUEUE,
    roster_item,
    STEP,
    worker_entry_item,
)

SUCCESSOR = EPOCH + 100
JOB = TaskKey(NEW_JOB_ID, 0, 0, 0)


class PartitionedWorkers(InMemorySessions):
    """Two workers, the first of which is unreachable for the successor."""

    def __init__(self):
        self.starts = []
        self.running_by_id = {'w0': (), 'w1': ()}

    async def survey(self, address, incarnation, *, fence, wait_s, **options):
        self._check_reachable(incarnation, fence)
        await anyio.sleep(min(wait_s, 0.05))
        return Survey(time.monotonic(), self.running_by_id[incarnation], ())

    async def start(self, address, incarnation, order, *, fence, timeout_s):
        self._check_reachable(incarnation, fence)
        self.starts.append((incarnation, order.key, fence))
        self.running_by_id[incarnation] += (ListedRun(order.key, order.run, '', 1.0),)
        return OrderReply(OrderStatus.DONE, time.monotonic())

    async def stop(self, address, incarnation, key, run, fence, *, timeout_s):
        self._check_reachable(incarnation, fence)
        return OrderReply(OrderStatus.DONE, time.monotonic())

    @staticmethod
    def _check_reachable(incarnation, fence):
        if incarnation == 'w0' and fence >= fence_of(SUCCESSOR, 0):
            raise WorkerUnreachableError('cut off')


def make_owner(epoch, store, workers):
    settings = OwnerSettings(epoch, Bounds(max_hold_s=MAX_LEASE_S), StoreTiming())
    return PoolOwner(settings, store, workers, tuple, Metrics())


def make_job_listed(owner_epoch):
    """Return a job accepted after the takeover by an instance that knew the owner with the given epoch."""
    spec = JobSpec(NEW_JOB_ID, 'acc', QUEUE.name, '20', (STEP,), accepted_s=time.time())
    return JobListed(spec, QUEUE, SUCCESSOR + 7, owner_epoch)


async def wait_ready(owner):
    with anyio.fail_after(5):
        while not owner.is_ready:
            await anyio.sleep(0.01)


def starts_with_two_owners(owner_epoch, within_s):
    """Return the starts of a job that both owners are informed of."""
    workers = PartitionedWorkers()

    async def run():
        old = make_owner(EPOCH, InMemoryStore([worker_entry_item('w0')]), workers)
        # The old owner persisted a roster but no assignments that its successor could read.
        new = make_owner(
            SUCCESSOR, InMemoryStore([worker_entry_item('w0'), worker_entry_item('w1'), roster_item('w0')]), workers
        )
        async with anyio.create_task_group() as tasks:
            for owner in (old, new):
                tasks.start_soon(owner.run)
                await wait_ready(owner)
            for owner in (old, new):
                owner.post(make_job_listed(owner_epoch))
            await anyio.sleep(within_s)
            tasks.cancel_scope.cancel()

    anyio.run(run)
    return workers.starts


def test_a_job_of_the_previous_owner_waits_for_possible_runs():
    assert starts_with_two_owners(EPOCH, MAX_LEASE_S - 1.0) == [('w0', JOB, fence_of(EPOCH, 1))]


def test_a_job_without_a_known_owner_waits_for_possible_runs():
    """The old owner may have learned of it through its own watch on the store."""
    assert len(starts_with_two_owners(0, MAX_LEASE_S - 1.0)) == 1


def test_an_owner_does_not_start_a_job_of_its_successor():
    assert starts_with_two_owners(SUCCESSOR, 0.5) == [('w1', JOB, fence_of(SUCCESSOR, 1))]


def test_a_record_without_an_owner_epoch_decodes_with_epoch_zero():
    spec = make_job_listed(0).spec
    assert decode(encode((spec, QUEUE)), JobRecord, 'job record') == JobRecord(spec, QUEUE, 0)
