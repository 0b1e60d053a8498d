"""How starts wait for their turns, and for how long they did."""

from collections.abc import AsyncGenerator
from contextlib import asynccontextmanager

from dahliaarch_kernel.scheduler import StartRun
from dahliaarch_kernel.scheduler.ranks import RANK_URGENT

from ..logs import log_event
from .contact import Contact

# A start that waits longer for its turn is logged, in seconds.
_LATE_S = 1.0
# Shortest time between two such lines about one worker, in seconds.
_LOG_EVERY_S = 1.0


class TurnQueue:
    """The starts to one worker that wait for their turn among those to all workers.

    Parameters
    ----------
    contact : Contact
        The worker.
    """

    def __init__(self, contact: Contact) -> None:
        """Start empty."""
        self._contact = contact
        self._logged_s = float('-inf')
        self._late_starts = 0

    @asynccontextmanager
    async def turn(self, effect: StartRun) -> AsyncGenerator[None, None]:
        """Wait for the turn of a start, and hold it."""
        context = self._contact.context
        is_urgent = effect.rank <= RANK_URGENT
        queue = 'urgent' if is_urgent else 'other'
        asked_s = context.clock()
        with context.metrics.waiting_starts.labels(queue).track_inprogress():
            turns = context.turns.urgent if is_urgent else context.turns.other
            await turns.acquire()
        try:
            self._note_wait(effect, queue, asked_s, context.clock())
            yield
        finally:
            turns.release()

    def _note_wait(self, effect: StartRun, queue: str, asked_s: float, now_s: float) -> None:
        waited_s = now_s - asked_s
        self._contact.context.metrics.start_turn_s.labels(queue).observe(waited_s)
        if waited_s <= _LATE_S:
            return
        self._late_starts += 1
        if now_s - self._logged_s < _LOG_EVERY_S:
            return
        log_event(
            'start_turn_late',
            worker=self._contact.worker_id,
            task=effect.key,
            run=effect.run,
            waited_s=round(waited_s, 2),
            late_starts=self._late_starts,
        )
        self._logged_s = now_s
        self._late_starts = 0
