"""Cuts between instances, and between instances and the store: which owner may order, and for how long.

These tests guard against two owners at the same time. Two regions had lost each other: the owner went on with the
majority of the instances, and the single instance on the side of the store claimed the pool there. Ten seconds after
the cut it started all tasks of the other side's workers a second time.
"""

import anyio
import pytest

from dahliaarch_node.authority import Authority
from dahliaarch_node.clock import steady_s
from dahliaarch_node.electorate import Electorate
from dahliaarch_node.membership import Membership
from dahliaarch_node.ownership import Ownership, OwnershipSettings
from dahliaarch_node.peers import PeerSilentError
from dahliaarch_node.records import Member
from dahliaarch_node.replies import PeerReplies
from dahliaarch_node.timing import StoreTiming
from dahliaarch_platform.http import HttpClient
from dahliaarch_platform.settings import StoreSettings
from dahliaarch_platform.store import StoreClient
from dahliaarch_standins.platform import StoreStandIn
from dahliaarch_standins.proxy import FaultProxy

TIMING = StoreTiming()
SETTINGS = OwnershipSettings()
CHECK_INTERVAL_S = 0.02
# Time after which an owner has lost its authority or another instance has claimed the pool, in seconds: the lease, the
# check after it, one round of heartbeats, and the delay of a claim.
CUT_S = 2 * SETTINGS.lease_s + 3.0
NAMES = ('i0', 'i1', 'i2')


class Follower:
    version = 1

    def __init__(self):
        self.changed = anyio.Event()


class PeerFeed:
    def announce(self, member, version):
        """Ignore the version."""


class Paths:
    """The instances by name, and the ordered pairs of them between which messages are lost."""

    def __init__(self):
        self.cut = set()
        self.instance_by_name = {}

    def separate(self, first, second):
        self.cut |= {pair for one in first for other in second for pair in ((one, other), (other, one))}


class LocalMesh:
    """Delivers messages between the instances of this process."""

    def __init__(self, name, paths):
        self._name = name
        self._paths = paths

    async def ask(self, address, message, *, timeout_s):
        target = self._target(address)
        if target is None:
            await anyio.sleep(timeout_s)
            raise PeerSilentError('cut off')
        reply = await target.replies.answer(message)
        if (target.member.instance, self._name) in self._paths.cut:
            await anyio.sleep(timeout_s)
            raise PeerSilentError('cut off')
        return reply

    def send(self, address, message):
        """Lose the message: heartbeats are sufficient here."""

    def disconnect(self, address):
        """Keep no connection."""

    def _target(self, address):
        target = self._paths.instance_by_name.get(address[0])
        return None if target is None or (self._name, address[0]) in self._paths.cut else target


class Instance:
    """The parts of an instance that decide who owns the pool."""

    def __init__(self, name, paths, store_address):
        self.member = Member(name, 'first', name, 1)
        store = StoreClient(StoreSettings(store_address), HttpClient(), lambda *_: None)
        self.authority = Authority(SETTINGS.lease_s)
        self.electorate = Electorate(store, TIMING)
        self.ownership = Ownership(
            self.member, store, TIMING, SETTINGS, self.authority, self.electorate, is_preferred=True
        )
        follower = Follower()
        self.replies = PeerReplies(store, follower, self.ownership, None)
        self.membership = Membership(
            self.member,
            store,
            TIMING,
            follower,
            PeerFeed(),
            LocalMesh(name, paths),
            self.authority,
            self.electorate,
            self.ownership.observe_newer_epoch,
        )
        self.replies.membership = self.membership
        self.scope = anyio.CancelScope()

    @property
    def may_order(self):
        return self.ownership.is_owner and self.authority.is_valid(steady_s())

    def relies_on_end_of(self, predecessor):
        """Whether this owner now relies on it that an earlier one has lost its authority."""
        claimed_s = self.ownership._claimed_s
        is_later = claimed_s > predecessor.ownership._claimed_s
        return is_later and self.may_order and steady_s() > claimed_s + self.ownership.predecessors_end_s

    async def run(self):
        with self.scope:
            await self._run()

    async def _run(self):
        await self.membership.register()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.ownership.run)
            while True:
                changed = self.ownership.changed
                if self.ownership.is_owner:
                    await self._run_owner(changed)
                else:
                    await changed.wait()

    async def _run_owner(self, changed):
        epoch = self.ownership.owner.epoch
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.membership.send_heartbeats, epoch)
            tasks.start_soon(
                self.membership.maintain, epoch, lambda: self.ownership.have_predecessors_ended(steady_s())
            )
            await changed.wait()
            tasks.cancel_scope.cancel()


