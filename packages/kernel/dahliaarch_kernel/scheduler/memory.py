"""What one pass of decisions leaves for the next, so that it need not look again.

A step that found no room finds none until some worker has more of it: room
shrinks by starts and reservations and grows only by what is noted here.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from ..workload import Resources, StepKey
from .room import fits


class SearchKey(NamedTuple):
    """What steps that need the same places have in common.

    Parameters
    ----------
    demand : Resources
        What one task counts against a worker's room.
    rank : int
        Rank of the step.
    service, label, data_rack : str
        Where it may run and where it is fast.
    is_gang, in_one_rack, may_go_far : bool
        How its tasks may be spread.
    owner : StepKey or None
        The step, where its places are its own.
    """

    demand: Resources
    rank: int
    service: str
    label: str
    data_rack: str
    is_gang: bool
    in_one_rack: bool
    may_go_far: bool
    owner: StepKey | None


class FailedSearches:
    """Searches that failed, and where room has grown since.

    Attributes
    ----------
    grown_workers : set of str
        Workers whose free resources have grown.
    full_at_s : float
        When all steps were last considered, steady clock.
    """

    def __init__(self) -> None:
        """Start without any search."""
        self.grown_workers: set[str] = set()
        self.last_full_pass_s = float('-inf')
        self._eligible_workers: set[str] = set()
        self._failed_placements: dict[SearchKey, int] = {}
        self._failed_victim_searches: dict[tuple[SearchKey, int], tuple[int, float]] = {}

    def begin_full_pass(self, now_s: float) -> None:
        """Note that all steps are considered now, and forget what is too old or one step's own.

        Steps come and go, so that what is kept under their names would grow.
        """
        self.last_full_pass_s = now_s
        self._failed_victim_searches.clear()
        self._failed_placements = {
            search_key: task_count
            for search_key, task_count in self._failed_placements.items()
            if search_key.owner is None
        }

    def is_known_to_lack_room(self, search_key: SearchKey, task_count: int) -> bool:
        """Tell whether so many tasks, or fewer, found no room."""
        return self._failed_placements.get(search_key, task_count + 1) <= task_count

    def record_no_room(self, search_key: SearchKey, task_count: int) -> None:
        """Note that so many tasks found no room."""
        self._failed_placements[search_key] = min(task_count, self._failed_placements.get(search_key, task_count))

    def is_known_to_lack_victims(self, search_key: SearchKey, rank: int, task_count: int, since_s: float) -> bool:
        """Tell whether a search for victims failed since a time."""
        failed = self._failed_victim_searches.get((search_key, rank))
        return failed is not None and failed[0] <= task_count and failed[1] > since_s

    def record_no_victims(self, search_key: SearchKey, rank: int, task_count: int, now_s: float) -> None:
        """Note a search for victims that failed."""
        self._failed_victim_searches[search_key, rank] = (task_count, now_s)

    def invalidate(self, free_by_id: Mapping[str, Resources], freed: Iterable[str]) -> None:
        """Forget failed searches where room has grown since.

        Parameters
        ----------
        free_by_id : mapping
            Free resources of the workers that may take starts now.
        freed : iterable of str
            Workers on which reservations were dropped.
        """
        eligible = set(free_by_id)
        grown = (self.grown_workers | set(freed)) & eligible | eligible - self._eligible_workers
        self.grown_workers = set()
        self._eligible_workers = eligible
        free_rooms = [free_by_id[worker_id] for worker_id in grown]
        for search_key in tuple(self._failed_placements):
            if any(fits(free, search_key.demand) for free in free_rooms):
                del self._failed_placements[search_key]
