"""Instances ask each other over a link that holds bytes up for a tenth of a second.

What happens: the owner is silent for callers' instances though it is well, for as long as they ask.

The sequence: a connection between instances is there after four round trips, and the answer comes one later: 0.8 to 1 s
over a link with a tenth of a second each way, as one has that is filled. A question waits 0.4 s. The first one that
went unanswered gave the connection up and began another, which the next question gave up before it was there.

The cause: a retry that begins anew, after a wait that knows nothing of what it has to wait for.
"""

import anyio

from dahliaarch_node.peers import AskPending, Mesh, PeerSilentError, PendingReply
from dahliaarch_platform.settings import Address
from dahliaarch_standins.deployment.core import free_ports
from dahliaarch_standins.proxy import FaultProxy

DELAY_S = 0.1
# As long as an instance waits for the owner's answer, and between callers' questions.
WAIT_S = 0.4
PAUSE_S = 0.05


async def answer(message):
    return PendingReply(True, 7)


def test_questions_over_a_link_that_holds_bytes_up_are_answered():
    answered = []

    async def ask(mesh, address):
        try:
            answered.append(await mesh.ask(address, AskPending('q'), timeout_s=WAIT_S))
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
            proxy.latency_s = DELAY_S
            await anyio.sleep(0.1)
            for _ in range(60):
                tasks.start_soon(ask, own, address)
                await anyio.sleep(PAUSE_S)
            tasks.cancel_scope.cancel()

    anyio.run(scenario)
    # All but those of the first second.
    assert len(answered) >= 30
