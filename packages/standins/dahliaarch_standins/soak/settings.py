"""What a soak is run with."""

from typing import NamedTuple


class SoakSettings(NamedTuple):
    """Size and length of one soak; times in seconds.

    Parameters
    ----------
    seed : int
        Seed of jobs and faults.
    instances, workers, callers : int
        How many of each.
    faults : int
        Faults that are drawn.
    faults_s : float
        Time over which they begin.
    settle_s : float
        Longest time for all jobs to end once the faults are over.
    checks_conditions, checks_fences : bool
        Protections of the store and of the workers; a control arm that runs
        without one must report violations.
    """

    seed: int
    instances: int = 3
    workers: int = 5
    callers: int = 4
    faults: int = 6
    faults_s: float = 8.0
    settle_s: float = 30.0
    checks_conditions: bool = True
    checks_fences: bool = True
