"""How long an owner of the pool may give orders without a new word that it still is the owner."""

import math


class Authority:
    """Ends by itself unless it is confirmed again.

    The owner's lease in the store confirms it. While the store is away most of the
    instances do, each with its answer that it knows of no newer owner: a pool that
    nobody can take over goes on working. Where neither does, another instance may
    own the pool, on workers that this one can't know of.

    Parameters
    ----------
    duration_s : float
        How long a confirmation holds from when it was asked for, in seconds: no
        longer than the lease in the store.
    """

    def __init__(self, duration_s: float) -> None:
        """Start without authority."""
        self._duration_s = duration_s
        self._valid_until_s = -math.inf

    def confirm(self, requested_s: float) -> None:
        """Take in a confirmation that was asked for at a time, steady clock."""
        self._valid_until_s = max(self._valid_until_s, requested_s + self._duration_s)

    def holds(self, now_s: float) -> bool:
        """Tell whether orders may be given now."""
        return now_s <= self._valid_until_s


def lasting_authority() -> Authority:
    """Return one that never ends, for an owner without successors."""
    authority = Authority(math.inf)
    authority.confirm(0.0)
    return authority
