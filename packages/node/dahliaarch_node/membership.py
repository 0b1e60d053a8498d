"""The instances that are there: each has an entry in the store and gets the owner's heartbeats."""

from collections.abc import Callable
from typing import NamedTuple

import anyio

from dahliaarch_kernel.codec import decode, encode
from dahliaarch_platform.store import STORE_FAILURES, StoreClient, Write

from .authority import Authority
from .clock import steady_s
from .configuration import ConfigurationFollower, PeerFeed
from .logs import log_event
from .peers import Heartbeat, HeartbeatReply, Hello, Mesh, PeerSilentError
from .records import Member, member_key, MEMBERS_PREFIX
from .timing import StoreTiming
from .watching import read_all

# How often the owner sends heartbeats, in seconds. An instance that missed the update of a
# configuration learns of it at most this much later.
_HEARTBEAT_EVERY_S = 0.7
# Longest wait for the answer to a heartbeat, in seconds.
_HEARTBEAT_ANSWER_S = 0.6
# An instance that was silent for this long is taken off the list, in seconds.
_FORGET_AFTER_S = 30.0


class _Peer(NamedTuple):
    member: Member
    version: int
    last_contact_s: float
    # Heartbeats in a row that got no answer.
    missed: int = 0


class _HeartbeatRound:
    """One heartbeat to all: confirms the owner's authority once most of the instances have agreed."""

    def __init__(self, asked_s: float, instances: int, authority: Authority) -> None:
        self._asked_s = asked_s
        self._needed = instances // 2 + 1
        self._authority = authority

    def add_agreement(self) -> None:
        """Take in that one more instance knows of no newer owner."""
        self._needed -= 1
        if self._needed <= 0:
            self._authority.confirm(self._asked_s)


class Membership:
    """Registers this instance and, on the owner, keeps in touch with all.

    Parameters
    ----------
    member : Member
        This instance.
    store : StoreClient
        The store.
    timing : StoreTiming
        Timeouts and pauses.
    follower : ConfigurationFollower
        The configuration in force.
    peer_feed : PeerFeed
        Fetches newer versions from others.
    mesh : Mesh
        Messages to the others.
    authority : Authority
        Confirmed where most instances know of no newer owner.
    on_newer_epoch : callable
        Called with the epoch of a newer owner that an instance knows of.
    """

    def __init__(
        self,
        member: Member,
        store: StoreClient,
        timing: StoreTiming,
        follower: ConfigurationFollower,
        peer_feed: PeerFeed,
        mesh: Mesh,
        authority: Authority,
        on_newer_epoch: Callable[[int], None],
    ) -> None:
        """Start knowing nobody."""
        self._authority = authority
        self._on_newer_epoch = on_newer_epoch
        self._member = member
        self._store = store
        self._timing = timing
        self._follower = follower
        self._peer_feed = peer_feed
        self._mesh = mesh
        self._peer_by_instance: dict[str, _Peer] = {}

    async def register(self) -> None:
        """Write this instance's entry, until it is written."""
        write = Write(member_key(self._member.instance), encode(self._member))
        while True:
            try:
                await self._store.commit((), (write,), timeout_s=self._timing.call_timeout_s)
            except STORE_FAILURES as error:
                log_event('registration_failed', why=str(error))
                await anyio.sleep(self._timing.retry_pause_s())
                continue
            return

    def announce_to(self, owner: Member) -> None:
        """Tell an owner that this instance is there."""
        self._mesh.send((owner.host, owner.port), Hello(self._member))

    def add(self, member: Member) -> None:
        """Take in an instance that is there."""
        known = self._peer_by_instance.get(member.instance)
        if member.instance == self._member.instance:
            return
        if known is None or known.member != member:
            self._peer_by_instance[member.instance] = _Peer(member, -1, steady_s())

    def peers(self) -> list[Member]:
        """Return the instances that answered of late, this one left out."""
        return [peer.member for peer in self._peer_by_instance.values() if peer.version >= 0]

    def record_version(self, member: Member, version: int) -> None:
        """Take in which version of the configuration another instance follows."""
        self._peer_feed.announce(member, version)

    async def send_heartbeats(self, epoch: int) -> None:
        """Tell every instance who owns the pool, again and again."""
        await self._load()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._announce_changes, epoch)
            while True:
                await self._heartbeat_all(epoch)
                await self._forget_silent()

    async def _announce_changes(self, epoch: int) -> None:
        """Tell every instance at once when a version comes into force here."""
        while True:
            await self._follower.changed.wait()
            heartbeat = Heartbeat(self._member, epoch, self._follower.version)
            for peer in tuple(self._peer_by_instance.values()):
                self._mesh.send((peer.member.host, peer.member.port), heartbeat)

    async def _heartbeat_all(self, epoch: int) -> None:
        count = _HeartbeatRound(steady_s(), len(self._peer_by_instance) + 1, self._authority)
        count.add_agreement()
        async with anyio.create_task_group() as tasks:
            for peer in tuple(self._peer_by_instance.values()):
                tasks.start_soon(self._heartbeat, peer, epoch, count)
            tasks.start_soon(anyio.sleep, _HEARTBEAT_EVERY_S)

    async def _load(self) -> None:
        page = await read_all(self._store, self._timing, MEMBERS_PREFIX)
        for item in page.items:
            self.add(decode(item.value, Member, 'member'))

    async def _heartbeat(self, peer: _Peer, epoch: int, count: _HeartbeatRound) -> None:
        member = peer.member
        heartbeat = Heartbeat(self._member, epoch, self._follower.version)
        try:
            reply = await self._mesh.ask((member.host, member.port), heartbeat, timeout_s=_HEARTBEAT_ANSWER_S)
        except PeerSilentError as error:
            self._note_missed(peer, error)
            return
        if not isinstance(reply, HeartbeatReply):
            return
        self.record_version(member, reply.version)
        if reply.epoch > epoch:
            self._on_newer_epoch(reply.epoch)
        else:
            count.add_agreement()
        if peer.missed:
            log_event('heartbeats_answered_again', member=member.instance, missed=peer.missed, version=reply.version)
        self._update(peer, _Peer(member, reply.version, steady_s()))

    def _note_missed(self, peer: _Peer, error: PeerSilentError) -> None:
        if not peer.missed:
            log_event('heartbeat_unanswered', member=peer.member.instance, version=peer.version, why=str(error))
        self._update(peer, peer._replace(missed=peer.missed + 1))

    def _update(self, before: _Peer, after: _Peer) -> None:
        """Keep what is known of a peer, unless it has been forgotten or replaced meanwhile."""
        if self._peer_by_instance.get(before.member.instance) is before:
            self._peer_by_instance[before.member.instance] = after

    async def _forget_silent(self) -> None:
        limit_s = steady_s() - _FORGET_AFTER_S
        for instance, peer in tuple(self._peer_by_instance.items()):
            if peer.last_contact_s > limit_s:
                continue
            log_event('member_forgotten', member=instance)
            del self._peer_by_instance[instance]
            self._mesh.disconnect((peer.member.host, peer.member.port))
            try:
                await self._store.commit((), (), (member_key(instance),), timeout_s=self._timing.call_timeout_s)
            except STORE_FAILURES as error:
                log_event('member_not_removed', member=instance, why=str(error))
