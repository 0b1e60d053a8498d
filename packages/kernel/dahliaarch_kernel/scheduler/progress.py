"""The part of a job's state that must outlast every instance."""

from collections.abc import Sequence
from typing import NamedTuple

# A run that goes on for so much longer than earlier ones did is not what killed
# their workers, in seconds: progress is reported once a second. A run that was not
# reported for so long is suspected of its worker's death.
SUSPICION_S = 1.0


class Crash(NamedTuple):
    """A crash of a worker under a task.

    Parameters
    ----------
    run : int
        Number of the run that was there.
    worker_id : str
        Incarnation of the worker.
    ran_s : float
        How long the run was known to run, in seconds.
    is_conclusive : bool
        Whether no other job ran there, or none but the task was isolated.
    is_discounted : bool
        Whether it says nothing of the task: other workers, without its step, crashed at
        about that time, or the run may not have been there.
    """

    run: int
    worker_id: str
    ran_s: float
    is_conclusive: bool
    is_discounted: bool = False


def counted_crashes(crashes: Sequence[Crash]) -> list[Crash]:
    """Return the crashes that say something of their task."""
    return [crash for crash in crashes if not crash.is_discounted]


def is_suspect(crashes: Sequence[Crash]) -> bool:
    """Tell whether crashes under a task make it a suspect: two, or one soon after its start."""
    counted = counted_crashes(crashes)
    return len(counted) > 1 or any(crash.ran_s < SUSPICION_S for crash in counted)


class StepProgress(NamedTuple):
    """Progress of one step in one occurrence.

    Parameters
    ----------
    occurrence, step : int
        Which step.
    done : tuple of int
        Tasks that have succeeded; empty when ``all_done``.
    all_done : bool
        Whether all have.
    failures : dict
        Numbers of failed runs by task; a gang counts under task 0. Numbers
        and not a count, since a report may come again after a takeover.
    checkpoints : dict
        Checkpoints of tasks that wait to go on.
    crashes : dict
        Crashes of workers by task, oldest first; by run, as failures are.
    """

    occurrence: int
    step: int
    done: tuple[int, ...] = ()
    all_done: bool = False
    failures: dict[int, tuple[int, ...]] = {}
    checkpoints: dict[int, str] = {}
    crashes: dict[int, tuple[Crash, ...]] = {}


class JobProgress(NamedTuple):
    """Progress of a job.

    Parameters
    ----------
    phase : str
        Phase as callers see it.
    steps : tuple of StepProgress
        Steps that have any.
    ended_s : float
        When it ended, seconds since 1970; 0 while it has not.
    """

    phase: str
    steps: tuple[StepProgress, ...] = ()
    ended_s: float = 0.0
