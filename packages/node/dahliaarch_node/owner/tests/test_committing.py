"""An owner that the store turns away makes its transactions through instances that the store serves."""

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
from ...relaying import commit_for_peer, relays
from ..committing import Committer

CONDITION = Condition('k', 7)
WRITE = Write('k', b'v')
DONE = CommitResult(CommitStatus.DONE, 8)
FAILED = CommitResult(CommitStatus.CONDITION_FAILED, current=(Item('k', b'', 9),))


class Store:
    """A store that answers each transaction alike."""

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
    """Instances of which each has its own way to the store."""

    def __init__(self, *stores):
        self.stores = stores

    def peers(self):
        return [Peer(number) for number in range(len(self.stores))]

    async def ask(self, address, message, *, timeout_s):
        assert isinstance(message, CommitFor)
        return await commit_for_peer(self.stores[address[0]], message)


class Peer:
    """One of them."""

    port = 1

    def __init__(self, number):
        self.instance = f'i{number}'
        self.host = number


def commit(own, *others):
    peers = Peers(*others)

    async def run():
        committer = Committer(own, lambda: relays(peers, peers))
        return await committer.commit((CONDITION,), (WRITE,), ('gone',), timeout_s=0.6)

    return anyio.run(run)


@pytest.mark.parametrize('refusal', [StoreRefusedError('503'), StoreUnreachableError('reset')])
@pytest.mark.parametrize('answer', [DONE, FAILED])
def test_starts_are_not_held_while_the_store_turns_only_the_owner_away(refusal, answer):
    # Until its lease had ended, 2.2 s later, nothing that it decided was kept, and nothing was started.
    other = Store(answer)
    assert commit(Store(refusal), other) == answer
    assert other.commits == [((CONDITION,), (WRITE,), ('gone',))]


def test_a_transaction_without_an_answer_is_not_made_by_another_instance_as_well():
    other = Store(DONE)
    with pytest.raises(StoreUnansweredError):
        commit(Store(StoreUnansweredError('silence')), other)
    assert not other.commits


@pytest.mark.parametrize(
    ('other', 'failure'),
    [
        (Store(StoreRefusedError('503')), StoreRefusedError),
        (Store(DONE, is_suspect=True), StoreRefusedError),
        (Store(StoreUnansweredError('silence')), StoreUnansweredError),
    ],
)
def test_what_became_of_a_relayed_transaction_is_known_or_said_to_be_unknown(other, failure):
    with pytest.raises(failure):
        commit(Store(StoreRefusedError('503')), other)


def test_two_other_instances_are_tried_at_most():
    others = [Store(StoreRefusedError('503')) for _ in range(5)]
    with pytest.raises(StoreRefusedError):
        commit(Store(StoreRefusedError('503')), *others)
    assert sum(len(each.commits) for each in others) == 2


def test_an_instance_says_what_it_does_not_know():
    async def run():
        message = CommitFor((CONDITION,), (WRITE,), (), 0.6)
        return (await commit_for_peer(Store(StoreUnansweredError('silence')), message)).outcome

    assert anyio.run(run) is CommitOutcome.UNKNOWN
