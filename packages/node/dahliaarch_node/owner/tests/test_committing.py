"""Tests that an owner that the store refuses relays its transactions through other instances."""

import anyio
import pytest

from dahliaarch_platform.store import (
    CommitResult,
    CommitStatus,
    Condition,
    Item,
    StoreRefusedError,
    StoreUnansweredError,
    StoreUnreachableError,
    Write,
)

from ...peers import CommitFor, CommitOutcome
from ...relaying import available_relays, commit_for_peer
from ..committing import Committer

CONDITION = Condition('k', 7)
WRITE = Write('k', b'v')
DONE = CommitResult(CommitStatus.DONE, 8)
FAILED = CommitResult(CommitStatus.CONDITION_FAILED, current=(Item('k', b'', 9),))


class Store:
    """A store that gives every transaction the same answer."""

    def __init__(self, answer, *, is_suspect=False):
        self.answer = answer
        self.is_suspect = is_suspect
        self.commits = []

    async def commit(self, conditions, writes, removals=(), *, timeout_s):
        self.commits.append((tuple(conditions), tuple(writes), tuple(removals)))
        if isinstance(self.answer, Exception):
            raise self.answer
        return self.answer


class Peers:
    """Other instances, each with its own connection to the store."""

    def __init__(self, *stores):
        self.stores = stores

    def peers(self):
        return [Peer(number) for number in range(len(self.stores))]

    async def ask(self, address, message, *, timeout_s):
        assert isinstance(message, CommitFor)
        return await commit_for_peer(self.stores[address[0]], message)


class Peer:
    """Address of one of the other instances."""

    port = 1

    def __init__(self, number):
        self.instance = f'i{number}'
        self.host = number


def commit(own_store, *other_stores):
    peers = Peers(*other_stores)

    async def run():
        committer = Committer(own_store, lambda: available_relays(peers, peers))
        return await committer.commit((CONDITION,), (WRITE,), ('gone',), timeout_s=0.6)

    return anyio.run(run)


@pytest.mark.parametrize('refusal', [StoreRefusedError('503'), StoreUnreachableError('reset')])
@pytest.mark.parametrize('answer', [DONE, FAILED])
def test_a_transaction_is_relayed_for_a_refused_owner(refusal, answer):
    # Until its lease ended, 2.2 s later, no decision of the owner was stored and no run was started.
    other = Store(answer)
    assert commit(Store(refusal), other) == answer
    assert other.commits == [((CONDITION,), (WRITE,), ('gone',))]


def test_an_unanswered_transaction_is_not_relayed():
    other = Store(DONE)
    with pytest.raises(StoreUnansweredError):
        commit(Store(StoreUnansweredError('no answer')), other)
    assert not other.commits


@pytest.mark.parametrize(
    ('other', 'failure'),
    [
        (Store(StoreRefusedError('503')), StoreRefusedError),
        (Store(DONE, is_suspect=True), StoreRefusedError),
        (Store(StoreUnansweredError('no answer')), StoreUnansweredError),
    ],
)
def test_a_relayed_transaction_tells_if_it_may_have_been_applied(other, failure):
    with pytest.raises(failure):
        commit(Store(StoreRefusedError('503')), other)


def test_a_transaction_is_relayed_through_at_most_two_instances():
    other_stores = [Store(StoreRefusedError('503')) for _ in range(5)]
    with pytest.raises(StoreRefusedError):
        commit(Store(StoreRefusedError('503')), *other_stores)
    assert sum(len(each.commits) for each in other_stores) == 2


def test_a_relaying_instance_reports_an_unknown_outcome():
    async def run():
        message = CommitFor((CONDITION,), (WRITE,), (), 0.6)
        return (await commit_for_peer(Store(StoreUnansweredError('no answer')), message)).outcome

    assert anyio.run(run) is CommitOutcome.UNKNOWN
