"""Simulated network links of limited bandwidth."""

import math
import time
from typing import NamedTuple

import anyio

# Longest delay of the event loop that a link compensates for, in seconds: timers fire
# about a millisecond late, which would cost a fast link much of its rate.
_MAX_COMPENSATED_DELAY_S = 0.05


class SlowLink:
    """A one-way link of limited bandwidth, which several proxies may share.

    Parameters
    ----------
    bytes_per_s : float
        Bandwidth; may be changed during a transfer.

    Attributes
    ----------
    transferred_bytes : int
        Total number of bytes transferred.
    """

    def __init__(self, bytes_per_s: float = math.inf) -> None:
        """Create an idle link."""
        self.bytes_per_s = bytes_per_s
        self.transferred_bytes = 0
        self._busy_until_s = 0.0
        self._lock = anyio.Lock()

    async def transfer(self, size_bytes: int) -> None:
        """Wait for the transfer of some bytes, which begins after the transfers queued before it."""
        async with self._lock:
            begin_s = max(self._busy_until_s, time.monotonic() - _MAX_COMPENSATED_DELAY_S)
            self._busy_until_s = begin_s + size_bytes / self.bytes_per_s
            await anyio.sleep(max(0.0, self._busy_until_s - time.monotonic()))
            self.transferred_bytes += size_bytes


class Route(NamedTuple):
    """The links that a connection traverses, in order.

    Parameters
    ----------
    requests, answers : tuple of SlowLink
        Links to the target and back.
    """

    requests: tuple[SlowLink, ...] = ()
    answers: tuple[SlowLink, ...] = ()


class HostLinks(NamedTuple):
    """The links that carry all incoming and all outgoing traffic of one host."""

    incoming: SlowLink
    outgoing: SlowLink

    def set_rate(self, bytes_per_s: float) -> None:
        """Set the bandwidth of both links."""
        self.incoming.bytes_per_s = bytes_per_s
        self.outgoing.bytes_per_s = bytes_per_s
