"""Clock for leases, ages and deadlines."""

import time


def steady_s() -> float:
    """Return the seconds since the machine booted, including time spent suspended.

    `time.monotonic` doesn't advance during suspension, but leases in the store still
    expire: a resumed owner would consider its expired lease valid.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
