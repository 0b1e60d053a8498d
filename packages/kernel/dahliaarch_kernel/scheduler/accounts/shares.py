"""Overuse of each client account in the pool, updated once per full scheduling pass.

Handles a load in which one account submits a large part of all jobs and others wait behind its work.
"""

from collections.abc import Iterable, Iterator, Mapping

from ...workload import dominant_share, Resources
from ..clock import Moment
from ..job_state import JobState, StepState
from ..mechanisms import Mechanism
from ..prediction import RunTimes
from ..room import effective_demand
from ..settings import SchedulerSettings
from ..workers import WorkerState
from .inherited import past_usage, PastUsage
from .overuse import account_weights, level_of_ratio, overuse_ratios
from .usage import UsageLedger

# Bounds of the factor by which the cost of stopping a run is divided for its account's overuse.
_MIN_VICTIM_DIVISOR = 1.0
_MAX_VICTIM_DIVISOR = 2.0
# Urgency of ordinary work while no job of an ordinary queue is known.
_DEFAULT_URGENCY = 1


class AccountShares:
    """Overuse ratios and levels of the accounts that have work.

    Parameters
    ----------
    settings : SchedulerSettings
        Limits, and the mechanisms that are disabled.

    Attributes
    ----------
    ratio_by_account : mapping
        Overuse ratio of each account that had work waiting or running at the last update; empty while
        `account_shares` is disabled.
    most_urgent : int
        Smallest priority of the ordinary queues that have work.
    """

    def __init__(self, settings: SchedulerSettings) -> None:
        """Start without usage."""
        self._settings = settings
        self._ledger = UsageLedger(settings.usage_half_life_s)
        self._inherited: list[PastUsage] = []
        self._level_by_account: Mapping[str, int] = {}
        self.ratio_by_account: Mapping[str, float] = {}
        self.most_urgent = _DEFAULT_URGENCY

    @property
    def is_enabled(self) -> bool:
        """Whether work is ordered by priorities or by the shares of accounts."""
        return self._settings.has(Mechanism.PRIORITY_ORDER) or self._settings.has(Mechanism.ACCOUNT_SHARES)

    @property
    def may_reorder(self) -> bool:
        """Whether steps may be ordered otherwise than by policy and age."""
        return self._settings.has(Mechanism.PRIORITY_ORDER) or len(self._level_by_account) > 1

    def level_of(self, account: str) -> int:
        """Return the level of an account; 0 if it had no work at the last update."""
        return self._level_by_account.get(account, 0)

    def ratio_of(self, account: str) -> float:
        """Return the overuse ratio of an account; 1 if it had no work at the last update."""
        return self.ratio_by_account.get(account, 1.0)

    def victim_divisor(self, account: str) -> float:
        """Return the factor by which the cost of stopping a run of an account is divided."""
        return min(max(self.ratio_of(account), _MIN_VICTIM_DIVISOR), _MAX_VICTIM_DIVISOR)

    def inherit(self, job: JobState, times: RunTimes, now: Moment) -> None:
        """Derive usage from before this owner's time from a job that a previous owner worked on."""
        if not self._settings.has(Mechanism.ACCOUNT_SHARES):
            return
        self._inherited.extend(past_usage(job, times, now, self._settings.usage_half_life_s))

    def update(
        self,
        jobs: Iterable[JobState],
        workers: Iterable[WorkerState],
        guaranteed_by_account: Mapping[str, int],
        now_s: float,
    ) -> None:
        """Advance usage to now and recompute the levels.

        Parameters
        ----------
        jobs : iterable of JobState
            Jobs that have not ended.
        workers : iterable of WorkerState
            Workers of the pool.
        guaranteed_by_account : mapping
            Guaranteed accelerators by account.
        now_s : float
            The current time, steady clock.
        """
        if not self.is_enabled:
            return
        held: dict[str, Resources] = {}
        priorities = set()
        for job, steps in _with_work(jobs):
            priorities.add(job.queue.priority)
            held[job.spec.account] = _plus_held(held.get(job.spec.account, Resources()), steps)
        self.most_urgent = min(priorities - {0}, default=_DEFAULT_URGENCY)
        if not self._settings.has(Mechanism.ACCOUNT_SHARES):
            return
        capacity = _pool_capacity(workers)
        if not any(capacity):
            return
        for past in self._inherited:
            share_seconds = dominant_share(past.demand, capacity) * past.task_seconds
            self._ledger.add_past(past.account, share_seconds, past.age_s)
        self._inherited.clear()
        self._ledger.advance(now_s, {account: dominant_share(total, capacity) for account, total in held.items()})
        weights = account_weights(held, guaranteed_by_account)
        self.ratio_by_account = overuse_ratios(self._ledger.usage_by_account, weights, held)
        self._level_by_account = {account: level_of_ratio(ratio) for account, ratio in self.ratio_by_account.items()}


def _with_work(jobs: Iterable[JobState]) -> Iterator[tuple[JobState, list[StepState]]]:
    """Yield the jobs that have tasks waiting or running, with the steps that have them."""
    for job in jobs:
        steps = [step for step in job.step_by_key.values() if step.pending or step.run_by_index]
        if steps:
            yield job, steps


def _plus_held(held: Resources, steps: Iterable[StepState]) -> Resources:
    """Return an amount with the resources added that the runs of steps hold."""
    for step in steps:
        if step.run_by_index:
            held = held.plus(effective_demand(step).times(len(step.run_by_index)))
    return held


def _pool_capacity(workers: Iterable[WorkerState]) -> Resources:
    """Return the total capacity of the workers that provide capacity."""
    capacity = Resources()
    for worker in workers:
        if worker.provides_capacity:
            capacity = capacity.plus(worker.profile.capacity)
    return capacity
