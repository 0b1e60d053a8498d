"""Aggregates of job histories: by queue, cause, time window and decision."""

import statistics
from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from .histories import JobHistory, RunHistory
from .predictions import PredictionSummary, summarize_predictions
from .stops import freed_capacity_use, FreedCapacityUse, preempted_jobs, PreemptedJob

# Length of a time window in seconds.
_WINDOW_S = 2.0
# Durations that count as a delay, in seconds: an owner normally receives a job within
# milliseconds, starts it as soon as there is capacity, and stores its end within 0.01 s.
_OWNER_DELAY_S = 0.5
_CAPACITY_WAIT_S = 0.2
_COMPLETION_DELAY_S = 0.3
# Maximum number of decisions, and of preempted jobs, in a report.
_MAX_LISTED = 8

_SAVED_SUFFIX = ' (work saved)'


# The users' formula for the worth of a job: a fixed part plus a part proportional to its
# work relative to the mean of its queue. The sum is capped.
_FIXED_WORTH = 0.3
_MAX_WORTH = 4.0


class QueueSummary(NamedTuple):
    """Outcomes of the jobs of one queue.

    Parameters
    ----------
    queue : str
        Name of the queue; '(refused)' for refused jobs, whose queue is not known.
    jobs, in_time, late, not_done, cancelled : int
        Number of jobs.
    worth, worth_in_time, worth_late : float
        Worth of all evaluated jobs, of those in time and of those that succeeded late, in
        jobs of mean size: the platform defines no worth of one queue relative to another.
    """

    queue: str
    jobs: int
    in_time: int
    late: int
    not_done: int
    cancelled: int
    worth: float
    worth_in_time: float
    worth_late: float


class Loss(NamedTuple):
    """Number of jobs that were not in time, or of runs with their core-seconds, for one cause."""

    cause: str
    cases: int
    core_s: float


class WindowSummary(NamedTuple):
    """Jobs submitted in a two-second window, their outcomes, and core-seconds wasted by runs that ended in it."""

    from_s: float
    jobs: int
    in_time: int
    worth: float
    worth_in_time: float
    thrown_away_core_s: float


class CostlyDecision(NamedTuple):
    """Runs that were stopped for the same reason, with the time in seconds after the first submission."""

    at_s: float
    why: str
    runs: int
    core_s: float
    jobs: tuple[str, ...]


class AccountingReport(NamedTuple):
    """Accounting of time and core-seconds.

    Parameters
    ----------
    queues : list of QueueSummary
        Outcomes by queue.
    late : list of Loss
        Number of jobs that were not in time, by cause.
    work : list of Loss
        Core-seconds by outcome of the run, including successful runs.
    windows : list of WindowSummary
        Outcomes by two-second window, starting at the first submission.
    decisions : list of CostlyDecision
        Decisions that wasted the most core-seconds.
    room : list of FreedCapacityUse
        Use of the capacity that preemptions freed.
    stopped : list of PreemptedJob
        Jobs that lost the most work to preemptions.
    predictions : list of PredictionSummary
        Share of the runs that ended within their predicted times, by queue.
    """

    queues: list[QueueSummary]
    late: list[Loss]
    work: list[Loss]
    windows: list[WindowSummary]
    decisions: list[CostlyDecision]
    room: list[FreedCapacityUse]
    stopped: list[PreemptedJob]
    predictions: list[PredictionSummary]


def build_report(history_by_id: Mapping[str, JobHistory]) -> AccountingReport:
    """Return the accounting of time and core-seconds over all received or refused jobs."""
    jobs = [job for job in history_by_id.values() if job.received_s is not None or job.is_refused]
    worth_by_id = _worth_by_id(jobs)
    return AccountingReport(
        _queue_rows(jobs, worth_by_id),
        _losses_by_delay(jobs),
        _losses_by_outcome(jobs),
        _window_rows(jobs, worth_by_id),
        _costliest_decisions(jobs),
        freed_capacity_use(history_by_id),
        preempted_jobs(jobs)[:_MAX_LISTED],
        summarize_predictions(jobs),
    )


def _queue_rows(jobs: Iterable[JobHistory], worth_by_id: Mapping[str, float]) -> list[QueueSummary]:
    rows = []
    for queue, members in sorted(_jobs_by_queue(jobs).items()):
        evaluated = [job for job in members if job.is_evaluated]
        in_time = [job for job in evaluated if job.is_in_time]
        late = [job for job in evaluated if job.phase == 'succeeded' and not job.is_in_time]
        cancelled = sum(job.cancelled_s is not None for job in members)
        worth = [sum(worth_by_id[job.job_id] for job in group) for group in (evaluated, in_time, late)]
        not_done = len(evaluated) - len(in_time) - len(late)
        rows.append(QueueSummary(queue, len(members), len(in_time), len(late), not_done, cancelled, *worth))
    return rows


def _jobs_by_queue(jobs: Iterable[JobHistory]) -> dict[str, list[JobHistory]]:
    jobs_by_queue: dict[str, list[JobHistory]] = defaultdict(list)
    for job in jobs:
        jobs_by_queue[job.queue or '(refused)'].append(job)
    return jobs_by_queue


