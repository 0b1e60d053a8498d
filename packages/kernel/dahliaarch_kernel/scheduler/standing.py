"""Keys that determine the order in which steps are scheduled."""

from typing import NamedTuple

from ..workload import StepKey

# The fields of a sort key that come before the policy's preference.
Standing = tuple[int, int, int, bool]


class SortKey(NamedTuple):
    """Sort key of a step; steps with smaller keys are scheduled first.

    Parameters
    ----------
    rank : int
        0 for guaranteed work, 1 for other work of priority 0, 2 for the rest.
    urgency : int
        Priority of the queue of ordinary work; 0 for other work and where priorities don't count.
    level : int
        Level of overuse of the step's account; 0 for guaranteed work.
    is_late : bool
        Whether ordinary work can no longer meet its objective.
    preference : float
        Negated result of the operators' priority program; 0 without one.
    begun_s : float
        When the step's occurrence became due or, without a due time, its job was
        accepted, seconds since 1970; earlier ones come first.
    step : StepKey
        The step, which makes each key unique.
    """

    rank: int
    urgency: int
    level: int
    is_late: bool
    preference: float
    begun_s: float
    step: StepKey

    @property
    def standing(self) -> Standing:
        """The fields before the preference; steps for which they are equal are ordered by policy and age."""
        return self[:4]


class CachedSortKey(NamedTuple):
    """A sort key and when it was computed, steady clock."""

    sort_key: SortKey
    computed_s: float
