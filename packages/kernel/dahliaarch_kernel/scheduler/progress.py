"""The part of a job's state that must outlast every instance."""

from typing import NamedTuple


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
    """

    occurrence: int
    step: int
    done: tuple[int, ...] = ()
    all_done: bool = False
    failures: dict[int, tuple[int, ...]] = {}
    checkpoints: dict[int, str] = {}


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
