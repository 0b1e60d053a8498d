"""Measures scheduling passes while jobs arrive and tasks complete."""

import random
import statistics
import time
from typing import NamedTuple

from dahliaarch_kernel.configuration import Queue
from dahliaarch_kernel.scheduler import EndKind, Moment, Scheduler, SchedulerSettings, StartRun, WorkerProfile
from dahliaarch_kernel.scheduler.events import RunEnd
from dahliaarch_kernel.workload import JobSpec, Resources, StepSpec, TaskKey

_WORKER_CAPACITY = Resources(64_000, 262_144, 8)
_WORKERS_PER_RACK = 12
_QUEUES = tuple(
    Queue(f'q{priority}', 'h', f'/{priority}/', 'svc', priority, max_attempts=4, stretch=3.0, target_latency_s=1.0)
    for priority in range(3)
)
_WALL_CLOCK_OFFSET_S = 1_700_000_000.0
# Simulated time between two passes, in seconds.
_PASS_INTERVAL_S = 0.05
# Tasks that complete between two passes.
_COMPLETIONS_PER_PASS = 4
_QUANTILE_COUNT = 100


class BenchResult(NamedTuple):
    """Durations of scheduling passes.

    Parameters
    ----------
    workers, waiting_tasks, passes : int
        Workers in the pool, waiting tasks at each pass, and measured passes.
    p50_ms, p99_ms : float
        Median and 99th percentile of the durations, in milliseconds.
    """

    workers: int
    waiting_tasks: int
    passes: int
    p50_ms: float
    p99_ms: float


def run_bench(workers: int, waiting_tasks: int, passes: int, seed: int) -> BenchResult:
    """Run the benchmark and return the durations of its passes.

    Parameters
    ----------
    workers : int
        Workers in the pool.
    waiting_tasks : int
        Minimum number of waiting tasks; jobs are added before each pass to maintain it.
    passes : int
        Passes to measure.
    seed : int
        Seed for the random jobs and task completions.
    """
    load = _SimulatedLoad(workers, random.Random(seed))
    durations_ms = []
    for _ in range(passes):
        load.fill(waiting_tasks)
        durations_ms.append(load.run_pass())
    quantiles = statistics.quantiles(durations_ms, n=_QUANTILE_COUNT)
    return BenchResult(workers, waiting_tasks, passes, statistics.median(durations_ms), quantiles[-1])


class _SimulatedLoad:
    """A scheduler under a simulated load of arriving jobs and completing tasks."""

    def __init__(self, workers: int, rng: random.Random) -> None:
        self._rng = rng
        self._now_s = 1000.0
        self._job_count = 0
        self._running: list[StartRun] = []
        self._scheduler = Scheduler(SchedulerSettings(), epoch=1)
        for number in range(workers):
            profile = WorkerProfile(
                f'w{number}', 'svc', 'z', _WORKER_CAPACITY, ('a', f'r{number // _WORKERS_PER_RACK}')
            )
            self._scheduler.update_worker(profile, self._now)
            self._scheduler.worker_surveyed(f'w{number}', (), self._now_s, self._now)

    @property
    def _now(self) -> Moment:
        return Moment(self._now_s, _WALL_CLOCK_OFFSET_S + self._now_s)

    def fill(self, waiting_tasks: int) -> None:
        """Add jobs until at least this many tasks wait."""
        jobs = self._scheduler.job_by_id.values()
        waiting = sum(len(step.pending) for job in jobs for step in job.step_by_key.values())
        while waiting < waiting_tasks:
            step = self._draw_step()
            self._job_count += 1
            queue = self._rng.choice(_QUEUES)
            spec = JobSpec(f'{self._job_count:016x}', 'account', queue.name, '', (step,), accepted_s=self._now.wall_s)
            self._scheduler.add_job(spec, queue, self._now)
            waiting += step.task_count

    def run_pass(self) -> float:
        """Complete some tasks and run one pass; return its duration in milliseconds."""
        self._now_s += _PASS_INTERVAL_S
        for _ in range(min(_COMPLETIONS_PER_PASS, len(self._running))):
            ended = self._running.pop(self._rng.randrange(len(self._running)))
            self._complete(ended)
        started_s = time.perf_counter()
        effects = self._scheduler.decide(self._now)
        duration_s = time.perf_counter() - started_s
        for effect in effects:
            if isinstance(effect, StartRun):
                self._running.append(effect)
                self._scheduler.run_started(effect.worker_id, effect.key, effect.run, self._now)
        return duration_s * 1000

    def _complete(self, start: StartRun) -> None:
        key: TaskKey = start.key
        end = RunEnd(start.worker_id, key, start.run, EndKind.DONE)
        self._scheduler.run_ended(end, self._now)

    def _draw_step(self) -> StepSpec:
        gang = self._rng.random() < _GANG_SHARE
        accelerators = self._rng.choice((1, 2, 4, 8)) if gang else 1
        demand = Resources(6_000, 23_000, accelerators)
        count = self._rng.randint(1, 12) if gang else self._rng.randint(4, 40)
        return StepSpec(count, demand, self._rng.uniform(2.0, 10.0), gang=gang, same_rack=gang)


_GANG_SHARE = 0.6
