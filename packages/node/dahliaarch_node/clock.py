"""The clock that leases, ages and deadlines are measured on."""

import time


def steady_s() -> float:
    """Return the time since the machine started, in seconds, also while it was suspended.

    `time.monotonic` stops then, while the leases of others run on: an owner
    that was suspended would take its own for as fresh as before.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
