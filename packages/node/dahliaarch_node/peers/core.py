"""Requests and replies between instances over ZeroMQ.

Each instance binds one ROUTER socket, on which it replies to requests, and connects
one DEALER socket to each peer that it sends messages to.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable

import anyio
import zmq
from anyio.abc import TaskGroup
from zmq.asyncio import Context, Socket

from dahliaarch_kernel.errors import DahliaarchError, ProtocolError

from ..logs import log_event
from .messages import decode, encode, Message

Address = tuple[str, int]
Handler = Callable[[Message], Awaitable[Message | None]]
Observe = Callable[[str, str, int], None]

# Values of the `direction` label of the message metric.
SENT = 'sent'
RECEIVED = 'received'
# Messages to queue for a peer that doesn't read; further ones are dropped.
_HIGH_WATER_MARK = 256
# Bounds of the delay before reconnecting, in milliseconds: short enough that a peer
# that has come back is reached as soon as by a request that opens a new connection.
_RECONNECT_MS = 100
_RECONNECT_MAX_MS = 400
# Time without a response from the peer, as during a network partition, after which the
# transport closes the connection and opens a new one.
_TRANSPORT_TIMEOUT_MS = 2_000
_HEARTBEAT_MS = 1_000
_CONNECT_TIMEOUT_MS = 400
# Minimum time for a new connection to deliver its first message, in seconds; this
# takes four round trips. Requests time out earlier, and would otherwise replace the
# connection before it is established.
_FIRST_MESSAGE_TIMEOUT_S = 2.0
# Maximum size of a message, well above the size of a configuration or a job.
_MAX_MESSAGE_BYTES = 4 * 1024 * 1024


class PeerSilentError(DahliaarchError):
    """A peer didn't reply in time; it may have executed the request."""


def _discard_count(direction: str, message: str, size_bytes: int) -> None:
    """Discard the size of a message."""


class Mesh:
    """Connections to and from the other instances.

    Parameters
    ----------
    handler : callable
        Handles a message and returns the reply, or None for no reply.
    observe : callable
        Called with the direction (`sent` or `received`), the class name and the
        size in bytes of each message.
    """

    def __init__(self, handler: Handler, observe: Observe = _discard_count) -> None:
        """Create the ZeroMQ context and an unbound socket."""
        self._context = Context()
        self._handler = handler
        self._observe = observe
        self._router = self._socket(zmq.ROUTER)
        self._link_by_address: dict[Address, _Link] = {}
        self._tasks: TaskGroup | None = None

    async def run(self, host: str, port: int) -> None:
        """Bind the socket and handle messages until cancelled."""
        self._router.bind(f'tcp://{host}:{port}')
        try:
            async with anyio.create_task_group() as tasks:
                self._tasks = tasks
                while True:
                    identity, frame = await self._router.recv_multipart()
                    tasks.start_soon(self._answer, identity, frame)
        finally:
            self._context.destroy(linger=0)

    async def ask(self, address: Address, message: Message, *, timeout_s: float) -> Message:
        """Send a request to a peer and return its reply.

        Raises
        ------
        PeerSilentError
            If no reply arrives in time.
        """
        link = self._link(address)
        frames_before = link.frames_received
        try:
            with anyio.fail_after(timeout_s):
                return await link.ask(message)
        except TimeoutError:
            if link.frames_received == frames_before:
                # The connection may be dead without an error; replace it.
                link.reconnect(time.monotonic())
            raise PeerSilentError(f'{address}: no reply to {type(message).__name__}') from None

    def send(self, address: Address, message: Message) -> None:
        """Send a message without a reply; it may be lost."""
        self._link(address).send(0, message)

    def disconnect(self, address: Address) -> None:
        """Close the socket to a peer."""
        link = self._link_by_address.pop(address, None)
        if link is not None:
            link.close()

    async def _answer(self, identity: bytes, frame: bytes) -> None:
        try:
            call, message = decode(frame)
        except ProtocolError as error:
            log_event('peer_message_malformed', why=str(error))
            return
        self._observe(RECEIVED, type(message).__name__, len(frame))
        reply = await self._handler(message)
        if reply is not None and call:
            answer = encode(call, reply)
            self._observe(SENT, type(reply).__name__, len(answer))
            await self._router.send_multipart([identity, answer])

    def _link(self, address: Address) -> '_Link':
        link = self._link_by_address.get(address)
        if link is None:
            link = _Link(self._socket(zmq.DEALER), f'tcp://{address[0]}:{address[1]}', self._observe)
            self._link_by_address[address] = link
            assert self._tasks is not None  # noqa: S101
            self._tasks.start_soon(link.run)
        return link

    def _socket(self, kind: int) -> Socket:
        socket = self._context.socket(kind)
        socket.setsockopt(zmq.LINGER, 0)
        socket.setsockopt(zmq.SNDHWM, _HIGH_WATER_MARK)
        socket.setsockopt(zmq.RCVHWM, _HIGH_WATER_MARK)
        socket.setsockopt(zmq.RECONNECT_IVL, _RECONNECT_MS)
        socket.setsockopt(zmq.RECONNECT_IVL_MAX, _RECONNECT_MAX_MS)
        socket.setsockopt(zmq.TCP_MAXRT, _TRANSPORT_TIMEOUT_MS)
        socket.setsockopt(zmq.HEARTBEAT_IVL, _HEARTBEAT_MS)
        socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, _TRANSPORT_TIMEOUT_MS)
        socket.setsockopt(zmq.CONNECT_TIMEOUT, _CONNECT_TIMEOUT_MS)
        socket.setsockopt(zmq.MAXMSGSIZE, _MAX_MESSAGE_BYTES)
        return socket


