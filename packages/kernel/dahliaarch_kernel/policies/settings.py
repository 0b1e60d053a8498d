"""Settings of one policy."""

from typing import NamedTuple


class PolicySettings(NamedTuple):
    """Programs of a policy; an empty one means the built-in choice.

    Parameters
    ----------
    name : str
        Name of the policy.
    priority : str
        Program over `JobVariables`; higher goes first within a rank.
    placement_filter : str
        Program over `CandidateVariables`; false removes the worker.
    placement_score : str
        Program over `CandidateVariables`; lower is better.
    reclaim : str
        Program over `VictimVariables`; the cheapest victims are stopped.
    """

    name: str
    priority: str = ''
    placement_filter: str = ''
    placement_score: str = ''
    reclaim: str = ''
