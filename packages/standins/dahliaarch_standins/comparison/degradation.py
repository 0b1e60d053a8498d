"""Degradations of workers, and the capacity of a pool over a day."""

from collections.abc import Iterator, Sequence
from typing import NamedTuple

from .chances import Chances
from .shapes import Pool
from .troubles import Degradation, DegradedWorkers, Span

# Time from the end of a worker that left until its replacement joins, in seconds.
REPLACED_AFTER_S = 4.0


class DegradedPlace(NamedTuple):
    """Degradation of one worker of the pool for a period.

    Parameters
    ----------
    place : int
        Which worker.
    span : Span
        From when until when; one that leaves is gone at its end.
    kind : Degradation
        What befalls it.
    factor : float
        Times as long as work takes if it is slow.
    """

    place: int
    span: Span
    kind: Degradation
    factor: float

    @property
    def over_s(self) -> float:
        """Time from which a sound worker is available again."""
        return self.span.end_s + (REPLACED_AFTER_S if self.kind is Degradation.LEAVING else 0.0)


def draw_degraded_places(pool: Pool, troubles: Sequence[DegradedWorkers], chances: Chances) -> list[DegradedPlace]:
    """Return the degradations in order of time; no worker has two at once."""
    found: list[DegradedPlace] = []
    for number, trouble in enumerate(sorted(troubles, key=lambda each: each.span)):
        taken = {each.place for each in found if each.over_s > trouble.span.begin_s}
        well = [place for place in range(pool.workers) if place not in taken]
        wanted = min(len(well), max(1, round(trouble.share * pool.workers)))
        places = chances.about('sick', number).sample(well, wanted)
        found.extend(DegradedPlace(place, trouble.span, trouble.kind, trouble.factor) for place in places)
    return found


class Stretch(NamedTuple):
    """A period of constant capacity of a pool.

    Parameters
    ----------
    span : Span
        The time.
    strength : float
        Workers, each counted by the work that it does in a second.
    """

    span: Span
    strength: float


def stretches(
    pool: Pool, speeds: Sequence[float], degraded: Sequence[DegradedPlace], until_s: float
) -> Iterator[Stretch]:
    """Yield the periods of constant capacity, from the beginning until a time.

    Parameters
    ----------
    pool : Pool
        The pool.
    speeds : sequence of float, shape (n_workers,)
        Times as long as work takes, by place.
    degraded : sequence of DegradedPlace
        Who degrades.
    until_s : float
        End of the last stretch.
    """
    marks = {0.0, until_s}
    for each in degraded:
        marks.update(at_s for at_s in (*each.span, each.over_s) if at_s < until_s)
    edges = sorted(marks)
    for begin_s, end_s in zip(edges, edges[1:], strict=False):
        lost = sum(_lost(each, speeds[each.place], begin_s) for each in degraded)
        yield Stretch(Span(begin_s, end_s), sum(1.0 / speed for speed in speeds) - lost)


def _lost(degraded: DegradedPlace, speed: float, at_s: float) -> float:
    """Return the capacity that a pool loses by a degraded worker; one that is cut off or fails may continue to work."""
    if not degraded.span.begin_s <= at_s < degraded.over_s:
        return 0.0
    if degraded.kind is Degradation.SLOW:
        return (1.0 - 1.0 / degraded.factor) / speed
    is_gone = degraded.kind is Degradation.LEAVING and at_s >= degraded.span.end_s
    return 1.0 / speed if is_gone or degraded.kind is Degradation.STALLED else 0.0
