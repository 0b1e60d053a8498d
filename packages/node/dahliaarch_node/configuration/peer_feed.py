"""Fetches newer versions of the configuration from peers that tell of them.

The store sends a whole document for each change, which a slow link carries for
seconds; a peer sends what has changed. Both ways are tried at once, and the one
that is there first ends the other: neither a dead peer nor a slow link holds a
version up.
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

# Longest wait for a part, in seconds: a slow link carries it in time.
_PART_TIMEOUT_S = 1.0
# Tries of one part before the next announcement is waited for.
_PART_ATTEMPTS = 2


class Announcement(NamedTuple):
    """A peer says that it follows a version."""

    member: Member
    version: int


class PeerFeed:
    """Fetches what is announced, one update at a time.

    Parameters
    ----------
    follower : ConfigurationFollower
        What is kept up to date.
    mesh : Mesh
        Messages to the peers.
    """

    def __init__(self, follower: ConfigurationFollower, mesh: Mesh) -> None:
        """Start without announcements."""
        self._follower = follower
        self._mesh = mesh
        self._pending_announcement: Announcement | None = None
        self._announced = anyio.Event()

    def announce(self, member: Member, version: int) -> None:
        """Take in which version a peer follows."""
        if version > self._follower.version:
            self._pending_announcement = Announcement(member, version)
            self._announced.set()

    async def run(self) -> None:
        """Fetch what is announced, until cancelled."""
        while True:
            await self._announced.wait()
            self._announced = anyio.Event()
            announcement, self._pending_announcement = self._pending_announcement, None
            if announcement is not None and announcement.version > self._follower.version:
                await self._fetch(announcement)

    async def _fetch(self, announcement: Announcement) -> None:
        """Fetch all parts of an update and put it in force."""
        member = announcement.member
        base = self._follower.version
        version = NO_VERSION
        received = b''
        while True:
            part = await self._request_part(member, AskConfiguration(base, version, len(received)))
            if part is None or part.version <= self._follower.version:
                # Nothing newer there, or it has come from the store meanwhile.
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
