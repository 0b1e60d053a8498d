"""Fetches newer versions of the configuration from peers that announce them.

For every change the store sends the whole document, which takes seconds on a slow
link; a peer sends only the difference. Both sources are read at the same time and
the first to deliver a version cancels the other, so that neither an unreachable peer
nor a slow link to the store delays it.
"""

from typing import NamedTuple

import anyio

from dahliaarch_kernel.configuration import NO_VERSION
from dahliaarch_kernel.errors import ProtocolError

from ..logs import log_event
from ..peers import AskConfiguration, ConfigurationPart, Mesh, PeerSilentError
from ..records import Member
from .follower import ConfigurationFollower
from .updates import decode_update

# Timeout of the request for one part, in seconds; a slow link transfers a part within it.
_PART_TIMEOUT_S = 1.0
# Requests for one part before the fetch is abandoned until the next announcement.
_PART_ATTEMPTS = 2


class Announcement(NamedTuple):
    """A peer and the configuration version that is active there."""

    member: Member
    version: int


class PeerFeed:
    """Fetches announced versions, one update at a time.

    Parameters
    ----------
    follower : ConfigurationFollower
        Receives the updates.
    mesh : Mesh
        Sends requests to the peers.
    """

    def __init__(self, follower: ConfigurationFollower, mesh: Mesh) -> None:
        """Start without a pending announcement."""
        self._follower = follower
        self._mesh = mesh
        self._pending_announcement: Announcement | None = None
        self._announced = anyio.Event()

    def announce(self, member: Member, version: int) -> None:
        """Record that a version is active on a peer, if it is newer than the one here."""
        if version > self._follower.version:
            self._pending_announcement = Announcement(member, version)
            self._announced.set()

    async def run(self) -> None:
        """Fetch announced versions until cancelled."""
        while True:
            await self._announced.wait()
            self._announced = anyio.Event()
            announcement, self._pending_announcement = self._pending_announcement, None
            if announcement is not None and announcement.version > self._follower.version:
                await self._fetch(announcement)

    async def _fetch(self, announcement: Announcement) -> None:
        """Fetch all parts of an update and activate it."""
        member = announcement.member
        base = self._follower.version
        version = NO_VERSION
        received = b''
        while True:
            part = await self._request_part(member, AskConfiguration(base, version, len(received)))
            if part is None or part.version <= self._follower.version:
                # The peer has nothing newer, or the store has delivered the version in the meantime.
                return
            if part.version != version:
                version = part.version
                received = b''
            if part.offset != len(received):
                return
            received += part.data
            if len(received) >= part.total_bytes:
                break
        try:
            update = decode_update(received)
        except ProtocolError as error:
            log_event('configuration_update_malformed', source=member.instance, why=str(error))
            return
        self._follower.apply_update(update, member.instance, len(received))

    async def _request_part(self, member: Member, request: AskConfiguration) -> ConfigurationPart | None:
        for _ in range(_PART_ATTEMPTS):
            try:
                reply = await self._mesh.ask((member.host, member.port), request, timeout_s=_PART_TIMEOUT_S)
            except PeerSilentError as error:
                log_event(
                    'configuration_part_unanswered',
                    source=member.instance,
                    base=request.base,
                    offset=request.offset,
                    why=str(error),
                )
                continue
            return reply if isinstance(reply, ConfigurationPart) else None
        return None
