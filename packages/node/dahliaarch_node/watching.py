"""Reads a prefix, waits for updates of it, and reads it again when its history is gone."""

from typing import NamedTuple

import anyio

from dahliaarch_platform.store import Item, Page, STORE_FAILURES, StoreClient, StoreReplyTooLargeError

from .logs import log_event
from .timing import StoreTiming


class Updates(NamedTuple):
    """Items of a prefix.

    Parameters
    ----------
    page : Page
        The items, and the revision to go on from.
    is_whole : bool
        Whether they are all there is, and not only what has changed.
    """

    page: Page
    is_whole: bool


async def watch_once(store: StoreClient, timing: StoreTiming, prefix: str, after: int) -> Page | None:
    """Wait for updates from a revision on; nothing when the history is gone."""
    return await store.watch(prefix, after, wait_s=timing.watch_wait_s, timeout_s=timing.watch_s)


async def next_updates(store: StoreClient, timing: StoreTiming, prefix: str, after: int) -> Updates:
    """Wait for updates from a revision on; read everything when the history is gone or larger than one answer.

    A watch from the same revision would only grow.
    """
    try:
        page = await watch_once(store, timing, prefix, after)
    except StoreReplyTooLargeError as error:
        log_event('updates_too_large', prefix=prefix, revision=after, why=str(error))
    else:
        if page is not None:
            return Updates(page, is_whole=False)
        log_event('history_gone', prefix=prefix, revision=after)
    await anyio.sleep(timing.retry_pause_s())
    return Updates(await read_all(store, timing, prefix), is_whole=True)


async def read_all(store: StoreClient, timing: StoreTiming, prefix: str) -> Page:
    """Return all items of a prefix, however long the store needs.

    The revision is that of the first page, so that a watch from there misses
    nothing. A page that fails is read again, and not those before it: with a
    third of the calls refused, twenty pages in a row come once in 5,000 tries.
    """
    page = await _read_page(store, timing, prefix, '')
    revision = page.revision
    found: list[Item] = list(page.items)
    while not page.is_last:
        page = await _read_page(store, timing, prefix, found[-1].key)
        found.extend(page.items)
    return Page(tuple(found), revision)


async def _read_page(store: StoreClient, timing: StoreTiming, prefix: str, after: str) -> Page:
    while True:
        try:
            return await store.read_page(prefix, after, timeout_s=timing.call_s)
        except STORE_FAILURES as error:
            log_event('page_unreachable', prefix=prefix, after=after, why=str(error))
            await anyio.sleep(timing.retry_pause_s())
