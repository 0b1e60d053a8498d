"""Owner changes: waiting times of jobs, and overlap of the start orders of two owners."""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from dahliaarch_kernel.scheduler.ranks import RANK_URGENT
from dahliaarch_kernel.scheduler.state import RUNS_PER_EPOCH

from ..explaining import LogLine
from .histories import JobHistory


class Takeover(NamedTuple):
    """One change of the owner of the pool.

    Parameters
    ----------
    at_s : float
        Time at which the new owner was ready, in seconds after the first log line.
    owner : str
        Instance that became the owner.
    epoch : int
        Epoch of the new owner.
    jobs, urgent : int
        Jobs that were submitted before the new owner was ready, had not been received by a
        previous owner and were first started by the new one; those of them that were
        urgent at their first start.
    longest_wait_s, mean_urgent_wait_s : float
        Time from submission to the first start.
    orders_of_two_s : float
        How long a previous owner still ordered starts after the first start ordered by the
        new owner.
    """

    at_s: float
    owner: str
    epoch: int
    jobs: int
    urgent: int
    longest_wait_s: float
    mean_urgent_wait_s: float
    orders_of_two_s: float


class _StartTimes(NamedTuple):
    """Times of the first and the last start ordered by one owner."""

    first_s: float
    last_s: float


def takeovers(lines: Iterable[LogLine], history_by_id: Mapping[str, JobHistory]) -> list[Takeover]:
    """Return the owner changes after the first owner, in chronological order."""
    ordered = sorted(lines, key=lambda line: line.at_s)
    start_times_by_epoch = _start_times_by_epoch(ordered)
    ready = [line for line in ordered if line.event == 'owner_ready']
    return [
        _summarize_takeover(line, line.at_s - ordered[0].at_s, start_times_by_epoch, history_by_id.values())
        for line in ready[1:]
    ]


def _start_times_by_epoch(lines: Iterable[LogLine]) -> dict[int, _StartTimes]:
    times_by_epoch: dict[int, list[float]] = defaultdict(list)
    for line in lines:
        if line.event == 'run_ordered':
            times_by_epoch[_epoch_of_run(line.fields['run'])].append(line.at_s)
    return {epoch: _StartTimes(min(times), max(times)) for epoch, times in times_by_epoch.items()}


def _summarize_takeover(
    ready: LogLine, at_s: float, start_times_by_epoch: Mapping[int, _StartTimes], jobs: Iterable[JobHistory]
) -> Takeover:
    epoch = int(ready.fields['epoch'])
    waited = [job for job in jobs if _waited_for_takeover(job, ready, epoch)]
    waits_s = [job.runs[0].ordered_s - job.submitted_s for job in waited]
    urgent_waits_s = [job.runs[0].ordered_s - job.submitted_s for job in waited if job.runs[0].rank <= RANK_URGENT]
    own_starts = start_times_by_epoch.get(epoch)
    last_previous_s = max(
        (start_times.last_s for each, start_times in start_times_by_epoch.items() if each < epoch), default=0.0
    )
    return Takeover(
        at_s,
        ready.instance,
        epoch,
        len(waits_s),
        len(urgent_waits_s),
        max(waits_s, default=0.0),
        sum(urgent_waits_s) / len(urgent_waits_s) if urgent_waits_s else 0.0,
        0.0 if own_starts is None else max(0.0, last_previous_s - own_starts.first_s),
    )


def _waited_for_takeover(job: JobHistory, ready: LogLine, epoch: int) -> bool:
    """Return whether a job was submitted before an owner was ready, and first received and started by it."""
    if not job.runs or job.received_by != ready.instance or job.submitted_s >= ready.at_s:
        return False
    return _epoch_of_run(job.runs[0].number) == epoch


def _epoch_of_run(run: int) -> int:
    return run // RUNS_PER_EPOCH
