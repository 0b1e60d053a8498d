"""The present time, as decisions see it."""

from typing import NamedTuple


class Moment(NamedTuple):
    """The present time on both clocks.

    Parameters
    ----------
    steady_s : float
        Steady clock of the process in seconds.
    wall_s : float
        Time of day, seconds since 1970.
    """

    steady_s: float
    wall_s: float
