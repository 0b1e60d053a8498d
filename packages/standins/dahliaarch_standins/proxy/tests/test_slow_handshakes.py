"""Sends requests between instances over a link with a latency of a tenth of a second.

Failure: the owner does not answer the instances of callers, although it is healthy, for as long as they send requests.

How it comes about: a connection between instances is established after four round trips and the answer arrives one
round trip later: 0.8 to 1 s over a saturated link with a latency of a tenth of a second each way. A request times out
after 0.4 s. The first request to time out closed the connection and opened another, which the next request closed
before it was established.

Cause: a retry that starts from the beginning, after a timeout that ignores how long the awaited operation takes.
"""

import anyio

from dahliaarch_node.peers import AskPending, Mesh, PeerSilentError, PendingReply
from dahliaarch_platform.settings import Address
from dahliaarch_standins.deployment.core import free_ports
from dahliaarch_standins.proxy import FaultProxy

LATENCY_S = 0.1
# Timeout of a request to the owner, and the interval between requests of callers.
TIMEOUT_S = 0.4
INTERVAL_S = 0.05


async def answer(message):
    return PendingReply(True, 7)


def test_requests_over_a_link_with_high_latency_are_answered():
    answered = []

    async def ask(mesh, address):
        try:
            answered.append(await mesh.ask(address, AskPending('q'), timeout_s=TIMEOUT_S))
        except PeerSilentError:
            return

    async def scenario():
        port = free_ports(1)[0]
        async with anyio.create_task_group() as tasks:
            peer, own = Mesh(answer), Mesh(answer)
            tasks.start_soon(peer.run, '127.0.0.1', port)
            tasks.start_soon(own.run, '127.0.0.1', free_ports(1)[0])
            proxy = FaultProxy(Address('127.0.0.1', port))
            address = await proxy.listen(tasks)
            proxy.latency_s = LATENCY_S
            await anyio.sleep(0.1)
            for _ in range(60):
                tasks.start_soon(ask, own, address)
                await anyio.sleep(INTERVAL_S)
            tasks.cancel_scope.cancel()

    anyio.run(scenario)
    # All requests except those of the first second.
    assert len(answered) >= 30
