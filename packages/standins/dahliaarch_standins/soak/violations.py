"""Checks observations of callers and workers against the guarantees given to them."""

from collections import Counter, defaultdict
from collections.abc import Collection, Iterable, Iterator, Sequence
from itertools import pairwise
from typing import NamedTuple

from dahliaarch_kernel.workload import StepSpec

from ..platform import WorkerStandIn
from ..platform.workers import AcknowledgedEnd

# States of a job in which none of its tasks may run.
ENDED_STATES = frozenset(('succeeded', 'failed', 'cancelled'))

# Maximum number of starts of a task that crashes workers: three conclusive crashes and two more starts.
_MAX_CRASHING_STARTS = 5
# Number of crashes under a task from which on its job may be reported as failed.
_MIN_CRASHES_TO_GIVE_UP = 2


class Violation(NamedTuple):
    """A violated guarantee."""

    promise: str
    detail: str


class Submission(NamedTuple):
    """A caller's record of one job.

    Parameters
    ----------
    job_id, queue : str
        Ids of the job and of its queue.
    tasks : int
        Number of its tasks.
    statuses : tuple of int
        Statuses of the attempts to submit it; 0 for attempts without an answer.
    is_cancelled : bool
        Whether its cancellation was acknowledged.
    crashes_workers : bool
        Whether its task crashes each worker that starts it.
    steps : tuple of StepSpec
        Its steps.
    """

    job_id: str
    queue: str
    tasks: int
    statuses: tuple[int, ...]
    is_cancelled: bool = False
    crashes_workers: bool = False
    steps: tuple[StepSpec, ...] = ()

    @property
    def is_accepted(self) -> bool:
        """Whether the submission was acknowledged."""
        return 200 in self.statuses

    @property
    def is_refused(self) -> bool:
        """Whether every attempt was refused with a status that guarantees that the job will not run."""
        return bool(self.statuses) and all(status in {429, 503} for status in self.statuses)


class _RunInterval(NamedTuple):
    """A run of a task, from start to end, and the key under which its worker would record the end."""

    begin_s: float
    end_s: float
    run: int
    how: str
    end_key: AcknowledgedEnd


def duplicate_runs(workers: Sequence[WorkerStandIn]) -> Iterator[Violation]:
    """Yield tasks with overlapping runs, or with a run after a recorded success."""
    acknowledged_ends = {each for worker in workers for each in worker.acknowledged_ends}
    for task, intervals in _intervals_by_task(workers).items():
        for earlier, later in pairwise(sorted(intervals)):
            runs = f'{task}: {earlier.run}, then {later.run}'
            if later.begin_s < earlier.end_s:
                yield Violation('never two runs of a task at a time', runs)
            elif earlier.how == 'done' and earlier.end_key in acknowledged_ends:
                yield Violation('no run after a success that was noted', runs)


def excess_runs_of_step(submissions: Iterable[Submission], workers: Iterable[WorkerStandIn]) -> Iterator[Violation]:
    """Yield starts on a worker beside as many other tasks of their step as the step allows there."""
    limit_by_step = {
        f'{submission.job_id}.0.{number}': step.max_per_worker
        for submission in submissions
        for number, step in enumerate(submission.steps)
        if step.max_per_worker
    }
    for worker in workers:
        for (step, _), intervals in _intervals_by_step(worker).items():
            limit = limit_by_step.get(step, len(intervals))
            for each in _begun_beside(intervals, limit):
                runs = f'{each.end_key.task}, {each.run}'
                yield Violation('no worker runs more tasks of a step than it allows', f'{worker.worker_id}: {runs}')


def _intervals_by_step(worker: WorkerStandIn) -> dict[tuple[str, int], list[_RunInterval]]:
    """Return the runs on a worker by step and incarnation."""
    intervals_by_step: dict[tuple[str, int], list[_RunInterval]] = defaultdict(list)
    for task, intervals in _intervals_by_task([worker]).items():
        for interval in intervals:
            intervals_by_step[task.rpartition('.')[0], interval.end_key.incarnation].append(interval)
    return intervals_by_step


