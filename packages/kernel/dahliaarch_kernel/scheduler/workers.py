"""Workers, their leases and their state as known to the scheduler."""

from collections.abc import Iterable, Iterator
from itertools import chain
from typing import NamedTuple

from ..workload import NO_RESOURCES, Resources, TaskKey
from .paces.pace import Pace
from .runs import Run

# Bound of how much faster the owner's clock may be: a worker's steady clock may be 2% slow,
# and the rest covers rounding.
_MAX_CLOCK_RATIO = 1.03
# Initial and maximum time without starts after a refusal, in seconds: the time doubles
# with each consecutive refusal.
_INITIAL_BACKOFF_S = 1.0
_MAX_BACKOFF_S = 4.0


class WorkerProfile(NamedTuple):
    """Profile that a worker publishes.

    Parameters
    ----------
    worker_id : str
        Identifier of this incarnation of the worker.
    service : str
        Service to which it belongs.
    domain : str
        Failure domain.
    capacity : Resources
        Total resources.
    labels : tuple of str
        Kind and rack.
    draining : bool
        Whether it is about to leave.
    leaves_in_s : float or None
        Minimum time until it leaves, while it is draining.
    """

    worker_id: str
    service: str
    domain: str
    capacity: Resources
    labels: tuple[str, ...]
    draining: bool = False
    leaves_in_s: float | None = None


class Lease:
    """Computes an upper bound of the end of a worker's lease on the owner's clock."""

    def __init__(self) -> None:
        """Start without a reading of the worker's clock."""
        self._clock_s: float | None = None
        self._read_at_s = 0.0
        self._until_s = 0.0
        self._assumed_until_s = 0.0

    @property
    def has_reading(self) -> bool:
        """Whether the worker's clock has been read."""
        return self._clock_s is not None

    def record_clock(self, clock_s: float, now_s: float) -> None:
        """Record a reading of the worker's clock, which shows at least ``clock_s`` at ``now_s``."""
        if self._clock_s is None or clock_s >= self._clock_s:
            self._clock_s = clock_s
            self._read_at_s = now_s

    def end_of(self, lease_s: float, now_s: float) -> float:
        """Return the end, on the worker's clock, of a lease of ``lease_s`` from now."""
        if self._clock_s is None:
            return 0.0
        return self._clock_s + (now_s - self._read_at_s) + lease_s

    def record_sent(self, until_s: float) -> None:
        """Record a lease end that was sent, whether it was answered or not; the lease is never shortened."""
        self._until_s = max(self._until_s, until_s)

    def assume_until(self, latest_end_s: float) -> None:
        """Assume that a previous owner granted a lease until ``latest_end_s`` at the latest."""
        self._assumed_until_s = max(self._assumed_until_s, latest_end_s)

    def assume_granted(self, lease_s: float, now_s: float) -> None:
        """Assume that until now a previous owner granted leases of ``lease_s``."""
        self.assume_until(now_s + lease_s * _MAX_CLOCK_RATIO)

    def latest_end_s(self) -> float:
        """Return the steady time after which the lease has ended and nothing runs on the worker any more."""
        if self._clock_s is None:
            return self._assumed_until_s
        left_s = max(0.0, self._until_s - self._clock_s)
        return max(self._assumed_until_s, self._read_at_s + left_s * _MAX_CLOCK_RATIO)


class RefusalBackoff:
    """Exponential backoff for a worker that refuses starts of several jobs.

    Refusals of a single job don't count, since that job itself may be the cause.
    """

    def __init__(self) -> None:
        """Start without a refusal."""
        self._job_ids: set[str] = set()
        self._refusals = 0
        self._until_s = float('-inf')

    def record_refusal(self, job_id: str, now_s: float) -> None:
        """Record that the worker refused a start of a job."""
        self._job_ids.add(job_id)
        # Starts in flight at the same time are refused together and count as one refusal.
        if now_s < self._until_s or len(self._job_ids) == 1:
            return
        self._refusals += 1
        self._until_s = now_s + min(_INITIAL_BACKOFF_S * (1 << (self._refusals - 1)), _MAX_BACKOFF_S)

    def record_start(self) -> None:
        """Record that the worker acknowledged a start."""
        self._job_ids.clear()
        self._refusals = 0
        self._until_s = float('-inf')

    def is_over(self, now_s: float) -> bool:
        """Return whether starts may be sent to the worker again."""
        return now_s >= self._until_s