class Cluster:
    """Instances, each with a proxy in front of the store, and the first of them owner of the pool."""

    def __init__(self, tasks):
        self.tasks = tasks
        self.paths = Paths()
        self.store = StoreStandIn()
        self.proxy_by_name = {}
        self.violations = []

    @property
    def instance_by_name(self):
        return self.paths.instance_by_name

    async def start(self, names):
        self._store_address = await self.store.listen()
        self.tasks.start_soon(self.store.run)
        self.tasks.start_soon(self._check)
        for name in names:
            await self.add(name)
            await self.wait_for(lambda: any(each.may_order for each in self.instance_by_name.values()))
        for instance in self.instance_by_name.values():
            self.instance_by_name['i0'].membership.add(instance.member)
        await self.wait_for(lambda: self.instance_by_name['i0'].electorate.instances == frozenset(names))
        assert self.owners() == ['i0']

    async def add(self, name):
        proxy = self.proxy_by_name[name] = FaultProxy(self._store_address)
        address = await proxy.listen(self.tasks)
        instance = self.instance_by_name[name] = Instance(name, self.paths, address)
        self.tasks.start_soon(instance.run)

    async def restart(self, name):
        """End an instance and start it again, without what it knew."""
        self.instance_by_name[name].scope.cancel()
        await self.add(name)

    async def cut_store(self, *names):
        """Drop all that the instances send to the store, and its answers."""
        for name in names:
            self.proxy_by_name[name].drops_all = True

    async def reconnect_store(self, *names):
        for name in names:
            self.proxy_by_name[name].drops_all = False
            await self.proxy_by_name[name].reset()

    def owners(self):
        return [name for name, instance in self.instance_by_name.items() if instance.may_order]

    async def wait_for(self, condition, timeout_s=10.0):
        with anyio.fail_after(timeout_s):
            while not condition():
                await anyio.sleep(CHECK_INTERVAL_S)

    async def _check(self):
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            owners = [self.instance_by_name[name] for name in self.owners()]
            self.violations.extend(
                (later.member.instance, earlier.member.instance)
                for later in owners
                for earlier in owners
                if later.relies_on_end_of(earlier)
            )


def run_cluster(scenario, names=NAMES):
    async def run():
        async with anyio.create_task_group() as tasks:
            cluster = Cluster(tasks)
            await cluster.start(names)
            await scenario(cluster)
            tasks.cancel_scope.cancel()
        cluster.store.server.close()
        assert not cluster.violations

    anyio.run(run)


def test_a_majority_without_the_store_leaves_the_pool_to_the_side_with_it():
    async def scenario(cluster):
        cluster.paths.separate(['i0', 'i1'], ['i2'])
        await cluster.cut_store('i0', 'i1')
        await cluster.wait_for(lambda: cluster.owners() == ['i2'])
        await anyio.sleep(CUT_S)
        assert cluster.owners() == ['i2']
        cluster.paths.cut.clear()
        await cluster.reconnect_store('i0', 'i1')
        await cluster.wait_for(lambda: not cluster.instance_by_name['i0'].ownership.is_owner)
        assert cluster.owners() == ['i2']

    run_cluster(scenario)


def test_an_owner_on_its_own_leaves_the_pool_to_the_others():
    async def scenario(cluster):
        cluster.paths.separate(['i0'], ['i1', 'i2'])
        await cluster.cut_store('i0')
        await cluster.wait_for(lambda: cluster.owners() in (['i1'], ['i2']))
        await anyio.sleep(CUT_S)
        assert 'i0' not in cluster.owners()

    run_cluster(scenario)


def test_an_owner_with_the_store_keeps_the_pool_through_a_cut_from_the_others():
    async def scenario(cluster):
        cluster.paths.separate(['i0'], ['i1', 'i2'])
        await cluster.cut_store('i1', 'i2')
        for _ in range(int(CUT_S / CHECK_INTERVAL_S)):
            await anyio.sleep(CHECK_INTERVAL_S)
            assert cluster.owners() == ['i0']

    run_cluster(scenario)


