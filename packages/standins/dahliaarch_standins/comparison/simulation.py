"""Plays a day of jobs against a scheduler under a fake clock."""

import heapq
import random
from collections.abc import Callable
from functools import partial
from itertools import count
from typing import Protocol

from dahliaarch_kernel.configuration import Queue
from dahliaarch_kernel.scheduler import Effect, EndKind, Moment, StartRun, StopRun, WorkerProfile
from dahliaarch_kernel.scheduler.events import RunEnd, RunSeen
from dahliaarch_kernel.workload import JobSpec, Resources, TaskKey, weighted_cores

from .deployments import Deployment
from .workload import DrawnJob, queue_of, SERVICE, WALL_S

# Time from an order to what it does, in seconds: one message each way.
_ORDER_S = 0.005
# News within this time share a pass, in seconds.
_GATHER_S = 0.01
# Longest time between two passes, in seconds.
_PASS_EVERY_S = 0.25
# How often workers tell of progress, in seconds.
_SURVEY_S = 1.0
# Shortest time that a stop takes, in seconds.
_LEAST_STOP_S = 0.05
_PERCENT = 100
_MS = 1000


class Decider(Protocol):
    """What a comparison needs of a scheduler."""

    def add_job(self, spec: JobSpec, queue: Queue, now: Moment) -> bool:
        """Take in an accepted job."""
        ...

    def cancel(self, job_id: str, now: Moment) -> bool:
        """Cancel a job."""
        ...

    def update_worker(self, profile: WorkerProfile, now: Moment) -> bool:
        """Take in a worker."""
        ...

    def worker_surveyed(self, worker_id: str, running: list[RunSeen], begun_s: float, now: Moment) -> None:
        """Take in what runs on a worker."""
        ...

    def run_started(self, worker_id: str, key: TaskKey, run: int, now: Moment) -> None:
        """Take in that a run has begun."""
        ...

    def run_ended(self, end: RunEnd, now: Moment) -> None:
        """Take in the end of a run."""
        ...

    def decide(self, now: Moment) -> list[Effect]:
        """Decide what to start and stop."""
        ...


class Execution:
    """One run on one worker: what is true of it."""

    def __init__(self, start: StartRun, job: DrawnJob, begun_s: float, saved_s: float) -> None:
        """Begin to work."""
        self.start = start
        self.job = job
        self.begun_s = begun_s
        self.saved_s = saved_s
        self.ends_s = begun_s
        self.slowdown = 1.0
        self.is_over = False

    @property
    def work_s(self) -> float:
        """Work of its task."""
        key = self.start.key
        return self.job.work_s[key.step][key.task_index]

    @property
    def demand(self) -> Resources:
        """What it holds."""
        return self.job.spec.steps[self.start.key.step].demand

    def done_s(self, now_s: float) -> float:
        """Return the work done by a time, saved work included."""
        return min(self.work_s, self.saved_s + max(0.0, now_s - self.begun_s) / self.slowdown)


