"""What previous owners started, as far as a new one does not know of it yet."""

from dahliaarch_kernel.scheduler import Scheduler

from ..logs import log_event

# Share by which the slowest worker's clock prolongs a lease, and rounding.
_MAX_CLOCK_DRIFT_FACTOR = 1.03


class PreviousWork:
    """Holds jobs of previous owners back until no worker may run one that this owner does not know of.

    Parameters
    ----------
    scheduler : Scheduler
        Knows workers and jobs.
    epoch : int
        Epoch of this owner: jobs that others were sent may run anywhere, unless
        these kept where they were assigned.
    """

    def __init__(self, scheduler: Scheduler, epoch: int) -> None:
        """Start before the takeover."""
        self._scheduler = scheduler
        self._epoch = epoch
        # When leases that previous owners gave have ended at the latest, steady clock.
        self._leases_end_s = 0.0
        self._unreported: set[str] = set()
        # Whether previous owners sent no start whose assignment the store does not hold.
        self.knows_all_assignments = False
        # Workers take no orders of previous owners once they have answered this one.
        self._all_workers_reported = False

    @property
    def has_unreported(self) -> bool:
        """Whether some worker has yet to say what runs there."""
        return bool(self._unreported)

    def set_lease_bound(self, hold_s: float, now_s: float) -> None:
        """Note that a silent worker may run jobs of previous owners until a lease from now has ended."""
        self._leases_end_s = now_s + hold_s * _MAX_CLOCK_DRIFT_FACTOR

    def not_before_s(self, owner_epoch: int) -> float:
        """Return from when a job may start, steady clock: at once if it is known where previous owners assigned it.

        So may one that was sent to this owner alone. That it was accepted after this
        owner's claim does not tell: for some time instances know the previous owner, tell
        it of jobs, and it starts them.
        """
        if self.knows_all_assignments or owner_epoch == self._epoch or self._all_workers_reported:
            return 0.0
        return self._leases_end_s

    def start_survey(self) -> None:
        """Wait for every worker that has not reported yet and may run something."""
        workers = self._scheduler.worker_by_id.values()
        self._unreported = {worker.worker_id for worker in workers if not worker.is_surveyed and not worker.is_lapsed}

    def finish_survey(self) -> None:
        """Let jobs of previous owners start, or have them wait for the workers that are silent."""
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
            worker.lease.assume(self._leases_end_s)

    def on_worker_replaced(self, worker_id: str) -> None:
        """Take in that another incarnation of a worker has begun: it has yet to say what runs there.

        It knows no owner before it has answered this one, and may have taken orders of the previous owner.
        """
        if not self._all_workers_reported:
            self._unreported.add(worker_id)

    def on_worker_reported(self, worker_id: str) -> None:
        """Take in that a worker has said what runs there, or is over."""
        if worker_id not in self._unreported:
            return
        self._unreported.discard(worker_id)
        if not self._unreported:
            log_event('takeover_complete', epoch=self._epoch)
            self._release_jobs()

    def _release_jobs(self) -> None:
        self._all_workers_reported = True
        self._scheduler.all_workers_reported()