class WorkerState:
    """State of one incarnation of a worker.

    Parameters
    ----------
    profile : WorkerProfile
        Its published profile.

    Attributes
    ----------
    worker_id : str
        Identifier of this incarnation.
    """

    def __init__(self, profile: WorkerProfile) -> None:
        """Start without runs, before the first survey."""
        self.profile = profile
        self.worker_id = profile.worker_id
        self.lease = Lease()
        self.run_by_key: dict[TaskKey, Run] = {}
        # Runs on its latest list to which no task is assigned: they are being stopped, and hold capacity until then.
        self.unassigned_runs: tuple[Run, ...] = ()
        self.used = NO_RESOURCES
        # Runs of tasks under which workers crashed; most workers have none.
        self._suspects: list[Run] = []
        self.is_listed = True
        # Whether operators are evacuating its failure domain, so that nothing may be started there.
        self.is_evacuated = False
        # False until this incarnation has published its profile, which may differ from that of the previous one.
        self.has_published_profile = True
        # False while its entry was overwritten by another writer and describes no worker.
        self.has_readable_entry = True
        self.is_surveyed = False
        # Whether the worker may never list ends of runs. Until it has listed one, it gets few starts at a time, which
        # are stopped immediately.
        self.may_hide_ends = False
        # How long a later incarnation of the same name may still carry out an unanswered start, in seconds, counted
        # from the last attempt to send it or, if that is unknown, from now. It is 0 if later incarnations have other
        # names, and so refuse the start.
        self.late_order_s = 0.0
        # Steady time of the last unanswered attempt to send a start, whatever the outcome of other attempts.
        self.unanswered_starts: dict[TaskKey, float] = {}
        # Steady time since which the worker has not answered.
        self.silent_since_s: float | None = None
        # Whether its last lease ended while it was silent, so that nothing runs there. The store may already say so to
        # the next owner: the worker gets no starts until that record is withdrawn.
        self.is_lapsed = False
        self.leaves_at_s: float | None = None
        # Whether it is still warming up, so that tasks take longer there than they will later.
        self.is_cold = False
        self._cold_left_s = 0.0
        self._cold_until_s = 0.0
        self.failed_jobs: set[str] = set()
        self.slowness = 1.0
        self.pace = Pace()
        self.refusal_backoff = RefusalBackoff()
        # Ratio of run times on this worker to those on a healthy worker, as estimated so far.
        self.slowdown = 1.0
        # Factor by which the slowdown may be overestimated, as far as evidence on its pace is rare.
        self.slowdown_margin = 1.0

    @property
    def is_overcommitted(self) -> bool:
        """Whether its runs hold more than its capacity, because the capacity has shrunk."""
        return min(self.free) < 0

    @property
    def rack(self) -> str:
        """Rack, which is the second label; empty if there is none."""
        labels = self.profile.labels
        return labels[1] if len(labels) > 1 else ''

    @property
    def free(self) -> Resources:
        """Resources that no run holds."""
        return self.profile.capacity.minus(self.used)

    def record_cold_time(self, cold_left_s: float, now_s: float) -> None:
        """Record how much longer the worker says that it is cold; a repeated report does not extend that time."""
        if cold_left_s != self._cold_left_s:
            self._cold_left_s = cold_left_s
            self._cold_until_s = now_s + cold_left_s
        self.update_cold(now_s)

    def update_cold(self, now_s: float) -> None:
        """Determine whether the worker is still cold."""
        self.is_cold = now_s < self._cold_until_s

    def add_run(self, run: Run) -> None:
        """Add a run and reserve its demand."""
        self.run_by_key[run.key] = run
        if run.isolation_s:
            self._suspects.append(run)
        self.used = self.used.plus(run.demand)

    def remove_run(self, run: Run) -> None:
        """Remove a run and release its demand."""
        if self.run_by_key.get(run.key) is run:
            del self.run_by_key[run.key]
            self.used = self.used.minus(run.demand)
            if run.isolation_s:
                self._suspects.remove(run)

    def replace_unassigned_runs(self, runs: Iterable[Run]) -> bool:
        """Replace the runs to which no task is assigned; return whether any of the former ones may be gone."""
        former = self.unassigned_runs
        self.unassigned_runs = tuple(runs)
        for gone in former:
            self.used = self.used.minus(gone.demand)
        for listed in self.unassigned_runs:
            self.used = self.used.plus(listed.demand)
        return bool(former)

    @property
    def runs(self) -> Iterator[Run]:
        """All runs that hold capacity, with those to which no task is assigned."""
        return chain(self.run_by_key.values(), self.unassigned_runs)

    @property
    def run_count(self) -> int:
        """Number of runs that hold capacity."""
        return len(self.run_by_key) + len(self.unassigned_runs)

    def count_runs_of_other_jobs(self, run: Run) -> int:
        """Return the number of runs on this worker that belong to other jobs than the given run."""
        return sum(other.job_id != run.key.job_id for other in self.run_by_key)

    @property
    def takes_starts(self) -> bool:
        """Whether starts may be sent to the worker.

        A worker that answers is alive even if its entry is missing: entries expire while the store is unavailable.
        """
        if not self.has_published_profile or not self.has_readable_entry:
            return False
        if self.profile.draining or self.is_evacuated:
            return False
        return self.is_reporting and not self.is_lapsed and not self.has_isolated_run

    @property
    def provides_capacity(self) -> bool:
        """Whether its capacity counts as part of the pool: it is listed, and neither leaving nor evacuated."""
        return self.is_listed and not self.profile.draining and not self.is_evacuated

    @property
    def is_silent(self) -> bool:
        """Whether the worker has stopped answering."""
        return self.silent_since_s is not None

    @property
    def is_reporting(self) -> bool:
        """Whether the worker has listed its runs and still answers."""
        return self.is_surveyed and not self.is_silent

    @property
    def has_isolated_run(self) -> bool:
        """Whether the worker has an isolated run, beside which nothing may start."""
        return any(run.is_isolated for run in self._suspects)


def group_by_rack(workers: list[WorkerState]) -> dict[str, list[WorkerState]]:
    """Group workers by rack."""
    workers_by_rack: dict[str, list[WorkerState]] = {}
    for worker in workers:
        workers_by_rack.setdefault(worker.rack, []).append(worker)
    return workers_by_rack
