"""Stops that made room: whom they hit, what they threw away, and what became of the room."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from .histories import JobHistory, RunHistory

# A stop takes up to 0.9 s; work that it was ordered for begins at once after it, in
# seconds from the order.
_PROMPT_START_S = 1.5
# Work that begins on the same worker later than this found other room there, in seconds.
_LATE_START_S = 3.0
_PREEMPTION_PREFIX = 'makes room for '


class PreemptedJob(NamedTuple):
    """A job whose tasks were stopped to make room.

    Parameters
    ----------
    job, queue : str
        The job.
    ended : str
        Its end; empty while it has none.
    stops, most_of_one_task : int
        Stops of its tasks.
    core_s : float
        Core-seconds that they threw away.
    stopped_for : int
        Jobs that room was made for.
    """

    job: str
    queue: str
    ended: str
    stops: int
    most_of_one_task: int
    core_s: float
    stopped_for: int


class FreedCapacityUse(NamedTuple):
    """What became of room that was made.

    Parameters
    ----------
    use : str
        Whether the job that it was made for began there, and when.
    stops : int
        Stops.
    core_s : float
        Core-seconds that they threw away.
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
        """Job that room was made for."""
        return self.run.stop_reason.removeprefix(_PREEMPTION_PREFIX)


def preempted_jobs(jobs: Iterable[JobHistory]) -> list[PreemptedJob]:
    """Return the jobs that were stopped to make room, those that lost most first."""
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
    """Return what became of the room that stops made, what threw most away first."""
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
    """Return in a sentence how often a job was stopped to make room; nothing when it was not, or is unknown."""
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
    """Return whether work began on room that was made for it."""
    stop_ordered_s = stop.run.stop_ordered_s
    later = [] if preempting_job is None else [run for run in preempting_job.runs if run.ordered_s >= stop_ordered_s]
    if not later:
        return 'it never began'
    waits_s = [run.ordered_s - stop_ordered_s for run in later if run.worker == stop.run.worker]
    if waits_s and min(waits_s) < _LATE_START_S:
        return 'it began there' if min(waits_s) < _PROMPT_START_S else 'it began there late'
    soonest_s = min(run.ordered_s - stop_ordered_s for run in later)
    return 'it began elsewhere' if soonest_s < _PROMPT_START_S else 'it began much later'
