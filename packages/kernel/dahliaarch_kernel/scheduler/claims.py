"""Room on workers that is kept for steps that wait."""

from collections import Counter
from collections.abc import Callable, Iterator
from typing import NamedTuple

from .job_state import StepState
from .standing import Standing


class Claim(NamedTuple):
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
        Whether runs are being stopped for it; other claims are made anew
        from time to time.
    made_s : float
        When it was made, steady clock.
    standing : Standing
        Where the step stands.
    """

    step: StepState
    count_by_worker: dict[str, int]
    ready_s: float
    standing: Standing
    is_firm: bool = False
    made_s: float = 0.0


class Claims:
    """All claims, in the order in which they were made.

    Attributes
    ----------
    version : int
        Grows with every change, for those who keep an index.
    is_in_order : bool
        Whether claims that stop nothing keep their room only from what stands behind
        them, so that no two steps wait for each other's. In a pool without idle
        capacity they keep it from all of their rank: what stays free there serves
        urgent work, which then stops others less often.
    """

    def __init__(self) -> None:
        """Start without any."""
        self._claims: list[Claim] = []
        # How many claims each step has: it is asked several times for each step of a pass.
        self._count_by_step: Counter[StepState] = Counter()
        self._freed: set[str] = set()
        self.version = 0
        self.is_in_order = True

    def __iter__(self) -> Iterator[Claim]:
        """Yield each claim."""
        return iter(self._claims)

    def keeps(self, claim: Claim, step: StepState, standing: Standing) -> bool:
        """Tell whether a step of a standing must leave the room of a claim alone."""
        if claim.step is step:
            return False
        if claim.is_firm or claim.standing.rank < standing.rank:
            return True
        if self.is_in_order:
            return claim.standing < standing
        return claim.standing.rank == standing.rank

    def add(self, claim: Claim) -> None:
        """Keep room."""
        self._claims.append(claim)
        self._count_by_step[claim.step] += 1
        self.version += 1

    def drop(self, is_dropped: Callable[[Claim], bool]) -> None:
        """Give room back."""
        kept = []
        for claim in self._claims:
            if is_dropped(claim):
                self._freed.update(claim.count_by_worker)
            else:
                kept.append(claim)
        if len(kept) == len(self._claims):
            return
        self._claims = kept
        self._count_by_step = Counter(claim.step for claim in self._claims)
        self.version += 1

    def drop_of(self, step: StepState) -> None:
        """Give back the room that is kept for a step."""
        if self.has(step):
            self.drop(lambda claim: claim.step is step)

    def take_freed(self) -> set[str]:
        """Return the workers on which claims were dropped since the last call."""
        freed, self._freed = self._freed, set()
        return freed

    def has(self, step: StepState) -> bool:
        """Tell whether room is kept for a step."""
        return step in self._count_by_step

    def open_ones(self) -> int:
        """Return how many claims stop nothing."""
        return sum(not claim.is_firm for claim in self._claims)
