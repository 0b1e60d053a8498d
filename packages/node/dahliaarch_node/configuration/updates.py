"""Configuration updates for peers with an older version.

An update holds the changes since the peer's version, or the whole configuration
when those are no longer kept. It is compressed and sent in parts, which the peer
requests one after another. Since parts are small, their timeout doesn't depend on
the size of the update, a lost part is resent alone, and other messages can be sent
in between.
"""

import zlib
from collections import deque
from typing import NamedTuple

from dahliaarch_kernel.codec import decode, encode
from dahliaarch_kernel.configuration import (
    Configuration,
    ConfigurationChange,
    diff_configurations,
    EMPTY_CONFIGURATION,
    NO_VERSION,
)
from dahliaarch_kernel.errors import ProtocolError

from ..peers import AskConfiguration, ConfigurationPart

# Size of a part in bytes: a slow link transfers one well within the timeout of its request.
PART_BYTES = 32_768
# Changes to keep; a peer that is further behind receives the whole configuration.
_MAX_KEPT_CHANGES = 16
# Encoded updates to keep while peers request their parts.
_MAX_ENCODED_UPDATES = 16
# Maximum size of an uncompressed update in bytes: well above the one megabyte that a
# configuration takes in the store's format.
_MAX_UPDATE_BYTES = 8 * 1024 * 1024
# Fastest zlib level.
_COMPRESSION_LEVEL = 1


class Update(NamedTuple):
    """Consecutive changes and the store revision of the last one."""

    changes: tuple[ConfigurationChange, ...]
    revision: int

    @property
    def version(self) -> int:
        """Version after the last change."""
        return self.changes[-1].version


def decode_update(data: bytes) -> Update:
    """Decompress and decode an update that was received from a peer.

    Raises
    ------
    ProtocolError
        If the data is not a valid update.
    """
    try:
        uncompressed = zlib.decompressobj().decompress(data, _MAX_UPDATE_BYTES)
    except zlib.error as error:
        raise ProtocolError('configuration update', str(error)) from error
    update = decode(uncompressed, Update, 'configuration update')
    if not update.changes:
        raise ProtocolError('configuration update', 'has no changes')
    return update


class UpdateLog:
    """Recent configuration changes and their encoded updates."""

    def __init__(self) -> None:
        """Create an empty log."""
        self._changes: deque[ConfigurationChange] = deque(maxlen=_MAX_KEPT_CHANGES)
        self._encoded_by_versions: dict[tuple[int, int], bytes] = {}

    def add(self, change: ConfigurationChange) -> None:
        """Record a change that has become active."""
        if self._changes and self._changes[-1].version != change.base:
            self._changes.clear()
        self._changes.append(change)

    def build_part(self, request: AskConfiguration, current: Configuration | None, revision: int) -> ConfigurationPart:
        """Return the requested part, or one with `NO_VERSION` when there is no newer version."""
        version = request.version
        data = self._encoded_by_versions.get((request.base, version))
        if data is None:
            if current is None or current.version <= request.base:
                return ConfigurationPart(NO_VERSION)
            version = current.version
            data = self._encode(request.base, current, revision)
        # A peer that was fetching another version restarts at the first part.
        offset = request.offset if version == request.version else 0
        return ConfigurationPart(version, len(data), offset, data[offset : offset + PART_BYTES])

    def _encode(self, base: int, current: Configuration, revision: int) -> bytes:
        versions = (base, current.version)
        if versions not in self._encoded_by_versions:
            uncompressed = encode(Update(self._changes_since(base, current), revision))
            while len(self._encoded_by_versions) >= _MAX_ENCODED_UPDATES:
                del self._encoded_by_versions[next(iter(self._encoded_by_versions))]
            self._encoded_by_versions[versions] = zlib.compress(uncompressed, _COMPRESSION_LEVEL)
        return self._encoded_by_versions[versions]

    def _changes_since(self, base: int, current: Configuration) -> tuple[ConfigurationChange, ...]:
        """Return the changes since a version, or the whole configuration if they aren't kept or aren't smaller."""
        bases = [change.base for change in self._changes]
        if base in bases and base != NO_VERSION:
            changes = tuple(self._changes)[bases.index(base) :]
            if sum(len(change.queues) for change in changes) < len(current.queue_by_name):
                return changes
        return (diff_configurations(EMPTY_CONFIGURATION, current),)
