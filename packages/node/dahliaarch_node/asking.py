"""Queries to the external placement policy, sent directly or through peer instances."""

from collections.abc import Mapping, Sequence
from functools import partial

from dahliaarch_platform.advice import AdviceClient, AdviceUnavailableError

from .membership import Membership
from .owner.advising import AskPolicyFunction
from .peers import AskPolicy, Mesh, PeerSilentError, PolicyReply
from .records import Member


def policy_queries(client: AdviceClient | None, mesh: Mesh, membership: Membership) -> Sequence[AskPolicyFunction]:
    """Return one query function per route, the direct one first; empty without a configured policy."""
    if client is None:
        return ()
    return [partial(_ask_directly, client), *(partial(_ask_through_peer, mesh, peer) for peer in membership.peers())]


async def _ask_directly(
    client: AdviceClient, step: str, worker_ids: Sequence[str], timeout_s: float
) -> Mapping[str, str]:
    return await client.ask(step, worker_ids, timeout_s=timeout_s)


async def _ask_through_peer(
    mesh: Mesh, peer: Member, step: str, worker_ids: Sequence[str], timeout_s: float
) -> Mapping[str, str]:
    request = AskPolicy(step, tuple(worker_ids), timeout_s)
    try:
        reply = await mesh.ask((peer.host, peer.port), request, timeout_s=timeout_s)
    except PeerSilentError as error:
        raise AdviceUnavailableError(str(error)) from error
    if not isinstance(reply, PolicyReply) or not reply.is_answered:
        raise AdviceUnavailableError(f'{peer.instance} received no answer from the policy')
    return reply.ticket_by_worker
