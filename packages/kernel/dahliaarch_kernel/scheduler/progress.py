"""The part of a job's state that is saved in the store and survives the loss of every instance."""

from collections.abc import Sequence
from typing import NamedTuple

# Margin for attributing crashes, in seconds; progress is reported once a second. A run
# that outlasts the task's crashed runs by this margin clears the task. A crash of a
# run that is known to have lasted for less than this makes the task a suspect.
SUSPICION_S = 1.0


class Crash(NamedTuple):
    """A worker crash during a run of a task.

    Parameters
    ----------
    run : int
        Number of the run that was lost.
    worker_id : str
        Identifier of the worker incarnation.
    ran_s : float
        How long the run was known to run, in seconds.
    is_conclusive : bool
        Whether the run was isolated, or no other job had runs on the worker.
    is_discounted : bool
        Whether it is no evidence against the task: other workers without tasks of its step
        crashed at about the same time, or the run may not have been on the worker.
    """

    run: int
    worker_id: str
    ran_s: float
    is_conclusive: bool
    is_discounted: bool = False


def counted_crashes(crashes: Sequence[Crash]) -> list[Crash]:
    """Return the crashes that are not discounted."""
    return [crash for crash in crashes if not crash.is_discounted]


def is_suspect(crashes: Sequence[Crash]) -> bool:
    """Return whether its crashes make a task a suspect: two of them, or one soon after a start."""
    counted = counted_crashes(crashes)
    return len(counted) > 1 or any(crash.ran_s < SUSPICION_S for crash in counted)


class StepProgress(NamedTuple):
    """Progress of one step in one occurrence.

    Parameters
    ----------
    occurrence, step : int
        Numbers of the occurrence and of the step in the job.
    done : tuple of int
        Tasks that have succeeded; empty when ``all_done``.
    all_done : bool
        Whether all tasks have succeeded.
    failures : dict
        Numbers of failed runs by task; those of a gang are stored under task 0. Run numbers
        are stored rather than a count, since a report may be repeated after a takeover.
    checkpoints : dict
        Checkpoints by task, for unfinished tasks that can resume.
    crashes : dict
        Worker crashes by task, oldest first; one per run, as for failures.
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
        Phase as shown to callers.
    steps : tuple of StepProgress
        Progress of the steps that have any.
    ended_s : float
        When the job ended, in seconds since 1970; 0 if it has not ended.
    """

    phase: str
    steps: tuple[StepProgress, ...] = ()
    ended_s: float = 0.0
