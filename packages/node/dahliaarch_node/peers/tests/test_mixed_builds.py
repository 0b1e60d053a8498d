"""Tests that instances of this version and of the one without digests understand each other."""

from typing import NamedTuple

import msgspec
import pytest

from dahliaarch_kernel.errors import ProtocolError

from ...records import Member
from .. import messages
from ..messages import decode, encode, Heartbeat, PoolDigest

MEMBER = Member('i', 'x', '127.0.0.1', 1)


class HeartbeatBefore(NamedTuple):
    """Heartbeats as in the version without digests."""

    owner: Member
    epoch: int
    version: int


def test_each_version_reads_the_heartbeats_of_the_other():
    """Messages with more elements than fields are rejected; an owner's heartbeat with one more would get no reply."""
    envelope = msgspec.msgpack.decode(encode(3, Heartbeat(MEMBER, 7, 5)))
    body = msgspec.msgpack.encode(envelope[2])
    assert msgspec.msgpack.decode(body, type=HeartbeatBefore) == HeartbeatBefore(MEMBER, 7, 5)
    frame = msgspec.msgpack.encode((3, 1, HeartbeatBefore(MEMBER, 7, 5)))
    assert decode(frame) == (3, Heartbeat(MEMBER, 7, 5))


def test_a_digest_is_a_message_that_earlier_versions_drop(monkeypatch):
    """A kind that a version doesn't know is logged and dropped; it must not be taken for another message."""
    frame = encode(0, PoolDigest(7, b'data'))
    assert decode(frame) == (0, PoolDigest(7, b'data'))
    monkeypatch.setattr(messages, '_TYPES', messages._TYPES[: messages._TYPES.index(PoolDigest)])
    with pytest.raises(ProtocolError):
        decode(frame)
