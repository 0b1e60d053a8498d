"""A run of a cancelled job is found by the next survey and stopped, however it was started."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import rule, RuleBasedStateMachine

from dahliaarch_kernel.scheduler import EndKind

from .late_workers import OwnerSimulation
from .pool import ORDINARY, task, URGENT

A = 'a' * 16
WORKERS = 4
WORKER_IDS = st.sampled_from([f'w{number}' for number in range(WORKERS)])
STEPS = st.builds(task, count=st.integers(1, 6), accelerators=st.sampled_from((1, 4, 8)), gang=st.booleans())
ENDS = st.sampled_from((EndKind.DONE, EndKind.FAILED, EndKind.LAPSED))


def submit_with_late_start(succession):
    """Submit a job of one task and return its start, which is neither acknowledged nor executed yet."""
    succession.submit(A, [task()], ORDINARY)
    succession.decide(0.0, is_answered=False, is_delayed=True)
    return succession.delayed_starts[0]


def find_and_stop(succession):
    """Survey each worker, decide once and deliver the stops that are ordered."""
    for worker_id in succession.worker_by_id:
        succession.list_worker(worker_id)
        succession.survey(worker_id)
    succession.decide(0.0, is_answered=True, is_delayed=False)
    for order in tuple(succession.pending_stops):
        succession.deliver_stop(order, is_answered=True)


def test_a_start_that_is_executed_after_its_job_was_cancelled_is_stopped():
    succession = OwnerSimulation(WORKERS)
    order = submit_with_late_start(succession)
    succession.cancel(A)
    succession.execute_delayed_start(order)
    find_and_stop(succession)
    assert not succession.runs_to_stop()


def test_a_start_that_is_executed_after_its_stop_was_acknowledged_is_refused():
    succession = OwnerSimulation(WORKERS)
    order = submit_with_late_start(succession)
    succession.cancel(A)
    succession.decide(0.1, is_answered=True, is_delayed=False)
    succession.deliver_stop(order, is_answered=True)
    succession.execute_delayed_start(order)
    assert not succession.runs_to_stop()


@pytest.mark.parametrize('is_removed', [False, True])
@pytest.mark.parametrize('has_reported', [False, True])
@pytest.mark.parametrize('is_listed', [False, True])
def test_a_late_start_of_a_previous_owner_is_stopped_by_the_next_owner(is_removed, has_reported, is_listed):
    """Also if the next owner does not know the job, or the worker is listed only later."""
    succession = OwnerSimulation(WORKERS)
    order = submit_with_late_start(succession)
    succession.cancel(A)
    if is_removed:
        succession.remove(A)
    worker = order.worker_id
    succession.take_over(
        silent_worker_ids=() if has_reported else (worker,), unlisted_worker_ids=() if is_listed else (worker,)
    )
    succession.execute_delayed_start(order)
    assert succession.runs_to_stop()
    find_and_stop(succession)
    assert not succession.runs_to_stop()


def test_a_late_start_that_was_adopted_is_stopped_once_its_job_is_cancelled():
    succession = OwnerSimulation(WORKERS)
    order = submit_with_late_start(succession)
    succession.take_over(silent_worker_ids=(), unlisted_worker_ids=())
    succession.execute_delayed_start(order)
    succession.survey(order.worker_id)
    succession.cancel(A)
    find_and_stop(succession)
    assert not succession.runs_to_stop()


class LateStarts(RuleBasedStateMachine):
    """Random jobs, cancellations, late orders, silences and owners."""

    def __init__(self):
        super().__init__()
        self.succession = OwnerSimulation(WORKERS)
        self.jobs = 0

    @rule(
        queue=st.sampled_from((URGENT, ORDINARY)),
        steps=st.lists(STEPS, min_size=1, max_size=2),
        is_answered=st.booleans(),
        is_delayed=st.booleans(),
    )
    def submit(self, queue, steps, is_answered, is_delayed):
        self.jobs += 1
        self.succession.submit(f'{self.jobs:016x}', steps, queue)
        self.succession.decide(0.0, is_answered, is_delayed)

    @rule(seconds=st.floats(0.0, 12.0), is_answered=st.booleans(), is_delayed=st.booleans())
    def wait(self, seconds, is_answered, is_delayed):
        self.succession.decide(seconds, is_answered, is_delayed)

    @rule(choice=st.randoms(use_true_random=False))
    def execute_delayed_start(self, choice):
        if self.succession.delayed_starts:
            self.succession.execute_delayed_start(choice.choice(self.succession.delayed_starts))

    @rule(choice=st.randoms(use_true_random=False), is_answered=st.booleans())
    def deliver_stop(self, choice, is_answered):
        if self.succession.pending_stops:
            self.succession.deliver_stop(choice.choice(self.succession.pending_stops), is_answered)

    @rule(choice=st.randoms(use_true_random=False), kind=ENDS)
    def end(self, choice, kind):
        if self.succession.running():
            self.succession.end(choice.choice(sorted(self.succession.running())), kind)

    @rule(worker_id=WORKER_IDS)
    def survey(self, worker_id):
        self.succession.survey(worker_id)

    @rule(worker_id=WORKER_IDS)
    def mark_silent(self, worker_id):
        self.succession.mark_silent(worker_id)

    @rule(choice=st.randoms(use_true_random=False))
    def cancel(self, choice):
        if self.succession.job_by_id:
            self.succession.cancel(choice.choice(sorted(self.succession.job_by_id)))

    @rule(choice=st.randoms(use_true_random=False))
    def remove(self, choice):
        removable = self.succession.cancelled & self.succession.job_by_id.keys()
        if removable:
            self.succession.remove(choice.choice(sorted(removable)))

    @rule(silent_worker_ids=st.sets(WORKER_IDS), unlisted_worker_ids=st.sets(WORKER_IDS))
    def take_over(self, silent_worker_ids, unlisted_worker_ids):
        self.succession.take_over(silent_worker_ids, unlisted_worker_ids)

    @rule()
    def nothing_unwanted_outlasts_a_survey(self):
        for order in tuple(self.succession.delayed_starts):
            self.succession.execute_delayed_start(order)
        find_and_stop(self.succession)
        assert not self.succession.runs_to_stop()

    def teardown(self):
        self.nothing_unwanted_outlasts_a_survey()


LateStarts.TestCase.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)
TestLateStarts = LateStarts.TestCase
