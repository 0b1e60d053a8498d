"""Metrics of the owner's load: active jobs, waiting steps by reason and unconfirmed runs."""

from collections.abc import Iterator
from heapq import nlargest
from typing import Self

from dahliaarch_kernel.scheduler import Scheduler
from dahliaarch_kernel.scheduler.events import WaitReason
from dahliaarch_kernel.scheduler.runs import Run
from dahliaarch_kernel.scheduler.variables import is_slow

from ..metrics import Metrics

# Minimum time between two updates, in seconds.
_UPDATE_INTERVAL_S = 0.25
# Maximum number of accounts for which a gauge is exported: one time series each.
_MAX_ACCOUNTS = 32


class LoadGauges:
    """Sets the gauges that only the owner exports, and resets them when it is deposed.

    Parameters
    ----------
    scheduler : Scheduler
        Scheduler whose load is exported.
    metrics : Metrics
        Metrics that hold the gauges.
    """

    def __init__(self, scheduler: Scheduler, metrics: Metrics) -> None:
        """Leave the gauges unchanged until the first update."""
        self._scheduler = scheduler
        self._metrics = metrics
        self._updated_s = float('-inf')

    def update(self, now_s: float) -> None:
        """Set the gauges to the current load, at most once per update interval."""
        if now_s - self._updated_s < _UPDATE_INTERVAL_S:
            return
        self._updated_s = now_s
        load = self._scheduler.load
        self._metrics.active_jobs.set(load.active_jobs)
        for reason in WaitReason:
            self._metrics.waiting_steps.labels(reason.value).set(load.waiting_by_reason.get(reason, 0))
        self._metrics.evacuated_domains.set(len(self._scheduler.evacuations.by_domain))
        evacuated = (worker for worker in self._scheduler.worker_by_id.values() if worker.is_evacuated)
        self._metrics.evacuated_runs.set(sum(worker.run_count for worker in evacuated))
        self._set_account_overuse()
        self._metrics.slow_workers.set(sum(map(is_slow, self._scheduler.worker_by_id.values())))
        ages_s = [now_s - run.started_s for run in self._unconfirmed_runs()]
        self._metrics.unconfirmed_runs.set(len(ages_s))
        self._metrics.unconfirmed_run_s.set(max(ages_s, default=0.0))

    def __enter__(self) -> Self:
        """Return this object; the gauges are reset on exit."""
        return self

    def __exit__(self, *error: object) -> None:
        """Reset the gauges to zero, because this instance no longer owns the pool."""
        self._metrics.active_jobs.set(0)
        for reason in WaitReason:
            self._metrics.waiting_steps.labels(reason.value).set(0)
        self._metrics.held_starts.set(0)
        self._metrics.evacuated_domains.set(0)
        self._metrics.evacuated_runs.set(0)
        self._metrics.slow_workers.set(0)
        self._metrics.unconfirmed_runs.set(0)
        self._metrics.unconfirmed_run_s.set(0)
        self._metrics.account_overuse.clear()

    def _set_account_overuse(self) -> None:
        """Export the overuse ratios of the accounts that are most over their shares."""
        ratios = self._scheduler.account_shares.ratio_by_account
        self._metrics.account_overuse.clear()
        for account in nlargest(_MAX_ACCOUNTS, ratios, key=ratios.__getitem__):
            self._metrics.account_overuse.labels(account).set(ratios[account])

    def _unconfirmed_runs(self) -> Iterator[Run]:
        """Yield the runs whose start has been neither acknowledged nor listed by a worker."""
        for worker in self._scheduler.worker_by_id.values():
            yield from (run for run in worker.run_by_key.values() if not run.is_confirmed)
