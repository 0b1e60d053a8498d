"""Tests of which instance claims a pool without an owner."""

import anyio
import pytest

from dahliaarch_kernel.codec import encode
from dahliaarch_platform.store import CommitResult, CommitStatus, Item, Page

from ..authority import Authority
from ..ownership import Ownership, OwnershipSettings
from ..records import Member, OWNER_KEY
from ..timing import StoreTiming

SETTINGS = OwnershipSettings()


class EmptyStore:
    """A store without an owner's key until the first claim, which counts the leases that it grants."""

    def __init__(self):
        self.item = None
        self.leases = 0

    async def get(self, key, *, timeout_s):
        return self.item

    async def grant_lease(self, ttl_s, *, timeout_s):
        self.leases += 1
        return self.leases

    async def renew_lease(self, lease, *, timeout_s):
        return True

    async def watch(self, prefix, after, *, wait_s, timeout_s, **options):
        await anyio.sleep(wait_s)
        return Page((), after)

    async def commit(self, conditions, writes, removals=(), *, timeout_s):
        (condition,), (write,) = conditions, writes
        if (0 if self.item is None else self.item.revision) != condition.revision:
            return CommitResult(CommitStatus.CONDITION_FAILED, current=(self.item,))
        self.item = Item(OWNER_KEY, write.value, 7)
        return CommitResult(CommitStatus.DONE, 7)


def make_ownership(store, name, *, is_preferred):
    authority = Authority(SETTINGS.lease_s)
    member = Member(name, 'x', '127.0.0.1', 1)
    return Ownership(member, store, StoreTiming(), SETTINGS, authority, is_preferred=is_preferred)


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
    store.item = Item(OWNER_KEY, encode(Member('small', 'earlier', '127.0.0.1', 1)), 3)
    small = make_ownership(store, 'small', is_preferred=False)
    assert run_together((small, 0.0), within_s=0.2) == 'small'
    assert small.is_owner
