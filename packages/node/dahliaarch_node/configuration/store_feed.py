"""Follows the configuration in the store."""

from typing import TypeVar

import anyio

from dahliaarch_platform.store import (
    CONFIGURATION_KEY,
    Item,
    Page,
    STORE_FAILURES,
    StoreClient,
    StoreReplyTooLargeError,
)

from ..logs import log_event
from ..timing import StoreTiming
from .follower import ConfigurationFollower

Answer = TypeVar('Answer')


class StoreFeed:
    """Reads the document, then waits for updates of it.

    What a peer has brought meanwhile is not read again: a document of a megabyte
    would fill a slow link for seconds.

    Parameters
    ----------
    follower : ConfigurationFollower
        What is kept up to date.
    store : StoreClient
        The store.
    timing : StoreTiming
        Timeouts and pauses.
    """

    def __init__(self, follower: ConfigurationFollower, store: StoreClient, timing: StoreTiming) -> None:
        """Start without having read anything."""
        self._follower = follower
        self._store = store
        self._timing = timing
        # Store revision up to which everything has been seen; nothing while the
        # document has to be read whole.
        self._seen: int | None = None
        self._reading: anyio.CancelScope | None = None

    async def run(self) -> None:
        """Follow the store until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._give_up_when_overtaken)
            while True:
                try:
                    await self._read_or_wait()
                except StoreReplyTooLargeError as error:
                    # Several versions at once: the newest alone is enough.
                    log_event('configuration_updates_too_large', why=str(error), version=self._follower.version)
                    self._seen = None
                except STORE_FAILURES as error:
                    log_event('configuration_unreachable', why=str(error), version=self._follower.version)
                    await anyio.sleep(self._timing.retry_pause_s())

    async def _read_or_wait(self) -> None:
        if self._seen is None:
            await self._read()
        else:
            await self._wait(max(self._seen, self._follower.revision))

    async def _read(self) -> None:
        item: Item | None = None
        with anyio.CancelScope() as scope:
            self._reading = scope
            item = await self._store.get(CONFIGURATION_KEY, timeout_s=self._timing.call_s)
        if item is None:
            # There is none yet, or a peer has brought one.
            self._seen = self._follower.revision
            return
        self._seen = item.read_at
        self._follower.take_document(item.value, item.revision)

    async def _wait(self, after: int) -> None:
        page: Page | None = None
        with anyio.CancelScope() as scope:
            self._reading = scope
            page = await self._store.watch(
                CONFIGURATION_KEY,
                after,
                wait_s=self._timing.watch_wait_s,
                timeout_s=self._timing.watch_s,
                max_reply_bytes=self._store.max_item_reply_bytes,
            )
        if scope.cancelled_caught:
            return
        if page is None:
            log_event('configuration_history_gone', version=self._follower.version)
            self._seen = None
            await anyio.sleep(self._timing.retry_pause_s())
            return
        self._seen = max(after, page.revision)
        written = [item for item in page.items if item.key == CONFIGURATION_KEY and not item.removed]
        if written:
            newest = max(written, key=lambda item: item.revision)
            self._follower.take_document(newest.value, newest.revision)

    async def _give_up_when_overtaken(self) -> None:
        while True:
            await self._follower.overtaken.wait()
            if self._reading is not None:
                self._reading.cancel()
