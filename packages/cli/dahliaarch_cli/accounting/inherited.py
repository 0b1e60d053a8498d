"""Waiting times of jobs inherited from previous owners, by wait reason."""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from operator import attrgetter
from typing import NamedTuple

from dahliaarch_kernel.scheduler.state import RUNS_PER_EPOCH

from ..explaining import LogLine

# Events that only an owner logs.
_OWNER_EVENTS = frozenset(('run_ordered', 'stop_ordered', 'run_ended'))
_TAIL_QUANTILE = 0.99


class InheritedWaits(NamedTuple):
    """Waiting times of jobs that a new owner inherited without assigned runs, from its readiness on.

    A job is excluded if, when it was reported as waiting, the workers that accept starts
    did not have capacity for it twice over.

    Parameters
    ----------
    at_s : float
        Time at which the new owner was ready, in seconds after the first log line.
    owner : str
        Instance that became the owner.
    epoch : int
        Epoch of the owner.
    without_owner_s : float
        Time from the last decision of the previous owner to the readiness of the new one.
    jobs : int
        Jobs that were started or reported as waiting before the next owner change.
    never_started : int
        Those of `jobs` that were not started before the next owner change.
    median_s, p99_s, longest_s : float
        Waiting time until the first start or the next owner change.
    jobs_by_reason : mapping
        Number of jobs that were reported as waiting, by the last wait reason reported.
    """

    at_s: float
    owner: str
    epoch: int
    without_owner_s: float
    jobs: int
    never_started: int
    median_s: float
    p99_s: float
    longest_s: float
    jobs_by_reason: Mapping[str, int]


def inherited_waits(lines: Iterable[LogLine]) -> list[InheritedWaits]:
    """Return the waiting times of inherited jobs for every owner but the first, in chronological order."""
    ordered = sorted(lines, key=attrgetter('at_s'))
    ready = [line for line in ordered if line.event == 'owner_ready']
    ends_s = [line.at_s for line in ready[2:]] + [line.at_s for line in ordered[-1:]]
    return [_summarize_waits(line, ordered, end_s) for line, end_s in zip(ready[1:], ends_s, strict=False)]


def _summarize_waits(ready: LogLine, lines: Sequence[LogLine], until_s: float) -> InheritedWaits:
    """Return the waiting times of jobs inherited by an owner, until the next owner is ready or the log ends."""
    epoch = int(ready.fields['epoch'])
    owner_lines = [line for line in lines if line.instance == ready.instance and line.at_s <= until_s]
    inherited = _inherited_jobs_without_runs(owner_lines, ready, epoch)
    started_s = _first_start_times(owner_lines, epoch, inherited)
    reason_by_job = _last_wait_reasons(owner_lines, ready, inherited)
    placeable_jobs = {job for job in started_s.keys() | reason_by_job.keys() if reason_by_job.get(job, '') is not None}
    waits_s = sorted(started_s.get(job, until_s) - ready.at_s for job in placeable_jobs)
    decisions_s = [line.at_s for line in lines if line.event in _OWNER_EVENTS and line.at_s < ready.at_s]
    return InheritedWaits(
        ready.at_s - lines[0].at_s,
        ready.instance,
        epoch,
        ready.at_s - max(decisions_s, default=ready.at_s),
        len(placeable_jobs),
        len(placeable_jobs - started_s.keys()),
        _quantile(waits_s, 0.5),
        _quantile(waits_s, _TAIL_QUANTILE),
        _quantile(waits_s, 1.0),
        Counter(reason for job, reason in reason_by_job.items() if reason is not None),
    )


def _inherited_jobs_without_runs(owner_lines: Iterable[LogLine], ready: LogLine, epoch: int) -> set[str]:
    """Return the jobs that were submitted to previous owners and had no task assigned to a worker."""
    known: set[str] = set()
    running: set[str] = set()
    for line in owner_lines:
        if line.at_s > ready.at_s:
            break
        if line.event == 'job_known' and line.fields.get('owner_epoch') != epoch:
            known.add(line.fields['job'])
        elif line.event == 'job_inherited':
            running.add(line.fields['job'])
    return known - running


def _first_start_times(owner_lines: Iterable[LogLine], epoch: int, jobs: set[str]) -> dict[str, float]:
    """Return the time of the first start order of each job in an epoch."""
    started_s: dict[str, float] = {}
    for line in owner_lines:
        if line.event == 'run_ordered' and line.fields['run'] // RUNS_PER_EPOCH == epoch:
            job = line.fields['task'][0]
            if job in jobs:
                started_s.setdefault(job, line.at_s)
    return started_s


def _last_wait_reasons(owner_lines: Iterable[LogLine], ready: LogLine, jobs: set[str]) -> dict[str, str | None]:
    """Return the last wait reason reported for each job; None for jobs that lacked capacity in any report."""
    reason_by_job: dict[str, str | None] = {}
    for line in owner_lines:
        if line.event != 'step_waiting' or line.at_s < ready.at_s or line.fields['job'] not in jobs:
            continue
        job = line.fields['job']
        had_capacity = line.fields['has_takers_twice'] and reason_by_job.get(job, '') is not None
        reason_by_job[job] = line.fields['reason'] if had_capacity else None
    return reason_by_job


def _quantile(ordered: Sequence[float], fraction: float) -> float:
    """Return a quantile of sorted values; 0 without values."""
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))] if ordered else 0.0
