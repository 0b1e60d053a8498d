"""Links of a bounded rate."""

import math
import time
from typing import NamedTuple

import anyio

# How much of a lag of the event loop a link makes up for, in seconds: a timer is
# late by a millisecond or so, which would cost a fast link much of its rate.
_MADE_UP_S = 0.05


class SlowLink:
    """A link of a bounded rate, one way, which several proxies may share.

    Parameters
    ----------
    bytes_per_s : float
        Its rate; may be changed while it carries.

    Attributes
    ----------
    carried_bytes : int
        Bytes that it has carried.
    """

    def __init__(self, bytes_per_s: float = math.inf) -> None:
        """Start idle."""
        self.bytes_per_s = bytes_per_s
        self.carried_bytes = 0
        self._carried_until_s = 0.0
        self._free = anyio.Lock()

    async def carry(self, size_bytes: int) -> None:
        """Take as long as some bytes need, after those that came first."""
        async with self._free:
            begin_s = max(self._carried_until_s, time.monotonic() - _MADE_UP_S)
            self._carried_until_s = begin_s + size_bytes / self.bytes_per_s
            await anyio.sleep(max(0.0, self._carried_until_s - time.monotonic()))
            self.carried_bytes += size_bytes


class Route(NamedTuple):
    """The links that a connection passes, one after the other.

    Parameters
    ----------
    requests, answers : tuple of SlowLink
        Links towards the target and back.
    """

    requests: tuple[SlowLink, ...] = ()
    answers: tuple[SlowLink, ...] = ()


class HostLinks(NamedTuple):
    """The links of one host: all that it receives and all that it sends."""

    incoming: SlowLink
    outgoing: SlowLink

    def set_rate(self, bytes_per_s: float) -> None:
        """Change the rate of both."""
        self.incoming.bytes_per_s = bytes_per_s
        self.outgoing.bytes_per_s = bytes_per_s
