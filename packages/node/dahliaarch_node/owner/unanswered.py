"""Starts of one worker that have got no answer yet."""

import math
from collections.abc import Collection

from dahliaarch_kernel.workload import TaskKey

RunId = tuple[TaskKey, int]


class UnansweredStarts:
    """Tells which starts without an answer may still be carried out.

    Each carries the end of its lease, after which the worker refuses it. So a list
    of runs that was asked for once the worker's clock was past that rules it out.
    """

    def __init__(self) -> None:
        """Begin with none."""
        # Ends of their leases, on the worker's clock.
        self._lease_end_by_run: dict[RunId, float] = {}
        self._overdue: set[RunId] = set()

    def __contains__(self, run: RunId) -> bool:
        """Tell whether it is not known what became of a start."""
        return run in self._lease_end_by_run

    @property
    def earliest_overdue_end_s(self) -> float:
        """When the first lease of those ends whose answer is late, on the worker's clock; infinite without any."""
        return min((self._lease_end_by_run[run] for run in self._overdue), default=math.inf)

    def add(self, run: RunId, lease_end_s: float) -> None:
        """Note that a start is sent, and when its lease ends."""
        self._lease_end_by_run[run] = lease_end_s

    def mark_overdue(self, run: RunId) -> None:
        """Note that a start got no answer in time."""
        if run in self._lease_end_by_run:
            self._overdue.add(run)

    def discard(self, run: RunId) -> bool:
        """Note that it is known what became of a start; tell whether it was not."""
        self._overdue.discard(run)
        return self._lease_end_by_run.pop(run, None) is not None

    def reconcile(self, known: Collection[RunId], asked_at_s: float) -> list[RunId]:
        """Take in a list of runs; return the starts that it rules out.

        Parameters
        ----------
        known : collection of RunId
            What it lists, running or ended.
        asked_at_s : float
            A time that the worker's clock had reached when the list was asked for.
        """
        for run in known:
            self.discard(run)
        ruled_out = [run for run, lease_end_s in self._lease_end_by_run.items() if asked_at_s > lease_end_s]
        for run in ruled_out:
            self.discard(run)
        return ruled_out
