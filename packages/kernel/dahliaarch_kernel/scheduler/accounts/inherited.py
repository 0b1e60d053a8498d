"""Usage of accounts from before this owner's time, derived from the jobs and progress in the store.

Handles a load in which an owner is lost while one account is far over its share: without this, the next owner
would serve that account's burst once more before the others.
"""

from collections.abc import Iterator
from typing import NamedTuple

from ...workload import Resources
from ..clock import Moment
from ..job_state import JobState, StepState
from ..prediction import RunTimes
from ..room import effective_demand

# Age from which past usage is negligible, as a multiple of the half-life.
_MAX_AGE_PER_HALF_LIFE = 10.0


class PastUsage(NamedTuple):
    """Resources that tasks of one step have held before.

    Parameters
    ----------
    account : str
        Account of the job.
    demand : Resources
        Resources of one task.
    task_seconds : float
        Time for which they were held, summed over the tasks, in seconds.
    age_s : float
        How long ago they were held on average, in seconds.
    """

    account: str
    demand: Resources
    task_seconds: float
    age_s: float


def past_usage(job: JobState, times: RunTimes, now: Moment, half_life_s: float) -> Iterator[PastUsage]:
    """Yield the usage of a job's tasks that are done and of those that a previous owner started.

    The store does not hold when tasks ran. Done tasks count as run, each for its expected time, until the job ended or,
    if it has not, from its acceptance on; never for longer than the job has been known.

    Parameters
    ----------
    job : JobState
        The job, with its progress and assignments restored.
    times : RunTimes
        Predicts run times.
    now : Moment
        The current time.
    half_life_s : float
        Time after which past usage counts half, in seconds.
    """
    until_s = job.ended_s if job.has_ended else now.wall_s
    known_s = max(0.0, until_s - job.spec.accepted_s)
    ended_ago_s = max(0.0, now.wall_s - until_s)
    if ended_ago_s > _MAX_AGE_PER_HALF_LIFE * half_life_s:
        return
    account = job.spec.account
    for step in job.step_by_key.values():
        demand = effective_demand(step)
        if step.done:
            ran_s = min(times.expect_s(job.queue.name, step.spec), known_s)
            age_s = ended_ago_s + (ran_s / 2 if job.has_ended else known_s - ran_s / 2)
            yield PastUsage(account, demand, ran_s * len(step.done), age_s)
        running_s = sum(min(known_s, elapsed_s) for elapsed_s in _elapsed_s(step, now))
        if running_s:
            yield PastUsage(account, demand, running_s, running_s / len(step.run_by_index) / 2)


def _elapsed_s(step: StepState, now: Moment) -> Iterator[float]:
    """Yield for how long each run of a step has lasted."""
    for run in step.run_by_index.values():
        yield max(0.0, now.steady_s - run.started_s)
