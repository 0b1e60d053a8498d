"""Chooses workers of like pace for a gang, by whether its slack needs fast ones.

Handles pools in which workers differ by a factor of two: a gang on workers of both paces runs at
the pace of the slow ones and holds the fast ones for as long.
"""

from collections.abc import Iterable, Iterator, Sequence
from typing import NamedTuple, Protocol, TypeVar

from ..workers import WorkerState


class _Allocation(Protocol):
    @property
    def worker(self) -> WorkerState: ...

    @property
    def task_count(self) -> int: ...


_A = TypeVar('_A', bound=_Allocation)


class PaceFit(NamedTuple):
    """How well the paces of chosen workers suit a gang; smaller ones suit better.

    Parameters
    ----------
    excess : int
        Levels by which the slowest worker is slower than the gang's slack allows.
    is_mixed : bool
        Whether workers of several levels are chosen.
    spare : int
        Levels by which the slowest worker is faster than the slack requires.
    """

    excess: int
    is_mixed: bool
    spare: int


NEUTRAL_FIT = PaceFit(0, is_mixed=False, spare=0)


def allowed_level(workers: Iterable[WorkerState], max_slowdown: float) -> int:
    """Return the highest level of pace of which no worker exceeds a slowdown."""
    slowest_by_level: dict[int, float] = {}
    for worker in workers:
        slowest_by_level[worker.pace_level] = max(worker.slowdown, slowest_by_level.get(worker.pace_level, 1.0))
    allowed = [level for level, slowdown in slowest_by_level.items() if slowdown <= max_slowdown]
    return max(allowed, default=0)


def choose_like_paced(allocations: Sequence[_A], count: int, max_slowdown: float) -> tuple[PaceFit, list[_A]]:
    """Return the allocations to fill with a gang, in order, and how well they suit; none if it does not fit.

    Workers of one level come first: the slowest level that the slack allows, then faster ones. A gang
    that fits on no level alone gets the fastest levels that hold it together. The order of
    allocations within a level is kept, so that packing is kept where paces are alike.
    """
    levels = sorted({each.worker.pace_level for each in allocations})
    if len(levels) < 2:
        return NEUTRAL_FIT, list(allocations)
    allowed = allowed_level((each.worker for each in allocations), max_slowdown)
    for fit, chosen in _choices(allocations, levels, allowed):
        if sum(each.task_count for each in chosen) >= count:
            return fit, chosen
    return NEUTRAL_FIT, []


def _choices(allocations: Sequence[_A], levels: Sequence[int], allowed: int) -> Iterator[tuple[PaceFit, list[_A]]]:
    for level in (each for each in reversed(levels) if each <= allowed):
        chosen = [each for each in allocations if each.worker.pace_level == level]
        yield PaceFit(0, is_mixed=False, spare=allowed - level), chosen
    for level in levels:
        chosen = [each for each in allocations if each.worker.pace_level <= level]
        chosen.sort(key=lambda each: -each.worker.pace_level)
        fit = PaceFit(max(0, level - allowed), is_mixed=True, spare=max(0, allowed - level))
        yield fit, chosen
