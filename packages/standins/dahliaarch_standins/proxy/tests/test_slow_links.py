"""An instance on a slow link receives each version of a configuration that has grown large.

Guards against instances on links of 5 Mbit/s that answered 404 for routes of a version acknowledged seconds before,
and never received that version. The configuration had grown to 839 KB in three steps.

The owner's heartbeat carried the whole configuration to each instance that appeared to be outdated. On a slow link the
transfer took longer than the heartbeat timeout of 0.6 s, so the owner still considered the instance outdated and sent
the document again with each heartbeat, even after it had arrived. These heartbeats saturated the link: every slow
instance received 400 to 640 KB/s continuously while no version changed. When the next version was written, the watch
got no answer within its 7 s, and each read after it was abandoned after 1.00 s, with the answer partly received, and
restarted from the first byte.

The cause was timeouts that do not depend on the size of the answer, combined with retries from the first byte. The
symptoms are `configuration_unreachable ... no answer in 1.00 s` every 1.2 s without end on instances whose processors
are idle, and `heartbeat_unanswered` with `transferred_bytes` of 293,311 to 859,137 for all slow instances at once.
"""

import time

import anyio
import msgspec
import pytest

from dahliaarch_node.authority import Authority
from dahliaarch_node.configuration import ConfigurationFollower, PeerFeed, StoreFeed
from dahliaarch_node.electorate import Electorate
from dahliaarch_node.membership import Membership
from dahliaarch_node.metrics import Metrics
from dahliaarch_node.ownership import Ownership, OwnershipSettings
from dahliaarch_node.peers import Mesh
from dahliaarch_node.records import Member
from dahliaarch_node.replies import PeerReplies
from dahliaarch_node.timing import StoreTiming
from dahliaarch_platform.http import HttpClient
from dahliaarch_platform.operators import CONFIGURATION_KEY
from dahliaarch_platform.settings import Address, StoreSettings
from dahliaarch_platform.store import StoreClient
from dahliaarch_standins.deployment.core import free_ports
from dahliaarch_standins.platform import StoreStandIn
from dahliaarch_standins.proxy import FaultProxy, SlowLink

LOOPBACK = '127.0.0.1'
# A link of 5 Mbit/s.
SLOW_BYTES_PER_S = 600_000
# Number of routes in a document of 290 KB; a configuration may grow to 1 MB.
ROUTE_COUNT = 1_400
# Deadline for a configuration to be in force on an instance with a slow link, in seconds.
IN_FORCE_DEADLINE_S = 3.0
EPOCH = 1
TIMING = StoreTiming()


def encode_configuration(version, routes):
    """Return an encoded configuration of about 205 bytes per route."""
    rows = [
        {
            'Name': f'r-{number:07d}',
            'Host': f'host{number:07d}.example',
            'PathPrefix': f'/{number:010x}/',
            'Service': 'svc',
            'Priority': 1,
            'MaxAttempts': 3,
            'Stretch': 3.0,
            'TargetLatencyMs': 1000,
            'TimeoutMs': 3000,
            'Note': 'x' * 24,
        }
        for number in range(routes)
    ]
    return msgspec.json.encode({'Version': version, 'Routes': rows, 'Services': [{'Name': 'svc'}], 'Tenants': []})


class Instance:
    """The parts of an instance that receive and forward the configuration."""

    def __init__(self, name, store_address, timing=TIMING):
        port = free_ports(1)[0]
        self.member = Member(name, name, LOOPBACK, port)
        store = StoreClient(StoreSettings(store_address), HttpClient(), lambda *_: None)
        self.follower = ConfigurationFollower(Metrics())
        self._store_feed = StoreFeed(self.follower, store, timing)
        authority = Authority(OwnershipSettings().lease_s)
        electorate = Electorate(store, timing)
        ownership = Ownership(self.member, store, timing, OwnershipSettings(), authority, electorate, is_preferred=True)
        replies = PeerReplies(store, self.follower, ownership, None)
        self.mesh = Mesh(replies.answer)
        self._peer_feed = PeerFeed(self.follower, self.mesh)
        self.membership = Membership(
            self.member,
            store,
            timing,
            self.follower,
            self._peer_feed,
            self.mesh,
            authority,
            electorate,
            ownership.observe_newer_epoch,
        )
        replies.membership = self.membership

    def run(self, tasks):
        tasks.start_soon(self.mesh.run, self.member.host, self.member.port)
        tasks.start_soon(self._store_feed.run)
        tasks.start_soon(self._peer_feed.run)

    async def wait_for_version(self, version, within_s):
        """Wait until a version or a newer one is in force, and return how long that took, in seconds."""
        begun_s = time.monotonic()
        with anyio.fail_after(within_s):
            while self.follower.version < version:
                await anyio.sleep(0.01)
        return time.monotonic() - begun_s


class InstancePair:
    """An owner on a fast link, and an instance that receives all its traffic over a slow one."""

    def __init__(self):
        self.store = StoreStandIn()
        self.link = SlowLink(SLOW_BYTES_PER_S)

    async def start(self, tasks, timing=TIMING):
        store_address = await self.store.listen()
        tasks.start_soon(self.store.run)
        self.slow_store_proxy = FaultProxy(store_address, answer_link=self.link)
        self.fast_store_proxy = FaultProxy(store_address)
        self.fast = Instance('fast', await self.fast_store_proxy.listen(tasks))
        self.slow = Instance('slow', await self.slow_store_proxy.listen(tasks), timing)
        await self._connect(tasks)
        self.fast.run(tasks)
        self.slow.run(tasks)

    async def _connect(self, tasks):
        """Connect the instances through proxies, so that all bytes sent to the slow one pass the slow link."""
        to_slow = FaultProxy(self.address(self.slow), request_link=self.link)
        to_fast = FaultProxy(self.address(self.fast), answer_link=self.link)
        self.slow_member = self._member_at(self.slow, await to_slow.listen(tasks))
        self.fast_member = self._member_at(self.fast, await to_fast.listen(tasks))
        self.fast.membership.add(self.slow_member)
        # The heartbeats of the owner carry the address of its proxy.
        self.fast.membership._member = self.fast_member

    def address(self, instance):
        return Address(instance.member.host, instance.member.port)

    def _member_at(self, instance, address):
        return instance.member._replace(host=address.host, port=address.port)

    def start_heartbeats(self, tasks):
        tasks.start_soon(self.fast.membership.send_heartbeats, EPOCH)

    def write_configuration(self, version, routes):
        self.store.put(CONFIGURATION_KEY, encode_configuration(version, routes))


