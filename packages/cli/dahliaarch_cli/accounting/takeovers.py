"""Changes of the pool's owner: how long work waited, and whether two owners gave orders at a time."""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from dahliaarch_kernel.scheduler.ranks import RANK_URGENT
from dahliaarch_kernel.scheduler.state import RUNS_PER_EPOCH

from ..explaining import LogLine
from .histories import JobHistory


class Takeover(NamedTuple):
    """One change of the pool's owner.

    Parameters
    ----------
    at_s : float
        When the new owner was ready, from the first line on.
    owner : str
        The instance.
    epoch : int
        Its epoch.
    jobs, urgent : int
        Jobs that were handed in before it was ready, that no previous owner had learnt
        of and that began under it; those of them that began as urgent work.
    longest_wait_s, mean_urgent_wait_s : float
        From handing in to the first start.
    orders_of_two_s : float
        For how long starts of a previous owner went out after its own first one.
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
    """When the starts of one owner went out."""

    first_s: float
    last_s: float


def takeovers(lines: Iterable[LogLine], history_by_id: Mapping[str, JobHistory]) -> list[Takeover]:
    """Return the changes of the owner after the first one, in order of time."""
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
    urgent_s = [job.runs[0].ordered_s - job.submitted_s for job in waited if job.runs[0].rank <= RANK_URGENT]
    own = start_times_by_epoch.get(epoch)
    last_previous_s = max((orders.last_s for each, orders in start_times_by_epoch.items() if each < epoch), default=0.0)
    return Takeover(
        at_s,
        ready.instance,
        epoch,
        len(waits_s),
        len(urgent_s),
        max(waits_s, default=0.0),
        sum(urgent_s) / len(urgent_s) if urgent_s else 0.0,
        0.0 if own is None else max(0.0, last_previous_s - own.first_s),
    )


def _waited_for_takeover(job: JobHistory, ready: LogLine, epoch: int) -> bool:
    """Tell whether a job could not begin before an owner was ready, and began under it."""
    if not job.runs or job.received_by != ready.instance or job.submitted_s >= ready.at_s:
        return False
    return _epoch_of_run(job.runs[0].number) == epoch


def _epoch_of_run(run: int) -> int:
    return run // RUNS_PER_EPOCH