def _worth_by_id(jobs: Iterable[JobHistory]) -> dict[str, float]:
    """Return the worth of each job, relative to a job of mean size in its queue."""
    worth_by_id = {}
    for members in _jobs_by_queue(jobs).values():
        mean = statistics.fmean(job.core_s for job in members) or 1.0
        for job in members:
            job_worth = _FIXED_WORTH + (1 - _FIXED_WORTH) * job.core_s / mean
            worth_by_id[job.job_id] = min(job_worth, _MAX_WORTH)
    return worth_by_id


def _losses_by_delay(jobs: Iterable[JobHistory]) -> list[Loss]:
    counts = Counter(
        _delay_cause(job) for job in jobs if not job.is_in_time and (job.is_evaluated or job.received_s is None)
    )
    return [Loss(cause, count, 0.0) for cause, count in counts.most_common()]


def _delay_cause(job: JobHistory) -> str:
    """Return the first cause that applies to a job that was not in time."""
    if job.received_s is None:
        return 'refused'
    if job.received_s - job.submitted_s > _OWNER_DELAY_S:
        return 'late to the owner'
    if not job.runs:
        return 'never started'
    causes = {run.cause for run in job.runs if run.stop_reason or run.end_kind in {'lapsed', 'lost'}}
    if causes:
        return f'stopped: {min(causes)}'
    last_s = max((run.ended_s for run in job.runs if run.end_kind == 'done' and run.ended_s), default=None)
    if last_s is not None and job.completed_s is not None and job.completed_s - last_s > _COMPLETION_DELAY_S:
        return 'end kept late'
    if job.runs[0].ordered_s - job.received_s > _CAPACITY_WAIT_S:
        return 'waited for room'
    if any(run.end_kind == 'failed' for run in job.runs):
        return 'runs failed'
    return 'ran too long' if last_s is not None else 'not ended'


def _losses_by_outcome(jobs: Iterable[JobHistory]) -> list[Loss]:
    core_s_by_cause: dict[str, float] = defaultdict(float)
    runs_by_cause: Counter[str] = Counter()
    for job in jobs:
        for run in job.runs:
            cause = _run_outcome(job, run)
            core_s_by_cause[cause] += job.core_s_of(run)
            runs_by_cause[cause] += 1
    found = [Loss(cause, runs_by_cause[cause], core_s) for cause, core_s in core_s_by_cause.items()]
    return sorted(found, key=lambda loss: -loss.core_s)


def _run_outcome(job: JobHistory, run: RunHistory) -> str:
    if run.end_kind == 'done':
        return 'done'
    if run.ended_s is None:
        return 'not ended'
    return run.cause + (_SAVED_SUFFIX if job.resumes_from_checkpoint(run) else '')


def _is_wasted(job: JobHistory, run: RunHistory) -> bool:
    return run.ended_s is not None and run.end_kind != 'done' and not job.resumes_from_checkpoint(run)


def _window_rows(jobs: list[JobHistory], worth_by_id: Mapping[str, float]) -> list[WindowSummary]:
    first_s = _first_submission_s(jobs)
    jobs_by_window: dict[int, list[JobHistory]] = defaultdict(list)
    wasted_by_window: dict[int, float] = defaultdict(float)
    for job in jobs:
        if job.is_evaluated or job.received_s is None:
            jobs_by_window[_window_index(job.submitted_s - first_s)].append(job)
        for run in job.runs:
            if run.ended_s is not None and _is_wasted(job, run):
                wasted_by_window[_window_index(run.ended_s - first_s)] += job.core_s_of(run)
    rows = []
    for window in sorted(jobs_by_window.keys() | wasted_by_window.keys()):
        submitted = jobs_by_window[window]
        in_time = [job for job in submitted if job.is_in_time]
        worth, worth_in_time = (sum(worth_by_id[job.job_id] for job in group) for group in (submitted, in_time))
        wasted_core_s = wasted_by_window[window]
        rows.append(
            WindowSummary(window * _WINDOW_S, len(submitted), len(in_time), worth, worth_in_time, wasted_core_s)
        )
    return rows


def _first_submission_s(jobs: list[JobHistory]) -> float:
    """Return the time of the first submission, in seconds since 1970."""
    return min((job.submitted_s for job in jobs), default=0.0)


def _window_index(elapsed_s: float) -> int:
    return int(elapsed_s // _WINDOW_S)


def _costliest_decisions(jobs: list[JobHistory]) -> list[CostlyDecision]:
    """Return the stops that wasted the most work; stops for the same reason count as one decision."""
    first_s = _first_submission_s(jobs)
    runs_by_reason: dict[str, list[tuple[JobHistory, RunHistory]]] = defaultdict(list)
    for job in jobs:
        for run in job.runs:
            if run.stop_reason and _is_wasted(job, run):
                reason = run.stop_reason if ' for ' in run.stop_reason else f'{run.stop_reason}: {job.job_id}'
                runs_by_reason[reason].append((job, run))
    found = [
        CostlyDecision(
            min(run.stop_ordered_s for _, run in pairs) - first_s,
            why,
            len(pairs),
            sum(job.core_s_of(run) for job, run in pairs),
            tuple(sorted({job.job_id for job, _ in pairs})),
        )
        for why, pairs in runs_by_reason.items()
    ]
    return sorted(found, key=lambda decision: -decision.core_s)[:_MAX_LISTED]
