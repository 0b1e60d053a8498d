"""Ranks of work: a lower rank is scheduled first and may preempt higher ones."""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from operator import attrgetter

from ..configuration import Queue
from .job_state import JobState

# Any work that has waited too long while the pool had idle capacity. Applies only to the
# check against reservations.
RANK_OVERDUE = -1
# Work of priority 0 within its account's guarantee.
RANK_GUARANTEED = 0
# Other work of priority 0.
RANK_URGENT = 1
# All other work.
RANK_ORDINARY = 2


def rank_of_queue(queue: Queue) -> int:
    """Return the rank of a queue's work, regardless of its account's guarantee."""
    return RANK_ORDINARY if queue.priority else RANK_URGENT


def rank_by_job(jobs: Iterable[JobState], guaranteed_by_account: Mapping[str, int]) -> dict[str, int]:
    """Return the ranks of jobs of priority 0; the guarantee covers jobs in order of acceptance."""
    jobs_by_account: dict[str, list[JobState]] = defaultdict(list)
    for job in jobs:
        if job.queue.priority == 0:
            jobs_by_account[job.spec.account].append(job)
    ranks = {}
    for account, urgent in jobs_by_account.items():
        remaining = guaranteed_by_account.get(account, 0)
        for job in sorted(urgent, key=attrgetter('spec.accepted_s')):
            remaining -= _first_step_accelerators(job)
            ranks[job.spec.job_id] = RANK_GUARANTEED if remaining >= 0 else RANK_URGENT
    return ranks


def _first_step_accelerators(job: JobState) -> int:
    """Return the number of accelerators that a job's first step needs."""
    return sum(step.task_count * step.demand.accelerators for step in job.spec.steps[:1])
