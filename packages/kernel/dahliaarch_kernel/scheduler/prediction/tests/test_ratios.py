"""Distributions of ratios give quantiles, shares and conditional quantiles."""

import random

import pytest

from dahliaarch_kernel.scheduler.prediction.ratios import MEDIAN, next_change, PRIOR, RatioHistogram


@pytest.mark.parametrize(
    ('probability', 'ratio'), [(0.01, 0.2), (0.1, 0.55), (0.5, 1.05), (0.9, 1.8), (0.95, 2.3), (0.97, 3.2), (0.99, 5.8)]
)
def test_the_prior_is_as_wide_as_the_measurements(probability, ratio):
    assert PRIOR.quantile(probability) == pytest.approx(ratio, rel=0.06)


def test_share_above_reverses_the_quantiles():
    for percent in range(1, 100):
        assert PRIOR.share_above(PRIOR.quantile(percent / 100)) == pytest.approx(1 - percent / 100, abs=1e-6)
    assert PRIOR.share_above(0.0) == 1.0
    assert PRIOR.share_above(7.0) == pytest.approx(0.009, abs=0.002)
    assert PRIOR.share_above(1e9) == pytest.approx(0.0, abs=1e-9)


def test_a_run_beyond_its_median_is_expected_to_last():
    """With one expected time, a run that has exceeded it counts as ending at any moment."""
    for reached in (1.5, 2.0, 4.0, 8.0, 30.0, 100.0):
        later = [PRIOR.conditional_quantile(reached, probability) for probability in (0.1, MEDIAN, 0.9)]
        assert later == sorted(later)
        assert later[1] > reached


def test_conditional_quantiles_are_constant_until_next_change():
    """Runs cache their predicted ends for that long."""
    rng = random.Random(1)
    for _ in range(500):
        ratio = rng.uniform(0.0, 40.0)
        until = next_change(ratio)
        between = rng.uniform(ratio, until) if until > ratio else ratio
        assert PRIOR.conditional_quantile(between, MEDIAN) == PRIOR.conditional_quantile(ratio, MEDIAN)


def test_observations_replace_the_prior():
    histogram = RatioHistogram()
    for _ in range(300):
        histogram.observe(4.0, 1.0)
    found = histogram.distribution(PRIOR)
    assert found.quantile(0.3) == pytest.approx(4.0, rel=0.15)
    assert found.quantile(MEDIAN) == pytest.approx(4.0, rel=0.15)


def test_old_observations_decay():
    histogram = RatioHistogram()
    for ratio in (0.5, 3.0):
        for _ in range(300):
            histogram.observe(ratio, 1.0)
    assert histogram.distribution(PRIOR).quantile(MEDIAN) == pytest.approx(3.0, rel=0.15)
    assert histogram.total_weight == pytest.approx(100.0, rel=0.02)


@pytest.mark.parametrize('ratio', [0.0, 1e-9, 1e9, float('inf')])
def test_extreme_ratios_are_counted_in_the_outermost_bins(ratio):
    """A clock that jumps gives run times of zero or of years."""
    histogram = RatioHistogram()
    histogram.observe(ratio, 1.0)
    histogram.observe_exceeded(ratio, 1.0, PRIOR)
    assert 0.9 < histogram.distribution(PRIOR).quantile(MEDIAN) < 1.3


def test_an_interrupted_run_moves_weight_above_its_ratio_only():
    histogram = RatioHistogram()
    for _ in range(50):
        histogram.observe_exceeded(2.0, 1.0, PRIOR)
    found = histogram.distribution(PRIOR)
    assert found.quantile(0.2) > 1.9
    assert found.share_above(7.0) > 5 * PRIOR.share_above(7.0)
