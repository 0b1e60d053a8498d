"""Forwards TCP connections and can delay, throttle, reset, refuse or black-hole them."""

import time
from collections.abc import Callable
from contextlib import suppress
from typing import NamedTuple

import anyio
from anyio.abc import SocketAttribute, SocketStream, TaskGroup
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream

from dahliaarch_platform.settings import Address

from .links import Route, SlowLink
from .silence import drop_incoming_packets

_ANY_FREE_PORT = Address('127.0.0.1', 0)
# Bytes forwarded at a time; the connections that share a slow link alternate chunk by chunk.
_CHUNK_BYTES = 16_384
# Maximum number of chunks in flight per connection and direction, for links with a latency.
_MAX_CHUNKS_IN_FLIGHT = 64
# How long requests are still forwarded after the answers have been cut off, in seconds.
_REQUESTS_ONLY_S = 0.3
# Exceptions raised once either side has closed the connection.
_CLOSED_ERRORS = (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError, OSError)


class _ProxiedConnection:
    """A client connection and the connection to the target that it is forwarded to."""

    def __init__(self, caller: SocketStream, target: SocketStream, route: Route) -> None:
        self.caller = caller
        self.target = target
        self.route = route
        self.caller_host = str(caller.extra(SocketAttribute.remote_address)[0])
        self.drops_requests = False
        self.drops_answers = False

    def silence(self) -> None:
        """Drop all bytes in both directions, and stop acknowledging packets of the caller."""
        self.drops_requests = True
        self.drops_answers = True
        # A connection that is being closed has no socket any more.
        with suppress(OSError):
            drop_incoming_packets(self.caller.extra(SocketAttribute.raw_socket))


class _DelayedChunk(NamedTuple):
    """A chunk of bytes and its arrival time on the monotonic clock."""

    due_s: float
    chunk: bytes


class FaultProxy:
    """Forwards connections to one address and injects faults into them.

    Parameters
    ----------
    target : Address
        Address that connections are forwarded to.
    request_link, answer_link : SlowLink or None
        Links that limit the rate to the target and back; None for no limit.

    Attributes
    ----------
    address : Address
        Address that callers connect to; its port is set by `listen`.
    delay_s : float
        Delay before each chunk of bytes, in both directions; the next chunk is read only afterwards, so
        that it also limits the throughput.
    latency_s : float
        Additional latency in both directions, which does not limit the throughput.
    refuses_connections : bool
        Whether new connections are closed immediately.
    drops_all : bool
        Whether all bytes are dropped, on open and on new connections.
    """

    def __init__(
        self,
        target: Address,
        *,
        request_link: SlowLink | None = None,
        answer_link: SlowLink | None = None,
    ) -> None:
        """Create the proxy; `listen` starts it."""
        self.target = target
        self._default_route = Route(_links(request_link), _links(answer_link))
        self.address = Address('127.0.0.1', 0)
        self.delay_s = 0.0
        self.latency_s = 0.0
        self.refuses_connections = False
        self.drops_all = False
        self._connections: set[_ProxiedConnection] = set()

    async def listen(self, tasks: TaskGroup, at: Address = _ANY_FREE_PORT) -> Address:
        """Listen on an address until the task group is cancelled; port 0 selects any free port."""
        listener = await anyio.create_tcp_listener(local_host=at.host, local_port=at.port)
        self.address = at._replace(port=listener.extra(SocketAttribute.local_port))
        tasks.start_soon(listener.serve, self._serve)
        return self.address

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    def silence(self) -> None:
        """Black-hole the open connections permanently; new connections work."""
        for connection in self._connections:
            connection.silence()

    async def drop_answers(self) -> None:
        """Drop the answers on the open connections, and shortly afterwards the requests too."""
        affected = tuple(self._connections)
        for connection in affected:
            connection.drops_answers = True
        await anyio.sleep(_REQUESTS_ONLY_S)
        for connection in self._connections.intersection(affected):
            connection.silence()

    async def reset(self) -> None:
        """Close the open connections."""
        for connection in tuple(self._connections):
            await _close(connection)

    async def _serve(self, caller: SocketStream) -> None:
        if self.refuses_connections:
            await anyio.aclose_forcefully(caller)
            return
        try:
            target = await anyio.connect_tcp(self.target.host, self.target.port)
        except OSError:
            await anyio.aclose_forcefully(caller)
            return
        connection = _ProxiedConnection(caller, target, self._route(caller))
        self._connections.add(connection)
        try:
            async with anyio.create_task_group() as tasks:
                requests, due_requests = anyio.create_memory_object_stream[_DelayedChunk](_MAX_CHUNKS_IN_FLIGHT)
                answers, due_answers = anyio.create_memory_object_stream[_DelayedChunk](_MAX_CHUNKS_IN_FLIGHT)
                tasks.start_soon(self._read_requests, connection, requests)
                tasks.start_soon(self._read_answers, connection, answers)
                tasks.start_soon(_deliver, connection, due_requests, connection.target)
                tasks.start_soon(_deliver, connection, due_answers, connection.caller)
        finally:
            self._connections.discard(connection)
            with anyio.CancelScope(shield=True):
                await _close(connection)

    def _route(self, caller: SocketStream) -> Route:
        """Return the links that a caller's connection traverses."""
        return self._default_route

    def _is_cut(self, caller_host: str) -> bool:
        """Return whether all bytes between a caller and the target are dropped now."""
        return self.drops_all

    async def _read_requests(
        self, connection: _ProxiedConnection, queue: MemoryObjectSendStream[_DelayedChunk]
    ) -> None:
        await self._read(
            connection.caller,
            connection.route.requests,
            lambda: connection.drops_requests or self._is_cut(connection.caller_host),
            queue,
        )

    async def _read_answers(self, connection: _ProxiedConnection, queue: MemoryObjectSendStream[_DelayedChunk]) -> None:
        await self._read(
            connection.target,
            connection.route.answers,
            lambda: connection.drops_answers or self._is_cut(connection.caller_host),
            queue,
        )

    async def _read(
        self,
        source: SocketStream,
        links: tuple[SlowLink, ...],
        drops: Callable[[], bool],
        queue: MemoryObjectSendStream[_DelayedChunk],
    ) -> None:
        """Read from one side until it closes, and queue the chunks for delivery to the other."""
        with queue, suppress(*_CLOSED_ERRORS):
            while True:
                chunk = await source.receive(_CHUNK_BYTES)
                await self._throttle(chunk, links)
                if not drops():
                    await queue.send(_DelayedChunk(time.monotonic() + self.latency_s, chunk))

    async def _throttle(self, chunk: bytes, links: tuple[SlowLink, ...]) -> None:
        await anyio.sleep(self.delay_s)
        for link in links:
            await link.transfer(len(chunk))


def _links(link: SlowLink | None) -> tuple[SlowLink, ...]:
    return () if link is None else (link,)


async def _deliver(
    connection: _ProxiedConnection, queue: MemoryObjectReceiveStream[_DelayedChunk], target: SocketStream
) -> None:
    """Forward each queued chunk when it is due, and close both connections once one side has closed."""
    with queue, suppress(*_CLOSED_ERRORS):
        async for due in queue:
            await anyio.sleep(max(0.0, due.due_s - time.monotonic()))
            await target.send(due.chunk)
    await _close(connection)


async def _close(connection: _ProxiedConnection) -> None:
    await anyio.aclose_forcefully(connection.caller)
    await anyio.aclose_forcefully(connection.target)
