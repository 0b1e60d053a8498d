"""Room kept for gangs that wait, with smaller work let in before."""

from typing import NamedTuple

from ..workload import Resources
from .claims import Claim, Claims
from .job_state import StepState
from .placement import admissible_workers
from .room import effective_demand, fitting, is_near, per_worker_limit
from .workers import WorkerState

# Points in time that are tried; later ends say little anyway.
_MOST_ENDS = 64


class _Outlook(NamedTuple):
    """What is free on a worker, and what its runs free when they end."""

    worker: WorkerState
    free: Resources
    ends: tuple[tuple[float, Resources], ...]

    def free_after(self, after_s: float) -> Resources:
        """Return what is free once the runs that end by then have ended."""
        free = self.free
        for left_s, demand in self.ends:
            if left_s <= after_s:
                free = free.plus(demand)
        return free


def earliest_claim(
    step: StepState,
    count: int,
    workers: list[WorkerState],
    claims: Claims,
    now_s: float,
) -> Claim | None:
    """Return a claim on the room that is expected to be free first."""
    able = [worker for worker in admissible_workers(step, workers) if is_near(worker, step)]
    outlooks = [_outlook(worker, claims, now_s) for worker in able]
    ends = sorted({round(left_s, 2) for outlook in outlooks for left_s, _ in outlook.ends})
    ends = [0.0, *ends][:_MOST_ENDS]
    low, high = 0, len(ends) - 1
    best: dict[str, int] = {}
    ready_s = 0.0
    while low <= high:
        middle = (low + high) // 2
        found = _fit_at(step, count, outlooks, ends[middle])
        if found:
            best, ready_s = found, now_s + ends[middle]
            high = middle - 1
        else:
            low = middle + 1
    return Claim(step, best, ready_s) if best else None


def _outlook(worker: WorkerState, claims: Claims, now_s: float) -> _Outlook:
    free = worker.free
    for claim in claims:
        kept = claim.count_by_worker.get(worker.worker_id)
        if kept:
            free = free.minus(effective_demand(claim.step).times(kept))
    ends = tuple((run.left_s(now_s), run.demand) for run in worker.run_by_key.values())
    return _Outlook(worker, free, ends)


def _fit_at(step: StepState, count: int, outlooks: list[_Outlook], after_s: float) -> dict[str, int]:
    """Return tasks by worker if the step fits once runs ended up to then."""
    demand = effective_demand(step)
    slots_by_rack: dict[str, dict[str, int]] = {}
    for outlook in outlooks:
        worker = outlook.worker
        found = min(fitting(outlook.free_after(after_s), demand), per_worker_limit(worker, step))
        if found:
            rack = worker.rack if step.spec.same_rack else ''
            slots_by_rack.setdefault(rack, {})[worker.worker_id] = found
    for slots in slots_by_rack.values():
        chosen = _choose(slots, count)
        if chosen:
            return chosen
    return {}


def _choose(slots: dict[str, int], count: int) -> dict[str, int]:
    if sum(slots.values()) < count:
        return {}
    chosen = {}
    left = count
    for worker_id, most in sorted(slots.items(), key=lambda pair: -pair[1]):
        taken = min(left, most)
        if taken:
            chosen[worker_id] = taken
            left -= taken
    return chosen
