"""Checks that no ready job lacks running tasks while capacity is idle, as observed on the workers.

A job counts as waiting while all of these hold in consecutive samples:

- it was accepted and not cancelled, and may not be shown as failed;
- none of its tasks runs, none has recently crashed a worker, and a task is ready to
  start;
- free capacity suffices for twice that task, or twice its whole gang;
- less than half of the capacity is in use, where the capacity of workers that crashed
  recently counts as used;
- the system has been undisturbed for a while. Disturbances are faults, daemons that
  exit by themselves, and late samples, since runs between the samples are not seen.
"""

import json
import time
from collections.abc import AsyncGenerator, Iterable, Iterator, Sequence, Set
from contextlib import asynccontextmanager
from itertools import chain
from operator import attrgetter, itemgetter
from pathlib import Path
from typing import Any, NamedTuple

import anyio

from dahliaarch_kernel.workload import NO_RESOURCES, Resources, StepSpec, weighted_cores

from ..platform import WorkerStandIn
from .contact import QUIET_PERIOD_S
from .system import System
from .violations import jobs_that_may_be_given_up, Submission, Violation

# Longest time that a ready job may wait without a running task, in seconds.
MAX_READY_WAIT_S = 3.0
# Utilization at and above which capacity does not count as idle.
_MAX_IDLE_UTILIZATION = 0.5
# Interval between two samples, and the longest gap that does not count as a disturbance, in seconds.
_SAMPLE_INTERVAL_S = 0.1
_MAX_SAMPLE_GAP_S = 0.5
# Maximum number of reported waits: a single cause usually delays many jobs.
_MAX_REPORTED_WAITS = 5


class _Wait(NamedTuple):
    """A period in which a ready job had no running task."""

    job_id: str
    begin_s: float
    end_s: float

    @property
    def length_s(self) -> float:
        """Duration in seconds."""
        return self.end_s - self.begin_s


class ReadyWorkCheck:
    """Samples the workers periodically and records how long ready jobs wait.

    Parameters
    ----------
    submissions : sequence of Submission
        Submitted jobs.
    workers : sequence of WorkerStandIn
        The workers.
    now_s : float
        Time at which the last fault ended.
    """

    def __init__(self, submissions: Sequence[Submission], workers: Sequence[WorkerStandIn], now_s: float) -> None:
        """Start without samples."""
        self._submissions = submissions
        self._demand_by_task: dict[str, Resources] = {}
        for submission in submissions:
            for number, step in enumerate(submission.steps):
                self._demand_by_task.update(dict.fromkeys(_tasks(submission, number), step.demand))
        self._workers = workers
        self._stable_since_s = now_s
        self._sampled_s = now_s
        self._wait_by_job: dict[str, _Wait] = {}
        self._waits: list[_Wait] = []

    def record_disturbance(self, now_s: float) -> None:
        """Record a disturbance that ends now."""
        self._stable_since_s = max(self._stable_since_s, now_s)

    def sample(self, now_s: float) -> None:
        """Take a sample of the workers."""
        if now_s - self._sampled_s > _MAX_SAMPLE_GAP_S:
            self.record_disturbance(now_s)
        is_stable = now_s - self._stable_since_s > QUIET_PERIOD_S
        waiting = set(self._waiting(now_s)) if is_stable else set()
        earlier = self._wait_by_job
        self._wait_by_job = {job_id: _Wait(job_id, now_s, now_s) for job_id in waiting}
        for job_id, wait in earlier.items():
            if job_id in waiting:
                self._wait_by_job[job_id] = wait._replace(end_s=now_s)
            else:
                self._waits.append(wait)
        self._sampled_s = now_s

    def violations(self, logs: Iterable[Path]) -> Iterator[Violation]:
        """Yield jobs that waited too long, longest first, each with its last step_waiting line.

        Parameters
        ----------
        logs : iterable of Path
            Logs of the daemons.
        """
        waits = [wait for wait in (*self._waits, *self._wait_by_job.values()) if wait.length_s >= MAX_READY_WAIT_S]
        if not waits:
            return
        longest = sorted(waits, key=attrgetter('length_s'), reverse=True)[:_MAX_REPORTED_WAITS]
        lines = list(_waiting_lines(logs))
        wall_s = time.time() - time.monotonic()
        for wait in longest:
            begin_s, end_s = wait.begin_s + wall_s, wait.end_s + wall_s
            about = [line for line in lines if line['job'] == wait.job_id and line['at'] <= end_s]
            last = json.dumps(max(about, key=itemgetter('at'))) if about else 'no step_waiting line'
            detail = f'{wait.job_id}: nothing ran from {begin_s:.3f} to {end_s:.3f} (one of {len(waits)}); {last}'
            yield Violation('a ready job does not wait beside idle capacity', detail)

    def _waiting(self, now_s: float) -> Iterator[str]:
        """Yield ready jobs without a running task while capacity is idle."""
        crashed = {
            worker: {end.task for end in worker.ends if end.how == 'crashed' and now_s - end.at_s <= QUIET_PERIOD_S}
            for worker in self._workers
        }
        free = [NO_RESOURCES if crashed[worker] else self._free(worker) for worker in self._workers]
        capacity = sum(weighted_cores(worker.capacity) for worker in self._workers)
        if sum(map(weighted_cores, free)) <= (1 - _MAX_IDLE_UTILIZATION) * capacity:
            return
        begun = (start.task for worker in self._workers for start in worker.starts if start.at_s >= self._sampled_s)
        running = (task for worker in self._workers for task in worker.running)
        recent = {task.partition('.')[0] for task in (*begun, *running, *chain.from_iterable(crashed.values()))}
        passed_over = recent | jobs_that_may_be_given_up(self._workers)
        done = {end.task for worker in self._workers for end in worker.ends if end.how == 'done'}
        for submission in self._submissions:
            if submission.is_accepted and not submission.is_cancelled and submission.job_id not in passed_over:
                if _has_room_twice(submission, done, free):
                    yield submission.job_id

    def _free(self, worker: WorkerStandIn) -> Resources:
        free = worker.capacity
        for task in worker.running:
            free = free.minus(self._demand_by_task[task])
        return free


