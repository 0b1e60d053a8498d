"""What the scheduler wants done."""

from typing import NamedTuple

from ..configuration import AdviceTerms
from ..workload import StepKey, TaskKey


class StartRun(NamedTuple):
    """Order a worker to start a run.

    Parameters
    ----------
    worker_id : str
        The worker.
    key : TaskKey
        The task.
    run : int
        Number of the run.
    checkpoint : str
        Where to go on from; empty for the beginning.
    rank : int
        Rank that its step had, for the log.
    expected_s : float
        Run time that was expected there, for the log.
    ticket : str
        The outside policy's consent, where one is needed.
    """

    worker_id: str
    key: TaskKey
    run: int
    checkpoint: str
    rank: int = 0
    expected_s: float = 0.0
    ticket: str = ''


class StopRun(NamedTuple):
    """Order a worker to stop a run, or never to start it.

    Parameters
    ----------
    worker_id : str
        The worker.
    key : TaskKey
        The task.
    run : int
        Number of the run.
    reason : str
        Why, for the log.
    """

    worker_id: str
    key: TaskKey
    run: int
    reason: str


class AskAdvice(NamedTuple):
    """Ask the outside policy which workers may run a step.

    Parameters
    ----------
    step : StepKey
        The step.
    worker_ids : tuple of str
        Workers to ask about.
    terms : AdviceTerms
        What the call costs.
    """

    step: StepKey
    worker_ids: tuple[str, ...]
    terms: AdviceTerms


Effect = StartRun | StopRun | AskAdvice
