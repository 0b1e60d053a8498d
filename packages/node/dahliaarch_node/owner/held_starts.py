"""Starts that are held back until the store holds their assignments."""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from dahliaarch_kernel.scheduler import AssignmentsPart, part_of, StartRun
from dahliaarch_kernel.workload import TaskKey

RunId = tuple[TaskKey, int]


class HeldStart(NamedTuple):
    """A start and the time since which it is held, on the steady clock."""

    start: StartRun
    since_s: float


class HeldStarts:
    """Starts that wait until the store holds their assignments.

    Parameters
    ----------
    send : callable
        Sends a released start.
    """

    def __init__(self, send: Callable[[HeldStart], None]) -> None:
        """Initialize without held starts."""
        self._send = send
        self._held_by_run: dict[RunId, HeldStart] = {}

    def __len__(self) -> int:
        """Return the number of held starts."""
        return len(self._held_by_run)

    def hold(self, start: StartRun, now_s: float) -> None:
        """Hold a start until the store holds its assignment."""
        self._held_by_run[start.key, start.run] = HeldStart(start, now_s)

    def withdraw(self, key: TaskKey, run: int) -> bool:
        """Discard a start; return whether it was held."""
        return self._held_by_run.pop((key, run), None) is not None

    def pop_for_worker(self, worker_id: str) -> list[StartRun]:
        """Remove and return the held starts of a worker."""
        starts = [held.start for held in self._held_by_run.values() if held.start.worker_id == worker_id]
        for start in starts:
            self.withdraw(start.key, start.run)
        return starts

    def workers_of(self, runs: Iterable[RunId]) -> set[str]:
        """Return the workers of the held starts among some runs."""
        return {self._held_by_run[run].start.worker_id for run in runs if run in self._held_by_run}

    def runs_by_part(self) -> dict[AssignmentsPart, list[RunId]]:
        """Return the runs of held starts by the part of the assignments that contains them, most urgent first."""
        found: dict[AssignmentsPart, list[RunId]] = {}
        for run, held in sorted(self._held_by_run.items(), key=lambda each: each[1].start.rank):
            found.setdefault(part_of(held.start.key), []).append(run)
        return found

    def release(self, runs: Iterable[RunId]) -> None:
        """Send the starts of runs whose assignments are stored, except those withdrawn meanwhile."""
        for run in runs:
            held = self._held_by_run.pop(run, None)
            if held is not None:
                self._send(held)
