"""Concurrency limits of start requests, with metrics and log lines on the wait for them."""

import asyncio
from collections.abc import AsyncGenerator
from contextlib import asynccontextmanager, ExitStack

import anyio

from dahliaarch_kernel.scheduler import StartRun
from dahliaarch_kernel.scheduler.ranks import RANK_URGENT

from ..logs import log_event
from .contact import Contact
from .link_settings import StartLimits

# Maximum number of concurrent attempts at one worker, for urgent and for other starts each:
# with more, a few unresponsive workers would occupy the slots of all others.
_MAX_ATTEMPTS_PER_WORKER = 4
# Longest time for which an attempt holds its slot, in seconds: the request has crossed
# the network by then, whether or not it is answered.
_ATTEMPT_SLOT_S = 0.3
# Wait for a slot above which a start is logged, in seconds.
_LOG_THRESHOLD_S = 1.0
# Minimum interval between two such lines about one worker, in seconds.
_LOG_INTERVAL_S = 1.0


class StartLimiter:
    """Limits the concurrent start requests to one worker and, with limits that all links share, to all workers.

    Parameters
    ----------
    contact : Contact
        Connection state of the worker.

    Attributes
    ----------
    is_last_attempt_unanswered : bool
        Whether the last attempt got no answer; attempts are then sent one at a time.
    """

    def __init__(self, contact: Contact) -> None:
        """Initialize without waiting attempts."""
        self.is_last_attempt_unanswered = False
        self._contact = contact
        self._worker_limits = StartLimits(_worker_limit(), _worker_limit())
        self._single_attempt_limit = anyio.Semaphore(1)
        self._last_log_s = float('-inf')
        self._late_starts = 0

    @asynccontextmanager
    async def slot(self, effect: StartRun) -> AsyncGenerator[None, None]:
        """Wait for a slot for an attempt and hold it until the block ends, at most for ``_ATTEMPT_SLOT_S``."""
        context = self._contact.context
        is_urgent = effect.rank <= RANK_URGENT
        queue = 'urgent' if is_urgent else 'other'
        asked_s = context.clock()
        with ExitStack() as slots:
            with context.metrics.waiting_starts.labels(queue).track_inprogress():
                await self._acquire_slot(slots, is_urgent=is_urgent)
            timer = asyncio.get_running_loop().call_later(_ATTEMPT_SLOT_S, slots.close)
            slots.callback(timer.cancel)
            self._record_wait(effect, queue, asked_s, context.clock())
            yield

    async def _acquire_slot(self, slots: ExitStack, *, is_urgent: bool) -> None:
        shared = self._contact.context.start_limits.limit_for(is_urgent=is_urgent)
        await _acquire(slots, self._worker_limits.limit_for(is_urgent=is_urgent))
        await shared.acquire()
        if self.is_last_attempt_unanswered:
            shared.release()
            await _acquire(slots, self._single_attempt_limit)
            await shared.acquire()
        slots.callback(shared.release)

    def _record_wait(self, effect: StartRun, queue: str, asked_s: float, now_s: float) -> None:
        waited_s = now_s - asked_s
        self._contact.context.metrics.start_turn_s.labels(queue).observe(waited_s)
        if waited_s <= _LOG_THRESHOLD_S:
            return
        self._late_starts += 1
        if now_s - self._last_log_s < _LOG_INTERVAL_S:
            return
        log_event(
            'start_turn_late',
            worker=self._contact.worker_id,
            task=effect.key,
            run=effect.run,
            waited_s=round(waited_s, 2),
            late_starts=self._late_starts,
        )
        self._last_log_s = now_s
        self._late_starts = 0


async def _acquire(slots: ExitStack, semaphore: anyio.Semaphore) -> None:
    await semaphore.acquire()
    slots.callback(semaphore.release)


def _worker_limit() -> anyio.Semaphore:
    return anyio.Semaphore(_MAX_ATTEMPTS_PER_WORKER, fast_acquire=True)
