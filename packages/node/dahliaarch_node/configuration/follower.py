"""Newest configuration that this process has received."""

import anyio

from dahliaarch_kernel.configuration import (
    apply_change,
    ChangeMismatchError,
    Configuration,
    ConfigurationChange,
    diff_configurations,
    EMPTY_CONFIGURATION,
    NO_VERSION,
)
from dahliaarch_kernel.errors import ProtocolError
from dahliaarch_platform.documents import decode_configuration

from ..logs import log_event
from ..metrics import Metrics
from .updates import Update, UpdateLog


class ConfigurationFollower:
    """Holds the active configuration and ignores versions that are not newer.

    Parameters
    ----------
    metrics : Metrics
        Receives the active version as a gauge.

    Attributes
    ----------
    current : Configuration or None
        The active configuration; None until one has been received.
    revision : int
        Store revision at which it was written.
    updates : UpdateLog
        Recent changes, for peers with older versions.
    changed : Event
        Set whenever a version becomes active, then replaced by a new event.
    updated_by_peer : Event
        The same, but only for versions received from a peer: they needn't be read
        from the store as well.
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
        """Active version, or `NO_VERSION`."""
        return NO_VERSION if self.current is None else self.current.version

    def apply_document(self, text: bytes, revision: int) -> None:
        """Activate a document read from the store if it is newer than the active version."""
        try:
            document = decode_configuration(text)
        except ProtocolError as error:
            log_event('configuration_malformed', revision=revision, why=str(error))
            return
        if document.version <= self.version:
            return
        change = diff_configurations(self.current or EMPTY_CONFIGURATION, document)
        self._activate((change,), revision, 'store', len(text))

    def apply_update(self, update: Update, source: str, size_bytes: int) -> None:
        """Activate an update received from a peer if it is newer than the active version."""
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
        configuration = EMPTY_CONFIGURATION if is_whole else self.current or EMPTY_CONFIGURATION
        for change in changes:
            configuration = apply_change(configuration, change)
        return configuration
