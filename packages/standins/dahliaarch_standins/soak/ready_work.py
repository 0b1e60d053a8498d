"""Whether a ready job has nothing running beside idle capacity, from what the workers see.

A job counts while all of these hold, from look to look:

- it was accepted and not cancelled, and may not be shown as failed;
- nothing of it runs, nothing of it has crashed a worker of late, and a task's turn
  has come;
- free capacity holds that task, or its whole gang, twice;
- less than half of the capacity is in use, that of workers which crashed of late
  counted as used;
- nothing has disturbed the system for a while: faults, daemons that ended by
  themselves, and looks that came late, which hide what ran meanwhile.
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
from .violations import may_be_given_up, Submission, Violation

# Longest time that a ready job may have nothing running, in seconds.
MAX_READY_WAIT_S = 3.0
# Share of the capacity in use from which on it is not idle.
_MAX_IDLE_UTILIZATION = 0.5
# Pause between two looks, and the longest after which they still tell what was between, in seconds.
_SAMPLE_INTERVAL_S = 0.1
_MAX_SAMPLE_GAP_S = 0.5
# Waits that are told of at most: one cause holds up many jobs.
_MAX_REPORTED_WAITS = 5


class _Wait(NamedTuple):
    """A time in which a ready job had nothing running."""

    job_id: str
    begin_s: float
    end_s: float

    @property
    def length_s(self) -> float:
        """How long it lasted, in seconds."""
        return self.end_s - self.begin_s


class ReadyWorkCheck:
    """Looks at the workers again and again.

    Parameters
    ----------
    submissions : sequence of Submission
        What was handed in.
    workers : sequence of WorkerStandIn
        The workers.
    now_s : float
        When the last fault ended.
    """

    def __init__(self, submissions: Sequence[Submission], workers: Sequence[WorkerStandIn], now_s: float) -> None:
        """Start with nothing seen."""
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
        """Note a disturbance that ends now."""
        self._stable_since_s = max(self._stable_since_s, now_s)

    def sample(self, now_s: float) -> None:
        """Take in what runs at this moment."""
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
        """Yield the jobs that waited for too long, the longest first, with the last that an owner logged of it.

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
        """Yield the jobs that are ready and have nothing running beside idle capacity."""
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
        passed_over = recent | may_be_given_up(self._workers)
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
    """Look at the workers for as long as the context is open; faults and traffic are over."""
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
    """Tell whether a task or gang whose turn has come would find room twice."""
    return any(
        sum(_count_fitting(each, step.demand) for each in free) >= 2 * (step.task_count if step.gang else 1)
        for step in _ready_steps(submission, done)
    )


def _count_fitting(free: Resources, demand: Resources) -> int:
    """Return how many tasks of a demand find room."""
    return max(0, min(has // wants for has, wants in zip(free, demand, strict=True) if wants))


def _ready_steps(submission: Submission, done: Set[str]) -> Iterator[StepSpec]:
    """Yield the steps with a task whose turn has come."""
    unfinished = {number for number in range(len(submission.steps)) if not _tasks(submission, number) <= done}
    for number in unfinished:
        if unfinished.isdisjoint(submission.steps[number].after):
            yield submission.steps[number]


def _tasks(submission: Submission, number: int) -> set[str]:
    """Return the tasks of a step, as the workers name them."""
    return {f'{submission.job_id}.0.{number}.{index}' for index in range(submission.steps[number].task_count)}


def _waiting_lines(logs: Iterable[Path]) -> Iterator[dict[str, Any]]:
    """Yield what owners logged of steps that wait."""
    for path in logs:
        for text in path.read_text(encoding='utf-8').splitlines():
            if '"event":"step_waiting"' in text:
                yield json.loads(text)
