"""Delays jobs that previous owners may have started on workers that have not reported yet."""

from dahliaarch_kernel.scheduler import Scheduler

from ..logs import log_event

# Factor by which the slowest worker clock prolongs a lease, including rounding.
_MAX_CLOCK_DRIFT_FACTOR = 1.03


class PreviousWork:
    """Delays jobs of previous owners until no worker can be running one of them without this owner knowing.

    Parameters
    ----------
    scheduler : Scheduler
        Holds the state of workers and jobs.
    epoch : int
        Epoch of this owner. Jobs sent to other owners may be running on any worker,
        unless those owners stored the assignments.
    """

    def __init__(self, scheduler: Scheduler, epoch: int) -> None:
        """Start with the state before a takeover."""
        self._scheduler = scheduler
        self._epoch = epoch
        # Steady-clock time by which all leases granted by previous owners have expired.
        self._leases_end_s = 0.0
        self._unreported: set[str] = set()
        # Whether the store holds the assignment of every start that previous owners sent.
        self.knows_all_assignments = False
        # Once a worker has answered this owner, it accepts no orders from previous owners.
        self._all_workers_reported = False

    @property
    def has_unreported(self) -> bool:
        """Whether any worker has not yet reported what is running there."""
        return bool(self._unreported)

    @property
    def have_all_workers_reported(self) -> bool:
        """Whether every worker that previous owners used has answered this one, and so accepts no orders of theirs."""
        return self._all_workers_reported

    def set_lease_bound(self, lease_s: float, now_s: float) -> None:
        """Set how long silent workers may run jobs of previous owners: until a lease granted now has expired."""
        self._leases_end_s = now_s + lease_s * _MAX_CLOCK_DRIFT_FACTOR

    def not_before_s(self, owner_epoch: int) -> float:
        """Return the earliest start time of a job on the steady clock, or 0 if it may start immediately.

        A job may start immediately if the assignments of previous owners are known, or if it was sent
        to this owner only. Acceptance after this owner's claim is not sufficient: for some time instances
        still know the previous owner and send it jobs, which it starts.
        """
        if self.knows_all_assignments or owner_epoch == self._epoch or self._all_workers_reported:
            return 0.0
        return self._leases_end_s

    def start_survey(self) -> None:
        """Wait for reports from all workers that may be running tasks and have not reported yet."""
        workers = self._scheduler.worker_by_id.values()
        self._unreported = {worker.worker_id for worker in workers if not worker.is_surveyed and not worker.is_lapsed}

    def finish_survey(self) -> None:
        """Release jobs of previous owners, or make them wait for the leases of silent workers."""
        if not self._unreported:
            self._release_jobs()
            return
        silent = [self._scheduler.worker_by_id[worker_id] for worker_id in sorted(self._unreported)]
        log_event(
            'takeover_incomplete',
            silent=[worker.worker_id for worker in silent],
            assigned_runs=sum(len(worker.run_by_key) for worker in silent),
            until_s=self._leases_end_s,
        )
        for worker in silent:
            worker.lease.assume_until(self._leases_end_s)

    def on_worker_replaced(self, worker_id: str) -> None:
        """Wait for the report of a worker's new incarnation.

        Until it has answered this owner it knows of no owner, so it may have accepted orders from the previous one.
        """
        if not self._all_workers_reported:
            self._unreported.add(worker_id)

    def on_worker_reported(self, worker_id: str) -> None:
        """Note that a worker has reported what is running there, or has ended."""
        if worker_id not in self._unreported:
            return
        self._unreported.discard(worker_id)
        if not self._unreported:
            log_event('takeover_complete', epoch=self._epoch)
            self._release_jobs()

    def _release_jobs(self) -> None:
        self._all_workers_reported = True
        self._scheduler.all_workers_reported()
