"""Connections that fall silent for good while new ones work."""

import anyio
import pytest

from dahliaarch_node.peers import AskPending, Mesh, PeerSilentError, PendingReply
from dahliaarch_platform.http import CallUnansweredError, HttpClient, HttpServer, Response
from dahliaarch_platform.settings import Address
from dahliaarch_standins.deployment.core import free_ports
from dahliaarch_standins.proxy import FaultProxy

LOOPBACK = Address('127.0.0.1', 0)


async def answer_call(request):
    return Response(200)


async def answer_message(message):
    return PendingReply(True, 7)


async def forward(target, tasks):
    proxy = FaultProxy(target)
    await proxy.listen(tasks)
    return proxy


def test_a_call_after_an_unanswered_one_uses_none_of_the_kept_connections():
    async def scenario():
        server = HttpServer(answer_call)
        await server.listen(LOOPBACK)
        async with anyio.create_task_group() as tasks:
            proxy = await forward(Address('127.0.0.1', server.port), tasks)
            client = HttpClient()
            async with anyio.create_task_group() as calls:
                for _ in range(3):
                    calls.start_soon(ask, client, proxy.address)
            assert proxy.connections == 3
            proxy.silence()
            with pytest.raises(CallUnansweredError):
                await ask(client, proxy.address)
            reply = await ask(client, proxy.address)
            tasks.cancel_scope.cancel()
        server.close()
        return reply.status

    assert anyio.run(scenario) == 200


async def ask(client, address):
    return await client.call(address, 'GET', '/', timeout_s=0.5)


def test_a_message_after_an_unanswered_one_goes_over_a_new_connection():
    async def scenario():
        port = free_ports(1)[0]
        async with anyio.create_task_group() as tasks:
            peer = Mesh(answer_message)
            own = Mesh(answer_message)
            tasks.start_soon(peer.run, '127.0.0.1', port)
            tasks.start_soon(own.run, '127.0.0.1', free_ports(1)[0])
            proxy = await forward(Address('127.0.0.1', port), tasks)
            await anyio.sleep(0.1)
            await own.ask(proxy.address, AskPending('q'), timeout_s=5)
            proxy.silence()
            with pytest.raises(PeerSilentError):
                await own.ask(proxy.address, AskPending('q'), timeout_s=0.3)
            reply = await own.ask(proxy.address, AskPending('q'), timeout_s=0.9)
            tasks.cancel_scope.cancel()
        return reply

    assert anyio.run(scenario) == PendingReply(True, 7)
