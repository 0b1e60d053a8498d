"""What became of each job of a played day, and what was thrown away."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping

from dahliaarch_kernel.scheduler import EndKind, StopRun
from dahliaarch_kernel.scheduler.events import RunEnd
from dahliaarch_kernel.workload import TaskKey

from .executions import Execution, PlayedWorker, saved_work_s, Unit
from .shapes import Pool
from .workload import DrawnJob


class Ledger:
    """Notes begins, ends and stops.

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
    worked : float
        Weighted core-seconds that were spent.
    idle_while_waiting : list of float
        Shares of accelerators that were free while a gang waited.
    stops_by_cause : Counter
        Runs stopped, by why.
    """

    def __init__(self, pool: Pool, job_by_id: Mapping[str, DrawnJob]) -> None:
        """Start with nothing noted."""
        self.begun_s_by_job: dict[str, float] = {}
        self.ended_s_by_job: dict[str, float] = {}
        self.done_by_job: dict[str, set[TaskKey]] = {}
        self.failed_s_by_job = defaultdict[str, float](float)
        self.wasted_by_cause = defaultdict[str, float](float)
        self.stops_by_cause: Counter[str] = Counter()
        self.worked = 0.0
        self.idle_while_waiting: list[float] = []
        self._pool = pool
        self._job_by_id = job_by_id
        self._why_by_run: dict[tuple[TaskKey, int], str] = {}

    @property
    def wasted(self) -> float:
        """Weighted core-seconds that were thrown away."""
        return sum(self.wasted_by_cause.values())

    def note_stop(self, stop: StopRun) -> None:
        """Note why a run is stopped."""
        # The reason names a job where room is made for it.
        cause = stop.reason.split(' for ')[0]
        self._why_by_run[stop.key, stop.run] = cause
        self.stops_by_cause[cause] += 1

    def note_begin(self, job_id: str, now_s: float) -> None:
        """Note that a run of a job has begun."""
        self.begun_s_by_job.setdefault(job_id, now_s)

    def note_end(self, member: Execution, unit: Unit, end: RunEnd, now_s: float) -> None:
        """Note the end of a run and what of its time is lost."""
        spent_s = now_s - member.begun_s
        kept_s = spent_s
        if end.kind is not EndKind.DONE:
            saved_s = max(0.0, saved_work_s(end.checkpoint) - unit.saved_s)
            kept_s = min(spent_s, saved_s / unit.rate) if unit.rate else 0.0
        self.worked += member.cores * spent_s
        cause = self._why_by_run.pop(member.key, str(end.kind))
        self.wasted_by_cause[cause] += member.cores * (spent_s - kept_s)
        if end.kind is EndKind.DONE:
            self._note_done(member, now_s)
        if end.kind is EndKind.FAILED and unit.fails_at_s is not None and unit.size == member.step.task_count:
            self.failed_s_by_job[member.job.spec.job_id] += spent_s

    def note_idle(self, now_s: float, workers: Iterable[PlayedWorker]) -> None:
        """Note the share of accelerators that are free while a gang waits."""
        if not any(self._waits(job, now_s) for job in self._job_by_id.values()):
            return
        capacity = self._pool.workers * self._pool.capacity.accelerators
        used = sum(worker.used.accelerators for worker in workers)
        self.idle_while_waiting.append(1.0 - used / capacity)

    def _waits(self, job: DrawnJob, now_s: float) -> bool:
        """Tell whether a job is a gang that was submitted and has not begun."""
        job_id = job.spec.job_id
        has_come = job.at_s <= now_s and (job.cancel_at_s is None or job.cancel_at_s > now_s)
        return has_come and job.spec.steps[0].gang and job_id not in self.begun_s_by_job

    def _note_done(self, member: Execution, now_s: float) -> None:
        job = member.job
        done = self.done_by_job.setdefault(job.spec.job_id, set())
        done.add(member.start.key)
        if len(done) == sum(step.task_count for step in job.spec.steps):
            self.ended_s_by_job.setdefault(job.spec.job_id, now_s)
