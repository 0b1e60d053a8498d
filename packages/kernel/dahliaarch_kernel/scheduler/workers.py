"""Workers, as the scheduler believes them to be."""

from typing import NamedTuple

from ..workload import NO_RESOURCES, Resources, TaskKey
from .pace import Pace
from .runs import Run

# A worker's steady clock may be 2% slow; the rest covers rounding.
_MAX_CLOCK_RATIO = 1.03
# How long a worker gets no starts after it has refused one, in seconds, and the
# longest such time: it doubles with each refusal in a row.
_INITIAL_BACKOFF_S = 1.0
_MAX_BACKOFF_S = 4.0


class WorkerProfile(NamedTuple):
    """What a worker publishes about itself.

    Parameters
    ----------
    worker_id : str
        Identifier of this incarnation of the worker.
    service : str
        Service that it belongs to.
    domain : str
        Failure domain.
    capacity : Resources
        What it has in all.
    labels : tuple of str
        Its kind and its rack.
    draining : bool
        Whether it is about to leave.
    leaves_in_s : float or None
        Least time left to it while it drains.
    """

    worker_id: str
    service: str
    domain: str
    capacity: Resources
    labels: tuple[str, ...]
    draining: bool = False
    leaves_in_s: float | None = None


class Lease:
    """Bounds the end of a worker's lease on the owner's clock."""

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

    def read(self, clock_s: float, now_s: float) -> None:
        """Take a reading of the worker's clock, not older than ``now_s``."""
        if self._clock_s is None or clock_s >= self._clock_s:
            self._clock_s = clock_s
            self._read_at_s = now_s

    def until(self, hold_s: float, now_s: float) -> float:
        """Return the end, on the worker's clock, of a lease of ``hold_s`` from now."""
        if self._clock_s is None:
            return 0.0
        return self._clock_s + (now_s - self._read_at_s) + hold_s

    def sent(self, until_s: float) -> None:
        """Record an end that was sent, answered or not: it is never shortened."""
        self._until_s = max(self._until_s, until_s)

    def assume(self, latest_end_s: float) -> None:
        """Assume a lease given by a previous owner up to ``latest_end_s``."""
        self._assumed_until_s = max(self._assumed_until_s, latest_end_s)

    def assume_held(self, hold_s: float, now_s: float) -> None:
        """Assume that a previous owner gave a lease of ``hold_s`` until now."""
        self.assume(now_s + hold_s * _MAX_CLOCK_RATIO)

    def latest_end_s(self) -> float:
        """Return the steady time after which nothing runs there any more."""
        if self._clock_s is None:
            return self._assumed_until_s
        left_s = max(0.0, self._until_s - self._clock_s)
        return max(self._assumed_until_s, self._read_at_s + left_s * _MAX_CLOCK_RATIO)


class RefusalBackoff:
    """Keeps starts away from a worker that refuses those of several jobs, for longer after each refusal in a row.

    One job alone may be at fault itself.
    """

    def __init__(self) -> None:
        """Start without a refusal."""
        self._job_ids: set[str] = set()
        self._refusals = 0
        self._until_s = float('-inf')

    def refused(self, job_id: str, now_s: float) -> None:
        """Record that the worker refused a start of a job."""
        self._job_ids.add(job_id)
        # Starts that were on their way together are refused together.
        if now_s < self._until_s or len(self._job_ids) == 1:
            return
        self._refusals += 1
        self._until_s = now_s + min(_INITIAL_BACKOFF_S * (1 << (self._refusals - 1)), _MAX_BACKOFF_S)

    def started(self) -> None:
        """Record that the worker acknowledged a start."""
        self._job_ids.clear()
        self._refusals = 0
        self._until_s = float('-inf')

    def is_over(self, now_s: float) -> bool:
        """Tell whether the worker may be asked again."""
        return now_s >= self._until_s


