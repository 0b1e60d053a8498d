"""Orders and queries that the scheduler asks its caller to send."""

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
        Checkpoint to resume from; empty to start from the beginning.
    rank : int
        Rank of the step at the decision, for the log.
    expected_s : float
        Expected run time on this worker, for the log.
    ticket : str
        Ticket of the external policy, if the queue needs one.
    account : str
        Account of the job, for the log.
    account_level : int
        Level of overuse of the account, for the log.
    account_ratio : float
        Overuse ratio of the account, for the log.
    slowdown : float
        Factor by which the run is expected to take longer there than on a healthy worker, for the log.
    p50_s, p90_s : float
        Run times that the run was predicted not to exceed with probabilities of 0.5 and 0.9,
        for the log; 0 if its run time is not the usual one of its task.
    """

    worker_id: str
    key: TaskKey
    run: int
    checkpoint: str
    rank: int = 0
    expected_s: float = 0.0
    ticket: str = ''
    account: str = ''
    account_level: int = 0
    account_ratio: float = 1.0
    slowdown: float = 1.0
    p50_s: float = 0.0
    p90_s: float = 0.0


class StopRun(NamedTuple):
    """Order a worker to stop a run, or not to start it at all.

    Parameters
    ----------
    worker_id : str
        The worker.
    key : TaskKey
        The task.
    run : int
        Number of the run.
    reason : str
        Reason for the stop, for the log.
    """

    worker_id: str
    key: TaskKey
    run: int
    reason: str


class AskAdvice(NamedTuple):
    """Query the external policy for the workers that may run a step.

    Parameters
    ----------
    step : StepKey
        The step.
    worker_ids : tuple of str
        Workers that the query names.
    terms : AdviceTerms
        Time costs of the call and validity of its tickets.
    """

    step: StepKey
    worker_ids: tuple[str, ...]
    terms: AdviceTerms


Effect = StartRun | StopRun | AskAdvice
