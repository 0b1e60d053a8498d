"""Lower bound of the time at which a new job begins, by the digest of the owner's backlog.

Load: after workers were lost, guaranteed and urgent work may fill the pool for longer
than any later job has a value. Work of the same rank is not counted: its order may change.
"""

from collections.abc import Iterable
from typing import NamedTuple

from ..configuration import Queue
from ..scheduler.ranks import RANK_GUARANTEED, rank_of_queue, RANK_URGENT
from ..workload import JobSpec, MILLIS_PER_CORE, Resources
from .digest import Digest, QueueBacklog


class Candidate(NamedTuple):
    """A submitted job.

    Parameters
    ----------
    spec : JobSpec
        The job.
    queue : Queue
        Its queue.
    guaranteed_accelerators : int
        Guarantee of its account.
    """

    spec: JobSpec
    queue: Queue
    guaranteed_accelerators: int = 0


def start_bound_s(candidate: Candidate, digest: Digest, age_s: float, certain_work_share: float) -> float:
    """Return a lower bound of the time from now until any task of a job starts, in seconds.

    When a task of the job starts, no counted task waits, because that task would fit in
    its place. So all counted work has been started, in the time until then, on at most
    the whole pool, and each of its tasks may still be running. Tasks end early: only
    a share of their expected run time is counted.

    Parameters
    ----------
    candidate : Candidate
        The job.
    digest : Digest
        Summary of the owner's backlog.
    age_s : float
        Age of the digest: the pool may have served the counted work since.
    certain_work_share : float
        Share of its expected run time that each task takes at least.
    """
    capacity = digest.capacity_by_service.get(candidate.queue.service)
    if capacity is None or not capacity.cpu_millis:
        return 0.0
    rows = list(_rows_ahead(candidate, digest))
    cores = capacity.cpu_millis / MILLIS_PER_CORE
    served_s = sum(row.core_s for row in rows) / cores
    if capacity.accelerators:
        served_s = max(served_s, sum(row.accelerator_s for row in rows) / capacity.accelerators)
    longest_s = max((row.longest_s for row in rows), default=0.0)
    return max(0.0, certain_work_share * (served_s - longest_s) - age_s)


def _rows_ahead(candidate: Candidate, digest: Digest) -> Iterable[QueueBacklog]:
    """Yield the work that is placed before any task of a job: of a lower rank, and of no larger tasks."""
    rank = rank_of_queue(candidate.queue)
    if rank == RANK_URGENT and _may_be_guaranteed(candidate):
        rank = RANK_GUARANTEED
    smallest = _smallest_first_demand(candidate.spec)
    for row in digest.backlogs:
        if row.rank < rank and row.service == candidate.queue.service and smallest.covers(row.largest):
            yield row


def _may_be_guaranteed(candidate: Candidate) -> bool:
    needed = sum(step.task_count * step.demand.accelerators for step in candidate.spec.steps[:1])
    return needed <= candidate.guaranteed_accelerators


def _smallest_first_demand(spec: JobSpec) -> Resources:
    """Return the smallest amount of each resource that a task needs with which the job may begin."""
    demands = [
        step.demand._replace(cpu_millis=0) if step.fills else step.demand for step in spec.steps if not step.after
    ]
    return Resources(*(min(amounts) for amounts in zip(*demands, strict=True)))