class WorkerState:
    """One incarnation of a worker.

    Parameters
    ----------
    profile : WorkerProfile
        What it publishes.

    Attributes
    ----------
    worker_id : str
        Identifier of this incarnation.
    """

    def __init__(self, profile: WorkerProfile) -> None:
        """Start empty and not surveyed yet."""
        self.profile = profile
        self.worker_id = profile.worker_id
        self.lease = Lease()
        self.run_by_key: dict[TaskKey, Run] = {}
        self.used = NO_RESOURCES
        # Runs of tasks under which workers crashed: most workers have none.
        self._suspects: list[Run] = []
        self.is_listed = True
        # False until it has published what it has: another incarnation may be of another kind.
        self.has_published_profile = True
        # False while its entry is another writer's and names no worker.
        self.has_readable_entry = True
        self.is_surveyed = False
        # Whether ends there may never be listed: it gets one start at a time, which is stopped at once, until one is.
        self.may_hide_ends = False
        # How long from now a start that got no answer may still run on a later incarnation under its name, in seconds;
        # 0 where later incarnations have other names, and refuse it.
        self.late_order_s = 0.0
        # When the last try of a start was sent that got no answer, whatever became of others; steady clock.
        self.unanswered_starts: dict[TaskKey, float] = {}
        # Since when it does not answer, steady clock.
        self.silent_since_s: float | None = None
        # Whether its last lease has ended in silence, so that nothing runs there. The next owner may
        # have been told so: it gets no starts until that is taken back.
        self.is_lapsed = False
        self.leaves_at_s: float | None = None
        self.failed_jobs: set[str] = set()
        self.slowness = 1.0
        self.pace = Pace()
        self.refusal_backoff = RefusalBackoff()
        # Times as long as tasks take here as on a sound worker, as far as known.
        self.slowdown = 1.0

    @property
    def is_overfull(self) -> bool:
        """Whether it holds more than it has: its room has shrunk."""
        return min(self.free) < 0

    @property
    def rack(self) -> str:
        """Rack: the label after the kind."""
        labels = self.profile.labels
        return labels[1] if len(labels) > 1 else ''

    @property
    def free(self) -> Resources:
        """What no run holds."""
        return self.profile.capacity.minus(self.used)

    def add_run(self, run: Run) -> None:
        """Let a run hold its demand."""
        self.run_by_key[run.key] = run
        if run.isolation_s:
            self._suspects.append(run)
        self.used = self.used.plus(run.demand)

    def remove_run(self, run: Run) -> None:
        """Free what a run held."""
        if self.run_by_key.get(run.key) is run:
            del self.run_by_key[run.key]
            self.used = self.used.minus(run.demand)
            if run.isolation_s:
                self._suspects.remove(run)

    def count_runs_of_other_jobs(self, run: Run) -> int:
        """Return how many runs of other jobs are here beside a run."""
        return sum(other.job_id != run.key.job_id for other in self.run_by_key)

    @property
    def takes_starts(self) -> bool:
        """Tell whether a start may be ordered here.

        A worker whose entry is missing but which answers is alive: entries
        lapse while the store is away.
        """
        if not self.has_published_profile or not self.has_readable_entry or self.profile.draining:
            return False
        return self.is_reporting and not self.is_lapsed and not self.has_isolated_run

    @property
    def is_silent(self) -> bool:
        """Whether it does not answer."""
        return self.silent_since_s is not None

    @property
    def is_reporting(self) -> bool:
        """Whether it has reported what runs there, and still answers."""
        return self.is_surveyed and not self.is_silent

    @property
    def has_isolated_run(self) -> bool:
        """Whether an isolated run is here: nothing starts beside it."""
        return any(run.is_isolated for run in self._suspects)


def by_rack(workers: list[WorkerState]) -> dict[str, list[WorkerState]]:
    """Group workers by rack."""
    workers_by_rack: dict[str, list[WorkerState]] = {}
    for worker in workers:
        workers_by_rack.setdefault(worker.rack, []).append(worker)
    return workers_by_rack
