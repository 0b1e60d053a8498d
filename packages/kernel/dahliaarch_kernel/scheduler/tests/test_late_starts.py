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


def submit_with_delayed_start(simulation):
    """Submit a job of one task and return its start, which is neither acknowledged nor executed yet."""
    simulation.submit(A, [task()], ORDINARY)
    simulation.decide(0.0, is_answered=False, is_delayed=True)
    return simulation.delayed_starts[0]


def survey_and_stop(simulation):
    """Survey each worker, decide once and deliver the stops that are ordered."""
    for worker_id in simulation.worker_by_id:
        simulation.list_worker(worker_id)
        simulation.survey(worker_id)
    simulation.decide(0.0, is_answered=True, is_delayed=False)
    for order in tuple(simulation.pending_stops):
        simulation.deliver_stop(order, is_answered=True)


def test_a_late_start_of_a_cancelled_job_is_stopped():
    simulation = OwnerSimulation(WORKERS)
    order = submit_with_delayed_start(simulation)
    simulation.cancel(A)
    simulation.execute_delayed_start(order)
    survey_and_stop(simulation)
    assert not simulation.runs_to_stop()


def test_a_start_after_its_acknowledged_stop_is_refused():
    simulation = OwnerSimulation(WORKERS)
    order = submit_with_delayed_start(simulation)
    simulation.cancel(A)
    simulation.decide(0.1, is_answered=True, is_delayed=False)
    simulation.deliver_stop(order, is_answered=True)
    simulation.execute_delayed_start(order)
    assert not simulation.runs_to_stop()


@pytest.mark.parametrize('is_removed', [False, True])
@pytest.mark.parametrize('has_reported', [False, True])
@pytest.mark.parametrize('is_listed', [False, True])
def test_the_next_owner_stops_a_late_start_of_the_previous_one(is_removed, has_reported, is_listed):
    """Also if the next owner does not know the job, or the worker is listed only later."""
    simulation = OwnerSimulation(WORKERS)
    order = submit_with_delayed_start(simulation)
    simulation.cancel(A)
    if is_removed:
        simulation.remove(A)
    worker = order.worker_id
    simulation.take_over(
        silent_worker_ids=() if has_reported else (worker,), unlisted_worker_ids=() if is_listed else (worker,)
    )
    simulation.execute_delayed_start(order)
    assert simulation.runs_to_stop()
    survey_and_stop(simulation)
    assert not simulation.runs_to_stop()


def test_an_adopted_late_start_is_stopped_with_its_job():
    simulation = OwnerSimulation(WORKERS)
    order = submit_with_delayed_start(simulation)
    simulation.take_over(silent_worker_ids=(), unlisted_worker_ids=())
    simulation.execute_delayed_start(order)
    simulation.survey(order.worker_id)
    simulation.cancel(A)
    survey_and_stop(simulation)
    assert not simulation.runs_to_stop()


class DelayedStartHistories(RuleBasedStateMachine):
    """Random jobs, cancellations, late orders, silences and owners."""

    def __init__(self):
        super().__init__()
        self.simulation = OwnerSimulation(WORKERS)
        self.jobs = 0

    @rule(
        queue=st.sampled_from((URGENT, ORDINARY)),
        steps=st.lists(STEPS, min_size=1, max_size=2),
        is_answered=st.booleans(),
        is_delayed=st.booleans(),
    )
    def submit(self, queue, steps, is_answered, is_delayed):
        self.jobs += 1
        self.simulation.submit(f'{self.jobs:016x}', steps, queue)
        self.simulation.decide(0.0, is_answered, is_delayed)

    @rule(seconds=st.floats(0.0, 12.0), is_answered=st.booleans(), is_delayed=st.booleans())
    def wait(self, seconds, is_answered, is_delayed):
        self.simulation.decide(seconds, is_answered, is_delayed)

    @rule(choice=st.randoms(use_true_random=False))
    def execute_delayed_start(self, choice):
        if self.simulation.delayed_starts:
            self.simulation.execute_delayed_start(choice.choice(self.simulation.delayed_starts))

    @rule(choice=st.randoms(use_true_random=False), is_answered=st.booleans())
    def deliver_stop(self, choice, is_answered):
        if self.simulation.pending_stops:
            self.simulation.deliver_stop(choice.choice(self.simulation.pending_stops), is_answered)

    @rule(choice=st.randoms(use_true_random=False), kind=ENDS)
    def end(self, choice, kind):
        if self.simulation.running():
            self.simulation.end(choice.choice(sorted(self.simulation.running())), kind)

    @rule(worker_id=WORKER_IDS)
    def survey(self, worker_id):
        self.simulation.survey(worker_id)

    @rule(worker_id=WORKER_IDS)
    def mark_silent(self, worker_id):
        self.simulation.mark_silent(worker_id)

    @rule(choice=st.randoms(use_true_random=False))
    def cancel(self, choice):
        if self.simulation.job_by_id:
            self.simulation.cancel(choice.choice(sorted(self.simulation.job_by_id)))

    @rule(choice=st.randoms(use_true_random=False))
    def remove(self, choice):
        removable = self.simulation.cancelled & self.simulation.job_by_id.keys()
        if removable:
            self.simulation.remove(choice.choice(sorted(removable)))

    @rule(silent_worker_ids=st.sets(WORKER_IDS), unlisted_worker_ids=st.sets(WORKER_IDS))
    def take_over(self, silent_worker_ids, unlisted_worker_ids):
        self.simulation.take_over(silent_worker_ids, unlisted_worker_ids)

    @rule()
    def surveys_stop_every_run_of_an_ended_job(self):
        for order in tuple(self.simulation.delayed_starts):
            self.simulation.execute_delayed_start(order)
        survey_and_stop(self.simulation)
        assert not self.simulation.runs_to_stop()

    def teardown(self):
        self.surveys_stop_every_run_of_an_ended_job()


DelayedStartHistories.TestCase.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)
TestDelayedStartHistories = DelayedStartHistories.TestCase
