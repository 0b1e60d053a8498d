"""Reservations for waiting gangs; work that ends before they start is backfilled."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from heapq import merge
from typing import NamedTuple

from ..workload import NO_RESOURCES, Resources
from .job_state import StepState
from .placement import allowed_workers
from .reservations import Reservation, Reservations
from .room import effective_demand, fitting_count, FreeCapacity, is_near, per_worker_limit
from .standing import SortKey
from .workers import WorkerState


class _FutureSlot(NamedTuple):
    """Capacity for one more task of a gang on a worker, from a point in time on."""

    after_s: float
    worker_id: str
    rack: str


def earliest_reservation(
    step: StepState,
    count: int,
    sort_key: SortKey,
    free_capacity: FreeCapacity,
    reservations: Reservations,
    now_s: float,
) -> Reservation | None:
    """Return a reservation of the capacity that is expected to be free earliest."""
    reserved_by_id = _reserved_by_worker(
        reservation for reservation in reservations if reservations.blocks(reservation, step, sort_key)
    )
    slots_by_worker: list[Iterator[_FutureSlot]] = []
    for worker in allowed_workers(step, free_capacity):
        if is_near(worker, step):
            free = worker.free.minus(reserved_by_id.get(worker.worker_id, NO_RESOURCES))
            releases = free_capacity.expected_releases(worker, now_s)
            slots_by_worker.append(_future_slots(worker, free, step, count, releases))
    counts_by_rack: dict[str, Counter[str]] = defaultdict(Counter)
    # The slots of each worker come in order of time, so that those after the last one needed are never computed.
    for slot in merge(*slots_by_worker):
        counts = counts_by_rack[slot.rack]
        counts[slot.worker_id] += 1
        if counts.total() >= count:
            return Reservation(step, dict(counts), now_s + slot.after_s, sort_key, created_s=now_s)
    return None


def _reserved_by_worker(reservations: Iterable[Reservation]) -> dict[str, Resources]:
    reserved_by_id: dict[str, Resources] = {}
    for reservation in reservations:
        demand = effective_demand(reservation.step)
        for worker_id, count in reservation.count_by_worker.items():
            reserved_by_id[worker_id] = reserved_by_id.get(worker_id, NO_RESOURCES).plus(demand.times(count))
    return reserved_by_id


def _future_slots(
    worker: WorkerState,
    free: Resources,
    step: StepState,
    count: int,
    expected_releases: list[tuple[float, Resources]],
) -> Iterator[_FutureSlot]:
    """Yield a slot for each further task that fits on a worker as its runs end."""
    demand = effective_demand(step)
    max_count = min(count, per_worker_limit(worker, step), fitting_count(worker.profile.capacity, demand))
    rack = worker.rack if step.spec.same_rack else ''
    yielded = 0
    for after_s, freed in ((0.0, NO_RESOURCES), *expected_releases):
        free = free.plus(freed)
        slot_count = min(max_count, fitting_count(free, demand))
        for _ in range(slot_count - yielded):
            yield _FutureSlot(after_s, worker.worker_id, rack)
        yielded = max(yielded, slot_count)
        if yielded >= max_count:
            return
