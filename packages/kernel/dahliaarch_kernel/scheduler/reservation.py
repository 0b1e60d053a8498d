"""Room kept for gangs that wait, with smaller work let in before."""

from ..workload import Resources
from .claims import Claim, Claims
from .job_state import StepState
from .placement import admissible_workers
from .room import effective_demand, fitting, is_near, per_worker_limit, rack_of
from .workers import WorkerState

# Points in time that are tried; later ends say little anyway.
_MOST_ENDS = 64


def earliest_claim(
    step: StepState,
    count: int,
    workers: list[WorkerState],
    claims: Claims,
    now_s: float,
) -> Claim | None:
    """Return a claim on the room that is expected to be free first."""
    able = [worker for worker in admissible_workers(step, workers) if is_near(worker, step)]
    ends = sorted({round(run.left_s(now_s), 2) for worker in able for run in worker.run_by_key.values()})
    ends = [0.0, *ends][:_MOST_ENDS]
    low, high = 0, len(ends) - 1
    best: dict[str, int] = {}
    ready_s = 0.0
    while low <= high:
        middle = (low + high) // 2
        found = _fit_at(step, count, able, claims, now_s, ends[middle])
        if found:
            best, ready_s = found, now_s + ends[middle]
            high = middle - 1
        else:
            low = middle + 1
    return Claim(step, best, ready_s) if best else None


def _fit_at(
    step: StepState,
    count: int,
    workers: list[WorkerState],
    claims: Claims,
    now_s: float,
    after_s: float,
) -> dict[str, int]:
    """Return tasks by worker if the step fits once runs ended up to then."""
    demand = effective_demand(step)
    slots: dict[str, int] = {}
    for worker in workers:
        free = _free_after(worker, claims, now_s, after_s)
        found = min(fitting(free, demand), per_worker_limit(worker, step))
        if found:
            slots[worker.worker_id] = found
    if not step.spec.same_rack:
        return _choose(slots, count)
    for rack in sorted({rack_of(worker) for worker in workers}):
        in_rack = {
            worker.worker_id: slots[worker.worker_id]
            for worker in workers
            if rack_of(worker) == rack and worker.worker_id in slots
        }
        chosen = _choose(in_rack, count)
        if chosen:
            return chosen
    return {}


def _free_after(worker: WorkerState, claims: Claims, now_s: float, after_s: float) -> Resources:
    """Return what is free on a worker once the runs that end by then have ended."""
    free = worker.free
    for run in worker.run_by_key.values():
        if run.left_s(now_s) <= after_s:
            free = free.plus(run.demand)
    for claim in claims:
        kept = claim.count_by_worker.get(worker.worker_id)
        if kept:
            free = free.minus(effective_demand(claim.step).times(kept))
    return free


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