class Simulation:
    """A pool of workers that carries out what a scheduler decides.

    Parameters
    ----------
    deployment : Deployment
        The pool.
    jobs : list of DrawnJob
        The day.
    scheduler : Decider
        What decides.
    seed : int
        Seed of failures and of how long stops take.

    Attributes
    ----------
    ended_s_by_job : dict
        When each job's last task succeeded.
    begun_s_by_job : dict
        When each job's first task began.
    wasted, worked : float
        Weighted core-seconds that were thrown away, and all that were spent.
    idle_while_waiting : list of float
        Shares of accelerators that were free while a gang waited.
    """

    def __init__(self, deployment: Deployment, jobs: list[DrawnJob], scheduler: Decider, seed: int) -> None:
        """Prepare the pool."""
        self.ended_s_by_job: dict[str, float] = {}
        self.begun_s_by_job: dict[str, float] = {}
        self.wasted = 0.0
        self.worked = 0.0
        self.idle_while_waiting: list[float] = []
        self._deployment = deployment
        self._scheduler = scheduler
        self._choice = random.Random(seed)
        self._job_by_id = {job.spec.job_id: job for job in jobs}
        self._profile_by_id = _profiles(deployment)
        self._speed_by_id = _speeds(deployment, self._choice)
        self._execution_by_run: dict[tuple[TaskKey, int], Execution] = {}
        self._done_by_job: dict[str, set[TaskKey]] = {}
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = count()
        self._now_s = 0.0
        self._pass_at_s = 0.0
        for job in jobs:
            self._at(job.at_s, partial(self._submit, job))
            if job.cancel_at_s is not None:
                self._at(job.cancel_at_s, partial(self._cancel, job))

    def run(self, until_s: float) -> None:
        """Play until a time."""
        for worker_id, profile in self._profile_by_id.items():
            self._scheduler.update_worker(profile, self._moment)
            self._at(self._choice.uniform(0.0, _SURVEY_S), partial(self._survey, worker_id))
            self._scheduler.worker_surveyed(worker_id, [], 0.0, self._moment)
        self._ask_pass(0.0)
        while self._events and self._events[0][0] <= until_s:
            self._now_s, _, act = heapq.heappop(self._events)
            act()

    @property
    def _moment(self) -> Moment:
        return Moment(self._now_s, WALL_S + self._now_s)

    def _at(self, at_s: float, act: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._numbers), act))

    def _ask_pass(self, after_s: float) -> None:
        """Have a pass soon; one that comes sooner takes its place."""
        at_s = self._now_s + after_s
        if self._pass_at_s > self._now_s and self._pass_at_s <= at_s:
            return
        self._pass_at_s = at_s
        self._at(at_s, partial(self._pass, at_s))

    def _pass(self, at_s: float) -> None:
        if at_s < self._pass_at_s:
            return
        for effect in self._scheduler.decide(self._moment):
            if isinstance(effect, StartRun):
                self._at(self._now_s + _ORDER_S, partial(self._start, effect))
            elif isinstance(effect, StopRun):
                self._at(self._now_s + self._stop_s(), partial(self._stop, effect))
        self._note_idle()
        self._ask_pass(_PASS_EVERY_S)

    def _stop_s(self) -> float:
        return self._choice.uniform(_LEAST_STOP_S, self._deployment.pool.largest_stop_s)

    def _submit(self, job: DrawnJob) -> None:
        self._scheduler.add_job(job.spec, queue_of(job.kind), self._moment)
        self._ask_pass(_GATHER_S)

    def _cancel(self, job: DrawnJob) -> None:
        self._scheduler.cancel(job.spec.job_id, self._moment)
        self._ask_pass(_GATHER_S)

    def _survey(self, worker_id: str) -> None:
        running = [
            RunSeen(each.start.key, each.start.run, '', int(_PERCENT * each.done_s(self._now_s) / each.work_s))
            for each in self._execution_by_run.values()
            if each.start.worker_id == worker_id
        ]
        self._scheduler.worker_surveyed(worker_id, running, self._now_s, self._moment)
        self._at(self._now_s + _SURVEY_S, partial(self._survey, worker_id))

    def _start(self, start: StartRun) -> None:
        job = self._job_by_id[start.key.job_id]
        saved_s = float(start.checkpoint or 0) / _MS
        restore_s = self._deployment.pool.restore_s if saved_s else 0.0
        execution = Execution(start, job, self._now_s + restore_s, saved_s)
        self._execution_by_run[start.key, start.run] = execution
        self.begun_s_by_job.setdefault(start.key.job_id, self._now_s)
        self._scheduler.run_started(start.worker_id, start.key, start.run, self._moment)
        step = job.spec.steps[start.key.step]
        members = self._members(execution)
        if step.gang and len(members) < step.task_count:
            return
        self._work(members if step.gang else [execution])

    def _members(self, execution: Execution) -> list[Execution]:
        """Return the runs of an execution's gang, or itself alone."""
        start = execution.start
        if not execution.job.spec.steps[start.key.step].gang:
            return [execution]
        return [
            each
            for each in self._execution_by_run.values()
            if each.start.run == start.run and each.start.key[:3] == start.key[:3]
        ]

    def _work(self, members: list[Execution]) -> None:
        """Let runs work together from now on, and plan their end."""
        first = members[0]
        step = first.job.spec.steps[first.start.key.step]
        slowdown = max(self._speed_by_id[each.start.worker_id] for each in members)
        racks = {self._profile_by_id[each.start.worker_id].labels[1] for each in members}
        if step.same_rack and len(racks) > 1:
            slowdown *= self._deployment.pool.far_factor
        fails = first.job.is_hopeless or self._choice.random() < first.job.kind.failing_share
        for each in members:
            each.begun_s = max(each.begun_s, self._now_s)
            each.slowdown = slowdown
        left_s = (first.work_s - first.saved_s) * slowdown
        if fails:
            left_s *= self._choice.random()
        ends_s = first.begun_s + left_s
        self._at(ends_s, partial(self._finish, members, EndKind.FAILED if fails else EndKind.DONE))

    def _finish(self, members: list[Execution], kind: EndKind) -> None:
        if any(each.is_over for each in members):
            return
        for number, each in enumerate(members):
            is_blamed = kind is EndKind.DONE or number == 0
            self._end(each, kind if is_blamed else EndKind.BROKEN)
        self._ask_pass(_GATHER_S)

    def _stop(self, stop: StopRun) -> None:
        execution = self._execution_by_run.get((stop.key, stop.run))
        if execution is None:
            return
        for member in self._members(execution):
            self._end(member, EndKind.STOPPED)
        self._ask_pass(_GATHER_S)

    def _end(self, execution: Execution, kind: EndKind) -> None:
        start = execution.start
        execution.is_over = True
        del self._execution_by_run[start.key, start.run]
        step = execution.job.spec.steps[start.key.step]
        checkpoint = ''
        spent_s = self._now_s - execution.begun_s
        kept_s = spent_s if kind is EndKind.DONE else 0.0
        if step.checkpoints and kind is not EndKind.DONE:
            saved_s = execution.done_s(self._now_s)
            kept_s = (saved_s - execution.saved_s) * execution.slowdown
            checkpoint = f'{int(saved_s * _MS):08d}'
        cores = weighted_cores(execution.demand)
        self.worked += cores * spent_s
        self.wasted += cores * max(0.0, spent_s - kept_s)
        if kind is EndKind.DONE:
            self._note_done(execution)
        end = RunEnd(start.worker_id, start.key, start.run, kind, checkpoint)
        self._scheduler.run_ended(end, self._moment)

    def _note_done(self, execution: Execution) -> None:
        job_id = execution.start.key.job_id
        done = self._done_by_job.setdefault(job_id, set())
        done.add(execution.start.key)
        if len(done) == sum(step.task_count for step in execution.job.spec.steps):
            self.ended_s_by_job[job_id] = self._now_s

    def _note_idle(self) -> None:
        """Note the share of accelerators that are free while a gang waits."""
        if not any(self._waits(job) for job in self._job_by_id.values()):
            return
        pool = self._deployment.pool
        used = sum(each.demand.accelerators for each in self._execution_by_run.values())
        self.idle_while_waiting.append(1.0 - used / (pool.workers * pool.capacity.accelerators))

    def _waits(self, job: DrawnJob) -> bool:
        """Tell whether a job is a gang that was submitted and has not begun."""
        job_id = job.spec.job_id
        has_come = job.at_s <= self._now_s and (job.cancel_at_s is None or job.cancel_at_s > self._now_s)
        return has_come and job.spec.steps[0].gang and job_id not in self.begun_s_by_job


def _profiles(deployment: Deployment) -> dict[str, WorkerProfile]:
    pool = deployment.pool
    return {
        f'w{number}': WorkerProfile(
            f'w{number}', SERVICE, 'z', pool.capacity, ('a', f'r{number // pool.workers_per_rack}')
        )
        for number in range(pool.workers)
    }


def _speeds(deployment: Deployment, choice: random.Random) -> dict[str, float]:
    speeds = deployment.pool.speeds
    numbers = list(range(deployment.pool.workers))
    choice.shuffle(numbers)
    return {f'w{number}': speeds[place % len(speeds)] for place, number in enumerate(numbers)}
