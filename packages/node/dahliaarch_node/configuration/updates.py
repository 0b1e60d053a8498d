"""What an instance hands to a peer whose configuration is older.

A peer gets the changes since its own version, or the whole configuration when
they are not known any more; compressed, and in parts that it asks for one after
the other. Each part is small, so that its wait needs no knowledge of the size of
the whole, a lost one costs only itself, and other messages get in between.
"""

import zlib
from collections import deque
from typing import NamedTuple

from dahliaarch_kernel.codec import decode, encode
from dahliaarch_kernel.configuration import Configuration, ConfigurationChange, difference, EMPTY, NO_VERSION
from dahliaarch_kernel.errors import ProtocolError

from ..peers import AskConfiguration, ConfigurationPart

# Bytes of a part: a slow link carries one well within the wait for it.
PART_BYTES = 32_768
# Changes that are kept: a peer that is further behind gets all of it.
_MAX_KEPT_CHANGES = 16
# Encoded updates that are kept while peers ask for their parts.
_MAX_ENCODED_UPDATES = 16
# Largest update before compression, in bytes: a megabyte in the store's form,
# with room to spare.
_MAX_UPDATE_BYTES = 8 * 1024 * 1024
# The level of compression that takes least time.
_COMPRESSION_LEVEL = 1


class Update(NamedTuple):
    """Changes that build on each other, and the store revision of the last."""

    changes: tuple[ConfigurationChange, ...]
    revision: int

    @property
    def version(self) -> int:
        """Version that it leads to."""
        return self.changes[-1].version


def decode_update(data: bytes) -> Update:
    """Return an update from the form in which it travels.

    Raises
    ------
    ProtocolError
        When it is not one.
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
    """Changes of late, and their encoded forms."""

    def __init__(self) -> None:
        """Start without any."""
        self._changes: deque[ConfigurationChange] = deque(maxlen=_MAX_KEPT_CHANGES)
        self._encoded_by_versions: dict[tuple[int, int], bytes] = {}

    def add(self, change: ConfigurationChange) -> None:
        """Keep a change that has come into force."""
        if self._changes and self._changes[-1].version != change.base:
            self._changes.clear()
        self._changes.append(change)

    def part(self, request: AskConfiguration, current: Configuration | None, revision: int) -> ConfigurationPart:
        """Return the part that a peer asks for; one without a version when there is nothing newer."""
        version = request.version
        data = self._encoded_by_versions.get((request.base, version))
        if data is None:
            if current is None or current.version <= request.base:
                return ConfigurationPart(NO_VERSION)
            version = current.version
            data = self._encode(request.base, current, revision)
        # A peer that was in the midst of another version begins anew.
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
        """Return the changes since a version, or all when they are not known or not smaller."""
        bases = [change.base for change in self._changes]
        if base in bases and base != NO_VERSION:
            changes = tuple(self._changes)[bases.index(base) :]
            if sum(len(change.queues) for change in changes) < len(current.queue_by_name):
                return changes
        return (difference(EMPTY, current),)
