"""Status page for operators."""

from collections import Counter
from datetime import datetime, UTC
from typing import Any

from dahliaarch_kernel.scheduler import JobState, Scheduler, WorkerState
from dahliaarch_kernel.scheduler.accounts import AccountShares
from dahliaarch_kernel.scheduler.stalls import Load
from dahliaarch_platform.store import StoreClient

from .configuration import ConfigurationFollower
from .owner import PoolOwner
from .ownership import Ownership

# Ratio of actual to expected run time above which a worker is shown as slow.
_SLOW_FACTOR = 1.5


def build_status(
    ownership: Ownership,
    follower: ConfigurationFollower,
    store: StoreClient,
    owner: PoolOwner | None,
) -> dict[str, Any]:
    """Return the status of this instance, with jobs, accounts and workers of the pool if it is the owner."""
    known_owner = ownership.owner
    status: dict[str, Any] = {
        'owner': known_owner.member.instance if known_owner else 'not known',
        'epoch': known_owner.epoch if known_owner else 0,
        'configuration': follower.version,
        'store_calls': [{'call': call, 'count': count} for call, count in sorted(store.count_by_call.items())],
    }
    if owner is not None:
        jobs = [job for job in owner.scheduler.job_by_id.values() if not job.has_ended]
        status['waiting'] = _waiting(jobs)
        status['waiting_steps'] = _waiting_steps(owner.scheduler.load)
        status['accounts'] = _accounts(jobs, owner.scheduler.account_shares)
        status['evacuations'] = _evacuations(owner.scheduler)
        status['workers'] = [_worker(worker) for worker in owner.scheduler.worker_by_id.values()]
    return status


def _waiting(jobs: list[JobState]) -> list[dict[str, Any]]:
    waiting = Counter(job.queue.name for job in jobs if not job.has_begun)
    begun = Counter(job.queue.name for job in jobs if job.has_begun)
    return [{'queue': name, 'waiting': waiting[name], 'begun': begun[name]} for name in sorted(waiting | begun)]


def _waiting_steps(load: Load) -> list[dict[str, Any]]:
    return [{'reason': reason.value, 'steps': count} for reason, count in sorted(load.waiting_by_reason.items())]


def _accounts(jobs: list[JobState], shares: AccountShares) -> list[dict[str, Any]]:
    used: Counter[str] = Counter()
    for job in jobs:
        used[job.spec.account] += sum(run.demand.accelerators for run in job.runs())
    return [
        {
            'account': name,
            'accelerators': count,
            'overuse_ratio': round(shares.ratio_of(name), 2),
            'overuse_level': shares.level_of(name),
        }
        for name, count in sorted(used.items())
    ]


def _evacuations(scheduler: Scheduler) -> list[dict[str, Any]]:
    workers = scheduler.worker_by_id.values()
    return [
        {
            'domain': domain,
            'since': datetime.fromtimestamp(evacuation.since_s, UTC).isoformat(timespec='seconds'),
            'workers': sum(worker.profile.domain == domain for worker in workers),
            'runs': sum(worker.run_count for worker in workers if worker.profile.domain == domain),
        }
        for domain, evacuation in sorted(scheduler.evacuations.by_domain.items())
    ]


def _worker(worker: WorkerState) -> dict[str, Any]:
    return {
        'worker': worker.worker_id,
        'runs': worker.run_count,
        'free_accelerators': worker.free.accelerators,
        'state': _state(worker),
    }


def _state(worker: WorkerState) -> str:
    if worker.is_silent:
        return 'silent'
    if worker.profile.draining:
        return 'draining'
    if worker.is_evacuated:
        return 'evacuated'
    if worker.failed_jobs:
        return f'failed {len(worker.failed_jobs)} jobs in turn'
    return 'slow' if worker.slowness > _SLOW_FACTOR else 'sound'
