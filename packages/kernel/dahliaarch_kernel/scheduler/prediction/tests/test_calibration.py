"""Predicted p50 and p90 hold for half and for nine tenths of the runs."""

import random
import statistics
from itertools import pairwise

import pytest

from dahliaarch_kernel.scheduler.prediction import RunTimes
from dahliaarch_kernel.workload import Resources, StepSpec

# Quantiles of the ratio of run time to expected time under heavy load.
MEASURED = (
    (0.0, 0.1),
    (0.01, 0.2),
    (0.1, 0.55),
    (0.5, 1.05),
    (0.9, 1.8),
    (0.95, 2.3),
    (0.97, 3.2),
    (0.99, 5.8),
    (1.0, 9.0),
)
WARM_UP, RUNS = 100, 400


def draw_measured(rng):
    share = rng.random()
    for (low, low_ratio), (high, high_ratio) in pairwise(MEASURED):
        if share <= high:
            return low_ratio * (high_ratio / low_ratio) ** ((share - low) / (high - low))
    return MEASURED[-1][1]


def draw_with_stragglers(rng):
    """Return a ratio; 3% of the tasks run 7 times as long as the others."""
    return 1.05 * rng.lognormvariate(0.0, 0.45) * (7.0 if rng.random() < 0.03 else 1.0)


def shares_within(draw, seed, bias=1.0, interruptions=0.0, account='a', counts_interrupted=True):
    """Return the shares of runs after the hundredth within their predicted p50 and p90.

    Estimates are off by the factor ``bias``; runs are interrupted ``interruptions`` times per expected run time.
    """
    rng = random.Random(seed)
    times = RunTimes()
    within = [0, 0]
    for number in range(WARM_UP + RUNS):
        step = StepSpec(1, Resources(1000, 1000, 1), rng.uniform(1.0, 10.0))
        total_s = step.estimate_s * bias * draw(rng)
        expected_s = times.expect_s('q', step)
        if number >= WARM_UP:
            for index, probability in enumerate((0.5, 0.9)):
                within[index] += total_s <= times.quantile_s('q', account, step, probability)
        interrupted_s = expected_s * rng.expovariate(interruptions) if interruptions else total_s
        if total_s <= interrupted_s:
            times.observe('q', step, total_s)
            times.observe_ratio('q', account, total_s / expected_s, 1.0, is_complete=True)
        elif counts_interrupted:
            times.observe_ratio('q', account, interrupted_s / expected_s, 1.0, is_complete=False)
    return within[0] / RUNS, within[1] / RUNS


@pytest.mark.parametrize('draw', [draw_measured, draw_with_stragglers])
@pytest.mark.parametrize('bias', [1.0, 2.5, 0.3])
def test_predictions_are_calibrated_after_100_observations(draw, bias):
    for seed in range(5):
        within_p50, within_p90 = shares_within(draw, seed, bias)
        assert within_p50 == pytest.approx(0.5, abs=0.05)
        assert within_p90 == pytest.approx(0.9, abs=0.05)


def mean_shares(**options):
    shares = [shares_within(draw_measured, seed, **options) for seed in range(20)]
    return [statistics.fmean(column) for column in zip(*shares, strict=True)]


def test_predictions_stay_calibrated_where_runs_are_stopped():
    """A quarter of the runs is interrupted, the long ones most often."""
    within_p50, within_p90 = mean_shares(interruptions=0.3)
    assert within_p50 == pytest.approx(0.5, abs=0.05)
    assert within_p90 == pytest.approx(0.9, abs=0.05)


def test_without_interrupted_runs_the_tail_would_be_too_short():
    with_interrupted = mean_shares(interruptions=0.7)
    without_interrupted = mean_shares(interruptions=0.7, counts_interrupted=False)
    assert with_interrupted[1] == pytest.approx(0.9, abs=0.05)
    assert without_interrupted[1] < with_interrupted[1] - 0.05


def test_an_account_gets_its_own_distribution():
    """One account's stragglers must not make the predictions of another account longer."""
    rng = random.Random(1)
    times = RunTimes()
    step = StepSpec(1, Resources(1000, 1000, 1), 4.0)
    for _ in range(200):
        times.observe_ratio('q', 'even', rng.uniform(0.9, 1.1), 1.0, is_complete=True)
        times.observe_ratio('q', 'uneven', rng.choice((1.0, 7.0)), 1.0, is_complete=True)
    assert times.quantile_s('q', 'even', step, 0.9) < 6.0
    assert times.quantile_s('q', 'uneven', step, 0.9) > 20.0
    assert times.quantile_s('q', 'new', step, 0.9) > 6.0


def test_accounts_without_recent_runs_are_forgotten():
    """Accounts come and go: their counts must not accumulate without limit."""
    times = RunTimes()
    for number in range(1000):
        times.observe_ratio('q', f'account-{number}', 1.0, 1.0, is_complete=True)
    assert len(times._ratios_by_queue['q']._histogram_by_account) == 256


@pytest.mark.parametrize('options', [{'has_quantiles': False}, {'is_learning': False}])
def test_a_disabled_mechanism_observes_nothing(options):
    times = RunTimes(**options)
    step = StepSpec(1, Resources(1000, 1000, 1), 4.0)
    before = times.quantile_s('q', 'a', step, 0.9)
    for _ in range(100):
        times.observe_ratio('q', 'a', 5.0, 1.0, is_complete=True)
    assert times.quantile_s('q', 'a', step, 0.9) == before
    assert options != {'has_quantiles': False} or before == 4.0
