"""Orders that a worker leaves unanswered, and days on which all troubles come together."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from dahliaarch_kernel.scheduler import SchedulerSettings, StartRun, StopRun
from dahliaarch_kernel.workload import TaskKey, weighted_cores
from dahliaarch_standins.comparison import DRAWN
from dahliaarch_standins.comparison.chances import Chances
from dahliaarch_standins.comparison.days import draw_day, play_day, SCHEDULERS
from dahliaarch_standins.comparison.drawing import deployment_named, DRAWN_LOADED
from dahliaarch_standins.comparison.orders import Orders
from dahliaarch_standins.comparison.troubles import LostOrders, Span

STARTS = [StartRun('w1', TaskKey('j', 0, 0, index), 7, '') for index in range(40)]
STOPS = [StopRun('w1', TaskKey('j', 0, 0, index), 7, 'makes room') for index in range(40)]
LOST = LostOrders(Span(5.0, 10.0), workers_share=1.0, orders_share=0.5)


def play(name, seed):
    day = draw_day(deployment_named(name, seed), seed)
    return day, play_day(day, SCHEDULERS['ours'](day.deployment, SchedulerSettings())).ledger


def core_s_of_urgent_work(day, ledger):
    by_id = {job.spec.job_id: job for job in day.jobs if not job.kind.priority}
    return sum(
        weighted_cores(by_id[job_id].spec.steps[step].demand) * (attempt.ended_s - attempt.begun_s)
        for (job_id, step), attempts in ledger.attempts_by_step.items()
        for attempt in attempts
        if job_id in by_id and not attempt.why
    )


@pytest.mark.parametrize('now_s', [4.9, 10.1])
def test_before_and_after_every_order_is_answered_at_once(now_s):
    orders = Orders((LOST,), Chances(1))
    assert {orders.start(start, now_s) for start in STARTS} == {(True, 0.0)}
    assert {orders.stop_takes_s(stop, now_s) for stop in STOPS} == {0.0}


def test_some_orders_are_late_and_a_few_starts_taken_back():
    orders = Orders((LOST,), Chances(1))
    starts = [orders.start(start, 7.0) for start in STARTS]
    late = [outcome for outcome in starts if outcome.is_certain and outcome.takes_s]
    unacknowledged = [outcome for outcome in starts if not outcome.is_certain]
    assert 0 < len(unacknowledged) < len(late) < len(starts)
    assert min(outcome.takes_s for outcome in unacknowledged) > max(outcome.takes_s for outcome in late)
    assert 0 < sum(orders.stop_takes_s(stop, 7.0) > 0 for stop in STOPS) < len(STOPS)


def test_only_a_share_of_the_workers_leaves_orders_unanswered():
    orders = Orders((LOST._replace(workers_share=0.5, orders_share=0.9),), Chances(1))
    deaf = {
        worker_id
        for worker_id in map('w{}'.format, range(20))
        if any(orders.start(start._replace(worker_id=worker_id), 7.0).takes_s for start in STARTS)
    }
    assert 4 <= len(deaf) <= 16


def test_a_loaded_day_repeats():
    assert play('meters-loaded', 1)[1].wasted_by_cause == play('meters-loaded', 1)[1].wasted_by_cause


@settings(max_examples=8, deadline=None)
@given(name=st.sampled_from((DRAWN, DRAWN_LOADED)), seed=st.integers(1, 10_000))
def test_never_more_is_stopped_than_the_urgent_work_done(name, seed):
    """A stop is for what is worth more; more stopped than done of it means that it served nobody."""
    day, ledger = play(name, seed)
    assert ledger.stopped_by_cause['makes room'] <= core_s_of_urgent_work(day, ledger)
