"""Tests for fetching configuration updates in parts from peers with newer versions."""

import random

import anyio
import pytest

from dahliaarch_kernel.configuration import (
    build_configuration,
    ConfigurationParts,
    diff_configurations,
    EMPTY_CONFIGURATION,
    NO_VERSION,
    Queue,
)
from dahliaarch_kernel.errors import ProtocolError

from ...metrics import Metrics
from ...peers import AskConfiguration, ConfigurationPart, PeerSilentError
from ...records import Member
from ..follower import ConfigurationFollower
from ..peer_feed import PeerFeed
from ..updates import decode_update, PART_BYTES, Update

PEER = Member('other', 'x', '127.0.0.1', 9)
REVISION = 77


def configuration(version, queues):
    return build_configuration(ConfigurationParts(version, queues))


def many_queues(count):
    """Return queues with random names, which compress poorly."""
    draw = random.Random(count)
    return [Queue(f'{draw.getrandbits(128):x}', f'{draw.getrandbits(128):x}', '/x/', 's') for _ in range(count)]


def follower_at(*configurations):
    """Return a follower that has activated the given configurations in order."""
    follower = ConfigurationFollower(Metrics())
    before = EMPTY_CONFIGURATION
    for after in configurations:
        follower.apply_update(Update((diff_configurations(before, after),), REVISION), 'test', 0)
        before = after
    return follower


class FakeMesh:
    """Passes requests to another follower and loses the replies to those with the given numbers."""

    def __init__(self, follower, lost_replies=()):
        self.follower = follower
        self.lost_replies = list(lost_replies)
        self.requests = []
        self.before_reply = lambda: None

    async def ask(self, address, message, *, timeout_s):
        await anyio.sleep(0)
        self.requests.append(message)
        if len(self.requests) in self.lost_replies:
            raise PeerSilentError('reply lost')
        self.before_reply()
        return self.follower.updates.build_part(message, self.follower.current, self.follower.revision)


def fetch(receiver, mesh, version, within_s=0.2, *, repeats_announcement=False):
    """Announce a version to a follower, once or repeatedly, and wait until it has fetched it."""

    async def run():
        feed = PeerFeed(receiver, mesh)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(feed.run)
            feed.announce(PEER, version)
            with anyio.move_on_after(within_s):
                while receiver.version < version:
                    await anyio.sleep(0.005)
                    if repeats_announcement:
                        feed.announce(PEER, version)
            tasks.cancel_scope.cancel()

    anyio.run(run)


def test_large_configuration_is_fetched_in_parts():
    newest = configuration(5, many_queues(4_000))
    receiver = follower_at()
    mesh = FakeMesh(follower_at(newest))
    fetch(receiver, mesh, 5)
    assert receiver.current == newest
    assert receiver.revision == REVISION
    assert len(mesh.requests) > 3


def test_only_the_lost_part_is_requested_again():
    newest = configuration(5, many_queues(4_000))
    receiver = follower_at()
    mesh = FakeMesh(follower_at(newest), lost_replies=(3,))
    fetch(receiver, mesh, 5)
    assert receiver.current == newest
    assert mesh.requests[3] == mesh.requests[2]
    assert mesh.requests[2].offset == 2 * PART_BYTES


def test_fetch_ends_when_the_peer_stops_replying():
    receiver = follower_at()
    mesh = FakeMesh(follower_at(configuration(5, many_queues(4_000))), lost_replies=range(3, 100))
    fetch(receiver, mesh, 5)
    assert receiver.version == NO_VERSION
    assert len(mesh.requests) < 6


def test_update_holds_only_the_changes():
    old = many_queues(4_000)
    older, newer = configuration(5, old), configuration(9, [*old, *many_queues(3)])
    receiver = follower_at(older)
    mesh = FakeMesh(follower_at(older, newer))
    fetch(receiver, mesh, 9)
    assert receiver.current == newer
    part = mesh.follower.updates.build_part(AskConfiguration(5, NO_VERSION, 0), newer, REVISION)
    assert part.total_bytes == len(part.data) < 1_000


def test_update_holds_several_changes():
    old = many_queues(100)
    versions = [configuration(number, old[: number * 10]) for number in range(1, 10)]
    receiver = follower_at(versions[2])
    fetch(receiver, FakeMesh(follower_at(*versions)), 9)
    assert receiver.current == versions[-1]


def test_unknown_base_version_yields_the_whole_configuration():
    receiver = follower_at(configuration(6, many_queues(50)))
    peer = follower_at(configuration(5, many_queues(40)), configuration(9, many_queues(60)))
    fetch(receiver, FakeMesh(peer), 9)
    assert receiver.current == peer.current


def test_new_versions_do_not_interrupt_a_fetch():
    """With a new version after every reply, the fetch under way completes before the next one starts."""
    queues = many_queues(4_000)
    peer = follower_at(configuration(1, queues))
    receiver = follower_at()
    mesh = FakeMesh(peer)

    def advance_peer():
        before = peer.current
        if before.version < 30:
            after = configuration(before.version + 1, [*queues, Queue(f'n{before.version}', 'h', '/', 's')])
            peer.apply_update(Update((diff_configurations(before, after),), REVISION), 'test', 0)

    mesh.before_reply = advance_peer
    fetch(receiver, mesh, 1, within_s=10)
    assert receiver.version == 2
    fetch(receiver, mesh, 30, within_s=10, repeats_announcement=True)
    assert receiver.current == peer.current


def test_peer_without_a_newer_version_changes_nothing():
    receiver = follower_at(configuration(5, many_queues(3)))
    mesh = FakeMesh(follower_at(configuration(5, many_queues(3))))
    fetch(receiver, mesh, 7)
    assert receiver.version == 5
    assert len(mesh.requests) == 1


def test_update_with_another_base_version_changes_nothing():
    receiver = follower_at(configuration(5, many_queues(3)))
    change = diff_configurations(configuration(6, []), configuration(9, []))
    receiver.apply_update(Update((change,), REVISION), 'test', 0)
    assert receiver.version == 5


@pytest.mark.parametrize('data', [b'', b'x', b'x\x9c' + bytes(20)])
def test_malformed_update_is_rejected(data):
    with pytest.raises(ProtocolError):
        decode_update(data)


def test_a_part_beyond_the_end_is_empty():
    peer = follower_at(configuration(5, []))
    first = peer.updates.build_part(AskConfiguration(NO_VERSION, NO_VERSION, 0), peer.current, REVISION)
    beyond = peer.updates.build_part(AskConfiguration(NO_VERSION, 5, 10**6), peer.current, REVISION)
    assert beyond == ConfigurationPart(5, first.total_bytes, 10**6, b'')
