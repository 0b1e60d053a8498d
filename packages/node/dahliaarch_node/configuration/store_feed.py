"""Watches the configuration document in the store."""

from typing import TypeVar

import anyio

from dahliaarch_platform.operators import CONFIGURATION_KEY
from dahliaarch_platform.store import Item, Page, STORE_FAILURES, StoreClient, StoreReplyTooLargeError

from ..logs import log_event
from ..timing import StoreTiming
from .follower import ConfigurationFollower

Answer = TypeVar('Answer')


class StoreFeed:
    """Reads the document, then watches it for updates.

    A read or watch is cancelled when a peer delivers a newer version: reading a
    document of one megabyte again would saturate a slow link for seconds.

    Parameters
    ----------
    follower : ConfigurationFollower
        Receives the documents.
    store : StoreClient
        Client of the store.
    timing : StoreTiming
        Timeouts and retry pauses.
    """

    def __init__(self, follower: ConfigurationFollower, store: StoreClient, timing: StoreTiming) -> None:
        """Start before the first read."""
        self._follower = follower
        self._store = store
        self._timing = timing
        # Store revision up to which all updates have been processed; None when the
        # whole document has to be read.
        self._seen_revision: int | None = None
        self._call_scope: anyio.CancelScope | None = None

    async def run(self) -> None:
        """Read and watch the document until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._cancel_when_updated_by_peer)
            while True:
                try:
                    await self._read_or_watch()
                except StoreReplyTooLargeError as error:
                    # The answer holds several versions; read only the newest.
                    log_event('configuration_updates_too_large', why=str(error), version=self._follower.version)
                    self._seen_revision = None
                except STORE_FAILURES as error:
                    log_event('configuration_unreachable', why=str(error), version=self._follower.version)
                    await anyio.sleep(self._timing.retry_pause_s())

    async def _read_or_watch(self) -> None:
        if self._seen_revision is None:
            await self._read()
        else:
            await self._watch(max(self._seen_revision, self._follower.revision))

    async def _read(self) -> None:
        item: Item | None = None
        with anyio.CancelScope() as scope:
            self._call_scope = scope
            item = await self._store.get(CONFIGURATION_KEY, timeout_s=self._timing.call_timeout_s)
        if item is None:
            # The store has no document yet, or a peer update cancelled the read.
            self._seen_revision = self._follower.revision
            return
        self._seen_revision = item.read_at
        self._follower.apply_document(item.value, item.revision)

    async def _watch(self, after: int) -> None:
        page: Page | None = None
        with anyio.CancelScope() as scope:
            self._call_scope = scope
            page = await self._store.watch(
                CONFIGURATION_KEY,
                after,
                wait_s=self._timing.watch_wait_s,
                timeout_s=self._timing.watch_timeout_s,
                max_reply_bytes=self._store.max_item_reply_bytes,
            )
        if scope.cancelled_caught:
            return
        if page is None:
            log_event('configuration_history_gone', version=self._follower.version)
            self._seen_revision = None
            await anyio.sleep(self._timing.retry_pause_s())
            return
        self._seen_revision = max(after, page.revision)
        updated_items = [item for item in page.items if item.key == CONFIGURATION_KEY and not item.removed]
        if updated_items:
            newest = max(updated_items, key=lambda item: item.revision)
            self._follower.apply_document(newest.value, newest.revision)

    async def _cancel_when_updated_by_peer(self) -> None:
        while True:
            await self._follower.updated_by_peer.wait()
            if self._call_scope is not None:
                self._call_scope.cancel()
