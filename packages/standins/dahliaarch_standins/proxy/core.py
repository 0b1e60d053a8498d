"""Forwards connections and delays, slows, resets, cuts or silences them."""

import time
from collections.abc import Callable
from contextlib import suppress
from typing import NamedTuple

import anyio
from anyio.abc import SocketAttribute, SocketStream, TaskGroup
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream

from dahliaarch_platform.settings import Address

from .links import Route, SlowLink
from .silence import deafen

_ANY_PORT = Address('127.0.0.1', 0)
# Bytes that are forwarded at a time; connections take turns on a slow link.
_CHUNK_BYTES = 16_384
# Chunks that are under way at a time, one way, on a link with a latency.
_MOST_CHUNKS = 64
# How long a connection that is cut one way still carries requests, in seconds.
_ONE_WAY_S = 0.3
# What ends a connection on either side.
_ENDS = (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError, OSError)


class _Pair:
    """One caller's connection and the one that it is forwarded to."""

    def __init__(self, caller: SocketStream, target: SocketStream, route: Route) -> None:
        self.caller = caller
        self.target = target
        self.route = route
        self.drops_requests = False
        self.drops_answers = False

    def silence(self) -> None:
        """Let nothing pass, nor be acknowledged to the caller."""
        self.drops_requests = True
        self.drops_answers = True
        # One that is being closed has no socket any more.
        with suppress(OSError):
            deafen(self.caller.extra(SocketAttribute.raw_socket))


class _Due(NamedTuple):
    """A chunk of bytes, and when it arrives, steady clock."""

    at_s: float
    chunk: bytes


class FaultProxy:
    """Stands between callers and one address.

    Parameters
    ----------
    target : Address
        Where connections are forwarded to.
    requests_over, answers_over : SlowLink or None
        What carries the bytes to the target and back; nothing for a fast link.

    Attributes
    ----------
    address : Address
        Where callers connect; set once it listens.
    delay_s : float
        How long each chunk of bytes is held, both ways, before the next one is taken.
    latency_s : float
        How much later bytes arrive, both ways, whatever goes before them.
    refuses : bool
        Whether new connections are closed at once.
    drops_all : bool
        Whether nothing passes, on new connections either.
    """

    def __init__(
        self,
        target: Address,
        *,
        requests_over: SlowLink | None = None,
        answers_over: SlowLink | None = None,
    ) -> None:
        """Prepare; nothing listens yet."""
        self.target = target
        self._default_route = Route(_links(requests_over), _links(answers_over))
        self.address = Address('127.0.0.1', 0)
        self.delay_s = 0.0
        self.latency_s = 0.0
        self.refuses = False
        self.drops_all = False
        self._pairs: set[_Pair] = set()

    async def listen(self, tasks: TaskGroup, at: Address = _ANY_PORT) -> Address:
        """Listen on an address, until the group is cancelled; port 0 is any free one."""
        listener = await anyio.create_tcp_listener(local_host=at.host, local_port=at.port)
        self.address = at._replace(port=listener.extra(SocketAttribute.local_port))
        tasks.start_soon(listener.serve, self._serve)
        return self.address

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._pairs)

    def silence(self) -> None:
        """Let the open connections fall silent for good; new ones work."""
        for pair in self._pairs:
            pair.silence()

    async def lose_answers(self) -> None:
        """Cut the open connections one way: what is sent soon arrives, no answer does."""
        cut = tuple(self._pairs)
        for pair in cut:
            pair.drops_answers = True
        await anyio.sleep(_ONE_WAY_S)
        for pair in self._pairs.intersection(cut):
            pair.silence()

    async def reset(self) -> None:
        """Close the open connections."""
        for pair in tuple(self._pairs):
            await _close(pair)

    async def _serve(self, caller: SocketStream) -> None:
        if self.refuses:
            await anyio.aclose_forcefully(caller)
            return
        try:
            target = await anyio.connect_tcp(self.target.host, self.target.port)
        except OSError:
            await anyio.aclose_forcefully(caller)
            return
        pair = _Pair(caller, target, self._route(caller))
        self._pairs.add(pair)
        try:
            async with anyio.create_task_group() as tasks:
                requests, due_requests = anyio.create_memory_object_stream[_Due](_MOST_CHUNKS)
                answers, due_answers = anyio.create_memory_object_stream[_Due](_MOST_CHUNKS)
                tasks.start_soon(self._take_requests, pair, requests)
                tasks.start_soon(self._take_answers, pair, answers)
                tasks.start_soon(_deliver, pair, due_requests, pair.target)
                tasks.start_soon(_deliver, pair, due_answers, pair.caller)
        finally:
            self._pairs.discard(pair)
            with anyio.CancelScope(shield=True):
                await _close(pair)

    def _route(self, caller: SocketStream) -> Route:
        """Return the links that a caller's connection passes."""
        return self._default_route

    async def _take_requests(self, pair: _Pair, line: MemoryObjectSendStream[_Due]) -> None:
        await self._take(pair.caller, pair.route.requests, lambda: pair.drops_requests, line)

    async def _take_answers(self, pair: _Pair, line: MemoryObjectSendStream[_Due]) -> None:
        await self._take(pair.target, pair.route.answers, lambda: pair.drops_answers, line)

    async def _take(
        self,
        source: SocketStream,
        links: tuple[SlowLink, ...],
        drops: Callable[[], bool],
        line: MemoryObjectSendStream[_Due],
    ) -> None:
        """Take what one side sends, until it ends."""
        with line, suppress(*_ENDS):
            while True:
                chunk = await source.receive(_CHUNK_BYTES)
                await self._pass(chunk, links)
                if not (drops() or self.drops_all):
                    await line.send(_Due(time.monotonic() + self.latency_s, chunk))

    async def _pass(self, chunk: bytes, links: tuple[SlowLink, ...]) -> None:
        await anyio.sleep(self.delay_s)
        for link in links:
            await link.carry(len(chunk))


def _links(link: SlowLink | None) -> tuple[SlowLink, ...]:
    return () if link is None else (link,)


async def _deliver(pair: _Pair, line: MemoryObjectReceiveStream[_Due], target: SocketStream) -> None:
    """Hand on what was taken, each chunk when it is due, and close both connections once one side has ended."""
    with line, suppress(*_ENDS):
        async for due in line:
            await anyio.sleep(max(0.0, due.at_s - time.monotonic()))
            await target.send(due.chunk)
    await _close(pair)


async def _close(pair: _Pair) -> None:
    await anyio.aclose_forcefully(pair.caller)
    await anyio.aclose_forcefully(pair.target)
