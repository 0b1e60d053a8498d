"""Faults that a stand-in can be told to have."""

import random
from collections.abc import Callable

import anyio

from dahliaarch_platform.http import Request, Response

# Longer than any client waits: silence, as far as they can tell.
_SILENCE_S = 30.0


class Faults:
    """Faults of one server; all off at first.

    Parameters
    ----------
    seed : int
        Seed of the choice of calls that are refused or whose answers are lost.
    """

    def __init__(self, seed: int = 0) -> None:
        """Start without any."""
        # Told of each step of the system that reaches this server: its name, and
        # whether it has been carried out already.
        self.observer: Callable[[str, bool], None] | None = None
        self.is_silent = False
        self.is_refusing = False
        self.delay_s = 0.0
        self.lost_share = 0.0
        self.refused_share = 0.0
        # Calls of these paths are all refused, or carried out without an answer.
        self.refused_paths: frozenset[str] = frozenset()
        self.lost_paths: frozenset[str] = frozenset()
        self.late_s = 0.0
        # Owners with a higher epoch are not answered, as across a cut; 0 for none.
        self.highest_fence = 0
        self._random = random.Random(seed)

    async def before(self, request: Request) -> Response | None:
        """Delay, silence or refuse a call before it is carried out."""
        if self.delay_s:
            await anyio.sleep(self.delay_s)
        if self.is_silent:
            await anyio.sleep(_SILENCE_S)
        is_refused = request.path in self.refused_paths or self._draws_refusal()
        if self.is_refusing or self.is_silent or is_refused:
            return Response(503)
        return None

    def _draws_refusal(self) -> bool:
        """Tell whether this call is one of those refused."""
        return self.refused_share > 0 and self._random.random() < self.refused_share

    def observe(self, step: str, *, is_done: bool) -> None:
        """Tell of a step before or after it is carried out."""
        if self.observer is not None:
            self.observer(step, is_done)

    def loses(self, path: str = '') -> bool:
        """Tell whether the answer to a write is lost."""
        return path in self.lost_paths or self._random.random() < self.lost_share

    async def lose(self) -> Response:
        """Say nothing for longer than any client waits."""
        await anyio.sleep(_SILENCE_S)
        return Response(503)
