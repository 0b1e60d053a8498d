"""Summarizes the scheduler's waiting work for the instances.

Load: with 2,000 waiting tasks and 176 workers, a summary is made once per heartbeat. Its
cost is proportional to the number of active jobs and their steps, not of their tasks.
"""

from collections.abc import Iterator, Mapping
from heapq import nlargest
from typing import NamedTuple

from ..scheduler import Moment, Scheduler
from ..scheduler.gates import job_wait_reason, step_wait_reason
from ..scheduler.job_state import StepState
from ..scheduler.ranks import rank_by_job, RANK_ORDINARY
from ..scheduler.state import SchedulerState
from ..workload import MILLIS_PER_CORE, NO_RESOURCES, Resources
from .digest import Digest, MAX_ACCOUNTS, MAX_QUEUES, QueueBacklog

# Longest expected run time that is counted for one task, in seconds: a false estimate of one
# caller must not make the instances refuse the jobs of others.
_MAX_COUNTED_S = 60.0


class _Waiting(NamedTuple):
    """Tasks of one step that wait for capacity alone."""

    queue: str
    service: str
    rank: int
    task_count: int
    demand: Resources
    expected_s: float


def summarize(scheduler: Scheduler, now: Moment) -> Digest:
    """Return a summary of the work that waits and of the capacity of the pool."""
    state = scheduler.state
    return Digest(
        state.epoch,
        now.wall_s,
        _capacity_by_service(state),
        _backlogs(state, now),
        _largest_ratios(scheduler.account_shares.ratio_by_account),
    )


def _capacity_by_service(state: SchedulerState) -> dict[str, Resources]:
    """Return the capacity by service, including workers that get no starts now but may again."""
    capacity_by_service: dict[str, Resources] = {}
    for worker in state.worker_by_id.values():
        service = worker.profile.service
        known = capacity_by_service.get(service, NO_RESOURCES)
        capacity_by_service[service] = known.plus(worker.profile.capacity)
    return capacity_by_service


def _backlogs(state: SchedulerState, now: Moment) -> tuple[QueueBacklog, ...]:
    """Return the waiting work by queue and rank; if there are too many rows, the least urgent ones are left out."""
    row_by_key: dict[tuple[str, str, int], QueueBacklog] = {}
    for waiting in _waiting_work(state, now):
        key = (waiting.queue, waiting.service, waiting.rank)
        row = row_by_key.get(key) or QueueBacklog(*key, 0.0, 0.0, NO_RESOURCES, 0.0)
        row_by_key[key] = _add(row, waiting)
    rows = sorted(row_by_key.values(), key=lambda each: (each.rank, -each.core_s, each.queue))
    return tuple(rows[:MAX_QUEUES])


def _add(row: QueueBacklog, waiting: _Waiting) -> QueueBacklog:
    demand = waiting.demand
    work_s = waiting.task_count * waiting.expected_s
    return row._replace(
        core_s=row.core_s + work_s * demand.cpu_millis / MILLIS_PER_CORE,
        accelerator_s=row.accelerator_s + work_s * demand.accelerators,
        largest=Resources(*(max(pair) for pair in zip(row.largest, demand, strict=True))),
        longest_s=max(row.longest_s, waiting.expected_s),
    )


def _waiting_work(state: SchedulerState, now: Moment) -> Iterator[_Waiting]:
    ranks = rank_by_job(state.active_jobs(), state.guaranteed_by_account)
    for job in state.active_jobs():
        if job_wait_reason(job, now) is not None:
            continue
        rank = ranks.get(job.spec.job_id, RANK_ORDINARY)
        for step in job.ready_steps():
            # Tasks that resume from a checkpoint have less left to do than expected.
            task_count = len(step.pending) - len(step.checkpoint_by_index)
            if task_count > 0 and _waits_for_capacity_alone(step) and step_wait_reason(state, step, now) is None:
                expected_s = state.times.expect_s(job.queue.name, step.spec)
                counted_s = min(_MAX_COUNTED_S, max(0.0, expected_s))
                yield _Waiting(job.queue.name, job.queue.service, rank, task_count, step.spec.demand, counted_s)


def _waits_for_capacity_alone(step: StepState) -> bool:
    """Return whether each task of a step may be placed by itself on any worker of its service that has capacity."""
    spec = step.spec
    is_bound = spec.gang or spec.label or spec.data_rack or spec.max_per_worker or step.job.queue.advice
    has_other_terms = spec.lasting or spec.fills or spec.speculative
    has_history = step.suspects or step.failed_worker_ids or step.refused_until_by_worker
    return not (is_bound or has_other_terms or has_history)


def _largest_ratios(ratio_by_account: Mapping[str, float]) -> dict[str, float]:
    """Return the overuse ratios of the accounts that are most over their shares."""
    accounts = nlargest(MAX_ACCOUNTS, ratio_by_account, key=ratio_by_account.__getitem__)
    return {account: ratio_by_account[account] for account in accounts}
