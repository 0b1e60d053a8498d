"""Group membership: every instance registers in the store and receives heartbeats from the owner."""

from collections.abc import Callable
from typing import NamedTuple

import anyio

from dahliaarch_kernel.codec import decode, encode
from dahliaarch_platform.store import STORE_FAILURES, StoreClient, Write

from .authority import Authority
from .clock import steady_s
from .configuration import ConfigurationFollower, PeerFeed
from .electorate import Electorate, next_electorate
from .logs import log_event
from .peers import Heartbeat, HeartbeatReply, Hello, Mesh, PeerSilentError, PoolDigest
from .records import Member, member_key, MEMBERS_PREFIX
from .timing import StoreTiming
from .watching import read_all

# Interval between two heartbeats of the owner, in seconds. An instance that missed an update of
# the configuration learns of it within this time.
_HEARTBEAT_INTERVAL_S = 0.7
# Timeout for the reply to a heartbeat, in seconds.
_HEARTBEAT_TIMEOUT_S = 0.6
# Time without a reply after which an instance is removed, in seconds.
_REMOVE_AFTER_S = 30.0
# Delay before instances that reply for the first time are added to the electorate, in seconds: after a change of the
# owner all of them reply at once, and share a write.
_ELECTORATE_DELAY_S = 0.03
# Time without a reply after which an instance no longer belongs to the electorate, in seconds: longer than a restart.
_ELECTOR_TIMEOUT_S = 10.0


class _Peer(NamedTuple):
    member: Member
    # Version of the configuration that it follows; -1 until it has replied to a heartbeat.
    version: int
    last_contact_s: float
    # Number of consecutive heartbeats without a reply.
    missed: int = 0


class _HeartbeatRound:
    """One heartbeat sent to every instance; extends the owner's authority once the whole electorate has agreed."""

    def __init__(self, asked_s: float, electorate: Electorate, authority: Authority) -> None:
        self._asked_s = asked_s
        self._electorate = electorate
        self._authority = authority
        self._agreed: set[str] = set()

    def add_agreement(self, instance: str) -> None:
        """Record that an instance knows of no newer owner."""
        self._agreed.add(instance)
        # Read at each reply: an instance that was added during the round can claim the pool as well.
        if self._electorate.instances <= self._agreed:
            self._authority.extend(self._asked_s)