def _begun_beside(intervals: Sequence[_RunInterval], limit: int) -> Iterator[_RunInterval]:
    """Yield the runs that began while this many others, or more, were running."""
    for begun in intervals:
        if sum(other.begin_s <= begun.begin_s < other.end_s for other in intervals) > limit:
            yield begun


def _intervals_by_task(workers: Iterable[WorkerStandIn]) -> dict[str, list[_RunInterval]]:
    intervals: dict[str, list[_RunInterval]] = defaultdict(list)
    for worker in workers:
        # The next incarnation may execute a start again under the same run number.
        end_by_run = {AcknowledgedEnd(end.worker, end.task, end.run, end.incarnation): end for end in worker.ends}
        for start in worker.starts:
            end_key = AcknowledgedEnd(start.worker, start.task, start.run, start.incarnation)
            end = end_by_run.get(end_key)
            ended_s, how = (end.at_s, end.how) if end else (float('inf'), 'running')
            intervals[start.task].append(_RunInterval(start.at_s, ended_s, start.run, how, end_key))
    return intervals


def still_running(states: dict[str, str], workers: Iterable[WorkerStandIn]) -> Iterator[Violation]:
    """Yield tasks that run although their job has ended, whatever the cause."""
    for worker in workers:
        for task, run in worker.running.items():
            state = states.get(task.partition('.')[0], '')
            if state in ENDED_STATES:
                yield Violation('nothing of an ended job runs on', f'{worker.worker_id}: {task}, {run}, {state}')


def excess_crash_starts(submissions: Iterable[Submission], workers: Iterable[WorkerStandIn]) -> Iterator[Violation]:
    """Yield tasks that crash workers and were started more often than allowed."""
    crashing = {submission.job_id for submission in submissions if submission.crashes_workers}
    starts = Counter(start.task for worker in workers for start in worker.starts)
    for task, count in starts.items():
        if count > _MAX_CRASHING_STARTS and task.partition('.')[0] in crashing:
            yield Violation('a task that crashes workers is given up', f'{task}: {count} starts')


def refused_jobs_that_ran(submissions: Iterable[Submission], workers: Iterable[WorkerStandIn]) -> Iterator[Violation]:
    """Yield jobs that ran although every attempt to submit them was refused."""
    refused = {submission.job_id for submission in submissions if submission.is_refused}
    started = {start.task.partition('.')[0] for worker in workers for start in worker.starts}
    for job_id in refused & started:
        yield Violation('a refusal that says "not run" is true', job_id)


def jobs_that_may_be_given_up(workers: Iterable[WorkerStandIn]) -> set[str]:
    """Return jobs with a task under which enough workers crashed, whatever the cause, to give the task up."""
    crashes = Counter(end.task for worker in workers for end in worker.ends if end.how == 'crashed')
    return {task.partition('.')[0] for task, count in crashes.items() if count >= _MIN_CRASHES_TO_GIVE_UP}


def wrong_final_states(
    states: dict[str, str],
    submissions: Iterable[Submission],
    done: dict[str, int],
    given_up: Collection[str],
) -> Iterator[Violation]:
    """Yield accepted jobs whose reported state does not match their actual outcome.

    Parameters
    ----------
    states : dict
        Last state by job.
    submissions : iterable of Submission
        Submitted jobs.
    done : dict
        Number of successful tasks by job.
    given_up : collection of str
        Jobs that may be reported as failed.
    """
    for submission in submissions:
        state = states.get(submission.job_id, '')
        if state == 'failed' and submission.job_id in given_up:
            continue
        violation = _wrong_final_state(submission, state, done.get(submission.job_id, 0))
        if submission.is_accepted and violation is not None:
            yield violation


def _wrong_final_state(submission: Submission, state: str, done: int) -> Violation | None:
    if state == 'succeeded':
        if done < submission.tasks:
            return Violation('a job is shown as succeeded once its tasks are', submission.job_id)
        return None
    if submission.is_cancelled and state == 'cancelled':
        return None
    return Violation('an accepted job is done', f'{submission.job_id}: {state or "no answer"}')
