"""The newest configuration that this process has seen."""

import anyio

from dahliaarch_kernel.configuration import (
    apply_change,
    ChangeMismatchError,
    Configuration,
    ConfigurationChange,
    difference,
    EMPTY,
    NO_VERSION,
)
from dahliaarch_kernel.errors import ProtocolError
from dahliaarch_platform.documents import decode_configuration

from ..logs import log_event
from ..metrics import Metrics
from .updates import Update, UpdateLog


class ConfigurationFollower:
    """Holds the configuration in force; an older one never comes into force.

    Parameters
    ----------
    metrics : Metrics
        Where the version is shown.

    Attributes
    ----------
    current : Configuration or None
        The configuration in force.
    revision : int
        Store revision at which it was written.
    updates : UpdateLog
        What led to it, for peers that are behind.
    changed : Event
        Set when a version comes into force, and then replaced.
    overtaken : Event
        The same for versions that came from a peer: reading them from the store
        as well is needless.
    """

    def __init__(self, metrics: Metrics) -> None:
        """Start without a configuration."""
        self.current: Configuration | None = None
        self.revision = 0
        self.updates = UpdateLog()
        self.changed = anyio.Event()
        self.updated_by_peer = anyio.Event()
        self._metrics = metrics

    @property
    def version(self) -> int:
        """Version in force; `NO_VERSION` for none."""
        return NO_VERSION if self.current is None else self.current.version

    def apply_document(self, text: bytes, revision: int) -> None:
        """Put a document of the store in force if it is newer than the present version."""
        try:
            document = decode_configuration(text)
        except ProtocolError as error:
            log_event('configuration_malformed', revision=revision, why=str(error))
            return
        if document.version <= self.version:
            return
        change = difference(self.current or EMPTY, document)
        self._activate((change,), revision, 'store', len(text))

    def apply_update(self, update: Update, source: str, size_bytes: int) -> None:
        """Put what a peer has sent in force if it is newer than the present version."""
        if update.version <= self.version:
            return
        try:
            self._activate(update.changes, update.revision, source, size_bytes)
        except ChangeMismatchError as error:
            log_event('configuration_update_unfit', source=source, why=str(error))
            return
        updated_by_peer, self.updated_by_peer = self.updated_by_peer, anyio.Event()
        updated_by_peer.set()

    def _activate(
        self,
        changes: tuple[ConfigurationChange, ...],
        revision: int,
        source: str,
        size_bytes: int,
    ) -> None:
        before = self.version
        self.current = self._apply(changes)
        self.revision = revision
        for change in changes:
            self.updates.add(change)
        log_event(
            'configuration_in_force',
            version=self.version,
            before=before,
            source=source,
            size_bytes=size_bytes,
            changed_queues=sum(len(change.queues) + len(change.gone_queues) for change in changes),
        )
        self._metrics.configuration.set(self.version)
        changed, self.changed = self.changed, anyio.Event()
        changed.set()

    def _apply(self, changes: tuple[ConfigurationChange, ...]) -> Configuration:
        is_whole = changes[0].base == NO_VERSION
        configuration = EMPTY if is_whole else self.current or EMPTY
        for change in changes:
            configuration = apply_change(configuration, change)
        return configuration
