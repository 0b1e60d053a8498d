"""Keys that determine the order in which steps are scheduled."""

from typing import NamedTuple

from ..workload import StepKey


class SortKey(NamedTuple):
    """Sort key of a step; steps with smaller keys are scheduled first.

    Parameters
    ----------
    rank : int
        0 for guaranteed work, 1 for other work of priority 0, 2 for the rest.
    preference : float
        Negated result of the operators' priority program; 0 without one.
    begun_s : float
        When the step's occurrence became due or, without a due time, its job was
        accepted, seconds since 1970; earlier ones come first.
    step : StepKey
        The step, which makes each key unique.
    """

    rank: int
    preference: float
    begun_s: float
    step: StepKey


class CachedSortKey(NamedTuple):
    """A sort key and when it was computed, steady clock."""

    sort_key: SortKey
    computed_s: float
