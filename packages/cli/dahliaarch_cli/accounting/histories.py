"""Job histories, reconstructed from the log lines of all instances."""

from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import Any

from ..explaining import LogLine

_Task = tuple[str, int, int, int]

# Fields of `run_ordered` with the run times that a run was predicted not to exceed.
PREDICTION_FIELDS = ('p50_s', 'p90_s')


class RunHistory:
    """One run of a task.

    Parameters
    ----------
    task : tuple
        Job id, occurrence, step and task index.
    number : int
        Run number.
    ordered_s : float
        Time of the start order, in seconds since 1970.
    worker : str
        Worker that the task was assigned to.
    rank : int
        Rank of the step when the start was ordered.
    predicted_s : dict
        Run time that the run was predicted not to exceed, by the name of the log field; empty
        if its run time is not the usual one of its task.
    """

    def __init__(self, task: _Task, number: int, ordered_s: float, worker: str, rank: int = 0) -> None:
        """Create a run that has not ended."""
        self.rank = rank
        self.task = task
        self.number = number
        self.ordered_s = ordered_s
        self.worker = worker
        self.stop_ordered_s = 0.0
        self.ended_s: float | None = None
        self.end_kind = ''
        self.stop_reason = ''
        self.predicted_s: dict[str, float] = {}
        # How long a run that was lost is known to have lasted.
        self.lost_after_s: float | None = None

    @property
    def lasted_s(self) -> float:
        """How long an ended run lasted at least: until it was ordered to stop or was last known to run."""
        if self.lost_after_s is not None:
            return self.lost_after_s
        if self.stop_reason and self.end_kind != 'done':
            return self.stop_ordered_s - self.ordered_s
        return self.duration_s

    @property
    def duration_s(self) -> float:
        """Time from the start order to the end; 0 while the run has not ended."""
        return 0.0 if self.ended_s is None else self.ended_s - self.ordered_s

    @property
    def cause(self) -> str:
        """Cause of an end without success: the stop reason without the preempting job, or the end kind."""
        return self.stop_reason.split(' for ')[0] or self.end_kind


class JobHistory:
    """History of one job, as far as it was logged.

    Parameters
    ----------
    job_id : str
        Id of the job.
    """

    def __init__(self, job_id: str) -> None:
        """Create a history without any event."""
        self.job_id = job_id
        self.queue = ''
        self.stretch = 0.0
        self.target_s = 0.0
        self.cores_by_step: list[float] = []
        self.has_checkpoints_by_step: list[bool] = []
        self.submitted_s = float('inf')
        self.is_refused = False
        self.received_s: float | None = None
        # Instance that was the first owner to receive the job.
        self.received_by = ''
        self.cancelled_s: float | None = None
        self.completed_s: float | None = None
        self.phase = ''
        self.occurrences = 1
        self.runs: list[RunHistory] = []

    @property
    def is_evaluated(self) -> bool:
        """Whether the job has a latency objective: received by an owner, not cancelled and not recurring."""
        return self.received_s is not None and self.cancelled_s is None and self.occurrences == 1

    @property
    def core_s(self) -> float:
        """Weighted core-seconds of the successful runs."""
        return sum(self.core_s_of(run) for run in self.runs if run.end_kind == 'done')

    def core_s_of(self, run: RunHistory) -> float:
        """Return the weighted core-seconds of a run."""
        step = run.task[2]
        return run.duration_s * (self.cores_by_step[step] if step < len(self.cores_by_step) else 1.0)

    def resumes_from_checkpoint(self, run: RunHistory) -> bool:
        """Return whether the next run continues the work of a stopped run from its checkpoint."""
        return bool(run.stop_reason) and self.cancelled_s is None and self.has_checkpoints_by_step[run.task[2]]

    @property
    def work_s(self) -> float:
        """Observed length of the longest chain of work: longest successful run of each step, plus all failed runs."""
        longest_by_step: dict[int, float] = {}
        for run in self.runs:
            step = run.task[2]
            if run.end_kind == 'done':
                longest_by_step[step] = max(longest_by_step.get(step, 0.0), run.duration_s)
        failed = {run.number: run.duration_s for run in self.runs if run.end_kind == 'failed'}
        return sum(longest_by_step.values()) + sum(failed.values())

    @property
    def latency_s(self) -> float | None:
        """Time from submission to published completion; None without a completion."""
        return None if self.completed_s is None else self.completed_s - self.submitted_s

    @property
    def is_in_time(self) -> bool:
        """Whether the job was published as succeeded within its latency objective."""
        if self.latency_s is None or self.phase != 'succeeded':
            return False
        return self.latency_s <= self.stretch * self.work_s + self.target_s


