"""Follows the operators' configuration, from the store and from peers."""

import anyio

from dahliaarch_kernel.configuration import Configuration
from dahliaarch_kernel.errors import ProtocolError
from dahliaarch_platform.documents import decode_configuration
from dahliaarch_platform.store import CONFIGURATION_KEY, Item, STORE_FAILURES, StoreClient

from .logs import log_event
from .metrics import Metrics
from .timing import StoreTiming
from .watching import watch_once


class ConfigurationFollower:
    """Holds the newest configuration that this process has seen.

    Parameters
    ----------
    store : StoreClient
        The store.
    timing : StoreTiming
        Timeouts and pauses.
    metrics : Metrics
        Where the version is shown.
    """

    def __init__(self, store: StoreClient, timing: StoreTiming, metrics: Metrics) -> None:
        """Start without a configuration."""
        self.current: Configuration | None = None
        self.text = b''
        self.changed = anyio.Event()
        self._store = store
        self._timing = timing
        self._metrics = metrics

    @property
    def version(self) -> int:
        """Version in force; -1 for none."""
        return -1 if self.current is None else self.current.version

    def offer(self, text: bytes, source: str) -> None:
        """Put a configuration in force if it is newer than the present one."""
        try:
            configuration = decode_configuration(text)
        except ProtocolError as error:
            log_event('configuration_malformed', source=source, why=str(error))
            return
        if configuration.version <= self.version:
            return
        log_event(
            'configuration_in_force',
            version=configuration.version,
            before=self.version,
            source=source,
            size_bytes=len(text),
        )
        self.current = configuration
        self.text = text
        self._metrics.configuration.set(configuration.version)
        changed, self.changed = self.changed, anyio.Event()
        changed.set()

    async def run(self) -> None:
        """Follow the store until cancelled."""
        while True:
            try:
                await self._follow()
                await anyio.sleep(self._timing.retry_pause_s())
            except STORE_FAILURES as error:
                log_event('configuration_unreachable', why=str(error), version=self.version)
                await anyio.sleep(self._timing.retry_pause_s())

    async def _follow(self) -> None:
        """Read the key, then wait for news, until the history is gone."""
        item = await self._store.get(CONFIGURATION_KEY, timeout_s=self._timing.call_s)
        revision = 0
        if item is not None:
            self.offer(item.value, 'store')
            revision = item.read_at
        while True:
            page = await watch_once(self._store, self._timing, CONFIGURATION_KEY, revision)
            if page is None:
                log_event('configuration_history_gone', version=self.version)
                return
            revision = max(revision, page.revision)
            self._offer_news(page.items)

    def _offer_news(self, items: tuple[Item, ...]) -> None:
        for item in items:
            if item.key == CONFIGURATION_KEY and not item.removed:
                self.offer(item.value, 'store')
