"""Tests of an owner whose machine was suspended, or that reaches neither the store nor its peers.

While a machine is suspended, its steady clock stops and the leases of others keep
running. After it resumed, an owner sent orders at once, as if it had just renewed its
lease; another instance had taken the pool over meanwhile, and workers that the new
owner did not reach accepted the orders. A frozen process did the same: the age of its
authority was not checked before an order was sent, only at the next renewal, up to
0.6 s later.
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
from ...electorate import Electorate
from ...membership import Membership
from ...metrics import Metrics
from ...ownership import Owner, Ownership, OwnershipSettings
from ...peers import HeartbeatReply, PeerSilentError
from ...records import Member
from ...timing import StoreTiming
from .. import core, PoolOwner
from ..settings import OwnerSettings
from .sessions import InMemorySessions
from .test_takeover import EPOCH, InMemoryStore, MAX_LEASE_S, NEW_JOB_ID, worker_entry_item
from .test_two_owners import make_job_listed

LEASE_S = 2.0
SUSPENDED_S = 5.0


class InMemoryWorkers(InMemorySessions):
    """In-memory workers that record starts and the times at which surveys renew leases."""

    def __init__(self):
        self.starts = []
        self.renewed_at_s = []
        self.running = ()

    async def survey(self, address, incarnation, *, lease_until_s, **options):
        if lease_until_s is not None:
            self.renewed_at_s.append(time.monotonic())
        await anyio.sleep(0.05)
        return Survey(time.monotonic(), self.running, ())

    async def start(self, address, incarnation, order, **options):
        self.starts.append(order.key)
        self.running += (ListedRun(order.key, order.run, '', 1.0),)
        return OrderReply(OrderStatus.DONE, time.monotonic())


class SuspendableClock:
    """A steady clock that includes the time for which the machine was suspended."""

    def __init__(self):
        self.suspended_s = 0.0

    def __call__(self):
        return steady_s() + self.suspended_s


@pytest.fixture
def clock(monkeypatch):
    suspendable_clock = SuspendableClock()
    monkeypatch.setattr(core, 'steady_s', suspendable_clock)
    return suspendable_clock


def run_suspended_owner(clock, authority, after_ready):
    """Run an owner with confirmed authority, suspend its machine, submit a job; return its workers."""
    workers = InMemoryWorkers()

    async def run():
        settings = OwnerSettings(EPOCH, Bounds(max_hold_s=MAX_LEASE_S), StoreTiming())
        owner = PoolOwner(settings, InMemoryStore([worker_entry_item('w0')]), workers, tuple, Metrics(), authority)
        authority.confirm(clock())
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(owner.run)
            with anyio.fail_after(5):
                while not owner.is_ready:
                    await anyio.sleep(0.01)
            clock.suspended_s += SUSPENDED_S
            owner.post(make_job_listed(EPOCH))
            await after_ready(owner)
            tasks.cancel_scope.cancel()

    anyio.run(run)
    return workers


def test_a_suspended_owner_orders_nothing_before_it_is_confirmed(clock):
    async def wait(owner):
        await anyio.sleep(0.5)

    assert not run_suspended_owner(clock, Authority(LEASE_S), wait).starts


def test_a_suspended_owner_resumes_as_soon_as_it_is_confirmed(clock):
    authority = Authority(LEASE_S)

    async def confirm(owner):
        await anyio.sleep(0.3)
        authority.confirm(clock())
        await anyio.sleep(0.5)

    assert run_suspended_owner(clock, authority, confirm).starts == [TaskKey(NEW_JOB_ID, 0, 0, 0)]


def test_a_suspended_owner_renews_no_lease_unconfirmed(clock):
    """A successor waits for the leases that were granted before its takeover, not for later ones."""
    resumed_at_s = []

    async def wait(owner):
        await anyio.sleep(0.1)
        resumed_at_s.append(time.monotonic())
        await anyio.sleep(0.5)

    workers = run_suspended_owner(clock, Authority(LEASE_S), wait)
    assert workers.renewed_at_s
    assert max(workers.renewed_at_s) < resumed_at_s[0]


def test_a_start_with_a_slot_after_a_suspension_is_not_sent(clock):
    async def start(owner):
        owner._links.get('w0').start(StartRun('w0', TaskKey(NEW_JOB_ID, 0, 0, 0), 1, ''), '')
        await anyio.sleep(0.2)

    assert not run_suspended_owner(clock, Authority(LEASE_S), start).starts


class SilentStore:
    """A store that does not answer."""

    async def renew_lease(self, lease, *, timeout_s):
        raise StoreUnansweredError('silent')

    async def get(self, key, *, timeout_s):
        raise StoreUnansweredError('silent')


def make_ownership(member, authority):
    store = SilentStore()
    electorate = Electorate(store, StoreTiming())
    return Ownership(member, store, StoreTiming(), OwnershipSettings(), authority, electorate, is_preferred=True)


def test_a_renewal_without_an_answer_confirms_nothing():
    authority = Authority(LEASE_S)
    member = Member('i0', 'a', 'h', 1)
    ownership = make_ownership(member, authority)
    with pytest.raises(StoreUnansweredError):
        anyio.run(ownership._renew_lease)
    assert not authority.is_valid(steady_s())


class StubPeers:
    """Peers with a fixed reply to heartbeats each, or none."""

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
        """Ignore the version."""


def make_membership(peers, authority, outdated=lambda epoch: None):
    electorate = Electorate(None, StoreTiming())
    electorate.instances = frozenset(['i', *(f'i{number}' for number, _ in enumerate(peers.replies))])
    membership = Membership(
        Member('i', 'a', 'h', 99), None, StoreTiming(), Follower(), PeerFeed(), peers, authority, electorate, outdated
    )
    for number, _ in enumerate(peers.replies):
        membership.add(Member(f'i{number}', 'a', 'h', number))
    return membership


AGREES = HeartbeatReply(1, EPOCH)
# Not the reply of an instance that knows of the owner.
UNDECIDED = HeartbeatReply(1, 0)
NEWER = HeartbeatReply(1, EPOCH + 1)


@pytest.mark.parametrize(
    ('replies', 'holds'),
    [
        ([], True),
        ([AGREES, AGREES, AGREES, AGREES], True),
        ([AGREES, AGREES, AGREES, None], False),
        ([AGREES, AGREES, AGREES, UNDECIDED], False),
        ([AGREES, AGREES, AGREES, NEWER], False),
        ([AGREES, None, None, None], False),
        ([None, None], False),
        ([NEWER, NEWER], False),
    ],
    ids=['alone', 'all', 'most', 'one undecided', 'one newer owner', 'few', 'none', 'a newer owner'],
)
def test_only_the_whole_electorate_keeps_an_owner_without_the_store(replies, holds):
    """Guards against two owners: an instance that does not answer may have claimed the pool in the store."""
    authority = Authority(LEASE_S)
    authority.confirm(steady_s() - 1.5 * LEASE_S)
    anyio.run(make_membership(StubPeers(replies), authority)._heartbeat_all, EPOCH)
    assert authority.is_valid(steady_s()) is holds


def test_an_instance_that_stops_being_a_member_still_counts():
    """Guards against an owner on its own that became a majority of one, since silent peers were removed after 30 s."""
    authority = Authority(LEASE_S)
    authority.confirm(steady_s() - 1.5 * LEASE_S)
    membership = make_membership(StubPeers([None, None]), authority)
    membership._peer_by_instance.clear()
    anyio.run(membership._heartbeat_all, EPOCH)
    assert not authority.is_valid(steady_s())


@pytest.mark.parametrize(('outage_s', 'holds'), [(99.0, True), (101.0, False)])
def test_an_outage_that_outlasts_the_limit_ends_the_authority(outage_s, holds):
    """An instance outside the electorate relies on the limit."""
    authority = Authority(LEASE_S, max_outage_s=100.0)
    authority.confirm(0.0)
    authority.extend(outage_s - 0.5)
    assert authority.is_valid(outage_s) is holds


def test_an_owner_told_of_a_newer_one_is_deposed_for_good():
    """An outdated owner kept sending heartbeats after its peers had reported a newer epoch.

    Peers remember the owner's epoch in memory only: after a restart they would confirm the first owner that contacts
    them, even an outdated one.
    """
    outdated = []

    async def run():
        peers = StubPeers([HeartbeatReply(1, EPOCH + 1), HeartbeatReply(1, EPOCH + 1)])
        await make_membership(peers, Authority(LEASE_S), outdated.append)._heartbeat_all(EPOCH)

    anyio.run(run)
    assert outdated == [EPOCH + 1] * 2


def test_an_instance_told_of_a_newer_owner_steps_down():
    member = Member('i0', 'a', 'h', 1)
    ownership = make_ownership(member, Authority(LEASE_S))
    ownership.observe(Owner(member, EPOCH))
    ownership.observe_newer_epoch(EPOCH)
    assert ownership.is_owner
    ownership.observe_newer_epoch(EPOCH + 1)
    assert not ownership.is_owner


def test_an_instance_that_stepped_down_agrees_to_no_outdated_owner():
    """Guards against an instance that forgot its own epoch when it stepped down, and then obeyed an outdated owner."""
    member = Member('i0', 'a', 'h', 1)
    ownership = make_ownership(member, Authority(LEASE_S))
    ownership.observe(Owner(member, EPOCH + 1))
    ownership.step_down()
    ownership.observe(Owner(Member('i1', 'a', 'h', 2), EPOCH))
    assert ownership.owner is None
    assert ownership.newest_epoch == EPOCH + 1


def test_an_owner_without_authority_renews_its_lease_only_if_the_store_answers():
    """Guards against a pool that nobody orders for while renewals reach the store and its answers are lost."""
    renewals = []

    async def keep():
        ownership = make_ownership(Member('i0', 'a', 'h', 1), Authority(LEASE_S))
        ownership.observe(Owner(Member('i0', 'a', 'h', 1), EPOCH))
        ownership._lease = 1
        ownership._store.renew_lease = lambda *args, **options: renewals.append(args)
        await ownership._keep_lease()

    with pytest.raises(StoreUnansweredError):
        anyio.run(keep)
    assert not renewals
