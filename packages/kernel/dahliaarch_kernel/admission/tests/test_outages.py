"""Tests of what is learned from outages of the store."""

import pytest

from ..backoff import MAX_RETRY_AFTER_S, Refusal, retry_after_s
from ..outages import Outages

OUTAGE_S = 4.0


def after_outages(*lengths_s):
    """Return outages that have ended, each 20 s after the one before began, and the time after the last."""
    outages, now_s = Outages(), 100.0
    for length_s in lengths_s:
        outages.record_failure(now_s)
        outages.record_answer(now_s + length_s)
        now_s += 20.0
    return outages, now_s


def test_the_first_outage_is_expected_to_last_as_long_again():
    outages, now_s = after_outages()
    outages.record_failure(now_s)
    assert outages.expected_left_s(now_s + 0.5) == 1.0
    assert outages.expected_left_s(now_s + 3.0) == 3.0


def test_a_second_outage_of_4_s_is_expected_to_last_4_s():
    """Every caller was told to return in 1 s and used up its attempts before the store answered."""
    outages, now_s = after_outages(OUTAGE_S)
    outages.record_failure(now_s)
    for age_s in (0.5, 1.0, 2.0, 3.5):
        assert outages.expected_left_s(now_s + age_s) == pytest.approx(OUTAGE_S - age_s)
        seconds = retry_after_s(Refusal('a' * 16, outages.expected_left_s(now_s + age_s)))
        assert min(OUTAGE_S - age_s, 3.0) <= seconds <= MAX_RETRY_AFTER_S


def test_a_longer_outage_than_before_goes_on():
    outages, now_s = after_outages(OUTAGE_S)
    outages.record_failure(now_s)
    assert outages.expected_left_s(now_s + 6.0) == 6.0


def test_a_single_failed_call_is_not_a_long_outage():
    """With a third of the calls refused, each refusal would have asked for as long as an outage."""
    outages, now_s = after_outages(OUTAGE_S)
    outages.record_failure(now_s)
    assert outages.expected_left_s(now_s + 0.01) == 1.0


def test_single_failures_do_not_displace_outages():
    outages, now_s = after_outages(OUTAGE_S, *[0.01] * 50)
    outages.record_failure(now_s)
    assert outages.expected_left_s(now_s + 1.0) == pytest.approx(OUTAGE_S - 1.0)


def test_an_outage_begins_with_the_call_not_its_timeout():
    outages, now_s = after_outages()
    outages.record_failure(now_s)
    outages.record_failure(now_s + 1.0)
    assert outages.age_s(now_s + 2.0) == 2.0


def test_a_late_failure_does_not_predate_an_answer():
    """A call that was sent before an answer and timed out after it would make the outage too long."""
    outages, now_s = after_outages()
    outages.record_answer(now_s)
    outages.record_failure(now_s - 1.0)
    assert outages.age_s(now_s + 0.5) == 0.5


def test_a_clock_that_jumps_back_gives_no_negative_times():
    outages, now_s = after_outages()
    outages.record_failure(now_s)
    assert outages.age_s(now_s - 50.0) == 0.0
    assert outages.expected_left_s(now_s - 50.0) == 1.0


def test_an_outage_that_just_ended_is_remembered():
    """Writes that the store received during an outage may take effect after it."""
    outages, now_s = after_outages()
    assert not outages.was_under_way_within(5.0, now_s)
    outages.record_failure(now_s)
    assert outages.was_under_way_within(5.0, now_s)
    outages.record_answer(now_s + 0.1)
    assert outages.was_under_way_within(5.0, now_s + 5.0)
    assert not outages.was_under_way_within(5.0, now_s + 5.2)