@asynccontextmanager
async def watch_ready_work(system: System, submissions: Sequence[Submission]) -> AsyncGenerator[ReadyWorkCheck]:
    """Sample the workers while the context is open; faults and submissions must be over."""
    check = ReadyWorkCheck(submissions, system.deployment.workers, time.monotonic())
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_sample_forever, system, check)
        yield check
        tasks.cancel_scope.cancel()


async def _sample_forever(system: System, check: ReadyWorkCheck) -> None:
    exit_count = len(system.unexpected_exits)
    while True:
        if len(system.unexpected_exits) > exit_count:
            exit_count = len(system.unexpected_exits)
            check.record_disturbance(time.monotonic())
        check.sample(time.monotonic())
        await anyio.sleep(_SAMPLE_INTERVAL_S)


def _has_room_twice(submission: Submission, done: Set[str], free: Sequence[Resources]) -> bool:
    """Return whether free capacity suffices for twice a ready task or gang."""
    return any(
        sum(_count_fitting(each, step.demand) for each in free) >= 2 * (step.task_count if step.gang else 1)
        for step in _ready_steps(submission, done)
    )


def _count_fitting(free: Resources, demand: Resources) -> int:
    """Return how many tasks of a demand fit into free resources."""
    return max(0, min(has // wants for has, wants in zip(free, demand, strict=True) if wants))


def _ready_steps(submission: Submission, done: Set[str]) -> Iterator[StepSpec]:
    """Yield unfinished steps whose dependencies are complete."""
    unfinished = {number for number in range(len(submission.steps)) if not _tasks(submission, number) <= done}
    for number in unfinished:
        if unfinished.isdisjoint(submission.steps[number].after):
            yield submission.steps[number]


def _tasks(submission: Submission, number: int) -> set[str]:
    """Return the names of the tasks of a step, as used by the workers."""
    return {f'{submission.job_id}.0.{number}.{index}' for index in range(submission.steps[number].task_count)}


def _waiting_lines(logs: Iterable[Path]) -> Iterator[dict[str, Any]]:
    """Yield the step_waiting lines of the logs."""
    for path in logs:
        for text in path.read_text(encoding='utf-8').splitlines():
            if '"event":"step_waiting"' in text:
                yield json.loads(text)
