"""Cancellations of jobs that the store does not hold."""

from typing import NamedTuple


class _Barred(NamedTuple):
    """A cancelled job and when its cancellation was seen, in seconds since 1970."""

    job_id: str
    seen_wall_s: float


class BarredJobs:
    """Jobs that were cancelled before they were stored, and must not start if a delayed write adds them.

    The cancellation in the store makes such a write fail; an instance of an earlier version
    writes jobs without that condition.
    """

    def __init__(self) -> None:
        """Initialize without jobs."""
        self._barred_by_id: dict[str, _Barred] = {}

    def __contains__(self, job_id: str) -> bool:
        """Return whether a job was cancelled before it was known."""
        return job_id in self._barred_by_id

    def add(self, job_id: str, wall_s: float) -> None:
        """Add a job whose cancellation was seen at a wall-clock time."""
        self._barred_by_id.setdefault(job_id, _Barred(job_id, wall_s))

    def discard(self, job_id: str) -> None:
        """Remove a job whose cancellation is no longer in the store, or whose record has been added."""
        self._barred_by_id.pop(job_id, None)

    def seen_before(self, wall_s: float) -> list[str]:
        """Return the jobs whose cancellations were seen before a wall-clock time."""
        return [each.job_id for each in self._barred_by_id.values() if each.seen_wall_s < wall_s]
