"""Interface of a scheduler in a comparison."""

from collections.abc import Mapping
from typing import Protocol

from dahliaarch_kernel.configuration import Queue
from dahliaarch_kernel.scheduler import Effect, Moment, WorkerProfile
from dahliaarch_kernel.scheduler.events import ListedRun, RunEnd
from dahliaarch_kernel.scheduler.workers import WorkerState
from dahliaarch_kernel.workload import JobSpec, TaskKey


class Decider(Protocol):
    """Interface of a scheduler in a comparison."""

    @property
    def worker_by_id(self) -> Mapping[str, WorkerState]:
        """Workers that are known."""
        ...

    def add_job(self, spec: JobSpec, queue: Queue, now: Moment) -> bool:
        """Add an accepted job."""
        ...

    def cancel(self, job_id: str, now: Moment) -> bool:
        """Cancel a job."""
        ...

    def update_worker(self, profile: WorkerProfile, now: Moment) -> bool:
        """Add or update a worker."""
        ...

    def worker_silent(self, worker_id: str, now: Moment) -> None:
        """Record that a worker does not answer."""
        ...

    def worker_over(self, worker_id: str, now: Moment) -> None:
        """Record that a worker has ended."""
        ...

    def worker_surveyed(self, worker_id: str, running: list[ListedRun], requested_s: float, now: Moment) -> None:
        """Record the runs that a worker lists."""
        ...

    def run_started(self, worker_id: str, key: TaskKey, run: int, now: Moment) -> None:
        """Record that a run has started."""
        ...

    def run_ended(self, end: RunEnd, now: Moment) -> None:
        """Record the end of a run."""
        ...

    def decide(self, now: Moment) -> list[Effect]:
        """Return the starts and stops to order."""
        ...
