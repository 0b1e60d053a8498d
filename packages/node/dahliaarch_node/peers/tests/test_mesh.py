"""Tests for messages to unreachable peers and for the message metric."""

import socket

import anyio

from ..core import Mesh, PeerSilentError
from ..messages import AskPending, PendingReply

# Loopback address with a port on which nothing listens.
UNUSED_ADDRESS = ('127.0.0.1', 9)


def free_ports(count):
    holders = [socket.socket() for _ in range(count)]
    for holder in holders:
        holder.bind(('127.0.0.1', 0))
    ports = [holder.getsockname()[1] for holder in holders]
    for holder in holders:
        holder.close()
    return ports


async def no_reply(message):
    return None


async def disconnect_soon(mesh):
    await anyio.sleep(0.05)
    mesh.disconnect(UNUSED_ADDRESS)


async def ask_and_forget():
    mesh = Mesh(no_reply)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(mesh.run, '127.0.0.1', 0)
        await anyio.sleep(0)
        tasks.start_soon(disconnect_soon, mesh)
        try:
            await mesh.ask(UNUSED_ADDRESS, AskPending('q'), timeout_s=0.2)
        except PeerSilentError:
            return
        finally:
            tasks.cancel_scope.cancel()
    raise AssertionError('received a reply from an unused address')


def test_forgetting_a_peer_in_a_request_raises_peer_silent_error():
    """The daemon crashed: after the timeout, the request reconnected a socket that `disconnect` had closed."""
    anyio.run(ask_and_forget)


async def count_messages():
    observed = []
    mesh = Mesh(no_reply, lambda *each: observed.append(each))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(mesh.run, '127.0.0.1', 0)
        await anyio.sleep(0)
        mesh.send(UNUSED_ADDRESS, AskPending('q' * 1000))
        tasks.cancel_scope.cancel()
    return observed


def test_the_bytes_of_each_message_are_counted():
    ((direction, message, size_bytes),) = anyio.run(count_messages)
    assert (direction, message) == ('sent', 'AskPending')
    assert size_bytes > 1000


async def reply_after_disconnect():
    """Disconnect one peer, then ask another; return its reply."""

    async def reply(message):
        return PendingReply(True, 7)

    mesh, peer = Mesh(no_reply), Mesh(reply)
    own_port, peer_port = free_ports(2)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(peer.run, '127.0.0.1', peer_port)
        tasks.start_soon(mesh.run, '127.0.0.1', own_port)
        await anyio.sleep(0.05)
        mesh.send(UNUSED_ADDRESS, AskPending('q'))
        await anyio.sleep(0.05)
        mesh.disconnect(UNUSED_ADDRESS)
        await anyio.sleep(0.05)
        found = await mesh.ask(('127.0.0.1', peer_port), AskPending('q'), timeout_s=5.0)
        tasks.cancel_scope.cancel()
    return found


def test_forgetting_a_peer_leaves_the_others_connected():
    """Closing its socket cancelled the task that reads from it, and with it the whole mesh.

    An owner that forgot an instance after 30 s of silence got no reply from any other instance from then on.
    """
    assert anyio.run(reply_after_disconnect) == PendingReply(True, 7)
