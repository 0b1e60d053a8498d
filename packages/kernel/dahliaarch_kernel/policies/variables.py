"""Typed variables that policy programs may read.

All numbers are floating point, since Common Expression Language does not mix
integers with floating-point numbers.
"""

from typing import NamedTuple


class JobVariables(NamedTuple):
    """What a ``priority`` program sees: a step that has tasks to start.

    Parameters
    ----------
    urgent : bool
        Whether its queue has priority 0.
    guaranteed : bool
        Whether it runs inside its account's guarantee.
    waited_s : float
        Seconds since it was accepted or fell due.
    expected_s : float
        Expected run time of one task in seconds.
    slack_s : float
        Seconds that it may still wait and end in time.
    slots : float
        Accelerators of all its waiting tasks.
    members : float
        Its waiting tasks.
    gang : bool
        Whether they run all together or not at all.
    """

    urgent: bool = False
    guaranteed: bool = False
    waited_s: float = 0.0
    expected_s: float = 60.0
    slack_s: float = 0.0
    slots: float = 1.0
    members: float = 1.0
    gang: bool = False


class CandidateVariables(NamedTuple):
    """What ``placement_filter`` and ``placement_score`` programs see.

    Parameters
    ----------
    free : float
        Free accelerators of the worker.
    slots : float
        All its accelerators.
    block : float
        Accelerators that one task wants.
    memory_free : float
        Share of its memory that is free.
    suspect : bool
        Whether tasks failed or crawled there of late.
    """

    free: float = 8.0
    slots: float = 8.0
    block: float = 1.0
    memory_free: float = 1.0
    suspect: bool = False


class VictimVariables(NamedTuple):
    """What a ``reclaim`` program sees of a run that could be stopped.

    Parameters
    ----------
    ran_s : float
        Seconds since it started.
    left_s : float
        Expected seconds until it ends.
    slots : float
        Cores that it holds, each accelerator counted as eight.
    checkpointable : bool
        Whether its work so far is kept.
    members : float
        Runs that end with it: its gang.
    """

    ran_s: float = 10.0
    left_s: float = 10.0
    slots: float = 1.0
    checkpointable: bool = False
    members: float = 1.0
