"""An owner whose machine was suspended, or that knows neither the store nor its peers.

While a machine is suspended its steady clock stops, and the leases of others
run on. An owner that woke gave orders at once, as one that had renewed its lease a
moment ago; another instance had taken the pool meanwhile, and workers that it did
not reach took them. A frozen process did the same: nothing looked at the age of its
authority before an order went out, only the next renewal told, up to 0.6 s later.
"""

import time

import anyio
import pytest

from dahliaarch_kernel.scheduler import StartRun
from dahliaarch_kernel.scheduler.events import ListedRun
from dahliaarch_kernel.workload import TaskKey
from dahliaarch_platform.settings import Bounds
from dahliaarch_platform.store import StoreUnansweredError
from dahliaarch_platform.workers import OrderReply, OrderStatus, Survey

from ...authority import Authority
from ...clock import steady_s
from ...membership import Membership
from ...metrics import Metrics
from ...ownership import Owner, Ownership, OwnershipSettings
from ...peers import HeartbeatReply, PeerSilentError
from ...records import Member
from ...timing import StoreTiming
from .. import core, PoolOwner
from ..settings import OwnerSettings
from .sessions import Sessions
from .test_takeover import EPOCH, KeptStore, LONGEST_LEASE_S, NEW, worker_entry
from .test_two_owners import job_update

LEASE_S = 2.0
SUSPENDED_S = 5.0


class Workers(Sessions):
    """Workers in memory that note starts and the leases that surveys give."""

    def __init__(self):
        self.starts = []
        self.leases_at = []
        self.running = ()

    async def survey(self, address, incarnation, *, lease_until_s, **options):
        if lease_until_s is not None:
            self.leases_at.append(time.monotonic())
        await anyio.sleep(0.05)
        return Survey(time.monotonic(), self.running, ())

    async def start(self, address, incarnation, order, **options):
        self.starts.append(order.key)
        self.running += (ListedRun(order.key, order.run, '', 1.0),)
        return OrderReply(OrderStatus.DONE, time.monotonic())


class Suspended:
    """A steady clock that counts the time for which the machine was suspended."""

    def __init__(self):
        self.for_s = 0.0

    def __call__(self):
        return steady_s() + self.for_s


@pytest.fixture
def clock(monkeypatch):
    found = Suspended()
    monkeypatch.setattr(core, 'steady_s', found)
    return found


def play(clock, authority, after_ready):
    """Run an owner with authority, suspend its machine, hand it a job; return its workers."""
    workers = Workers()

    async def run():
        settings = OwnerSettings(EPOCH, Bounds(max_hold_s=LONGEST_LEASE_S), StoreTiming())
        owner = PoolOwner(settings, KeptStore([worker_entry('w0')]), workers, tuple, Metrics(), authority)
        authority.confirm(clock())
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(owner.run)
            with anyio.fail_after(5):
                while not owner.is_ready:
                    await anyio.sleep(0.01)
            clock.for_s += SUSPENDED_S
            owner.post(job_update(EPOCH))
            await after_ready(owner)
            tasks.cancel_scope.cancel()

    anyio.run(run)
    return workers


def test_an_owner_that_was_suspended_orders_nothing_before_it_is_confirmed(clock):
    async def wait(owner):
        await anyio.sleep(0.5)

    assert not play(clock, Authority(LEASE_S), wait).starts


def test_it_goes_on_as_soon_as_it_is_confirmed(clock):
    authority = Authority(LEASE_S)

    async def confirm(owner):
        await anyio.sleep(0.3)
        authority.confirm(clock())
        await anyio.sleep(0.5)

    assert play(clock, authority, confirm).starts == [TaskKey(NEW, 0, 0, 0)]


def test_it_renews_no_lease_on_a_worker_meanwhile(clock):
    """A successor waits for the leases that were given before it took the pool, and for no later ones."""
    woken = []

    async def wait(owner):
        await anyio.sleep(0.1)
        woken.append(time.monotonic())
        await anyio.sleep(0.5)

    workers = play(clock, Authority(LEASE_S), wait)
    assert workers.leases_at
    assert max(workers.leases_at) < woken[0]


def test_a_start_whose_turn_comes_after_the_machine_woke_is_not_sent(clock):
    async def start(owner):
        owner._links.get('w0').start(StartRun('w0', TaskKey(NEW, 0, 0, 0), 1, ''), '')
        await anyio.sleep(0.2)

    assert not play(clock, Authority(LEASE_S), start).starts


class SilentStore:
    """A store that answers nothing."""

    async def renew_lease(self, lease, *, timeout_s):
        raise StoreUnansweredError('silent')


def test_a_renewal_without_an_answer_confirms_nothing():
    authority = Authority(LEASE_S)
    member = Member('i0', 'a', 'h', 1)
    ownership = Ownership(member, SilentStore(), StoreTiming(), OwnershipSettings(), authority, is_able=True)
    with pytest.raises(StoreUnansweredError):
        anyio.run(ownership._renew)
    assert not authority.is_valid(steady_s())


class Peers:
    """Peers that answer heartbeats, or don't."""

    def __init__(self, replies):
        self.replies = replies

    async def ask(self, address, message, *, timeout_s):
        reply = self.replies[address[1]]
        if reply is None:
            raise PeerSilentError('cut off')
        return reply


class Follower:
    version = 1


class PeerFeed:
    def announce(self, member, version):
        """Take in a version."""


def membership_with(peers, authority, outdated=lambda epoch: None):
    found = Membership(
        Member('i', 'a', 'h', 99), None, StoreTiming(), Follower(), PeerFeed(), peers, authority, outdated
    )
    for number, _ in enumerate(peers.replies):
        found.add(Member(f'i{number}', 'a', 'h', number))
    return found


@pytest.mark.parametrize(
    ('replies', 'holds'),
    [
        ([], True),
        ([HeartbeatReply(1, EPOCH), HeartbeatReply(1, 0), None, None], True),
        ([HeartbeatReply(1, EPOCH), None, None, None], False),
        ([None, None], False),
        ([HeartbeatReply(1, EPOCH + 1), HeartbeatReply(1, EPOCH + 1)], False),
    ],
    ids=['alone', 'most', 'few', 'none', 'a newer owner'],
)
def test_while_the_store_is_away_most_instances_confirm_an_owner(replies, holds):
    authority = Authority(LEASE_S)
    anyio.run(membership_with(Peers(replies), authority)._heartbeat_all, EPOCH)
    assert authority.is_valid(steady_s()) is holds


def test_an_owner_that_was_told_of_a_newer_one_is_replaced_for_good():
    """The instances that told it start again, know of no owner, and would confirm the first that contacts them.

    What they remembered held for an incarnation of theirs; it did not come back. The owner had been told, and went on
    asking.
    """
    outdated = []

    async def run():
        peers = Peers([HeartbeatReply(1, EPOCH + 1), HeartbeatReply(1, EPOCH + 1)])
        await membership_with(peers, Authority(LEASE_S), outdated.append)._heartbeat_all(EPOCH)

    anyio.run(run)
    assert outdated == [EPOCH + 1] * 2


def test_an_instance_owns_no_pool_of_which_it_was_told_that_another_does():
    member = Member('i0', 'a', 'h', 1)
    ownership = Ownership(member, SilentStore(), StoreTiming(), OwnershipSettings(), Authority(LEASE_S), is_able=True)
    ownership.observe(Owner(member, EPOCH))
    ownership.record_newer_epoch(EPOCH)
    assert ownership.is_own
    ownership.record_newer_epoch(EPOCH + 1)
    assert not ownership.is_own
