"""Room on workers that is kept for steps that wait."""

from collections.abc import Callable, Iterator
from typing import NamedTuple

from .job_state import StepState


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
        whenever their step is considered.
    """

    step: StepState
    count_by_worker: dict[str, int]
    ready_s: float
    is_firm: bool = False


class Claims:
    """All claims, in the order in which they were made.

    Attributes
    ----------
    version : int
        Grows with every change, for those who keep an index.
    """

    def __init__(self) -> None:
        """Start without any."""
        self._claims: list[Claim] = []
        self.version = 0

    def __iter__(self) -> Iterator[Claim]:
        """Yield each claim."""
        return iter(self._claims)

    def add(self, claim: Claim) -> None:
        """Keep room."""
        self._claims.append(claim)
        self.version += 1

    def drop(self, is_dropped: Callable[[Claim], bool]) -> None:
        """Give room back."""
        kept = [claim for claim in self._claims if not is_dropped(claim)]
        if len(kept) < len(self._claims):
            self._claims = kept
            self.version += 1

    def has(self, step: StepState) -> bool:
        """Tell whether room is kept for a step."""
        return any(claim.step is step for claim in self._claims)

    def open_ones(self) -> int:
        """Return how many claims stop nothing."""
        return sum(not claim.is_firm for claim in self._claims)
