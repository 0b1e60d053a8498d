"""Limits and weights of the scheduler."""

from typing import NamedTuple

from .mechanisms import Mechanism


class SchedulerSettings(NamedTuple):
    """Limits and weights, all times in seconds.

    Parameters
    ----------
    far_factor : float
        How many times as long a task takes away from its data or its gang.
    stop_timeout_s : float
        Longest time that stopping a run takes.
    early_s : float
        How much before its due time an occurrence may start.
    stall_s : float
        How long a run's progress may stall before it is moved.
    reserve_after_s : float
        How long a gang waits before room is kept for it.
    far_after_share : float
        Share of its own work time that a task waits for the rack of its data
        before it starts elsewhere.
    reservations : int
        Gangs for which room is kept at one time.
    idle_wait_s : float
        How long ready work of a job that has nothing running yields to what is
        reserved for others, and waits for a near place, while less than half of
        the pool is in use.
    without : frozenset of Mechanism
        Mechanisms that are switched off.
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
        """Tell whether a mechanism is switched on."""
        return mechanism not in self.without
