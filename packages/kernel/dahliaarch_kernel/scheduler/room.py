"""Free capacity of workers during one scheduling pass."""

from ..workload import NO_RESOURCES, Resources
from .job_state import StepState
from .reservations import Reservation, Reservations
from .runs import Run
from .standing import SortKey
from .workers import WorkerState

# Maximum number of concurrent starts on a worker that may hide ends. Each is stopped immediately and
# reveals whether its end is listed; one at a time kept a worker with 25 hidden ends out of use for 8 s.
_MAX_PROBES = 4
# Larger than any number of tasks: the result where no resource limits it.
_UNLIMITED = 1_000_000


class FreeCapacity:
    """Free resources of the workers that accept starts.

    Parameters
    ----------
    workers : list of WorkerState
        Workers that accept starts.
    reservations : Reservations
        Capacity that is reserved for waiting steps.
    """

    def __init__(self, workers: list[WorkerState], reservations: Reservations) -> None:
        """Read the free resources of each worker."""
        self.workers = workers
        self.free_by_id = {worker.worker_id: worker.free for worker in workers}
        self._reservations = reservations
        self._expected_releases_by_worker: dict[str, list[tuple[float, Resources]]] = {}
        self._admissible_by_requirements: dict[tuple[str, str], list[WorkerState]] = {}
        self._index_reservations()

    def allocate(self, worker: WorkerState, demand: Resources) -> None:
        """Subtract a demand from a worker's free resources."""
        self._expected_releases_by_worker.pop(worker.worker_id, None)
        self.free_by_id[worker.worker_id] = self.free_by_id[worker.worker_id].minus(demand)

    def mark_full(self, worker: WorkerState) -> None:
        """Prevent further starts on a worker in this pass."""
        self.free_by_id[worker.worker_id] = NO_RESOURCES

    def expected_releases(self, worker: WorkerState, now_s: float) -> list[tuple[float, Resources]]:
        """Return in how many seconds each run on a worker is expected to end and what it frees, earliest first.

        The result is cached: within a pass, every waiting gang requests it for all workers.
        """
        cached = self._expected_releases_by_worker.get(worker.worker_id)
        if cached is None:
            cached = sorted((run.left_s(now_s), run.demand) for run in worker.runs)
            self._expected_releases_by_worker[worker.worker_id] = cached
        return cached

    def admissible(self, step: StepState) -> list[WorkerState]:
        """Return the workers that are able to run a step's tasks, whatever runs there now."""
        requirements = (step.job.queue.service, step.spec.label)
        cached = self._admissible_by_requirements.get(requirements)
        if cached is None:
            cached = [worker for worker in self.workers if is_admissible(worker, step)]
            self._admissible_by_requirements[requirements] = cached
        return cached

    def free_for(self, worker: WorkerState, step: StepState, sort_key: SortKey, end_s: float) -> Resources:
        """Return the resources that a step with this sort key may use until ``end_s``."""
        free = self.free_by_id.get(worker.worker_id, NO_RESOURCES)
        if self._indexed_version != self._reservations.version:
            self._index_reservations()
        for reservation, reserved in self._reserved_by_worker.get(worker.worker_id, ()):
            if end_s > reservation.ready_s and self._reservations.blocks(reservation, step, sort_key):
                free = free.minus(reserved)
        return free

    def _index_reservations(self) -> None:
        """Index the reserved resources by worker: most workers have no reservation."""
        self._reserved_by_worker: dict[str, list[tuple[Reservation, Resources]]] = {}
        for reservation in self._reservations:
            demand = effective_demand(reservation.step)
            for worker_id, count in reservation.count_by_worker.items():
                self._reserved_by_worker.setdefault(worker_id, []).append((reservation, demand.times(count)))
        self._indexed_version = self._reservations.version


def effective_demand(step: StepState) -> Resources:
    """Return the resources that a task uses up on a worker."""
    demand = step.spec.demand
    return demand._replace(cpu_millis=0) if step.spec.fills else demand


def fits(free: Resources, demand: Resources) -> bool:
    """Return whether one task with this demand fits into free resources."""
    free_cpu, free_memory, free_accelerators = free
    cpu, memory, accelerators = demand
    return cpu <= free_cpu and memory <= free_memory and accelerators <= free_accelerators


def fitting_count(free: Resources, demand: Resources) -> int:
    """Return how many tasks with this demand fit into free resources.

    The result is 0 where a resource is negative, that is, where the runs on a worker
    exceed its capacity: the worker would still be over its capacity when the tasks
    start, even if they need none of the resource that is short.
    """
    if min(free) < 0:
        return 0
    count = _UNLIMITED
    if demand.cpu_millis:
        count = free.cpu_millis // demand.cpu_millis
    if demand.memory_mb:
        count = min(count, free.memory_mb // demand.memory_mb)
    if demand.accelerators:
        count = min(count, free.accelerators // demand.accelerators)
    return max(count, 0)


def per_worker_limit(worker: WorkerState, step: StepState) -> int:
    """Return the maximum number of further tasks of a step on a worker."""
    limit = _UNLIMITED
    if step.spec.max_per_worker:
        limit = step.spec.max_per_worker - sum(_belongs_to_step(run, step) for run in worker.runs)
    if worker.may_hide_ends:
        limit = min(limit, _probe_limit(worker, step))
    return max(limit, 0)


def is_admissible(worker: WorkerState, step: StepState) -> bool:
    """Return whether a worker is able to run a step's tasks, whatever runs there now."""
    if worker.profile.service != step.job.queue.service:
        return False
    return not step.spec.label or step.spec.label in worker.profile.labels


def is_near(worker: WorkerState, step: StepState) -> bool:
    """Return whether a worker is in the rack of a step's data; True for steps without one."""
    return not step.spec.data_rack or step.spec.data_rack in worker.profile.labels


def _probe_limit(worker: WorkerState, step: StepState) -> int:
    """Return how many tasks of a step may start as probes of a worker that may hide ends."""
    return 0 if step.spec.gang or step.spec.lasting else _MAX_PROBES - worker.run_count


def _belongs_to_step(run: Run, step: StepState) -> bool:
    key = run.key
    return (key.job_id, key.occurrence, key.step) == (step.job.spec.job_id, step.occurrence, step.number)
