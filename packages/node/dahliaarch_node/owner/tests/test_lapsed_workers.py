"""Tests of workers whose leases ended without an answer, before a takeover or after it."""

import time

import anyio
import pytest

from dahliaarch_kernel.codec import decode
from dahliaarch_kernel.policies import compile_policy, SHIPPED_POLICIES
from dahliaarch_kernel.scheduler import Moment, SchedulerSettings, WorkerState
from dahliaarch_kernel.scheduler.departures import expire_leases
from dahliaarch_kernel.scheduler.state import SchedulerState
from dahliaarch_kernel.workload import Resources, StepSpec, TaskKey
from dahliaarch_platform.store import CommitResult, CommitStatus, StoreUnansweredError
from dahliaarch_platform.workers import WorkerUnansweredError, WorkerUnreachableError

from ...records import ROSTER_PREFIX, RosterEntry
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
    submit_if_ready,
    take_over,
    worker_entry_item,
)

TASK = TaskKey(INHERITED_JOB_ID, 0, 0, 0)
NEW_TASK = TaskKey(NEW_JOB_ID, 0, 0, 0)


class RecordingStore(InMemoryStore):
    """A store that records, per roster written, whether worker w0 is marked as lapsed, and that can stop answering."""

    def __init__(self, items, workers):
        super().__init__(items)
        self.workers = workers
        self.is_silent = False
        # Per roster: whether it marks w0 as lapsed, and the number of starts ordered until then.
        self.recorded_rosters = []

    async def commit(self, conditions, writes, removals=(), *, timeout_s):
        if self.is_silent:
            raise StoreUnansweredError('silent')
        for write in writes:
            if write.key.startswith(ROSTER_PREFIX):
                for entry in decode(write.value, list[RosterEntry], 'roster'):
                    if entry.profile.worker_id == 'w0':
                        self.recorded_rosters.append((entry.is_lapsed, len(self.workers.starts)))
        return CommitResult(CommitStatus.DONE, EPOCH + 1)


class SlowCommitStore(InMemoryStore):
    """A store whose writes take longer than the interval between two changes of the roster."""

    async def commit(self, conditions, writes, removals=(), *, timeout_s):
        await anyio.sleep(0.3)
        return CommitResult(CommitStatus.DONE, EPOCH + 1)


class UnresponsiveWorkers(InMemoryWorkers):
    """Workers of which one, w0, is unreachable or does not answer."""

    def __init__(self, failure):
        super().__init__()
        self.failure = failure

    async def survey(self, address, incarnation, *, timeout_s, **options):
        if incarnation != 'w0':
            return await super().survey(address, incarnation, **options)
        if self.failure is WorkerUnansweredError:
            await anyio.sleep(timeout_s)
        raise self.failure('silent')


@pytest.mark.parametrize('is_lapsed', [True, False])
def test_previous_jobs_wait_only_for_workers_that_may_run_them(is_lapsed):
    # Every job of the previous owner waited 8.2 s beside an idle pool although the worker had lapsed long before.
    workers = InMemoryWorkers()
    workers.silent_until_s['w0'] = float('inf')
    items = [
        job_item(INHERITED_JOB_ID, time.time()),
        worker_entry_item('w0'),
        worker_entry_item('w1'),
        roster_item('w0', is_lapsed=is_lapsed),
    ]
    anyio.run(take_over, InMemoryStore(items), workers, lambda owner: workers.starts, MAX_LEASE_S - 1.0)
    assert workers.starts == ([('w1', TASK)] if is_lapsed else [])