def read_histories(lines: Iterable[LogLine]) -> dict[str, JobHistory]:
    """Return the job histories by job id."""
    builder = _HistoryBuilder()
    for line in sorted(lines, key=lambda each: each.at_s):
        handle = _HANDLER_BY_EVENT.get(line.event)
        if handle is not None:
            handle(builder, line)
    return builder.job_by_id


class _HistoryBuilder:
    """Builds job histories from log lines in chronological order."""

    def __init__(self) -> None:
        self.job_by_id: dict[str, JobHistory] = {}
        self._run_by_key: dict[tuple[_Task, int], RunHistory] = {}

    def job(self, job_id: str) -> JobHistory:
        return self.job_by_id.setdefault(job_id, JobHistory(job_id))

    def on_request_answered(self, line: LogLine) -> None:
        if line.fields.get('operation') != 'submit':
            return
        job = self.job(str(line.fields['target']).rpartition('/')[2])
        job.submitted_s = min(job.submitted_s, line.at_s - float(line.fields['took_s']))
        job.is_refused = int(line.fields['status']) >= HTTPStatus.BAD_REQUEST

    def on_job_known(self, line: LogLine) -> None:
        job = self.job(line.fields['job'])
        if job.received_s is not None:
            return
        job.received_s = line.at_s
        job.received_by = line.instance
        job.submitted_s = min(job.submitted_s, float(line.fields['accepted_s']))
        job.queue = line.fields['queue']
        job.occurrences = int(line.fields['occurrences'])
        job.stretch = float(line.fields.get('stretch', 0.0))
        job.target_s = float(line.fields.get('target_s', 0.0))
        job.cores_by_step = list(line.fields.get('cores', ()))
        job.has_checkpoints_by_step = ['checkpoints' in text for text in line.fields['steps']]

    def on_run_ordered(self, line: LogLine) -> None:
        key = _run_key(line.fields)
        run = RunHistory(*key, line.at_s, line.fields['worker'], line.fields.get('rank', 0))
        run.predicted_s = {name: line.fields[name] for name in PREDICTION_FIELDS if line.fields.get(name)}
        self._run_by_key[key] = run
        self.job(run.task[0]).runs.append(run)

    def on_stop_ordered(self, line: LogLine) -> None:
        run = self._run_by_key.get(_run_key(line.fields))
        if run is not None and not run.stop_reason:
            run.stop_reason = line.fields['why']
            run.stop_ordered_s = line.at_s

    def on_run_ended(self, line: LogLine) -> None:
        run = self._run_by_key.get(_run_key(line.fields))
        if run is not None and run.ended_s is None:
            run.ended_s = line.at_s
            # A run lost with its worker did not report an end: `run_lost` has no field `how`.
            run.end_kind = line.fields.get('how', 'lost')
            run.lost_after_s = line.fields.get('ran_s')

    def on_job_cancelled(self, line: LogLine) -> None:
        self.job(line.fields['job']).cancelled_s = line.at_s

    def on_job_ended(self, line: LogLine) -> None:
        job = self.job(line.fields['job'])
        job.completed_s = line.at_s
        job.phase = line.fields['phase']


def _run_key(fields: dict[str, Any]) -> tuple[_Task, int]:
    job_id, occurrence, step, index = fields['task']
    return (job_id, occurrence, step, index), fields['run']


_HANDLER_BY_EVENT: dict[str, Callable[[_HistoryBuilder, LogLine], None]] = {
    'request_answered': _HistoryBuilder.on_request_answered,
    'job_known': _HistoryBuilder.on_job_known,
    'run_ordered': _HistoryBuilder.on_run_ordered,
    'stop_ordered': _HistoryBuilder.on_stop_ordered,
    'run_ended': _HistoryBuilder.on_run_ended,
    'run_lost': _HistoryBuilder.on_run_ended,
    'job_cancelled': _HistoryBuilder.on_job_cancelled,
    'job_ended': _HistoryBuilder.on_job_ended,
}
