"""Forwards connections and delays, slows, resets, cuts or silences them."""

import anyio
from anyio.abc import SocketAttribute, SocketStream, TaskGroup

from dahliaarch_platform.settings import Address

# Bytes that are forwarded at a time; connections take turns on a slow link.
_CHUNK_BYTES = 16_384
# What ends a connection on either side.
_ENDS = (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError, OSError)


class SlowLink:
    """A link of a bounded rate, one way, which several proxies may share.

    Parameters
    ----------
    bytes_per_s : float
        Its rate.

    Attributes
    ----------
    carried_bytes : int
        Bytes that it has carried.
    """

    def __init__(self, bytes_per_s: float) -> None:
        """Start idle."""
        self.carried_bytes = 0
        self._bytes_per_s = bytes_per_s
        self._free = anyio.Lock()

    async def carry(self, size_bytes: int) -> None:
        """Take as long as some bytes need, after those that came first."""
        async with self._free:
            await anyio.sleep(size_bytes / self._bytes_per_s)
            self.carried_bytes += size_bytes


class _Pair:
    """One caller's connection and the one that it is forwarded to."""

    def __init__(self, caller: SocketStream, target: SocketStream) -> None:
        self.caller = caller
        self.target = target
        self.drops_requests = False
        self.drops_answers = False


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
        How long each chunk of bytes is held, both ways.
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
        self._requests_over = requests_over
        self._answers_over = answers_over
        self.address = Address('127.0.0.1', 0)
        self.delay_s = 0.0
        self.refuses = False
        self.drops_all = False
        self._pairs: set[_Pair] = set()

    async def listen(self, tasks: TaskGroup) -> Address:
        """Listen on a free port, until the group is cancelled."""
        listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
        port = listener.extra(SocketAttribute.local_port)
        self.address = Address('127.0.0.1', port)
        tasks.start_soon(listener.serve, self._serve)
        return self.address

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._pairs)

    def silence(self) -> None:
        """Let the open connections fall silent for good; new ones work."""
        for pair in self._pairs:
            pair.drops_requests = True
            pair.drops_answers = True

    def lose_answers(self) -> None:
        """Cut the open connections one way: what is sent arrives, no answer does."""
        for pair in self._pairs:
            pair.drops_answers = True

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
        pair = _Pair(caller, target)
        self._pairs.add(pair)
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._forward_requests, pair)
                tasks.start_soon(self._forward_answers, pair)
        finally:
            self._pairs.discard(pair)
            with anyio.CancelScope(shield=True):
                await _close(pair)

    async def _forward_requests(self, pair: _Pair) -> None:
        try:
            while True:
                chunk = await pair.caller.receive(_CHUNK_BYTES)
                await self._pass(chunk, self._requests_over)
                if not (pair.drops_requests or self.drops_all):
                    await pair.target.send(chunk)
        except _ENDS:
            await _close(pair)

    async def _forward_answers(self, pair: _Pair) -> None:
        try:
            while True:
                chunk = await pair.target.receive(_CHUNK_BYTES)
                await self._pass(chunk, self._answers_over)
                if not (pair.drops_answers or self.drops_all):
                    await pair.caller.send(chunk)
        except _ENDS:
            await _close(pair)

    async def _pass(self, chunk: bytes, link: SlowLink | None) -> None:
        await anyio.sleep(self.delay_s)
        if link is not None:
            await link.carry(len(chunk))


async def _close(pair: _Pair) -> None:
    await anyio.aclose_forcefully(pair.caller)
    await anyio.aclose_forcefully(pair.target)
