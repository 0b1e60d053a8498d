"""Reads and watches a key prefix, and reads it again when the store no longer has its history."""

from typing import NamedTuple

import anyio

from dahliaarch_platform.store import Item, Page, STORE_FAILURES, StoreClient, StoreReplyTooLargeError

from .logs import log_event
from .timing import StoreTiming


class Updates(NamedTuple):
    """Items below a key prefix.

    Parameters
    ----------
    page : Page
        The items, and the revision to continue the watch from.
    is_snapshot : bool
        Whether the page holds all items rather than only the changed ones.
    """

    page: Page
    is_snapshot: bool


async def watch_prefix(store: StoreClient, timing: StoreTiming, prefix: str, after: int) -> Page | None:
    """Wait for updates after a revision; return None if the store no longer has that history."""
    return await store.watch(prefix, after, wait_s=timing.watch_wait_s, timeout_s=timing.watch_timeout_s)


async def next_updates(store: StoreClient, timing: StoreTiming, prefix: str, after: int) -> Updates:
    """Wait for updates after a revision; read all items if the history is gone or exceeds one answer.

    Repeating the watch from the same revision would only return a larger answer.
    """
    try:
        page = await watch_prefix(store, timing, prefix, after)
    except StoreReplyTooLargeError as error:
        log_event('updates_too_large', prefix=prefix, revision=after, why=str(error))
    else:
        if page is not None:
            return Updates(page, is_snapshot=False)
        log_event('history_gone', prefix=prefix, revision=after)
    await anyio.sleep(timing.retry_pause_s())
    return Updates(await read_all(store, timing, prefix), is_snapshot=True)


async def read_all(store: StoreClient, timing: StoreTiming, prefix: str) -> Page:
    """Return all items below a prefix; retries until the store has returned every page.

    The returned revision is that of the first page, so that a watch from there misses
    no update. Only a failed page is read again, not the pages before it: with a third
    of the calls refused, twenty consecutive pages succeed once in 5,000 attempts.
    """
    page = await _read_page(store, timing, prefix, '')
    revision = page.revision
    items: list[Item] = list(page.items)
    while not page.is_last:
        page = await _read_page(store, timing, prefix, items[-1].key)
        items.extend(page.items)
    return Page(tuple(items), revision)


async def _read_page(store: StoreClient, timing: StoreTiming, prefix: str, after: str) -> Page:
    while True:
        try:
            return await store.read_page(prefix, after, timeout_s=timing.call_timeout_s)
        except STORE_FAILURES as error:
            log_event('page_unreachable', prefix=prefix, after=after, why=str(error))
            await anyio.sleep(timing.retry_pause_s())
