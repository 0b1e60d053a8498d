"""Relays transactions through other instances when the store refuses this one or can't be reached."""

import random
from collections.abc import Sequence
from functools import partial

from dahliaarch_platform.store import (
    CommitResult,
    CommitStatus,
    Condition,
    STORE_FAILURES,
    StoreClient,
    StoreRefusedError,
    StoreUnansweredError,
    StoreUnreachableError,
    Write,
)

from .membership import Membership
from .owner.committing import CommitFunction
from .peers import CommitFor, CommitOutcome, CommitReply, Mesh, PeerSilentError
from .records import Member

# Share of a relayed transaction's timeout that the relay waits for the store; the rest is for the reply to travel back.
_STORE_TIMEOUT_SHARE = 0.8
_OUTCOME_BY_STATUS = {
    CommitStatus.DONE: CommitOutcome.DONE,
    CommitStatus.CONDITION_FAILED: CommitOutcome.CONDITION_FAILED,
    CommitStatus.LEASE_OVER: CommitOutcome.LEASE_OVER,
}
_STATUS_BY_OUTCOME = {outcome: status for status, outcome in _OUTCOME_BY_STATUS.items()}


def available_relays(mesh: Mesh, membership: Membership) -> Sequence[CommitFunction]:
    """Return functions that commit a transaction through each responsive peer, in random order."""
    peers = membership.peers()
    random.shuffle(peers)
    return [partial(_commit_through, mesh, peer) for peer in peers]


async def commit_for_peer(store: StoreClient, message: CommitFor) -> CommitReply:
    """Commit a transaction on behalf of another instance."""
    if store.is_suspect:
        return CommitReply(CommitOutcome.REFUSED)
    try:
        result = await store.commit(
            message.conditions, message.writes, message.removals, timeout_s=message.timeout_s * _STORE_TIMEOUT_SHARE
        )
    except (StoreRefusedError, StoreUnreachableError):
        return CommitReply(CommitOutcome.REFUSED)
    except STORE_FAILURES:
        return CommitReply(CommitOutcome.UNKNOWN)
    return CommitReply(_OUTCOME_BY_STATUS[result.status], result.revision, result.current)


async def _commit_through(
    mesh: Mesh,
    peer: Member,
    conditions: Sequence[Condition],
    writes: Sequence[Write],
    removals: Sequence[str] = (),
    *,
    timeout_s: float,
) -> CommitResult:
    message = CommitFor(tuple(conditions), tuple(writes), tuple(removals), timeout_s)
    try:
        reply = await mesh.ask((peer.host, peer.port), message, timeout_s=timeout_s)
    except PeerSilentError as error:
        raise StoreUnansweredError(str(error)) from error
    if not isinstance(reply, CommitReply) or reply.outcome is CommitOutcome.UNKNOWN:
        raise StoreUnansweredError(f'relay {peer.instance} does not know whether the transaction was committed')
    if reply.outcome is CommitOutcome.REFUSED:
        raise StoreRefusedError(
            f'relay {peer.instance} did not commit the transaction: the store refused it or was unreachable'
        )
    return CommitResult(_STATUS_BY_OUTCOME[reply.outcome], reply.revision, reply.current)
