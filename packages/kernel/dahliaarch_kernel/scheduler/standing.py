"""Where a step stands in the order in which steps are tried."""

from typing import NamedTuple

from ..workload import StepKey


class SortKey(NamedTuple):
    """Where a step stands in the order; smaller goes first.

    Parameters
    ----------
    rank : int
        0 for guaranteed work, 1 for other work of priority 0, 2 for the rest.
    preference : float
        Negative priority by the operators' program; 0 where there is none.
    begun_s : float
        When its occurrence came up, seconds since 1970: what came first goes
        first.
    step : StepKey
        The step: no two have the same standing.
    """

    rank: int
    preference: float
    begun_s: float
    step: StepKey


class CachedSortKey(NamedTuple):
    """A standing and when it was worked out, steady clock."""

    sort_key: SortKey
    at_s: float
