"""Settings of one policy."""

from typing import NamedTuple


class PolicySettings(NamedTuple):
    """Programs of a policy; an empty program selects the built-in default.

    Parameters
    ----------
    name : str
        Name of the policy.
    priority : str
        Program over `JobVariables`; higher values are scheduled first within a rank.
    placement_filter : str
        Program over `CandidateVariables`; false excludes the worker.
    placement_score : str
        Program over `CandidateVariables`; the worker with the lowest score is preferred.
    reclaim : str
        Program over `VictimVariables`; the victims with the lowest cost are preempted.
    """

    name: str
    priority: str = ''
    placement_filter: str = ''
    placement_score: str = ''
    reclaim: str = ''
