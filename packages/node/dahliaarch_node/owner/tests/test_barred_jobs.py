"""Tests of jobs that are added to the store after their cancellation, and of cancellations without a job."""

import anyio

from dahliaarch_kernel.scheduler import Scheduler, SchedulerSettings
from dahliaarch_platform.store import Item

from ...records import cancel_key
from .test_recorder import EPOCH as RECORDER_EPOCH
from .test_recorder import JOB, LateStore, make_recorder
from .test_takeover import EPOCH, InMemoryStore, InMemoryWorkers, NEW_JOB_ID, take_over, worker_entry_item
from .test_two_owners import make_job_listed


def test_a_job_that_is_added_after_its_cancellation_does_not_start():
    """An instance of an earlier version writes jobs without the condition that they are not cancelled."""
    workers = InMemoryWorkers()
    store = InMemoryStore([worker_entry_item('w0'), Item(cancel_key(NEW_JOB_ID), b'', 1)])
    posted = []

    def add_job(owner):
        if owner.is_ready and not posted:
            posted.append(make_job_listed(EPOCH))
            owner.post(posted[0])
        return False

    owner = anyio.run(take_over, store, workers, add_job, 1.0)
    assert posted
    assert owner.scheduler.job_by_id[NEW_JOB_ID].has_ended
    assert not workers.starts


def test_the_cancellation_of_a_job_that_was_never_added_is_removed_after_a_time():
    removed = []

    class Store(LateStore):
        async def commit(self, conditions, writes, removals=(), *, timeout_s):
            removed.extend(removals)
            return await super().commit(conditions, writes, removals, timeout_s=timeout_s)

    recorder = make_recorder(Store(), Scheduler(SchedulerSettings(), RECORDER_EPOCH), [])
    recorder._barred.add(JOB, 50.0)
    anyio.run(recorder.remove_ended, 40.0)
    assert not removed
    anyio.run(recorder.remove_ended, 60.0)
    assert removed == [cancel_key(JOB)]
    assert JOB not in recorder._barred
