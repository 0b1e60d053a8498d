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


@pytest.mark.parametrize('is_one_way', [False, True])
def test_keep_alive_probes_show_a_connection_that_falls_silent_while_an_answer_is_awaited(is_one_way):
    async def wait_long(request):
        await anyio.sleep(20)
        return Response(200)

    async def scenario():
        server = HttpServer(wait_long)
        await server.listen(LOOPBACK)
        async with anyio.create_task_group() as tasks:
            proxy = await forward(Address('127.0.0.1', server.port), tasks)
            failures = []

            async def watch():
                try:
                    await HttpClient().call(proxy.address, 'GET', '/', timeout_s=10)
                except CallUnansweredError as error:
                    failures.append(error)

            with anyio.fail_after(5):
                async with anyio.create_task_group() as calls:
                    calls.start_soon(watch)
                    await anyio.sleep(0.2)
                    if is_one_way:
                        await proxy.lose_answers()
                    else:
                        proxy.silence()
            tasks.cancel_scope.cancel()
        server.close()
        return failures

    assert len(anyio.run(scenario)) == 1


def test_a_caller_that_is_cut_one_way_still_reaches_its_target():
    paths = []

    async def note(request):
        paths.append(request.path)
        return Response(200)

    async def scenario():
        server = HttpServer(note)
        await server.listen(LOOPBACK)
        async with anyio.create_task_group() as tasks:
            proxy = await forward(Address('127.0.0.1', server.port), tasks)
            client = HttpClient()
            await client.call(proxy.address, 'GET', '/before', timeout_s=1)
            tasks.start_soon(proxy.lose_answers)
            await anyio.sleep(0.05)
            with pytest.raises(CallUnansweredError):
                await client.call(proxy.address, 'GET', '/cut', timeout_s=0.5)
            tasks.cancel_scope.cancel()
        server.close()

    anyio.run(scenario)
    assert paths == ['/before', '/cut']
