"""Caches failed searches for free capacity between scheduling passes, so that they are not repeated.

A step that found too little free capacity can't find more until that of some worker grows.
Starts and reservations only reduce it; the cache records every event that may increase it.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from ..workload import Resources, StepKey
from .room import fits
from .standing import Standing


class SearchKey(NamedTuple):
    """Key of a search for free capacity; steps with the same key have the same placement constraints.

    Parameters
    ----------
    demand : Resources
        Resources that one task takes from a worker's free capacity.
    rank : int
        Rank of the step.
    service, label : str
        Service and label of the workers on which tasks may run.
    data_rack : str
        Rack of the data, where tasks run fastest.
    is_gang, in_one_rack, allows_far_workers : bool
        Whether tasks start all together, need a single rack, and may run away from their data.
    owner : StepKey or None
        The step itself if its constraints can't be shared with other steps.
    """

    demand: Resources
    rank: int
    service: str
    label: str
    data_rack: str
    is_gang: bool
    in_one_rack: bool
    allows_far_workers: bool
    owner: StepKey | None


class FailedSearches:
    """Cache of failed searches for free capacity and for runs to preempt.

    Attributes
    ----------
    grown_workers : set of str
        Workers whose free capacity may have grown since the last pass.
    last_full_pass_s : float
        Steady time of the last pass that considered all steps.
    """

    def __init__(self) -> None:
        """Start with an empty cache."""
        self.grown_workers: set[str] = set()
        self.last_full_pass_s = float('-inf')
        self._eligible_workers: set[str] = set()
        # Number of tasks by standing: reservations may block a step of one standing and not one that comes before it.
        self._failed_placements: dict[SearchKey, dict[Standing, int]] = {}
        self._failed_victim_searches: dict[tuple[SearchKey, int], tuple[int, float]] = {}

    def begin_full_pass(self, now_s: float) -> None:
        """Record the start of a pass that considers all steps, and discard entries that no longer apply.

        Failed searches for victims are outdated by then. Entries of single steps are discarded because
        they would accumulate as steps come and go.
        """
        self.last_full_pass_s = now_s
        self._failed_victim_searches.clear()
        self._failed_placements = {
            search_key: count_by_standing
            for search_key, count_by_standing in self._failed_placements.items()
            if search_key.owner is None
        }

    def is_known_to_lack_capacity(self, search_key: SearchKey, task_count: int, standing: Standing) -> bool:
        """Return whether a search for this number of tasks, or for fewer, found too little free capacity.

        Only searches for steps of this standing or of one that comes before it count.
        """
        failed = self._failed_placements.get(search_key)
        if failed is None:
            return False
        return any(count <= task_count and earlier <= standing for earlier, count in failed.items())

    def record_no_capacity(self, search_key: SearchKey, task_count: int, standing: Standing) -> None:
        """Record that a search for this number of tasks found too little free capacity."""
        failed = self._failed_placements.setdefault(search_key, {})
        failed[standing] = min(task_count, failed.get(standing, task_count))

    def is_known_to_lack_victims(self, search_key: SearchKey, rank: int, task_count: int, since_s: float) -> bool:
        """Return whether a search for victims for this many tasks, or fewer, failed after a given time."""
        failed = self._failed_victim_searches.get((search_key, rank))
        return failed is not None and failed[0] <= task_count and failed[1] > since_s

    def record_no_victims(self, search_key: SearchKey, rank: int, task_count: int, now_s: float) -> None:
        """Record a failed search for victims."""
        self._failed_victim_searches[search_key, rank] = (task_count, now_s)

    def invalidate(self, free_by_id: Mapping[str, Resources], freed: Iterable[str]) -> None:
        """Discard failed searches that could succeed because the free capacity of some worker has grown.

        Parameters
        ----------
        free_by_id : mapping
            Free resources by worker, for the workers that currently accept starts.
        freed : iterable of str
            Workers on which reservations were released.
        """
        eligible = set(free_by_id)
        grown = (self.grown_workers | set(freed)) & eligible | eligible - self._eligible_workers
        self.grown_workers = set()
        self._eligible_workers = eligible
        grown_free = [free_by_id[worker_id] for worker_id in grown]
        for search_key in tuple(self._failed_placements):
            if any(fits(free, search_key.demand) for free in grown_free):
                del self._failed_placements[search_key]
