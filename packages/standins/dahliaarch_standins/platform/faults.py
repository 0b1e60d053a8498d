"""Fault injection for the stand-ins."""

import random
from collections.abc import Callable

import anyio

from dahliaarch_platform.http import Request, Response

# Longer than the timeout of any client, so that the server appears unresponsive.
_SILENCE_S = 30.0


class Faults:
    """Injected faults of one server; none is active initially.

    Parameters
    ----------
    seed : int
        Seed of the random choice of calls that are refused or whose responses are lost.
    """

    def __init__(self, seed: int = 0) -> None:
        """Initialize without active faults."""
        # Called before and after each operation that this server carries out, with the
        # name of the operation and whether it has been carried out.
        self.observer: Callable[[str, bool], None] | None = None
        self.is_silent = False
        self.is_refusing = False
        self.delay_s = 0.0
        self.lost_share = 0.0
        self.refused_share = 0.0
        # Every call to these paths is refused, or carried out without a response.
        self.refused_paths: frozenset[str] = frozenset()
        self.lost_paths: frozenset[str] = frozenset()
        self.late_s = 0.0
        # Owners with a higher epoch get no response, as in a network partition; 0 disables this.
        self.highest_fence = 0
        self._random = random.Random(seed)

    async def before(self, request: Request) -> Response | None:
        """Delay, ignore or refuse a call before it is carried out."""
        if self.delay_s:
            await anyio.sleep(self.delay_s)
        if self.is_silent:
            await anyio.sleep(_SILENCE_S)
        is_refused = request.path in self.refused_paths or self._draws_refusal()
        if self.is_refusing or self.is_silent or is_refused:
            return Response(503)
        return None

    def _draws_refusal(self) -> bool:
        """Decide at random whether this call is refused."""
        return self.refused_share > 0 and self._random.random() < self.refused_share

    def observe(self, step: str, *, is_done: bool) -> None:
        """Notify the observer before or after an operation is carried out."""
        if self.observer is not None:
            self.observer(step, is_done)

    def loses(self, path: str = '') -> bool:
        """Decide whether the response to a write is lost."""
        return path in self.lost_paths or self._random.random() < self.lost_share

    async def lose(self) -> Response:
        """Respond only after every client has timed out."""
        await anyio.sleep(_SILENCE_S)
        return Response(503)
