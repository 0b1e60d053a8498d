"""Chooses workers of like pace for a gang.

Handles pools in which workers differ by a factor of two: a gang on workers of both paces runs at
the pace of the slow ones and holds the fast ones for as long.
"""

from collections.abc import Sequence
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
    level : int
        Level of the slowest worker.
    is_mixed : bool
        Whether workers of several levels are chosen.
    """

    level: int
    is_mixed: bool


NEUTRAL_FIT = PaceFit(0, is_mixed=False)


def choose_like_paced(allocations: Sequence[_A], count: int) -> tuple[PaceFit, list[_A]]:
    """Return the allocations to fill with a gang, in order, and how well they suit; none if it does not fit.

    The gang gets the fastest levels that hold it, and of these the slowest workers first: it is as
    slow as the slowest of them anyway, and the others stay free. The order of allocations within a
    level is kept, so that packing is kept where paces are alike.
    """
    levels = sorted({each.worker.pace_level for each in allocations})
    if len(levels) < 2:
        return NEUTRAL_FIT._replace(level=sum(levels)), list(allocations)
    for level in levels:
        chosen = [each for each in allocations if each.worker.pace_level <= level]
        if sum(each.task_count for each in chosen) >= count:
            chosen.sort(key=lambda each: -each.worker.pace_level)
            alike_count = sum(each.task_count for each in chosen if each.worker.pace_level == level)
            return PaceFit(level, is_mixed=alike_count < count), chosen
    return NEUTRAL_FIT, []