class Membership:
    """Registers this instance and, on the owner, sends heartbeats to all instances.

    Parameters
    ----------
    member : Member
        This instance.
    store : StoreClient
        Client of the store.
    timing : StoreTiming
        Timeouts and retry pauses of store calls.
    follower : ConfigurationFollower
        Provides the current configuration.
    peer_feed : PeerFeed
        Fetches newer versions of the configuration from peers.
    mesh : Mesh
        Sends messages to peers.
    authority : Authority
        Extended when the whole electorate knows of no newer owner.
    electorate : Electorate
        Kept up to date by the owner.
    on_newer_epoch : callable
        Called with the epoch of a newer owner that another instance has reported.
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
        electorate: Electorate,
        on_newer_epoch: Callable[[int], None],
    ) -> None:
        """Initialize without known peers."""
        self._authority = authority
        self._electorate = electorate
        self._on_newer_epoch = on_newer_epoch
        self._member = member
        self._store = store
        self._timing = timing
        self._follower = follower
        self._peer_feed = peer_feed
        self._mesh = mesh
        self._peer_by_instance: dict[str, _Peer] = {}
        self._new_peer_replied = anyio.Event()

    async def register(self) -> None:
        """Write this instance's entry to the store, retrying until it succeeds."""
        write = Write(member_key(self._member.instance), encode(self._member))
        while True:
            try:
                await self._store.commit((), (write,), timeout_s=self._timing.call_timeout_s)
            except STORE_FAILURES as error:
                log_event('registration_failed', why=str(error))
                await anyio.sleep(self._timing.retry_pause_s())
                continue
            return

    def send_hello(self, owner: Member) -> None:
        """Announce this instance to an owner."""
        self._mesh.send((owner.host, owner.port), Hello(self._member))

    def add(self, member: Member) -> None:
        """Add or replace a peer; this instance itself is ignored."""
        known = self._peer_by_instance.get(member.instance)
        if member.instance == self._member.instance:
            return
        if known is None or known.member != member:
            self._peer_by_instance[member.instance] = _Peer(member, -1, steady_s())

    def peers(self) -> list[Member]:
        """Return the known peers that have replied to a heartbeat; this instance is not among them."""
        return [peer.member for peer in self._peer_by_instance.values() if peer.version >= 0]

    def record_version(self, member: Member, version: int) -> None:
        """Record the version of the configuration that a peer follows, so that newer ones are fetched."""
        self._peer_feed.announce(member, version)

    async def send_heartbeats(self, epoch: int, make_digest: Callable[[], bytes] = bytes) -> None:
        """Send periodic heartbeats to every instance, until cancelled.

        Parameters
        ----------
        epoch : int
            Epoch of this owner.
        make_digest : callable
            Returns the encoded digest to send with each round of heartbeats; empty for none.
        """
        await self._load_members()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._announce_changes, epoch)
            while True:
                self._send_digest(epoch, make_digest())
                await self._heartbeat_all(epoch)

    async def maintain(self, epoch: int, may_change_electorate: Callable[[], bool]) -> None:
        """Keep the electorate and the members in the store up to date, until cancelled.

        Parameters
        ----------
        epoch : int
            Epoch of this owner.
        may_change_electorate : callable
            Tells whether the authority of previous owners, which rests on the electorate that they
            stored, has certainly ended or no longer matters.
        """
        started_s = steady_s()
        while True:
            with anyio.move_on_after(_HEARTBEAT_INTERVAL_S):
                await self._new_peer_replied.wait()
            self._new_peer_replied = anyio.Event()
            await anyio.sleep(_ELECTORATE_DELAY_S)
            now_s = steady_s()
            if may_change_electorate():
                await self._update_electorate(epoch, started_s, now_s)
            await self._remove_silent_peers(now_s)

    async def _update_electorate(self, epoch: int, started_s: float, now_s: float) -> None:
        current = self._electorate.instances
        responsive = {peer.member.instance for peer in self._peer_by_instance.values() if peer.version >= 0}
        contact_by_instance = {peer.member.instance: peer.last_contact_s for peer in self._peer_by_instance.values()}
        overdue = {
            instance
            for instance in current | responsive
            if now_s - contact_by_instance.get(instance, started_s) > _ELECTOR_TIMEOUT_S
        }
        overdue.discard(self._member.instance)
        responsive.add(self._member.instance)
        wanted = next_electorate(current, responsive - overdue, overdue)
        if wanted != current:
            await self._electorate.replace(wanted, epoch)

    async def _announce_changes(self, epoch: int) -> None:
        """Announce each new version of the configuration at once, without waiting for the next heartbeat."""
        while True:
            await self._follower.changed.wait()
            heartbeat = Heartbeat(self._member, epoch, self._follower.version)
            for peer in tuple(self._peer_by_instance.values()):
                self._mesh.send((peer.member.host, peer.member.port), heartbeat)

    def _send_digest(self, epoch: int, data: bytes) -> None:
        """Send a digest to the instances that answer; one that is lost is replaced by the next."""
        if data:
            for member in self.peers():
                self._mesh.send((member.host, member.port), PoolDigest(epoch, data))

    async def _heartbeat_all(self, epoch: int) -> None:
        heartbeat_round = _HeartbeatRound(steady_s(), self._electorate, self._authority)
        heartbeat_round.add_agreement(self._member.instance)
        async with anyio.create_task_group() as tasks:
            for peer in tuple(self._peer_by_instance.values()):
                tasks.start_soon(self._send_heartbeat, peer, epoch, heartbeat_round)
            tasks.start_soon(anyio.sleep, _HEARTBEAT_INTERVAL_S)

    async def _load_members(self) -> None:
        page = await read_all(self._store, self._timing, MEMBERS_PREFIX)
        for item in page.items:
            self.add(decode(item.value, Member, 'member'))

    async def _send_heartbeat(self, peer: _Peer, epoch: int, heartbeat_round: _HeartbeatRound) -> None:
        member = peer.member
        heartbeat = Heartbeat(self._member, epoch, self._follower.version)
        try:
            reply = await self._mesh.ask((member.host, member.port), heartbeat, timeout_s=_HEARTBEAT_TIMEOUT_S)
        except PeerSilentError as error:
            self._record_missed(peer, error)
            return
        if not isinstance(reply, HeartbeatReply):
            return
        self.record_version(member, reply.version)
        if reply.epoch > epoch:
            self._on_newer_epoch(reply.epoch)
        elif reply.epoch == epoch:
            heartbeat_round.add_agreement(member.instance)
        if peer.missed:
            log_event('heartbeats_answered_again', member=member.instance, missed=peer.missed, version=reply.version)
        self._replace_peer(peer, _Peer(member, reply.version, steady_s()))
        if member.instance not in self._electorate.instances:
            self._new_peer_replied.set()

    def _record_missed(self, peer: _Peer, error: PeerSilentError) -> None:
        if not peer.missed:
            log_event('heartbeat_unanswered', member=peer.member.instance, version=peer.version, why=str(error))
        self._replace_peer(peer, peer._replace(missed=peer.missed + 1))

    def _replace_peer(self, before: _Peer, after: _Peer) -> None:
        """Replace the state of a peer, unless the peer was removed or replaced in the meantime."""
        if self._peer_by_instance.get(before.member.instance) is before:
            self._peer_by_instance[before.member.instance] = after

    async def _remove_silent_peers(self, now_s: float) -> None:
        limit_s = now_s - _REMOVE_AFTER_S
        for instance, peer in tuple(self._peer_by_instance.items()):
            # An elector is asked for its agreement for as long as it is one.
            if peer.last_contact_s > limit_s or instance in self._electorate.instances:
                continue
            log_event('member_forgotten', member=instance)
            del self._peer_by_instance[instance]
            self._mesh.disconnect((peer.member.host, peer.member.port))
            try:
                await self._store.commit((), (), (member_key(instance),), timeout_s=self._timing.call_timeout_s)
            except STORE_FAILURES as error:
                log_event('member_not_removed', member=instance, why=str(error))
