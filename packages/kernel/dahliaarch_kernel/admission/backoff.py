"""Computes when a refused caller should return.

Load: an outage of the store refuses many callers within the same second, and if all of
them return in one second, that burst meets the store as it recovers.
"""

import math
from hashlib import blake2b
from typing import NamedTuple

MIN_RETRY_AFTER_S = 1
MAX_RETRY_AFTER_S = 5
# Number of consecutive seconds over which callers are spread; favoured ones get the first of these.
_SPREAD_S = 3
_FAVOURED_SPREAD_S = 2
_HASH_BYTES = 8


class Refusal(NamedTuple):
    """What is known about a refused request.

    Parameters
    ----------
    job_id : str
        Id of the job, by which callers are spread.
    left_s : float
        Expected time until the request could be served, in seconds; 0 if that is at once.
    is_favoured : bool
        Whether the caller gets one of the shorter values: its queue is urgent, or its
        account is below its share.
    timeout_s : float
        Deadline of one request, in seconds.
    attempts_left : int or None
        Number of attempts that the caller has left, if known.
    """

    job_id: str
    left_s: float = 0.0
    is_favoured: bool = False
    timeout_s: float = 0.0
    attempts_left: int | None = None


def retry_after_s(refusal: Refusal) -> int:
    """Return the time after which a refused caller should return, in whole seconds.

    The same job always gets the same place among the callers that are refused together.
    """
    latest_s = MAX_RETRY_AFTER_S
    if refusal.attempts_left is not None:
        latest_s = min(latest_s, math.floor(refusal.timeout_s * refusal.attempts_left))
    latest_s = max(latest_s, MIN_RETRY_AFTER_S)
    if refusal.left_s <= 0:
        # The request failed alone: nothing suggests that others will return with it.
        return MIN_RETRY_AFTER_S
    # The expected time may exceed all values; the callers must still not return together.
    earliest_s = math.ceil(min(refusal.left_s, latest_s))
    earliest_s = max(MIN_RETRY_AFTER_S, min(earliest_s, latest_s - _SPREAD_S + 1))
    spread_s = _FAVOURED_SPREAD_S if refusal.is_favoured else _SPREAD_S
    seconds = min(spread_s, latest_s - earliest_s + 1)
    return earliest_s + _hash(refusal.job_id) % seconds


def _hash(job_id: str) -> int:
    return int.from_bytes(blake2b(job_id.encode(), digest_size=_HASH_BYTES).digest())
