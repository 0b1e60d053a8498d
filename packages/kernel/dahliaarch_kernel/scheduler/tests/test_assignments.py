"""Tests that a new owner reads the saved assignments, and holds back only tasks assigned to workers that are silent."""

from collections import Counter

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import invariant, rule, RuleBasedStateMachine

from dahliaarch_kernel.scheduler import EndKind, part_of, Scheduler, SchedulerSettings, WorkerProfile
from dahliaarch_kernel.workload import TaskKey

from .late_workers import MAX_LEASE_S, Order
from .pool import ORDINARY, task, URGENT, WORKER
from .recorded_owners import LeasedWorker, StoreBackedOwners

A, B = 'a' * 16, 'b' * 16


def start_then_lose_contact(count=1, **fields):
    """Start tasks under one owner, silence the worker of the first task, and let the next owner take over.

    Return the owners and the starts.
    """
    owners = StoreBackedOwners(2)
    owners.submit(A, [task(count, accelerators=8, **fields)])
    starts = owners.decide()
    owners.silent.add(starts[0].worker_id)
    owners.take_over()
    return owners, starts


def test_a_job_that_never_began_does_not_wait_for_silent_workers():
    owners = StoreBackedOwners(2)
    owners.silent.add('w0')
    owners.submit(A, [task()])
    owners.take_over()
    assert [start.worker_id for start in owners.decide()] == ['w1']


def test_a_task_waits_for_the_lease_of_its_silent_worker():
    owners, (start,) = start_then_lose_contact()
    owners.submit(B, [task()])
    assert [each.key.job_id for each in owners.decide()] == [B]
    owners.workers['w1'].end(TaskKey(B, 0, 0, 0), EndKind.DONE)
    owners.pass_time(MAX_LEASE_S - 0.1)
    assert not owners.decide()
    owners.pass_time(0.2)
    assert [each.key for each in owners.decide()] == [start.key]


def test_a_task_that_its_worker_does_not_list_does_not_wait():
    owners = StoreBackedOwners(2)
    owners.submit(A, [task()])
    (start,) = owners.decide('late')
    owners.take_over()
    assert [each.key for each in owners.decide()] == [start.key]
    # The start order of the previous owner arrives only now.
    owners.workers[start.worker_id].start(Order(start.worker_id, start.key, start.run))
    assert Counter(key for _, key in owners.running()) == {start.key: 1}


def test_other_tasks_of_its_step_do_not_wait():
    owners, (first, second) = start_then_lose_contact(count=2)
    owners.workers[second.worker_id].end(second.key, EndKind.LAPSED)
    owners.pass_time(0.1)
    assert [each.key for each in owners.decide()] == [second.key]
    assert first.key in owners.workers[first.worker_id].run_by_key


def test_a_run_that_its_worker_lists_goes_on():
    owners, (start,) = start_then_lose_contact()
    owners.silent.clear()
    owners.pass_time(1.0)
    assert not owners.decide()
    assert owners.scheduler.worker_by_id[start.worker_id].run_by_key[start.key].is_confirmed


def test_an_end_that_comes_after_the_takeover_counts():
    owners, (start,) = start_then_lose_contact()
    owners.workers[start.worker_id].end(start.key, EndKind.DONE)
    owners.silent.clear()
    owners.pass_time(1.0)
    assert owners.scheduler.job_by_id[A].phase == 'succeeded'


@pytest.mark.parametrize('is_over', [True, False])
def test_a_crash_that_no_owner_saw_counts_against_assigned_tasks(is_over):
    owners, (start,) = start_then_lose_contact()
    if is_over:
        owners.scheduler.worker_over(start.worker_id, owners.now)
    crashes = owners.scheduler.job_by_id[A].step_by_key[0, 0].crashes_by_index
    assert [crash.run for crash in crashes.get(0, ())] == [start.run] * is_over


def test_the_assignment_of_an_ended_run_is_removed():
    owners = StoreBackedOwners(1)
    owners.submit(A, [task()])
    (start,) = owners.decide()
    assert owners.assigned_runs(A)
    owners.workers[start.worker_id].end(start.key, EndKind.LAPSED)
    owners.survey(start.worker_id)
    owners.save()
    assert not owners.assigned_runs(A)


def test_a_change_in_a_large_step_saves_one_part_of_it():
    owners = StoreBackedOwners(100)
    owners.submit(A, [task(700)])
    starts = owners.decide()
    assert len(owners.assigned_runs(A)) == 700
    assert max(len(each.runs) for each in owners.assignments_of(A).values()) <= 256
    owners.workers[starts[0].worker_id].end(starts[0].key, EndKind.LAPSED)
    owners.survey(starts[0].worker_id)
    owners.scheduler.decide(owners.now)
    assert owners.scheduler.assignments.take_unsaved() == {part_of(starts[0].key)}


