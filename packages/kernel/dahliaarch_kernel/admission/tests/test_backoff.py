"""Tests of the time after which refused callers return."""

from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ..backoff import MAX_RETRY_AFTER_S, MIN_RETRY_AFTER_S, Refusal, retry_after_s

CALLERS = [f'{number:016x}' for number in range(2000)]


def counts(left_s, **fields):
    return Counter(retry_after_s(Refusal(job_id, left_s, **fields)) for job_id in CALLERS)


@pytest.mark.parametrize('left_s', [0.1, 1.0, 2.5, 4.0, 5.0, 30.0])
@pytest.mark.parametrize('is_favoured', [False, True])
def test_callers_refused_together_do_not_return_together(left_s, is_favoured):
    """All callers that an outage had refused met the store in the same second as it recovered."""
    found = counts(left_s, is_favoured=is_favoured)
    assert max(found.values()) <= 0.55 * len(CALLERS)


def test_a_mix_of_callers_leaves_no_burst_in_one_second():
    found = counts(2.0, is_favoured=True) + counts(2.0)
    assert max(found.values()) <= 0.5 * 2 * len(CALLERS)


def test_a_request_that_fails_alone_returns_after_1_s():
    assert set(counts(0.0)) == {1}


@pytest.mark.parametrize('left_s', [0.5, 2.0, 3.5, 5.0, 30.0])
def test_favoured_callers_get_shorter_values(left_s):
    """Also where the expected time exceeds all values."""

    def mean(found):
        return sum(value * count for value, count in found.items()) / len(CALLERS)

    assert mean(counts(left_s, is_favoured=True)) < mean(counts(left_s))


def test_the_value_fits_the_attempts_that_are_left():
    """A caller that returns after its last deadline has no use of the answer."""
    assert set(counts(30.0, timeout_s=3.0, attempts_left=1)) == {1, 2, 3}
    assert set(counts(30.0, timeout_s=0.4, attempts_left=1)) == {MIN_RETRY_AFTER_S}
    assert set(counts(30.0, timeout_s=3.0, attempts_left=0)) == {MIN_RETRY_AFTER_S}


@given(
    st.text(max_size=20),
    st.floats(min_value=0.0, allow_nan=False),
    st.booleans(),
    st.floats(0.0, 1e9),
    st.none() | st.integers(0, 9),
)
def test_values_are_whole_seconds_within_the_bounds(job_id, left_s, is_favoured, timeout_s, attempts_left):
    refusal = Refusal(job_id, left_s, is_favoured, timeout_s, attempts_left)
    seconds = retry_after_s(refusal)
    assert isinstance(seconds, int)
    assert MIN_RETRY_AFTER_S <= seconds <= MAX_RETRY_AFTER_S
    assert seconds == retry_after_s(refusal)
    if attempts_left is not None:
        assert seconds <= max(MIN_RETRY_AFTER_S, timeout_s * attempts_left)
