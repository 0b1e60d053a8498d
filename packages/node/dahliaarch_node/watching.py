"""Waits for news of a prefix, or reads it whole when its history is gone."""

from typing import NamedTuple

import anyio

from dahliaarch_platform.store import Page, StoreAnswerTooLargeError, StoreClient

from .logs import log_event
from .timing import StoreTiming


class News(NamedTuple):
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
    """Wait for news from a revision on; nothing when the history is gone."""
    return await store.watch(prefix, after, wait_s=timing.watch_wait_s, timeout_s=timing.watch_s)


async def next_news(store: StoreClient, timing: StoreTiming, prefix: str, after: int) -> News:
    """Wait for news from a revision on; read everything when the history is gone or larger than one answer.

    A watch from the same revision would only grow.
    """
    try:
        page = await watch_once(store, timing, prefix, after)
    except StoreAnswerTooLargeError as error:
        log_event('news_too_large', prefix=prefix, revision=after, why=str(error))
    else:
        if page is not None:
            return News(page, is_whole=False)
        log_event('history_gone', prefix=prefix, revision=after)
    await anyio.sleep(timing.retry_pause_s())
    return News(await store.list(prefix, timeout_s=timing.call_s), is_whole=True)
