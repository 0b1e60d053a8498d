"""Time limit on how long an instance may act as owner of the pool without renewed confirmation."""

import math

# Longest time that an owner keeps its authority without the store, in seconds. Regions lose each other for up to an
# hour; an instance outside the electorate waits this long before it gives up the work of silent workers.
MAX_OUTAGE_S = 3600.0


class Authority:
    """Permission to send orders to workers; expires unless it is confirmed again.

    Renewing the owner's lease in the store confirms it. While the store is
    unreachable, the instances that may claim the pool can extend it instead: if all
    of them reply that they know of no newer owner, none has claimed the pool. A
    majority is not enough, because a single instance that reaches the store can
    claim the pool. Without either confirmation another instance may own the pool,
    with workers that this one doesn't know of.

    Parameters
    ----------
    duration_s : float
        How long a confirmation is valid, in seconds, counted from when it was
        requested; at most the duration of the lease in the store.
    max_outage_s : float
        How long the authority may be extended without the store, in seconds, counted
        from the last confirmation by the store.
    """

    def __init__(self, duration_s: float, max_outage_s: float = MAX_OUTAGE_S) -> None:
        """Start without authority."""
        self._duration_s = duration_s
        self._max_outage_s = max_outage_s
        self._valid_until_s = -math.inf
        self._confirmed_s = -math.inf

    def confirm(self, requested_s: float) -> None:
        """Record a confirmation by the store, requested at the given time on the `steady_s` clock."""
        self._confirmed_s = max(self._confirmed_s, requested_s)
        self._valid_until_s = max(self._valid_until_s, requested_s + self._duration_s)

    def extend(self, requested_s: float) -> None:
        """Record that all instances that may claim the pool have agreed, asked at the given time."""
        until_s = min(requested_s + self._duration_s, self._confirmed_s + self._max_outage_s)
        self._valid_until_s = max(self._valid_until_s, until_s)

    def is_valid(self, now_s: float) -> bool:
        """Return whether orders may be sent now."""
        return now_s <= self._valid_until_s


def permanent_authority() -> Authority:
    """Return an authority that never expires, for an owner that no other instance can replace."""
    authority = Authority(math.inf)
    authority.confirm(0.0)
    return authority
