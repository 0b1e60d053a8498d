"""Where a step stands in the order in which steps are tried."""

from typing import NamedTuple


class Standing(NamedTuple):
    """Where a step stands in the order; smaller goes first.

    Parameters
    ----------
    rank : int
        0 for guaranteed work, 1 for other work of priority 0, 2 for the rest.
    density : float
        Negative worth for the room and time that it takes.
    accepted_s : float
        When the job was accepted.
    """

    rank: int
    density: float
    accepted_s: float


class DatedStanding(NamedTuple):
    """A standing and when it was worked out, steady clock."""

    standing: Standing
    at_s: float
