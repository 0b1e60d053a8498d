"""Placement of the tasks of a step on workers."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from ..policies import Policy
from ..workload import Resources
from .job_state import StepState
from .mechanisms import Mechanism
from .ranks import RANK_OVERDUE
from .room import effective_demand, fits, fitting_count, FreeCapacity, is_admissible, is_near, per_worker_limit
from .settings import SchedulerSettings
from .standing import SortKey
from .variables import candidate_variables, is_slow, is_suspect
from .workers import WorkerState


class WorkerAllocation(NamedTuple):
    """A worker and the number of tasks of a step on it."""

    worker: WorkerState
    task_count: int


class Placement(NamedTuple):
    """Workers on which tasks of a step are placed.

    Parameters
    ----------
    allocations : tuple of WorkerAllocation
        Workers, in order of use.
    slowdown : float
        Factor by which the run time of the tasks grows there.
    """

    allocations: tuple[WorkerAllocation, ...]
    slowdown: float = 1.0

    @property
    def task_count(self) -> int:
        """Number of tasks placed."""
        return sum(allocation.task_count for allocation in self.allocations)


class PlacementRequest(NamedTuple):
    """A request to place tasks of a step.

    Parameters
    ----------
    step : StepState
        The step.
    task_count : int
        Tasks to place; a gang needs them all.
    work_s : float
        Expected run time near the step's data and in one rack.
    now_s : float
        The current time, steady clock.
    allows_far_workers : bool
        Whether placement away from the data or across racks, where tasks run slower,
        is acceptable.
    settings : SchedulerSettings
        Limits, and the slowdown of tasks on far workers.
    policy : Policy
        The operators' programs.
    sort_key : SortKey
        Sort key of the step, which includes its rank.
    indices : tuple of int
        Indices of the tasks, in order of placement.
    isolation_s : float
        How long the tasks must have run before others may start on the same worker;
        0 unless workers crashed while they ran there.
    is_overdue : bool
        Whether the step has waited so long while the pool had idle capacity that most
        reservations no longer block it.
    """

    step: StepState
    task_count: int
    work_s: float
    now_s: float
    allows_far_workers: bool
    settings: SchedulerSettings
    policy: Policy
    sort_key: SortKey
    indices: tuple[int, ...] = ()
    isolation_s: float = 0.0
    is_overdue: bool = False

    @property
    def min_task_count(self) -> int:
        """Minimum number of tasks that must fit for any to start."""
        return self.task_count if self.step.spec.gang else 1

    @property
    def reservation_sort_key(self) -> SortKey:
        """Sort key for the check against reservations."""
        return self.sort_key._replace(rank=RANK_OVERDUE) if self.is_overdue else self.sort_key

    @property
    def rank(self) -> int:
        """Rank of the step."""
        return self.sort_key.rank


NO_PLACEMENT = Placement(())


# More tasks than any rack holds.
_UNLIMITED = 1_000_000


def place(request: PlacementRequest, free_capacity: FreeCapacity) -> Placement:
    """Return a placement of a whole gang, or of as many tasks of another step as fit."""
    near = _find_allocations(request, free_capacity, request.work_s, near=True)
    if request.step.spec.gang:
        return _place_gang(request, free_capacity, near)
    placement = Placement(_fill(near, request.task_count, request.step))
    if placement.task_count < request.task_count and request.allows_far_workers and request.step.spec.data_rack:
        far = _find_allocations(request, free_capacity, request.work_s * request.settings.far_factor, near=False)
        if not placement.task_count:
            return Placement(_fill(far, request.task_count, request.step), request.settings.far_factor)
    return placement


def allowed_workers(step: StepState, free_capacity: FreeCapacity) -> list[WorkerState]:
    """Return the workers that may run a step once they have free capacity."""
    eligible = free_capacity.admissible(step)
    if step.advice is not None:
        eligible = [worker for worker in eligible if step.advice.consents(worker.worker_id)]
    return without_failed(step, eligible)


def without_failed(step: StepState, eligible: list[WorkerState]) -> list[WorkerState]:
    """Exclude workers on which a step failed, unless fewer than half would remain.

    A step that has used up an attempt also avoids workers on which other jobs failed. Workers that
    fail all they start are idle: in a full pool, a job lost all its attempts there within a second.
    """
    if not step.failed_worker_ids:
        return eligible
    others = [worker for worker in eligible if worker.worker_id not in step.failed_worker_ids]
    if step.failed_runs_by_index:
        sound = [worker for worker in others if not worker.failed_jobs]
        others = sound if len(sound) * 2 >= len(eligible) else others
    return others if len(others) * 2 >= len(eligible) else eligible


def without_avoided(request: PlacementRequest, eligible: list[WorkerState]) -> list[WorkerState]:
    """Exclude workers on which the step of a request failed, as ``without_failed`` does."""
    # A worker on which the step failed is better than none to an overdue step.
    return eligible if request.is_overdue else without_failed(request.step, eligible)


def has_near_capacity(step: StepState, count: int, workers: Iterable[WorkerState]) -> bool:
    """Return whether ``count`` tasks of a step would fit near its data, or in one rack, on idle workers.

    Parameters
    ----------
    step : StepState
        The step.
    count : int
        Tasks that must fit together.
    workers : iterable of WorkerState
        Workers that are not draining.
    """
    spec = step.spec
    demand = effective_demand(step)
    limit = spec.max_per_worker or _UNLIMITED
    count_by_rack: Counter[str] = Counter()
    for worker in (each for each in workers if is_admissible(each, step) and is_near(each, step)):
        rack = worker.rack if spec.gang and spec.same_rack else ''
        count_by_rack[rack] += min(fitting_count(worker.profile.capacity, demand), limit)
        if count_by_rack[rack] >= count:
            return True
    return False


def by_rack(allocations: list[WorkerAllocation]) -> dict[str, list[WorkerAllocation]]:
    """Group allocations by rack."""
    allocations_by_rack: dict[str, list[WorkerAllocation]] = defaultdict(list)
    for allocation in allocations:
        allocations_by_rack[allocation.worker.rack].append(allocation)
    return allocations_by_rack


def _place_gang(request: PlacementRequest, free_capacity: FreeCapacity, near: list[WorkerAllocation]) -> Placement:
    step = request.step
    if sum(allocation.task_count for allocation in near) >= request.task_count:
        found = _fill_one_rack(request, near) if step.spec.same_rack else _fill(near, request.task_count, step)
        if found:
            return Placement(found)
    if not request.allows_far_workers or not (step.spec.same_rack or step.spec.data_rack):
        return NO_PLACEMENT
    far = _find_allocations(request, free_capacity, request.work_s * request.settings.far_factor, near=False)
    if sum(allocation.task_count for allocation in far) < request.task_count:
        return NO_PLACEMENT
    return Placement(_fill(far, request.task_count, step), request.settings.far_factor)


def _fill_one_rack(request: PlacementRequest, allocations: list[WorkerAllocation]) -> tuple[WorkerAllocation, ...]:
    """Return allocations in the rack with the least free capacity that holds a whole gang.

    Racks without a worker that recently refused the step are preferred, then, for urgent
    gangs, racks where none of the chosen workers is slow.
    """
    step = request.step
    is_urgent = step.job.queue.priority == 0
    best: tuple[WorkerAllocation, ...] = ()
    best_order = (True, True, _UNLIMITED)
    for rack_allocations in by_rack(allocations).values():
        count = sum(allocation.task_count for allocation in rack_allocations)
        if count < request.task_count:
            continue
        chosen = _fill(rack_allocations, request.task_count, step)
        has_refused = any(allocation.worker.worker_id in step.refused_until_by_worker for allocation in chosen)
        order = (has_refused, is_urgent and any(is_slow(allocation.worker) for allocation in chosen), count)
        if order < best_order:
            best, best_order = chosen, order
    return best


def _find_allocations(
    request: PlacementRequest, free_capacity: FreeCapacity, work_s: float, *, near: bool
) -> list[WorkerAllocation]:
    step = request.step
    demand = effective_demand(step)
    end_s = request.now_s + work_s
    found = []
    for worker in _with_free_capacity(_candidates(request, free_capacity, near=near), free_capacity.free_by_id, demand):
        free = free_capacity.free_for(worker, step, request.reservation_sort_key, end_s)
        count = min(fitting_count(free, demand), per_worker_limit(worker, step))
        if count:
            found.append(WorkerAllocation(worker, count))
    return _by_preference(found, request, free_capacity)


def _with_free_capacity(
    workers: list[WorkerState], free_by_id: Mapping[str, Resources], demand: Resources
) -> list[WorkerState]:
    """Return the workers on which one task fits; accelerators, which most have none free of, are checked first."""
    wanted = demand.accelerators
    free = [worker for worker in workers if free_by_id[worker.worker_id].accelerators >= wanted]
    return [worker for worker in free if fits(free_by_id[worker.worker_id], demand)]


def _candidates(request: PlacementRequest, free_capacity: FreeCapacity, *, near: bool) -> list[WorkerState]:
    step = request.step
    eligible = free_capacity.admissible(step)
    if near and step.spec.data_rack:
        eligible = [worker for worker in eligible if is_near(worker, step)]
    if step.advice is not None:
        eligible = [worker for worker in eligible if step.advice.ticket(worker.worker_id, request.now_s)]
    return without_avoided(request, eligible)


def _by_preference(
    allocations: list[WorkerAllocation], request: PlacementRequest, free_capacity: FreeCapacity
) -> list[WorkerAllocation]:
    """Return the allocations that the policy admits, best first, workers that recently refused the step last."""
    preferred = _by_policy(allocations, request, free_capacity)
    refused = request.step.refused_until_by_worker
    return sorted(preferred, key=lambda allocation: allocation.worker.worker_id in refused) if refused else preferred


def _by_policy(
    allocations: list[WorkerAllocation], request: PlacementRequest, free_capacity: FreeCapacity
) -> list[WorkerAllocation]:
    free_by_id = free_capacity.free_by_id
    policy = request.policy
    if not policy.has_placement:
        return sorted(
            allocations,
            key=lambda allocation: _preference(allocation.worker, free_by_id[allocation.worker.worker_id], request),
        )
    scored = []
    for allocation in allocations:
        candidate = candidate_variables(allocation.worker, request.step, free_by_id[allocation.worker.worker_id])
        if policy.admits(candidate):
            scored.append((policy.score(candidate), allocation))
    return [allocation for _, allocation in sorted(scored, key=lambda pair: pair[0])]


def _preference(worker: WorkerState, free: Resources, request: PlacementRequest) -> tuple[bool, bool, bool, int, int]:
    """Return a sort key that prefers healthy workers, then full ones, so that whole workers stay free.

    Workers that are warming up come after those that are warm. Urgent work, which has little
    slack, prefers fast workers to full ones.
    """
    settings = request.settings
    is_urgent = request.step.job.queue.priority == 0
    is_last = worker.may_hide_ends or (is_suspect(worker) and settings.has(Mechanism.SUSPECTS_LAST))
    prefers_empty = not settings.has(Mechanism.PACKING)
    accelerators = -free.accelerators if prefers_empty else free.accelerators
    return (is_last, worker.is_cold, is_urgent and is_slow(worker), accelerators, free.memory_mb)


def _fill(allocations: list[WorkerAllocation], count: int, step: StepState) -> tuple[WorkerAllocation, ...]:
    chosen = []
    remaining = count
    for allocation in allocations:
        if not remaining:
            break
        taken = min(remaining, allocation.task_count)
        chosen.append(WorkerAllocation(allocation.worker, taken))
        remaining -= taken
    if remaining and step.spec.gang:
        return ()
    return tuple(chosen)