def run_scenario(scenario):
    async def run():
        async with anyio.create_task_group() as tasks:
            pair = InstancePair()
            await scenario(pair, tasks)
            tasks.cancel_scope.cancel()

    anyio.run(run)


def test_versions_of_a_growing_configuration_apply_in_time():
    async def scenario(pair, tasks):
        pair.write_configuration(1, 40)
        await pair.start(tasks)
        pair.start_heartbeats(tasks)
        await pair.slow.wait_for_version(1, within_s=5)
        for step in (1, 2, 3):
            await anyio.sleep(2)
            pair.write_configuration(step + 1, ROUTE_COUNT * step)
            took_s = await pair.slow.wait_for_version(step + 1, within_s=20)
            assert took_s < IN_FORCE_DEADLINE_S, f'{ROUTE_COUNT * step} routes took {took_s:.2f} s'

    run_scenario(scenario)


def test_a_link_is_idle_once_a_configuration_is_in_force():
    async def scenario(pair, tasks):
        pair.write_configuration(1, 40)
        await pair.start(tasks)
        pair.start_heartbeats(tasks)
        await pair.slow.wait_for_version(1, within_s=5)
        pair.write_configuration(2, ROUTE_COUNT * 2)
        await pair.slow.wait_for_version(2, within_s=20)
        await anyio.sleep(2)
        before = pair.link.transferred_bytes
        await anyio.sleep(2)
        # Heartbeats and the answers to expired watches remain.
        assert pair.link.transferred_bytes - before < 20_000

    run_scenario(scenario)


@pytest.mark.parametrize('after_s', [0.0, 0.9])
def test_a_large_configuration_is_read_from_the_store_alone(after_s):
    """Read at startup, or delivered by a watch that is about to time out: the transfer takes 1.9 s."""

    async def scenario(pair, tasks):
        pair.write_configuration(1, 40 if after_s else ROUTE_COUNT * 3)
        await pair.start(tasks, StoreTiming(watch_wait_s=1.0, watch_timeout_s=1.4))
        if after_s:
            await pair.slow.wait_for_version(1, within_s=5)
            await anyio.sleep(after_s)
            pair.write_configuration(2, ROUTE_COUNT * 3)
        took_s = await pair.slow.wait_for_version(2 if after_s else 1, within_s=8)
        assert took_s < IN_FORCE_DEADLINE_S

    run_scenario(scenario)


def test_of_several_missed_versions_only_the_newest_is_read():
    """A watch would return all of them at once: 4 MB, which take 7 s on this link."""

    async def scenario(pair, tasks):
        pair.write_configuration(1, ROUTE_COUNT * 3)
        await pair.start(tasks)
        await pair.slow.wait_for_version(1, within_s=8)
        await anyio.sleep(0.2)
        # All versions are written before the pending watch is answered.
        for version in (2, 3, 4, 5):
            pair.write_configuration(version, ROUTE_COUNT * 3)
        assert await pair.slow.wait_for_version(5, within_s=20) < IN_FORCE_DEADLINE_S

    run_scenario(scenario)


def test_a_slow_instance_follows_changes_in_quick_succession():
    async def scenario(pair, tasks):
        pair.write_configuration(1, ROUTE_COUNT * 3)
        await pair.start(tasks)
        pair.start_heartbeats(tasks)
        await pair.slow.wait_for_version(1, within_s=8)
        for version in range(2, 12):
            pair.write_configuration(version, ROUTE_COUNT * 3 + version)
            await anyio.sleep(0.3)
        assert await pair.slow.wait_for_version(11, within_s=20) < IN_FORCE_DEADLINE_S - 0.3

    run_scenario(scenario)


def test_peers_send_versions_to_an_instance_without_the_store():
    async def scenario(pair, tasks):
        pair.write_configuration(1, ROUTE_COUNT * 3)
        await pair.start(tasks, TIMING._replace(call_timeout_s=0.2))
        pair.slow_store_proxy.drops_all = True
        pair.start_heartbeats(tasks)
        assert await pair.slow.wait_for_version(1, within_s=20) < IN_FORCE_DEADLINE_S
        pair.write_configuration(2, ROUTE_COUNT * 4)
        assert await pair.slow.wait_for_version(2, within_s=20) < IN_FORCE_DEADLINE_S

    run_scenario(scenario)


def test_peers_send_versions_to_an_owner_without_the_store():
    async def scenario(pair, tasks):
        pair.write_configuration(1, 40)
        await pair.start(tasks)
        pair.start_heartbeats(tasks)
        await pair.fast.wait_for_version(1, within_s=5)
        await pair.slow.wait_for_version(1, within_s=5)
        pair.fast_store_proxy.drops_all = True
        pair.write_configuration(2, ROUTE_COUNT)
        assert await pair.fast.wait_for_version(2, within_s=20) < IN_FORCE_DEADLINE_S

    run_scenario(scenario)
