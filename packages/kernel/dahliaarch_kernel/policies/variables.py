"""Input variables of policy programs.

All numbers are floating-point because the Common Expression Language does not
allow mixed arithmetic on integers and floating-point numbers.
"""

from typing import NamedTuple


class JobVariables(NamedTuple):
    """Input of a ``priority`` program: a step with waiting tasks.

    Parameters
    ----------
    urgent : bool
        Whether the queue of the step has priority 0.
    guaranteed : bool
        Whether it fits into the guaranteed accelerators of its account.
    waited_s : float
        Seconds since the job was accepted or the occurrence became due.
    expected_s : float
        Expected run time of one task in seconds.
    slack_s : float
        Seconds that it can still wait without missing its latency objective.
    slots : float
        Total accelerators of its waiting tasks.
    members : float
        Number of its waiting tasks.
    gang : bool
        Whether the tasks must all run at the same time (gang scheduling).
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
    """Input of ``placement_filter`` and ``placement_score`` programs: a candidate worker.

    Parameters
    ----------
    free : float
        Free accelerators of the worker.
    slots : float
        Total accelerators of the worker.
    block : float
        Accelerators that one task requires.
    memory_free : float
        Fraction of its memory that is free.
    suspect : bool
        Whether tasks recently failed or were slow on the worker.
    """

    free: float = 8.0
    slots: float = 8.0
    block: float = 1.0
    memory_free: float = 1.0
    suspect: bool = False


class VictimVariables(NamedTuple):
    """Input of a ``reclaim`` program: a run that could be preempted.

    Parameters
    ----------
    ran_s : float
        Seconds since the run started.
    left_s : float
        Expected remaining run time in seconds.
    slots : float
        Cores allocated to the run, each accelerator counted as eight.
    checkpointable : bool
        Whether it saves checkpoints, so that completed work is kept.
    members : float
        Number of runs that stop with it (its gang).
    """

    ran_s: float = 10.0
    left_s: float = 10.0
    slots: float = 1.0
    checkpointable: bool = False
    members: float = 1.0
