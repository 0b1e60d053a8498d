"""Room on workers that is kept for steps that wait."""

from collections import Counter
from collections.abc import Callable, Iterator
from typing import NamedTuple

from .job_state import StepState
from .ranks import RANK_OVERDUE
from .standing import SortKey


class Reservation(NamedTuple):
    """Room kept on workers for a step that waits for it.

    Parameters
    ----------
    step : StepState
        The step that waits.
    count_by_worker : dict
        Tasks that it will place on each worker.
    ready_s : float
        When the room is expected to be free, steady clock.
    is_firm : bool
        Whether runs are being stopped for it; other reservations are made anew
        from time to time.
    made_s : float
        When it was made, steady clock.
    standing : Standing
        Where the step stands.
    is_pressing : bool
        Whether the step has waited for so long beside idle capacity that overdue work
        behind it must leave the room alone: a stream of it would never end.
    """

    step: StepState
    count_by_worker: dict[str, int]
    ready_s: float
    sort_key: SortKey
    awaits_preemption: bool = False
    created_s: float = 0.0
    blocks_overdue: bool = False


class Reservations:
    """All reservations, in the order in which they were made.

    Attributes
    ----------
    version : int
        Grows with every change, for those who keep an index.
    is_in_order : bool
        Whether reservations that stop nothing keep their room only from what stands behind
        them, so that no two steps wait for each other's. In a pool without idle
        capacity they keep it from all of their rank: what stays free there serves
        urgent work, which then stops others less often.
    """

    def __init__(self) -> None:
        """Start without any."""
        self._reservations: list[Reservation] = []
        # How many reservations each step has: it is asked several times for each step of a pass.
        self._count_by_step: Counter[StepState] = Counter()
        self._freed_workers: set[str] = set()
        self.version = 0
        self.blocks_only_later_steps = True

    def __iter__(self) -> Iterator[Reservation]:
        """Yield each reservation."""
        return iter(self._reservations)

    def blocks(self, reservation: Reservation, step: StepState, sort_key: SortKey) -> bool:
        """Tell whether a step of a standing must leave the room of a reservation alone."""
        if reservation.step is step:
            return False
        if reservation.awaits_preemption or reservation.sort_key.rank < sort_key.rank:
            return True
        if sort_key.rank == RANK_OVERDUE:
            return reservation.blocks_overdue and reservation.sort_key._replace(rank=RANK_OVERDUE) < sort_key
        if self.blocks_only_later_steps:
            return reservation.sort_key < sort_key
        return reservation.sort_key.rank == sort_key.rank

    def add(self, reservation: Reservation) -> None:
        """Keep room."""
        self._reservations.append(reservation)
        self._count_by_step[reservation.step] += 1
        self.version += 1

    def drop(self, is_dropped: Callable[[Reservation], bool]) -> None:
        """Give room back."""
        remaining = []
        for reservation in self._reservations:
            if is_dropped(reservation):
                self._freed_workers.update(reservation.count_by_worker)
            else:
                remaining.append(reservation)
        if len(remaining) == len(self._reservations):
            return
        self._reservations = remaining
        self._count_by_step = Counter(reservation.step for reservation in self._reservations)
        self.version += 1

    def drop_for_step(self, step: StepState) -> None:
        """Give back the room that is kept for a step."""
        if self.has(step):
            self.drop(lambda reservation: reservation.step is step)

    def pop_freed_workers(self) -> set[str]:
        """Return the workers on which reservations were dropped since the last call."""
        freed, self._freed_workers = self._freed_workers, set()
        return freed

    def has(self, step: StepState) -> bool:
        """Tell whether room is kept for a step."""
        return step in self._count_by_step

    def count_without_preemption(self) -> int:
        """Return how many reservations stop nothing."""
        return sum(not reservation.awaits_preemption for reservation in self._reservations)
