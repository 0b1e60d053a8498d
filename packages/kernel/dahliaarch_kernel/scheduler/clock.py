"""The time at which a scheduling decision is made."""

from typing import NamedTuple


class Moment(NamedTuple):
    """One point in time on both clocks.

    Parameters
    ----------
    steady_s : float
        Steady clock, in seconds: monotonic, and it also advances while the machine is suspended.
    wall_s : float
        Wall clock, in seconds since 1970.
    """

    steady_s: float
    wall_s: float
