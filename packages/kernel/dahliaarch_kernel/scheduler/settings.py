"""Settings of the scheduler."""

from typing import NamedTuple

from .mechanisms import Mechanism


class SchedulerSettings(NamedTuple):
    """Settings of the scheduler, all times in seconds.

    Parameters
    ----------
    far_factor : float
        Factor by which a task takes longer away from its data or from its gang.
    stop_timeout_s : float
        Maximum time that stopping a run takes.
    early_s : float
        How long before its due time an occurrence may start.
    stall_s : float
        How long the progress of a run may stall before the run is moved.
    reserve_after_s : float
        How long a gang waits before capacity is reserved for it.
    far_after_share : float
        How long a task waits for the rack of its data before it may start
        elsewhere, as a share of its expected run time.
    reservations : int
        Maximum number of gangs for which capacity is reserved at one time.
    idle_wait_s : float
        How long ready work of a job with nothing running respects the reservations of
        others and waits for free capacity near its data or its gang, while less than
        half of the pool is in use.
    without : frozenset of Mechanism
        Mechanisms that are disabled.
    """

    far_factor: float = 3.0
    stop_timeout_s: float = 0.9
    early_s: float = 0.25
    stall_s: float = 1.2
    reserve_after_s: float = 0.5
    far_after_share: float = 1.5
    reservations: int = 4
    idle_wait_s: float = 2.5
    without: frozenset[Mechanism] = frozenset()

    def has(self, mechanism: Mechanism) -> bool:
        """Return whether a mechanism is enabled."""
        return mechanism not in self.without
