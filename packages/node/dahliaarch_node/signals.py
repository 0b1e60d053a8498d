"""Signals to this process, which are handled from its start to its exit.

The handlers are installed before anything is imported that takes time, and are never removed: the
default action of each of these signals would terminate the process, with the requests that it has
read. Only the standard library is imported here.
"""

import asyncio
import signal
from collections import deque
from types import FrameType

# Ask the process to stop.
STOP_SIGNALS = frozenset((signal.SIGTERM, signal.SIGINT))
_RECEIVED = (*STOP_SIGNALS, signal.SIGHUP)
# Mean nothing to the daemon, and would terminate it by default.
_IGNORED = (signal.SIGUSR1, signal.SIGUSR2, signal.SIGALRM, signal.SIGVTALRM, signal.SIGPROF, signal.SIGPIPE)


def ignore_signals() -> None:
    """Ignore all signals that are neither fatal errors nor stop the process at once, except those that ask it to stop.

    For the time before `ReceivedSignals` is created: the settings are read afterwards anyway, and a
    process that is asked to stop has read no request yet.
    """
    for number in (signal.SIGHUP, *_IGNORED):
        signal.signal(number, signal.SIG_IGN)


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
