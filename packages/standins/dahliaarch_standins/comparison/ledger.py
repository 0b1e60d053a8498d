"""Outcome of each job of a simulated day, and the work that was lost."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from enum import StrEnum
from typing import NamedTuple

from dahliaarch_kernel.scheduler import EndKind, StopRun
from dahliaarch_kernel.scheduler.events import RunEnd
from dahliaarch_kernel.workload import TaskKey

from .executions import Execution, PlayedWorker, saved_work_s, Unit
from .shapes import Pool
from .workload import DrawnJob


class Cause(StrEnum):
    """Causes of lost time or work other than stops, which have the reason of their decision."""

    RUN_FAILED = 'run failed'
    WORKER_LOST = 'worker lost'
    WAITED_FOR_ROOM = 'waited for room'
    IDLE_WHILE_WAITING = 'waited beside idle accelerators'
    SLOW_WORKER = 'slow worker'
    UNAVOIDABLE = 'not delayed'


class Attempt(NamedTuple):
    """One run of one task.

    Parameters
    ----------
    task_index : int
        Which task of its step.
    begun_s, ended_s : float
        When it began and ended, on the comparison's clock.
    saved_before_s, kept_s : float
        Work that it went on from, and how much of its time was kept.
    why : str
        Why it came to nothing; empty for a success.
    """

    task_index: int
    begun_s: float
    ended_s: float
    saved_before_s: float
    kept_s: float
    why: str


class Ledger:
    """Records starts, ends and stops.

    Parameters
    ----------
    pool : Pool
        The pool.
    job_by_id : mapping
        The day's jobs.

    Attributes
    ----------
    begun_s_by_job, ended_s_by_job : dict
        When each job's first task began and its last one succeeded.
    done_by_job : dict
        Tasks of each job that have succeeded.
    failed_s_by_job : dict
        Time of runs that failed by their own fault, where a step runs as one unit:
        it counts to the work that a job's objective is worked out from.
    wasted_by_cause : dict
        Weighted core-seconds that were thrown away, by why.
    worked, done : float
        Weighted core-seconds that were spent, and those of runs that succeeded.
    stopped_by_cause : dict
        Weighted core-seconds of the runs that were stopped, saved work among them, by why.
    attempts_by_step : dict
        Runs that have ended, by job and step, in the order of their ends.
    free_by_time : list of tuple
        Accelerators that were free, at each pass.
    idle_while_waiting : list of float
        Shares of accelerators that were free while a gang waited.
    stops_by_cause : Counter
        Runs stopped, by why.
    """

    def __init__(self, pool: Pool, job_by_id: Mapping[str, DrawnJob]) -> None:
        """Initialize without records."""
        self.begun_s_by_job: dict[str, float] = {}
        self.ended_s_by_job: dict[str, float] = {}
        self.done_by_job: dict[str, set[TaskKey]] = {}
        self.failed_s_by_job = defaultdict[str, float](float)
        self.wasted_by_cause = defaultdict[str, float](float)
        self.stops_by_cause: Counter[str] = Counter()
        self.stopped_by_cause = defaultdict[str, float](float)
        self.worked = 0.0
        self.done = 0.0
        self.attempts_by_step: dict[tuple[str, int], list[Attempt]] = {}
        self.free_by_time: list[tuple[float, int]] = []
        self.idle_while_waiting: list[float] = []
        self._pool = pool
        self._job_by_id = job_by_id
        self._why_by_run: dict[tuple[TaskKey, int], str] = {}

    @property
    def wasted(self) -> float:
        """Lost work, in weighted core-seconds."""
        return sum(self.wasted_by_cause.values())

    def note_stop(self, stop: StopRun) -> None:
        """Record why a run is stopped."""
        # The reason names the job for which runs are preempted.
        cause = stop.reason.split(' for ')[0]
        self._why_by_run[stop.key, stop.run] = cause
        self.stops_by_cause[cause] += 1

    def note_begin(self, job_id: str, now_s: float) -> None:
        """Record the start of a run of a job."""
        self.begun_s_by_job.setdefault(job_id, now_s)

    def note_end(self, member: Execution, unit: Unit, end: RunEnd, cause: Cause | None, now_s: float) -> None:
        """Record the end of a run and the part of its time that is lost.

        Parameters
        ----------
        member, unit : Execution, Unit
            What ended, and what it worked with.
        end : RunEnd
            How it ended.
        cause : Cause or None
            Why, if neither by success nor by a stop.
        now_s : float
            The present.
        """
        is_done = end.kind is EndKind.DONE
        spent_s = now_s - member.begun_s
        kept_s = spent_s if is_done else self._kept_s(unit, end, spent_s)
        self.worked += member.cores * spent_s
        stopped_why = self._why_by_run.pop(member.key, '')
        if stopped_why and not is_done:
            self.stopped_by_cause[stopped_why] += member.cores * spent_s
        why = '' if is_done else stopped_why or str(cause or end.kind)
        if why:
            self.wasted_by_cause[why] += member.cores * (spent_s - kept_s)
        key = member.start.key
        attempt = Attempt(key.task_index, member.begun_s, now_s, unit.saved_s, kept_s, why)
        self.attempts_by_step.setdefault((key.job_id, key.step), []).append(attempt)
        if is_done:
            self.done += member.cores * spent_s
            self._note_done(member, now_s)
        if end.kind is EndKind.FAILED and unit.fails_at_s is not None and unit.size == member.step.task_count:
            self.failed_s_by_job[key.job_id] += spent_s

    def _kept_s(self, unit: Unit, end: RunEnd, spent_s: float) -> float:
        """Return the part of a run's time that the next run need not repeat."""
        if not unit.rate:
            return 0.0
        saved_s = max(0.0, saved_work_s(end.checkpoint) - unit.saved_s)
        return min(spent_s, saved_s / unit.rate)

    def note_idle(self, now_s: float, workers: Iterable[PlayedWorker]) -> None:
        """Record the share of accelerators that are free while a gang waits."""
        capacity = self._pool.workers * self._pool.capacity.accelerators
        used = sum(worker.used.accelerators for worker in workers)
        self.free_by_time.append((now_s, capacity - used))
        if any(self._waits(job, now_s) for job in self._job_by_id.values()):
            self.idle_while_waiting.append(1.0 - used / capacity)

    def _waits(self, job: DrawnJob, now_s: float) -> bool:
        """Return whether a job is a gang that was submitted and has not started."""
        job_id = job.spec.job_id
        has_come = job.at_s <= now_s and (job.cancel_at_s is None or job.cancel_at_s > now_s)
        return has_come and job.spec.steps[0].gang and job_id not in self.begun_s_by_job

    def _note_done(self, member: Execution, now_s: float) -> None:
        job = member.job
        done = self.done_by_job.setdefault(job.spec.job_id, set())
        done.add(member.start.key)
        if len(done) == sum(step.task_count for step in job.spec.steps):
            self.ended_s_by_job.setdefault(job.spec.job_id, now_s)
