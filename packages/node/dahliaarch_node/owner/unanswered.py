"""Unanswered start orders to one worker."""

import math
from collections.abc import Collection

from dahliaarch_kernel.workload import TaskKey

RunId = tuple[TaskKey, int]


class UnansweredStarts:
    """Tracks unanswered starts that the worker may still process.

    Each start carries the end of its lease, after which the worker refuses it. A list
    of runs that was requested when the worker's clock had passed that end therefore
    rules out the starts that it does not contain.
    """

    def __init__(self) -> None:
        """Initialize without unanswered starts."""
        # Lease ends of the starts, on the worker's clock.
        self._lease_end_by_run: dict[RunId, float] = {}
        self._overdue: set[RunId] = set()

    def __contains__(self, run: RunId) -> bool:
        """Return whether the outcome of a start is still unknown."""
        return run in self._lease_end_by_run

    @property
    def earliest_overdue_lease_end_s(self) -> float:
        """Earliest lease end of starts with an overdue answer, on the worker's clock; infinite without any."""
        return min((self._lease_end_by_run[run] for run in self._overdue), default=math.inf)

    def add(self, run: RunId, lease_end_s: float) -> None:
        """Add a start that is about to be sent, with the end of its lease."""
        self._lease_end_by_run[run] = lease_end_s

    def mark_overdue(self, run: RunId) -> None:
        """Mark a start as not answered in time."""
        if run in self._lease_end_by_run:
            self._overdue.add(run)

    def discard(self, run: RunId) -> bool:
        """Remove a start whose outcome is known; return whether it was unknown until now."""
        self._overdue.discard(run)
        return self._lease_end_by_run.pop(run, None) is not None

    def reconcile(self, known: Collection[RunId], asked_at_s: float) -> list[RunId]:
        """Resolve starts from a list of the worker's runs; return those that it rules out.

        Parameters
        ----------
        known : collection of RunId
            Listed runs, running or ended.
        asked_at_s : float
            Lower bound of the worker's clock when the list was requested.
        """
        for run in known:
            self.discard(run)
        ruled_out = [run for run, lease_end_s in self._lease_end_by_run.items() if asked_at_s > lease_end_s]
        for run in ruled_out:
            self.discard(run)
        return ruled_out
