"""Tests of the usage ledger."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dahliaarch_kernel.scheduler.accounts import UsageLedger

STEPS = st.lists(st.floats(0.0, 5.0), min_size=1, max_size=20)


@given(STEPS, st.floats(0.0, 1.0))
def test_usage_does_not_depend_on_how_often_it_advances(steps, share):
    """Passes come at irregular times; an account's usage must not depend on them."""
    often, once = UsageLedger(10.0), UsageLedger(10.0)
    often.advance(0.0, {'a': share})
    once.advance(0.0, {'a': share})
    now_s = 0.0
    for step in steps:
        now_s += step
        often.advance(now_s, {'a': share})
    once.advance(now_s, {'a': share})
    assert often.usage_of('a') == pytest.approx(once.usage_of('a'), abs=1e-4)
    assert share <= often.usage_of('a') + 1e-9 <= 2 * share + 1e-8


def test_past_usage_counts_half_after_the_half_life():
    ledger = UsageLedger(10.0)
    ledger.advance(0.0, {'a': 0.8})
    ledger.advance(10.0, {})
    assert ledger.usage_of('a') == pytest.approx(0.4)
    ledger.advance(20.0, {})
    assert ledger.usage_of('a') == pytest.approx(0.2)


def test_a_clock_that_goes_back_changes_no_usage():
    """A negative elapsed time would make usage grow without limit."""
    ledger = UsageLedger(10.0)
    ledger.advance(100.0, {'a': 0.8})
    ledger.advance(110.0, {'a': 0.8})
    before = ledger.usage_of('a')
    ledger.advance(10.0, {'a': 0.8})
    assert ledger.usage_of('a') == before


def test_a_clock_that_jumps_ahead_only_decays_usage():
    ledger = UsageLedger(10.0)
    ledger.advance(0.0, {'a': 0.8, 'b': 0.1})
    ledger.advance(1e9, {'b': 0.1})
    assert ledger.usage_of('a') == pytest.approx(0.8)
    ledger.advance(2e9, {})
    ledger.advance(3e9, {})
    assert ledger.usage_by_account == {}


def test_past_usage_decays_from_the_time_it_was_held():
    ledger = UsageLedger(10.0)
    ledger.add_past('a', 2.0, 0.0)
    ledger.add_past('b', 2.0, 10.0)
    ledger.add_past('c', 2.0, -5.0)
    assert ledger.usage_of('b') == pytest.approx(ledger.usage_of('a') / 2)
    assert ledger.usage_of('c') == ledger.usage_of('a')


def test_without_a_half_life_only_what_is_held_counts():
    ledger = UsageLedger(0.0)
    ledger.add_past('a', 5.0, 0.0)
    ledger.advance(0.0, {'a': 0.5})
    ledger.advance(3.0, {'b': 0.25})
    assert ledger.usage_by_account == {'b': 0.25}