class _Link:
    """Socket to one peer and the requests that await its replies."""

    def __init__(self, socket: Socket, endpoint: str, observe: Observe) -> None:
        self._socket = socket
        self._endpoint = endpoint
        self._observe = observe
        socket.connect(endpoint)
        self.frames_received = 0
        # Start time of the current connection, and the number of frames received before it.
        self._connect_started_s = time.monotonic()
        self._frames_before_connect = 0
        self._last_call = 0
        self._future_by_call: dict[int, asyncio.Future[Message]] = {}

    async def run(self) -> None:
        """Pass replies to the requests that await them."""
        try:
            while True:
                frame = await self._socket.recv()
                self.frames_received += 1
                self._resolve(frame)
        except asyncio.CancelledError:
            # Closing the socket cancels the pending read; the tasks of other peers would be cancelled as well.
            if not self._socket.closed:
                raise
        except zmq.ZMQError as error:
            log_event('peer_socket_closed', why=str(error))

    async def ask(self, message: Message) -> Message:
        """Send a request and wait for the reply."""
        self._last_call += 1
        call = self._last_call
        future: asyncio.Future[Message] = asyncio.get_running_loop().create_future()
        self._future_by_call[call] = future
        try:
            self.send(call, message)
            return await future
        finally:
            self._future_by_call.pop(call, None)

    def send(self, call: int, message: Message) -> None:
        """Queue a message; drop it if the queue is full or the socket closed."""
        if self._socket.closed:
            log_event(
                'peer_message_dropped', why=f'the socket to {self._endpoint} is closed', message=type(message).__name__
            )
            return
        frame = encode(call, message)
        self._observe(SENT, type(message).__name__, len(frame))
        sent = asyncio.ensure_future(self._socket.send(frame, flags=zmq.NOBLOCK))
        sent.add_done_callback(_log_send_failure)

    def reconnect(self, now_s: float) -> None:
        """Replace the connection, dropping its queued messages, unless it is still being established."""
        is_connecting = (
            self.frames_received == self._frames_before_connect
            and now_s < self._connect_started_s + _FIRST_MESSAGE_TIMEOUT_S
        )
        if self._socket.closed or is_connecting:
            return
        self._socket.disconnect(self._endpoint)
        self._socket.connect(self._endpoint)
        self._connect_started_s = now_s
        self._frames_before_connect = self.frames_received

    def close(self) -> None:
        """Close the socket."""
        self._socket.close(linger=0)

    def _resolve(self, frame: bytes) -> None:
        try:
            call, message = decode(frame)
        except ProtocolError as error:
            log_event('peer_message_malformed', why=str(error))
            return
        self._observe(RECEIVED, type(message).__name__, len(frame))
        future = self._future_by_call.get(call)
        if future is not None and not future.done():
            future.set_result(message)


def _log_send_failure(sent: 'asyncio.Future[zmq.MessageTracker | None]') -> None:
    if not sent.cancelled() and sent.exception() is not None:
        log_event('peer_message_dropped', why=repr(sent.exception()))
