"""Timeouts and retry pauses of calls to the store."""

import random
from typing import NamedTuple


class StoreTiming(NamedTuple):
    """Timeouts and retry pauses in seconds.

    Parameters
    ----------
    call_timeout_s : float
        Timeout of a call. The store normally answers within milliseconds; a slow store
        took 60 times as long, 0.25 s, and the timeout is well above that.
    renewal_timeout_s : float
        Timeout of the renewal of a lease: two attempts and the pause before them fit
        into the duration of the lease.
    write_timeout_s : float
        Timeout of the owner's writes, which ends of runs wait for. After a timeout, the
        condition of the write shows whether it took effect or was lost.
    watch_wait_s : float
        How long the store keeps a watch open without updates. Every watch costs a call,
        and updates of the configuration also arrive from the owner.
    watch_timeout_s : float
        Timeout of a watch.
    mean_retry_pause_s : float
        Mean pause before a retry.
    """

    call_timeout_s: float = 1.0
    renewal_timeout_s: float = 0.5
    write_timeout_s: float = 0.6
    watch_wait_s: float = 6.0
    watch_timeout_s: float = 7.0
    mean_retry_pause_s: float = 0.3

    def retry_pause_s(self) -> float:
        """Return a retry pause with random jitter, so that instances don't retry at the same time."""
        return self.mean_retry_pause_s * random.uniform(0.5, 1.5)
