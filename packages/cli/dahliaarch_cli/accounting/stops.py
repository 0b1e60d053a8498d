"""Preemptions: the affected jobs, the wasted work and the use of the freed capacity."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from .histories import JobHistory, RunHistory

# A start of the preempting job within this time of the stop order, in seconds, counts as
# prompt: a stop takes up to 0.9 s, and the start follows immediately.
_PROMPT_START_S = 1.5
# A start on the same worker later than this, in seconds, used other capacity of the worker.
_LATE_START_S = 3.0
_PREEMPTION_PREFIX = 'makes room for '


class PreemptedJob(NamedTuple):
    """A job whose tasks were preempted.

    Parameters
    ----------
    job, queue : str
        Job id and queue.
    ended : str
        Final phase of the job; empty while it has not ended.
    stops, most_of_one_task : int
        Preemptions of all tasks of the job, and of the task preempted most often.
    core_s : float
        Core-seconds wasted by the preemptions.
    stopped_for : int
        Number of jobs that the preemptions freed capacity for.
    """

    job: str
    queue: str
    ended: str
    stops: int
    most_of_one_task: int
    core_s: float
    stopped_for: int


class FreedCapacityUse(NamedTuple):
    """Use of the capacity that preemptions freed.

    Parameters
    ----------
    use : str
        Whether the preempting job started on the freed capacity, and when.
    stops : int
        Number of preemptions.
    core_s : float
        Core-seconds wasted by the preemptions.
    """

    use: str
    stops: int
    core_s: float


class _Preemption(NamedTuple):
    job: JobHistory
    run: RunHistory
    core_s: float

    @property
    def preempting_job_id(self) -> str:
        """Id of the job that the capacity was freed for."""
        return self.run.stop_reason.removeprefix(_PREEMPTION_PREFIX)


def preempted_jobs(jobs: Iterable[JobHistory]) -> list[PreemptedJob]:
    """Return the preempted jobs, ordered by decreasing wasted work."""
    rows = []
    for stops in _preemptions_by_job(jobs).values():
        job = stops[0].job
        by_task = Counter(stop.run.task for stop in stops)
        core_s = sum(stop.core_s for stop in stops)
        preempting_job_ids = {stop.preempting_job_id for stop in stops}
        rows.append(
            PreemptedJob(
                job.job_id, job.queue, job.phase, len(stops), max(by_task.values()), core_s, len(preempting_job_ids)
            )
        )
    return sorted(rows, key=lambda row: (-row.core_s, row.job))


def freed_capacity_use(history_by_id: Mapping[str, JobHistory]) -> list[FreedCapacityUse]:
    """Return the uses of capacity freed by preemptions, ordered by decreasing wasted work."""
    count_by_use: Counter[str] = Counter()
    core_s_by_use: dict[str, float] = defaultdict(float)
    for stops in _preemptions_by_job(history_by_id.values()).values():
        for stop in stops:
            use = _classify_use(stop, history_by_id.get(stop.preempting_job_id))
            count_by_use[use] += 1
            core_s_by_use[use] += stop.core_s
    found = [FreedCapacityUse(use, count, core_s_by_use[use]) for use, count in count_by_use.items()]
    return sorted(found, key=lambda row: -row.core_s)


def describe_preemptions(job: JobHistory | None) -> str:
    """Return a sentence on the preemptions of a job; empty without any, or for an unknown job."""
    rows = [] if job is None else preempted_jobs([job])
    if not rows:
        return ''
    row = rows[0]
    return (
        f'stopped {row.stops} times to make room for {row.stopped_for} jobs, one of its tasks '
        f'{row.most_of_one_task} times: {row.core_s:.0f} core-seconds were thrown away'
    )


def _preemptions_by_job(jobs: Iterable[JobHistory]) -> dict[str, list[_Preemption]]:
    preemptions_by_job: dict[str, list[_Preemption]] = defaultdict(list)
    for job in jobs:
        for run in job.runs:
            if run.stop_reason.startswith(_PREEMPTION_PREFIX):
                wasted_core_s = 0.0 if job.resumes_from_checkpoint(run) else job.core_s_of(run)
                preemptions_by_job[job.job_id].append(_Preemption(job, run, wasted_core_s))
    return preemptions_by_job


def _classify_use(stop: _Preemption, preempting_job: JobHistory | None) -> str:
    """Classify when and where the preempting job started after a preemption."""
    stop_ordered_s = stop.run.stop_ordered_s
    later = [] if preempting_job is None else [run for run in preempting_job.runs if run.ordered_s >= stop_ordered_s]
    if not later:
        return 'it never began'
    waits_s = [run.ordered_s - stop_ordered_s for run in later if run.worker == stop.run.worker]
    if waits_s and min(waits_s) < _LATE_START_S:
        return 'it began there' if min(waits_s) < _PROMPT_START_S else 'it began there late'
    soonest_s = min(run.ordered_s - stop_ordered_s for run in later)
    return 'it began elsewhere' if soonest_s < _PROMPT_START_S else 'it began much later'
