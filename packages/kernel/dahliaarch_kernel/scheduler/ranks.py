"""Ranks of work: lower ones go first and may stop higher ones."""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from operator import attrgetter

from ..configuration import Queue
from .job_state import JobState

# Any work that has waited for too long beside idle capacity, against reservations only.
RANK_OVERDUE = -1
# Work of priority 0 within its account's guarantee.
RANK_GUARANTEED = 0
# Other work of priority 0.
RANK_URGENT = 1
# The rest.
RANK_ORDINARY = 2


def rank_of_queue(queue: Queue) -> int:
    """Return the rank of a queue's work, whatever its account is guaranteed."""
    return RANK_ORDINARY if queue.priority else RANK_URGENT


def rank_by_job(jobs: Iterable[JobState], guaranteed_by_account: Mapping[str, int]) -> dict[str, int]:
    """Return the ranks of the jobs of priority 0; those accepted first are guaranteed first."""
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
    """Return what a job's first step needs."""
    return sum(step.task_count * step.demand.accelerators for step in job.spec.steps[:1])