def test_a_run_list_awaited_by_the_previous_owner_is_awaited():
    owners = StoreBackedOwners(2)
    owners.submit(A, [task()])
    (start,) = owners.decide('late')
    # The worker has restarted, and its new incarnation may execute the start that was sent to the previous one.
    successor = f'{start.worker_id}+'
    former = owners.scheduler.worker_by_id[start.worker_id].profile
    owners.scheduler.worker_replaced(start.worker_id, successor, owners.now_s + 20.0)
    owners.scheduler.worker_over(start.worker_id, owners.now)
    owners.scheduler.expect_worker(former._replace(worker_id=successor), owners.now)
    owners.save()
    owners.workers[successor] = LeasedWorker(successor)
    del owners.workers[start.worker_id]
    owners.silent.add(successor)
    owners.epoch += 3
    owners.scheduler = Scheduler(SchedulerSettings(), owners.epoch)
    for worker_id in owners.workers:
        owners.scheduler.update_worker(WorkerProfile(worker_id, 'svc', 'z', WORKER, ('a', 'r0')), owners.now)
        owners.scheduler.worker_by_id[worker_id].late_order_s = 20.0
    spec, queue = owners.spec_by_id[A]
    owners.scheduler.add_job(spec, queue, owners.now, assignments=owners.assignments_of(A))
    owners.pass_time(1.0)
    assert not owners.decide()
    owners.pass_time(20.0)
    assert [each.key for each in owners.decide()] == [TaskKey(A, 0, 0, 0)]


class TakeoverHistories(RuleBasedStateMachine):
    """Random histories of jobs, silent workers, late starts, ends and takeovers."""

    def __init__(self):
        super().__init__()
        self.owners = StoreBackedOwners(3)
        self.jobs = 0

    @rule(
        queue=st.sampled_from((URGENT, ORDINARY)),
        count=st.integers(1, 5),
        accelerators=st.sampled_from((1, 4, 8)),
        gang=st.booleans(),
    )
    def submit(self, queue, count, accelerators, gang):
        self.jobs += 1
        self.owners.submit(f'{self.jobs:016x}', [task(count, accelerators, gang=gang)], queue)
        self.owners.decide()

    @rule(delivery=st.sampled_from(('answered', 'answered', 'unanswered', 'late', 'owner ends')))
    def decide(self, delivery):
        self.owners.decide(delivery)

    @rule(seconds=st.floats(0.0, 4.0))
    def wait(self, seconds):
        self.owners.pass_time(seconds)

    @rule(silent=st.sets(st.sampled_from(('w0', 'w1', 'w2')), max_size=2))
    def change_owner(self, silent):
        self.owners.silent |= silent
        self.owners.take_over()

    @rule(number=st.integers(0, 2))
    def mark_silent(self, number):
        self.owners.silent.add(f'w{number}')
        self.owners.scheduler.worker_silent(f'w{number}', self.owners.now)

    @rule(number=st.integers(0, 2))
    def answer(self, number):
        self.owners.silent.discard(f'w{number}')
        self.owners.survey(f'w{number}')

    @rule(choice=st.randoms(use_true_random=False))
    def execute_delayed_start(self, choice):
        if self.owners.delayed_starts:
            order = choice.choice(self.owners.delayed_starts)
            self.owners.delayed_starts.remove(order)
            self.owners.workers[order.worker_id].start(order)

    @rule(choice=st.randoms(use_true_random=False))
    def deliver_stop(self, choice):
        if self.owners.pending_stops:
            self.owners.deliver_stop(choice.choice(self.owners.pending_stops))

    @rule(choice=st.randoms(use_true_random=False), kind=st.sampled_from((EndKind.DONE, EndKind.FAILED)))
    def end(self, choice, kind):
        running = sorted(self.owners.running())
        if not running:
            return
        worker_id, key = choice.choice(running)
        run = self.owners.workers[worker_id].run_by_key[key]
        is_gang = self.owners.spec_by_id[key.job_id][0].steps[key.step].gang
        for worker in self.owners.workers.values():
            for each, number in tuple(worker.run_by_key.items()):
                if each == key or (is_gang and each[:3] == key[:3] and number == run):
                    worker.end(each, kind)

    @invariant()
    def no_task_runs_twice_at_a_time(self):
        assert not [key for key, count in Counter(key for _, key in self.owners.running()).items() if count > 1]

    @invariant()
    def no_task_runs_again_after_its_success_was_recorded(self):
        assert not [key for _, key in self.owners.running() if key in self.owners.recorded_successes]


TakeoverHistories.TestCase.settings = settings(max_examples=80, stateful_step_count=40, deadline=None)
TestTakeoverHistories = TakeoverHistories.TestCase
