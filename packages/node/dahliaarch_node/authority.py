"""Time limit on how long an instance may act as owner of the pool without renewed confirmation."""

import math


class Authority:
    """Permission to send orders to workers; expires unless it is confirmed again.

    Renewing the owner's lease in the store confirms it. While the store is
    unreachable, a majority of the instances confirms it instead, each by replying
    that it knows of no newer owner: nobody can take the pool over then, so it keeps
    working. Without either confirmation another instance may own the pool, with
    workers that this one doesn't know of.

    Parameters
    ----------
    duration_s : float
        How long a confirmation is valid, in seconds, counted from when it was
        requested; at most the duration of the lease in the store.
    """

    def __init__(self, duration_s: float) -> None:
        """Start without authority."""
        self._duration_s = duration_s
        self._valid_until_s = -math.inf

    def confirm(self, requested_s: float) -> None:
        """Extend the authority by a confirmation requested at the given time on the `steady_s` clock."""
        self._valid_until_s = max(self._valid_until_s, requested_s + self._duration_s)

    def is_valid(self, now_s: float) -> bool:
        """Return whether orders may be sent now."""
        return now_s <= self._valid_until_s


def permanent_authority() -> Authority:
    """Return an authority that never expires, for an owner that no other instance can replace."""
    authority = Authority(math.inf)
    authority.confirm(0.0)
    return authority
