"""Runs predict their remaining times from their age and from their reported progress."""

import random

import pytest

from dahliaarch_kernel.scheduler.prediction.ratios import PRIOR
from dahliaarch_kernel.scheduler.runs import Run
from dahliaarch_kernel.workload import Resources, TaskKey

STARTED_S = 1000.0
KEY = TaskKey('a' * 16, 0, 0, 0)


def make_run(work_s=10.0, ratios=PRIOR):
    run = Run(KEY, 1, 'w', Resources(1000, 1000, 1), STARTED_S, work_s)
    run.ratios = ratios
    return run


def test_without_a_distribution_the_expected_time_counts():
    run = make_run(ratios=None)
    assert run.left_s(STARTED_S + 4.0) == pytest.approx(6.0)
    assert run.left_s(STARTED_S + 12.0) == pytest.approx(0.1)
    run.record_progress(50.0, STARTED_S + 4.0)
    assert run.left_s(STARTED_S + 4.0, 0.9) == pytest.approx(4.0)


def test_left_time_grows_with_the_probability():
    run = make_run()
    for age_s in (0.0, 5.0, 10.0, 30.0):
        left_s = [run.left_s(STARTED_S + age_s, probability) for probability in (0.1, 0.5, 0.75, 0.9)]
        assert left_s == sorted(left_s)
    assert run.left_s(STARTED_S) == pytest.approx(10.5, rel=0.06)


def test_a_run_beyond_its_expected_time_is_not_about_to_end():
    """Reservations planned on runs that had exceeded their expected times as if they ended at once."""
    run = make_run()
    assert run.left_s(STARTED_S + 20.0) > 2.0
    assert run.left_s(STARTED_S + 60.0) > 5.0


def test_the_median_does_not_depend_on_earlier_calls():
    """The median is cached per run: the cache must give what a run without one gives."""
    rng = random.Random(3)
    cached = make_run()
    now_s = STARTED_S - 1.0
    percent = 0.0
    for _ in range(400):
        now_s += rng.uniform(0.0, 0.5)
        if rng.random() < 0.2:
            percent = min(100.0, percent + rng.uniform(0.0, 4.0))
            cached.record_progress(percent, now_s)
        fresh = make_run()
        fresh.record_progress(cached.percent, cached.last_seen_s)
        assert cached.left_s(now_s) == pytest.approx(fresh.left_s(now_s))


def test_a_later_start_moves_the_predicted_end():
    """The start time is set when the order is sent: a median from before must not be kept."""
    run = make_run()
    left_s = run.left_s(STARTED_S)
    run.mark_sent(STARTED_S + 3.0)
    assert run.left_s(STARTED_S + 3.0) == pytest.approx(left_s)


def test_progress_narrows_the_range_of_ends():
    spans_s = []
    for percent in (10.0, 50.0, 90.0):
        run = make_run()
        now_s = STARTED_S + percent / 10.0
        run.record_progress(percent, now_s)
        assert run.left_s(now_s) == pytest.approx(10.0 - percent / 10.0, abs=0.2)
        spans_s.append(run.left_s(now_s, 0.9) - run.left_s(now_s, 0.1))
    assert spans_s == sorted(spans_s, reverse=True)


@pytest.mark.parametrize('percent', [100.0, 99.0, 1000.0, float('inf')])
def test_a_false_percentage_does_not_make_a_run_end_at_once(percent):
    """A worker that reports 99% right after the start would attract reservations and preemptions."""
    run = make_run()
    run.record_progress(percent, STARTED_S + 0.2)
    assert run.left_s(STARTED_S + 0.2) >= 1.5


@pytest.mark.parametrize('percent', [8.0, 9.0])
def test_a_stuck_percentage_does_not_make_a_run_last_forever(percent):
    run = make_run()
    run.record_progress(percent, STARTED_S + 15.0)
    assert run.left_s(STARTED_S + 15.0) <= 10.0 * PRIOR.conditional_quantile(1.5, 0.99)
    run.record_progress(percent, STARTED_S + 40.0)
    assert run.left_s(STARTED_S + 40.0) <= 10.0 * PRIOR.conditional_quantile(4.0, 0.99)


@pytest.mark.parametrize('percent', [-5.0, float('nan')])
def test_percentages_that_are_no_progress_are_ignored(percent):
    run = make_run()
    run.record_progress(percent, STARTED_S + 2.0)
    assert run.left_s(STARTED_S + 2.0) == make_run().left_s(STARTED_S + 2.0)


@pytest.mark.parametrize('jump_s', [-1e6, 1e6, 1e12])
def test_a_clock_that_jumps_gives_finite_times(jump_s):
    run = make_run()
    for probability in (0.01, 0.5, 0.9):
        left_s = run.left_s(STARTED_S + jump_s, probability)
        assert 0.1 <= left_s < 1e13


def test_a_run_that_resumes_has_no_predicted_run_time():
    run = make_run()
    assert run.predicted_s(0.9) == pytest.approx(18.0, rel=0.05)
    run.began_from_checkpoint = True
    assert run.predicted_s(0.9) == 0.0
