"""Tests of how the digest of the owner's backlog is made, sent and received."""

from types import SimpleNamespace

import anyio
import pytest

from dahliaarch_kernel.admission import decode_digest, Digest, encode_digest
from dahliaarch_kernel.scheduler import Mechanism, SchedulerSettings
from dahliaarch_platform.settings import Bounds

from ... import membership as membership_module
from ...authority import Authority
from ...electorate import Electorate
from ...front import AdmissionControl
from ...membership import Membership
from ...metrics import Metrics
from ...own_settings import OwnSettings
from ...peers import HeartbeatReply, PoolDigest
from ...records import Member
from ...replies import PeerReplies
from ...timing import StoreTiming
from .. import PoolOwner
from ..settings import OwnerSettings
from .sessions import InMemorySessions
from .test_takeover import EPOCH, InMemoryStore, MAX_LEASE_S, worker_entry_item

WITHOUT = OwnSettings(scheduler=SchedulerSettings(without=frozenset((Mechanism.ADMISSION,))))


class RecordingMesh:
    """Peers that answer heartbeats and record messages without a reply."""

    def __init__(self):
        self.sent = []

    async def ask(self, address, message, *, timeout_s):
        return HeartbeatReply(1, EPOCH)

    def send(self, address, message):
        self.sent.append((address[1], message))


def digests_of_owner(own):
    """Return the digests of an owner before and after its takeover is complete."""

    async def run():
        settings = OwnerSettings(EPOCH, Bounds(max_hold_s=MAX_LEASE_S), StoreTiming(), own)
        owner = PoolOwner(settings, InMemoryStore([worker_entry_item('w0')]), InMemorySessions(), tuple, Metrics())
        before = owner.make_digest()
        owner.is_ready = True
        return before, owner.make_digest()

    return anyio.run(run)


def test_a_digest_is_made_once_the_takeover_is_complete():
    """A new owner that has not loaded all jobs and workers knows neither the backlog nor the capacity."""
    before, after = digests_of_owner(OwnSettings())
    found = decode_digest(after)
    assert before == b''
    assert (found.epoch, found.backlogs) == (EPOCH, ())


def test_no_digest_is_made_if_switched_off():
    assert digests_of_owner(WITHOUT) == (b'', b'')


@pytest.mark.parametrize('data', [b'data', b''])
def test_a_digest_goes_to_peers_that_answer(monkeypatch, data):
    """Once per round of heartbeats; a peer that has never answered may not be there."""
    monkeypatch.setattr(membership_module, '_HEARTBEAT_INTERVAL_S', 0.05)
    mesh = RecordingMesh()
    follower = SimpleNamespace(version=1, changed=anyio.Event())
    feed = SimpleNamespace(announce=lambda member, version: None)
    made = []

    def make_digest():
        made.append(data)
        return data

    async def run():
        own = Member('i', 'a', 'h', 99)
        electorate = Electorate(None, StoreTiming())
        members = Membership(
            own, None, StoreTiming(), follower, feed, mesh, Authority(2.0), electorate, lambda epoch: None
        )
        members._load_members = anyio.lowlevel.checkpoint
        members.add(Member('i1', 'a', 'h', 1))
        with anyio.move_on_after(0.13):
            await members.send_heartbeats(EPOCH, make_digest)

    anyio.run(run)
    assert len(made) == 3
    assert mesh.sent == ([(1, PoolDigest(EPOCH, data))] * 2 if data else [])


def test_a_received_digest_is_passed_on():
    replies = PeerReplies(None, None, None, None)
    message = PoolDigest(EPOCH, encode_digest(Digest(EPOCH, 1.0, {})))
    anyio.run(replies.answer, message)
    replies.admission = AdmissionControl(SchedulerSettings(), Metrics())
    anyio.run(replies.answer, message)
    assert replies.admission._known.digest.epoch == EPOCH


def test_a_digest_in_the_name_of_another_epoch_is_dropped():
    """Two owners in turn: the epoch of the message and of the digest in it are those of one owner."""
    control = AdmissionControl(SchedulerSettings(), Metrics())
    control.receive_digest(EPOCH + 1, encode_digest(Digest(EPOCH, 1.0, {})))
    assert control._known is None
