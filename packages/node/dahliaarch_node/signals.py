"""Signals to this process, which are handled until its exit.

The handlers are never removed: the default action of each of these signals would terminate the process,
with the requests that it has read.
"""

import asyncio
import signal
from collections import deque
from types import FrameType

from .ignored_signals import ignore_signals

# Ask the process to stop.
STOP_SIGNALS = frozenset((signal.SIGTERM, signal.SIGINT))
_RECEIVED = (*STOP_SIGNALS, signal.SIGHUP)


class ReceivedSignals:
    """Receives signals in the order in which they arrive; creating it installs the handlers."""

    def __init__(self) -> None:
        """Install the handlers."""
        self._pending: deque[signal.Signals] = deque()
        self._loop: asyncio.AbstractEventLoop | None = None
        self._arrived = asyncio.Event()
        ignore_signals()
        for number in _RECEIVED:
            signal.signal(number, self._record)

    @property
    def is_stop_pending(self) -> bool:
        """Whether a signal that asks the process to stop has arrived and was not returned by `receive` yet."""
        return not STOP_SIGNALS.isdisjoint(self._pending)

    async def receive(self) -> signal.Signals:
        """Wait for the next signal and return it."""
        self._loop = asyncio.get_running_loop()
        while not self._pending:
            self._arrived.clear()
            await self._arrived.wait()
        return self._pending.popleft()

    def close(self) -> None:
        """Ignore all further signals until the process has exited."""
        for number in _RECEIVED:
            signal.signal(number, signal.SIG_IGN)

    def _record(self, number: int, frame: FrameType | None) -> None:
        self._pending.append(signal.Signals(number))
        if self._loop is not None and not self._loop.is_closed():
            # Wakes the event loop, which may be waiting for input.
            self._loop.call_soon_threadsafe(self._arrived.set)
