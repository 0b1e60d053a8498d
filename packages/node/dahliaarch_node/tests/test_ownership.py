"""Tests of which instance claims a pool without an owner."""

import anyio
import pytest

from dahliaarch_kernel.codec import decode, encode
from dahliaarch_platform.store import CommitResult, CommitStatus, Item, Page

from ..authority import Authority
from ..electorate import Electorate, next_electorate
from ..ownership import Ownership, OwnershipSettings
from ..records import ELECTORATE_KEY, ElectorateRecord, Member, OWNER_KEY
from ..timing import StoreTiming

SETTINGS = OwnershipSettings()
CLAIM_REVISION = 7


class EmptyStore:
    """A store without an owner's key until the first claim, which counts the leases that it grants."""

    def __init__(self):
        self.item_by_key = {}
        self.leases = 0

    async def get(self, key, *, timeout_s):
        return self.item_by_key.get(key)

    async def grant_lease(self, ttl_s, *, timeout_s):
        self.leases += 1
        return self.leases

    async def renew_lease(self, lease, *, timeout_s):
        return True

    async def watch(self, prefix, after, *, wait_s, timeout_s, **options):
        await anyio.sleep(wait_s)
        return Page((), after)

    async def commit(self, conditions, writes, removals=(), *, timeout_s):
        assert [each.key for each in conditions] == [OWNER_KEY, ELECTORATE_KEY]
        for key, revision in conditions:
            item = self.item_by_key.get(key)
            if (0 if item is None else item.revision) != revision:
                return CommitResult(CommitStatus.CONDITION_FAILED, current=tuple(self.item_by_key.values()))
        for write in writes:
            self.item_by_key[write.key] = Item(write.key, write.value, CLAIM_REVISION)
        return CommitResult(CommitStatus.DONE, CLAIM_REVISION)


def make_ownership(store, name, *, is_preferred):
    authority = Authority(SETTINGS.lease_s)
    member = Member(name, 'x', '127.0.0.1', 1)
    electorate = Electorate(store, StoreTiming())
    return Ownership(member, store, StoreTiming(), SETTINGS, authority, electorate, is_preferred=is_preferred)


def run_together(*starts, within_s=1.0):
    """Run ownerships, each started after a delay; return the owner that the first of them knows."""

    async def run():
        async with anyio.create_task_group() as tasks:
            for ownership, delay_s in starts:
                tasks.start_soon(run_after, ownership, delay_s)
            await anyio.sleep(within_s)
            tasks.cancel_scope.cancel()

    anyio.run(run)
    return starts[0][0].owner.member.instance


async def run_after(ownership, delay_s):
    await anyio.sleep(delay_s)
    await ownership.run()


def test_a_small_instance_leaves_the_pool_to_a_large_one():
    """All instances had lost power; the pool of 176 workers went to one with half a core, and was ready 1 s later."""
    store = EmptyStore()
    small = make_ownership(store, 'small', is_preferred=False)
    large = make_ownership(store, 'large', is_preferred=True)
    assert run_together((small, 0.0), (large, 0.3)) == 'large'
    assert store.leases == 1


@pytest.mark.parametrize('is_preferred', [True, False])
def test_an_instance_that_is_alone_claims_the_pool(is_preferred):
    assert run_together((make_ownership(EmptyStore(), 'alone', is_preferred=is_preferred), 0.0)) == 'alone'


def test_a_small_instance_claims_what_its_previous_process_owned():
    store = EmptyStore()
    store.item_by_key[OWNER_KEY] = Item(OWNER_KEY, encode(Member('small', 'earlier', '127.0.0.1', 1)), 3)
    small = make_ownership(store, 'small', is_preferred=False)
    assert run_together((small, 0.0), within_s=0.2) == 'small'
    assert small.is_owner


@pytest.mark.parametrize(
    ('electorate', 'end_s'),
    [
        (None, SETTINGS.lease_s),
        (('i0', 'i1'), SETTINGS.lease_s),
        (('i1',), SETTINGS.lease_s + SETTINGS.max_outage_s),
    ],
    ids=['first owner', 'elector', 'outsider'],
)
def test_an_instance_outside_the_electorate_allows_for_an_owner_without_the_store(electorate, end_s):
    """Guards against an instance that started during a cut: the owner does not know it and does not ask it."""
    store = EmptyStore()
    if electorate is not None:
        store.item_by_key[ELECTORATE_KEY] = Item(ELECTORATE_KEY, encode(ElectorateRecord(electorate)), 3)
    claimant = make_ownership(store, 'i0', is_preferred=True)
    run_together((claimant, 0.0), within_s=SETTINGS.outsider_claim_delay_s + 0.5)
    assert claimant.is_owner
    assert claimant.predecessors_end_s == end_s
    assert claimant.newest_epoch == CLAIM_REVISION
    stored = decode(store.item_by_key[ELECTORATE_KEY].value, ElectorateRecord, 'electorate')
    assert stored.instances == (electorate or ('i0',))


def test_a_claim_is_made_on_the_electorate_that_was_read():
    """Guards against an instance that claims the pool while the owner removes it from the electorate."""

    class ChangingStore(EmptyStore):
        async def grant_lease(self, ttl_s, *, timeout_s):
            self.item_by_key[ELECTORATE_KEY] = Item(ELECTORATE_KEY, encode(ElectorateRecord(('i1',), 3)), 4)
            return await super().grant_lease(ttl_s, timeout_s=timeout_s)

    claimant = make_ownership(ChangingStore(), 'i0', is_preferred=True)
    anyio.run(claimant._claim, 0)
    assert not claimant.is_owner


@pytest.mark.parametrize(
    ('responsive', 'overdue', 'expected'),
    [
        ({'a', 'b', 'c'}, set(), {'a', 'b', 'c'}),
        ({'a', 'b'}, {'c'}, {'a', 'b'}),
        ({'a', 'b', 'd'}, set(), {'a', 'b', 'c', 'd'}),
        ({'a'}, {'b', 'c'}, {'a', 'b', 'c'}),
    ],
    ids=['all', 'one failed', 'one is new', 'the owner is alone'],
)
def test_an_owner_on_its_own_removes_nobody_from_the_electorate(responsive, overdue, expected):
    assert next_electorate({'a', 'b', 'c'}, responsive, overdue) == expected