def test_a_lapsed_worker_gets_no_start_before_the_store_permits():
    # Otherwise the next owner would start the tasks of that worker elsewhere while they run there.
    workers = InMemoryWorkers()
    store = RecordingStore(
        [job_item(INHERITED_JOB_ID, time.time()), worker_entry_item('w0'), roster_item('w0', is_lapsed=True)], workers
    )
    store.is_silent = True
    starts_while_silent = []

    def condition(owner):
        if owner.is_ready and workers.surveys['w0'] > 1 and store.is_silent:
            starts_while_silent.append(len(workers.starts))
            store.is_silent = len(starts_while_silent) < 30
        return workers.starts

    anyio.run(take_over, store, workers, condition, 5.0)
    assert not any(starts_while_silent)
    assert workers.starts == [('w0', TASK)]
    assert store.recorded_rosters[-1] == (False, 0)


def test_a_worker_that_answers_after_its_lease_ended_returns():
    workers = InMemoryWorkers()
    store = RecordingStore([worker_entry_item('w0')], workers)
    update = decode_job_record(job_item(NEW_JOB_ID, time.time()))

    def condition(owner):
        worker = owner.scheduler.worker_by_id.get('w0')
        if worker is not None and worker.is_surveyed and 'w0' not in workers.silent_until_s:
            workers.silent_until_s['w0'] = time.monotonic() + 2.0 * MAX_LEASE_S
        if any(is_lapsed for is_lapsed, _ in store.recorded_rosters):
            workers.silent_until_s['w0'] = 0.0
            submit_if_ready(owner, update)
        return workers.starts

    anyio.run(take_over, store, workers, condition, 3.0 * MAX_LEASE_S)
    assert workers.starts == [('w0', NEW_TASK)]
    assert [is_lapsed for is_lapsed, _ in store.recorded_rosters] == [False, True, False]
    assert store.recorded_rosters[-1] == (False, 0)


def test_a_lapsed_worker_returns_although_the_roster_changes():
    # Starts were held until the stored roster equaled the current one, which never happens while it keeps changing.
    workers = InMemoryWorkers()
    store = SlowCommitStore([worker_entry_item('w0'), worker_entry_item('w1'), roster_item('w0', is_lapsed=True)])
    listed = decode_job_record(job_item(NEW_JOB_ID, time.time(), StepSpec(20, Resources(1000, 1000, 1), 20.0)))

    def condition(owner):
        submit_if_ready(owner, listed)
        changing = owner.scheduler.worker_by_id.get('w1')
        if changing is not None:
            memory_mb = 200_000 + int(time.monotonic() * 10) % 1000
            changing.profile = changing.profile._replace(capacity=Resources(64_000, memory_mb, 8))
        return any(worker == 'w0' for worker, _ in workers.starts)

    anyio.run(take_over, store, workers, condition, 3.0)
    assert any(worker == 'w0' for worker, _ in workers.starts)


@pytest.mark.parametrize('failure', [WorkerUnreachableError, WorkerUnansweredError])
def test_a_worker_stays_lapsed_over_quick_changes_of_the_owner(failure):
    # The first roster that a new owner wrote marked the worker as not lapsed, since it did not count as silent yet.
    workers = UnresponsiveWorkers(failure)
    store = RecordingStore(
        [worker_entry_item('w0'), worker_entry_item('w1'), roster_item('w0', is_lapsed=True)], workers
    )
    anyio.run(take_over, store, workers, lambda owner: False, 1.5)
    assert store.recorded_rosters
    assert all(is_lapsed for is_lapsed, _ in store.recorded_rosters)


def test_a_worker_is_not_lapsed_while_a_late_start_may_begin():
    now = Moment(100.0, 0.0)
    state = SchedulerState(SchedulerSettings(), 1, compile_policy(SHIPPED_POLICIES['first-come']))
    worker = WorkerState(decode(roster_item('w0', is_lapsed=False).value, list[RosterEntry], 'roster')[0].profile)
    state.worker_by_id['w0'] = worker
    worker.silent_since_s = now.steady_s
    worker.late_order_s = 12.0
    worker.lease.assume_until(99.0)
    worker.unanswered_starts[TASK] = 95.0
    expire_leases(state, now)
    assert not worker.is_lapsed
    expire_leases(state, Moment(108.0, 0.0))
    assert worker.is_lapsed
