"""Worker capacity reserved for waiting steps."""

from collections import Counter
from collections.abc import Callable, Iterator
from operator import attrgetter
from typing import NamedTuple

from .job_state import StepState
from .ranks import RANK_GUARANTEED, RANK_OVERDUE
from .runs import RunPhase
from .standing import SortKey


class Reservation(NamedTuple):
    """Worker capacity reserved for a waiting step.

    Parameters
    ----------
    step : StepState
        The waiting step.
    count_by_worker : dict
        Number of tasks to be placed on each worker.
    ready_s : float
        When the capacity is expected to be free, steady clock.
    sort_key : SortKey
        Sort key of the step.
    awaits_preemption : bool
        Whether runs are being stopped to free the capacity. Other reservations are
        recomputed periodically.
    created_s : float
        When the reservation was made, steady clock.
    blocks_overdue : bool
        Whether the step has waited so long while the pool had idle capacity that also
        overdue work that follows it must not use the reserved capacity. Otherwise a
        steady stream of overdue work would starve the step.
    moved : frozenset of int
        Tasks that are being moved off leaving workers, for which the capacity is reserved;
        empty for other reservations.
    """

    step: StepState
    count_by_worker: dict[str, int]
    ready_s: float
    sort_key: SortKey
    awaits_preemption: bool = False
    created_s: float = 0.0
    blocks_overdue: bool = False
    moved: frozenset[int] = frozenset()

    def for_rest_of_move(self) -> 'Reservation | None':
        """Return the reservation for the moved tasks that have not restarted or ended; None if there are none."""
        runs = self.step.run_by_index
        stopping = {index for index in self.moved if index in runs and runs[index].phase is RunPhase.STOPPING}
        rest = stopping | self.moved & self.step.pending
        if len(rest) == len(self.moved):
            return self if rest else None
        counts = Counter(self.count_by_worker)
        counts.subtract(runs[index].worker_id for index in self.moved - rest if index in runs)
        counts = +counts
        while counts.total() > len(rest):
            counts[next(reversed(counts))] -= 1
            counts = +counts
        return self._replace(count_by_worker=dict(counts), moved=frozenset(rest)) if rest else None


class Reservations:
    """All reservations, in order of creation.

    Attributes
    ----------
    version : int
        Incremented by every change, so that indexes of the reservations can be invalidated.
    blocks_only_later_steps : bool
        Whether reservations without preemption block only steps that follow in scheduling
        order, so that no two steps wait for each other's reservations. In a pool without
        idle capacity they block all steps of their rank: capacity that stays free there
        is available to urgent work, which then preempts less often.
    """

    def __init__(self) -> None:
        """Start without reservations."""
        self._reservations: list[Reservation] = []
        # Reservations per step: `has` is called several times for each step of a pass.
        self._count_by_step: Counter[StepState] = Counter()
        self._freed_workers: set[str] = set()
        self.version = 0
        self.blocks_only_later_steps = True

    def __iter__(self) -> Iterator[Reservation]:
        """Iterate over the reservations."""
        return iter(self._reservations)

    def blocks(self, reservation: Reservation, step: StepState, sort_key: SortKey) -> bool:
        """Return whether a reservation keeps a step with this sort key from using its capacity."""
        if reservation.step is step:
            return False
        if reservation.awaits_preemption:
            # A move does not keep more urgent work from starting.
            is_move = bool(reservation.moved) and sort_key.rank != RANK_OVERDUE
            return not is_move or reservation.sort_key.rank <= sort_key.rank
        if reservation.sort_key.rank < sort_key.rank:
            return True
        if sort_key.rank == RANK_OVERDUE:
            return reservation.blocks_overdue and reservation.sort_key._replace(rank=RANK_OVERDUE) < sort_key
        if self.blocks_only_later_steps:
            return reservation.sort_key < sort_key
        # Work of a more urgent queue or of an account less over its share does not wait for capacity that is kept for
        # others: two steps could block each other where levels change between passes.
        return reservation.sort_key.rank == sort_key.rank and reservation.sort_key.standing <= sort_key.standing

    def update_standing(self, step: StepState, sort_key: SortKey) -> None:
        """Give the reservation of a step its current standing; the rank at its creation stays.

        Steps whose reservations were compared by sort keys of different passes could block each other.
        """
        if not self.has(step):
            return
        for number, reservation in enumerate(self._reservations):
            is_current = reservation.sort_key.standing[1:] == sort_key.standing[1:]
            if reservation.step is not step or is_current:
                continue
            renewed = sort_key._replace(rank=reservation.sort_key.rank)
            if renewed > reservation.sort_key:
                self._freed_workers.update(reservation.count_by_worker)
            self._reservations[number] = reservation._replace(sort_key=renewed)
            self.version += 1

    def drop_last_after(self, sort_key: SortKey) -> bool:
        """Drop the last reservation in scheduling order that follows a step of its rank; return whether there is one.

        Reservations that await preempted runs are kept, and guaranteed work drops none.
        """
        if sort_key.rank == RANK_GUARANTEED:
            return False
        followers = [
            reservation
            for reservation in self._reservations
            if not reservation.awaits_preemption
            and reservation.sort_key.rank == sort_key.rank
            and reservation.sort_key > sort_key
        ]
        if not followers:
            return False
        last = max(followers, key=attrgetter('sort_key'))
        self.drop(lambda reservation: reservation is last)
        return True

    def add(self, reservation: Reservation) -> None:
        """Add a reservation."""
        self._reservations.append(reservation)
        self._count_by_step[reservation.step] += 1
        self.version += 1

    def drop(self, is_dropped: Callable[[Reservation], bool]) -> None:
        """Remove the reservations that satisfy a predicate."""
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
        """Remove the reservation of a step, except for moved tasks that still have to start."""
        if self.has(step):
            self.drop(lambda reservation: reservation.step is step and not reservation.moved)
            self.shrink_moves()

    def shrink_moves(self) -> None:
        """Reduce the reservations of moves to the tasks that have not restarted or ended."""
        if not any(each.moved for each in self._reservations):
            return
        shrunk = [each.for_rest_of_move() if each.moved else each for each in self._reservations]
        if all(each is known for each, known in zip(shrunk, self._reservations, strict=True)):
            return
        for known in self._reservations:
            if known.moved:
                self._freed_workers.update(known.count_by_worker)
        self._reservations = [each for each in shrunk if each is not None]
        self._count_by_step = Counter(reservation.step for reservation in self._reservations)
        self.version += 1

    def pop_freed_workers(self) -> set[str]:
        """Return the workers on which reservations were removed since the last call."""
        freed, self._freed_workers = self._freed_workers, set()
        return freed

    def has(self, step: StepState) -> bool:
        """Return whether a step has a reservation."""
        return step in self._count_by_step

    def count_without_preemption(self) -> int:
        """Return the number of reservations that do not wait for preempted runs to stop."""
        return sum(not reservation.awaits_preemption for reservation in self._reservations)
