"""Tests of overuse ratios and levels."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dahliaarch_kernel.scheduler.accounts import account_weights, level_of_ratio, MAX_LEVEL, overuse_ratios

ACCOUNTS = st.sets(st.sampled_from('abcdefgh'), min_size=1)
GUARANTEES = st.dictionaries(st.sampled_from('abcdefgh'), st.integers(-3, 200))
USAGES = st.dictionaries(st.sampled_from('abcdefgh'), st.floats(0.0, 2.0))


@pytest.mark.parametrize(
    ('ratio', 'level'), [(0.0, 0), (1.5, 0), (1.51, 1), (3.0, 1), (3.1, 2), (6.0, 2), (6.1, 3), (1e9, 3)]
)
def test_each_doubling_adds_a_level_up_to_the_highest(ratio, level):
    assert level_of_ratio(ratio) == level


@given(USAGES, GUARANTEES, ACCOUNTS)
def test_the_mean_ratio_by_weight_is_one(usages, guarantees, accounts):
    """With a ratio that does not add up, all accounts could be over their share, and the order would say nothing."""
    weights = account_weights(accounts, guarantees)
    assert all(weight > 0 for weight in weights.values())
    ratios = overuse_ratios(usages, weights, accounts)
    mean = sum(ratios[account] * weights[account] for account in accounts) / sum(weights.values())
    assert mean == pytest.approx(1.0)
    assert min(level_of_ratio(ratio) for ratio in ratios.values()) == 0 <= MAX_LEVEL


@given(st.floats(0.0, 2.0), st.integers(-3, 200))
def test_a_single_account_is_never_over_its_share(usage, guaranteed):
    weights = account_weights({'a'}, {'a': guaranteed, 'b': 100})
    assert overuse_ratios({'a': usage, 'b': 1.0}, weights, {'a'})['a'] == pytest.approx(1.0)


def test_accounts_without_guarantee_weigh_as_the_smallest():
    assert account_weights({'a', 'b', ''}, {'a': 90, 'c': 30, 'b': 0}) == {'a': 90.0, 'b': 30.0, '': 30.0}
    assert account_weights({'a', 'b'}, {}) == {'a': 1.0, 'b': 1.0}