def test_an_owner_outlives_a_store_that_is_down():
    async def scenario(cluster):
        await cluster.cut_store(*NAMES)
        for _ in range(int(CUT_S / CHECK_INTERVAL_S)):
            await anyio.sleep(CHECK_INTERVAL_S)
            assert cluster.owners() == ['i0']
        await cluster.reconnect_store(*NAMES)
        await cluster.wait_for(lambda: cluster.instance_by_name['i0'].may_order)

    run_cluster(scenario)


def test_no_half_orders_while_both_are_without_the_store():
    async def scenario(cluster):
        cluster.paths.separate(['i0', 'i1'], ['i2', 'i3'])
        await cluster.cut_store('i0', 'i1', 'i2', 'i3')
        await cluster.wait_for(lambda: not cluster.owners())
        await anyio.sleep(1.0)
        await cluster.reconnect_store('i2', 'i3')
        await cluster.wait_for(lambda: cluster.owners() in (['i2'], ['i3']))
        await anyio.sleep(CUT_S)
        assert not {'i0', 'i1'}.intersection(cluster.owners())

    run_cluster(scenario, (*NAMES, 'i3'))


@pytest.mark.parametrize('lost', [('i0', 'i2'), ('i2', 'i0')], ids=['requests', 'replies'])
def test_a_cut_in_one_direction_counts_as_a_cut(lost):
    async def scenario(cluster):
        cluster.paths.cut.add(lost)
        await cluster.cut_store('i0', 'i1')
        await cluster.wait_for(lambda: cluster.owners() == ['i2'])
        await anyio.sleep(CUT_S)
        assert 'i0' not in cluster.owners()

    run_cluster(scenario)


def test_an_instance_that_starts_during_a_cut_waits_for_the_owner_without_the_store():
    """The owner does not know this instance, so it goes on with the agreement of all that it knows."""

    async def scenario(cluster):
        await cluster.cut_store(*NAMES)
        await anyio.sleep(SETTINGS.lease_s)
        cluster.paths.separate(NAMES, ['new'])
        await cluster.add('new')
        await cluster.wait_for(lambda: 'new' in cluster.owners())
        await anyio.sleep(CUT_S)
        # The new owner serves what can't be running on the other side, and the violations are checked.
        assert cluster.owners() == ['i0', 'new']

    run_cluster(scenario)


def test_an_owner_outlives_the_restart_of_an_instance_while_the_store_is_down():
    async def scenario(cluster):
        await cluster.cut_store(*NAMES)
        await anyio.sleep(SETTINGS.lease_s)
        await cluster.add('i2')
        await cluster.cut_store('i2')
        for _ in range(int(CUT_S / CHECK_INTERVAL_S)):
            await anyio.sleep(CHECK_INTERVAL_S)
            assert cluster.owners() == ['i0']

    run_cluster(scenario)


def test_an_owner_that_restarts_within_a_cut_does_not_make_two():
    """Guards against a successor that has forgotten after a restart that it owned the pool, and agrees to the first.

    Whoever claims the pool then still waits for the end of the first owner's authority.
    """

    async def scenario(cluster):
        cluster.paths.separate(['i0', 'i1'], ['i2'])
        await cluster.cut_store('i0', 'i1')
        await cluster.wait_for(lambda: 'i2' in cluster.owners())
        cluster.paths.cut.clear()
        await cluster.restart('i2')
        await anyio.sleep(CUT_S)
        assert len(cluster.owners()) == 1

    run_cluster(scenario)


def test_an_instance_that_failed_for_good_is_removed_while_the_store_is_up(monkeypatch):
    monkeypatch.setattr('dahliaarch_node.membership._ELECTOR_TIMEOUT_S', 2.0)

    async def scenario(cluster):
        cluster.paths.separate(['i0', 'i1'], ['i2'])
        await cluster.cut_store('i2')
        await cluster.wait_for(lambda: cluster.instance_by_name['i0'].electorate.instances == {'i0', 'i1'})
        await cluster.cut_store('i0', 'i1')
        await anyio.sleep(CUT_S)
        assert cluster.owners() == ['i0']

    run_cluster(scenario)
