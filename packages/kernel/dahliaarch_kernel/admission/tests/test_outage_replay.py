"""Replays callers during an outage of the store of 4 s that comes for the second time."""

from collections import Counter

from ..backoff import Refusal, retry_after_s
from ..outages import Outages

OUTAGE_S = 4.0
CALLERS_PER_S = 25
MAX_ATTEMPTS = 5


def play(retry_s):
    """Return the attempts of each caller, and the callers that return in each second after the outage."""
    outages = Outages()
    outages.record_failure(0.0)
    outages.record_answer(OUTAGE_S)
    began_s = 60.0
    outages.record_failure(began_s)
    attempts, returns = [], Counter()
    for number in range(int(OUTAGE_S * CALLERS_PER_S)):
        at_s, tried = number / CALLERS_PER_S, 1
        while at_s < OUTAGE_S:
            at_s += retry_s(outages, f'{number:016x}', began_s + at_s)
            tried += 1
        attempts.append(tried)
        returns[int(at_s)] += 1
    return attempts, returns


def learned(outages, job_id, now_s):
    return retry_after_s(Refusal(job_id, outages.expected_left_s(now_s)))


def test_callers_keep_attempts_for_after_the_outage():
    """With one second each, the callers of the first second had used all five attempts."""
    before, _ = play(lambda *_: 1.0)
    now, _ = play(learned)
    assert max(before) == MAX_ATTEMPTS
    assert max(now) < MAX_ATTEMPTS
    assert sum(now) < 0.75 * sum(before)


def test_callers_return_over_several_seconds():
    """All callers of the outage met the store in the second in which it answered again."""
    _, before = play(lambda *_: 1.0)
    _, now = play(learned)
    total = int(OUTAGE_S * CALLERS_PER_S)
    assert max(before.values()) == total
    assert max(now.values()) < 0.5 * total
