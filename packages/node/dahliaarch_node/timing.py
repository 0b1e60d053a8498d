"""Timeouts and pauses of calls to the store."""

import random
from typing import NamedTuple


class StoreTiming(NamedTuple):
    """Timeouts and pauses in seconds.

    Parameters
    ----------
    call_s : float
        Longest wait for an answer. The store answers in milliseconds; a slow
        one was seen to take 60 times as long, 0.25 s, so this is well above.
    keep_s : float
        Longest wait for the renewal of a lease: two tries, and the pause before
        them, fit into its duration.
    write_s : float
        Longest wait for the owner's writes: ends wait for them, and a write
        that went unanswered is told from a lost one by its condition.
    watch_wait_s : float
        How long the store holds a watch without updates. Each costs a call, and
        updates of the configuration also come from the owner.
    watch_s : float
        Longest wait for a watch's answer.
    retry_s : float
        Mean pause after a failure.
    """

    call_s: float = 1.0
    keep_s: float = 0.5
    write_s: float = 0.6
    watch_wait_s: float = 6.0
    watch_s: float = 7.0
    retry_s: float = 0.3

    def retry_pause_s(self) -> float:
        """Return a pause with jitter, so that instances don't return in step."""
        return self.retry_s * random.uniform(0.5, 1.5)
