"""Watches jobs, cancellations and worker entries in the store."""

from collections.abc import Awaitable, Callable, Iterator
from functools import partial
from typing import NamedTuple

import anyio

from dahliaarch_kernel.codec import decode
from dahliaarch_kernel.errors import ProtocolError
from dahliaarch_platform.documents import decode_worker
from dahliaarch_platform.store import Item, Page, STORE_FAILURES, StoreClient, WORKERS_PREFIX

from ..logs import log_event
from ..records import CANCEL_SUFFIX, job_id_from_key, JobRecord, JOBS_PREFIX
from ..timing import StoreTiming
from ..watching import next_updates
from .messages import (
    JobCancelled,
    JobListed,
    OwnerMessage,
    WorkerListed,
    WorkersSynced,
    WorkerUnlisted,
    WorkerUnreadable,
)

Post = Callable[[OwnerMessage], None]

# Pause between two watches of jobs, in seconds. Instances send updates to the owner
# directly before the store does, and each watch costs a store call.
_JOBS_WATCH_PAUSE_S = 0.25
# Pause between two watches of worker entries, in seconds. Each worker writes its
# entry every 1.5 s, and each update ends a watch: without a pause these watches
# were two thirds of all store calls. The pause is bounded by the rule that a draining
# worker must not be given new tasks after 2 s.
_WORKERS_WATCH_PAUSE_S = 0.4
# Number of updates in one page from which on the pause is skipped, because more are
# likely pending. The store returns about 500 updates per page; with a pause after
# each page, updates of 1,500 workers were processed 5 s late.
_BUSY_PAGE_SIZE = 200


class FeedContext(NamedTuple):
    """Dependencies shared by the feeds.

    Parameters
    ----------
    store : StoreClient
        Client of the store.
    timing : StoreTiming
        Timeouts and retry pauses of store calls.
    post : callable
        Queues a message for the scheduling task.
    """

    store: StoreClient
    timing: StoreTiming
    post: Post


async def follow(feed: FeedContext, watch: Callable[[int], Awaitable[int]], revision: int, failure_event: str) -> None:
    """Repeat a watch of the store, until cancelled.

    Parameters
    ----------
    feed : FeedContext
        Its timing sets the pause after a failure.
    watch : callable
        Processes the updates after a revision; returns the revision to continue from.
    revision : int
        Revision to begin from.
    failure_event : str
        Event to log when the store can't be reached.
    """
    while True:
        try:
            revision = await watch(revision)
        except STORE_FAILURES as error:
            log_event(failure_event, why=str(error), revision=revision)
            await anyio.sleep(feed.timing.retry_pause_s())


async def follow_jobs(feed: FeedContext, revision: int) -> None:
    """Post jobs and cancellations written after a revision, until cancelled."""
    await follow(feed, partial(_watch_jobs, feed), revision, 'jobs_unreachable')


async def _watch_jobs(feed: FeedContext, revision: int) -> int:
    page = (await next_updates(feed.store, feed.timing, JOBS_PREFIX, revision)).page
    for item in page.items:
        for message in job_messages(item):
            feed.post(message)
    await _pause_after(page, _JOBS_WATCH_PAUSE_S)
    return max(revision, page.revision)


async def _pause_after(page: Page, pause_s: float) -> None:
    """Pause so that updates accumulate, but not if more may be pending: the lag would grow with each page."""
    if 0 < len(page.items) < _BUSY_PAGE_SIZE:
        await anyio.sleep(pause_s)


def job_messages(item: Item) -> Iterator[OwnerMessage]:
    """Yield the message for a job or a cancellation; removals are ignored because only the owner makes them."""
    if item.removed:
        return
    if item.key.endswith(CANCEL_SUFFIX):
        yield JobCancelled(job_id_from_key(item.key))
        return
    try:
        record = decode(item.value, JobRecord, 'job record')
    except ProtocolError as error:
        log_event('job_record_malformed', key=item.key, why=str(error))
        return
    yield JobListed(record.spec, record.queue, item.revision, record.owner_epoch)


class WorkersFeed:
    """Watches the entries that workers publish.

    Parameters
    ----------
    feed : FeedContext
        Store, timing and message queue.
    """

    def __init__(self, feed: FeedContext) -> None:
        """Start without known entries."""
        self._feed = feed
        self._known: set[str] = set()

    def messages(self, page: Page, *, is_snapshot: bool) -> Iterator[OwnerMessage]:
        """Yield the messages for a page of entries; a complete listing also reveals which entries were removed."""
        if is_snapshot:
            listed = {item.key for item in page.items}
            for key in self._known - listed:
                yield self._removal_message(key)
        for item in page.items:
            if item.removed:
                yield self._removal_message(item.key)
            else:
                yield from self._entry_messages(item)

    async def run(self, revision: int) -> None:
        """Post updates written after a revision, until cancelled."""
        await follow(self._feed, self._watch, revision, 'workers_unreachable')

    async def _watch(self, revision: int) -> int:
        updates = await next_updates(self._feed.store, self._feed.timing, WORKERS_PREFIX, revision)
        for message in self.messages(updates.page, is_snapshot=updates.is_snapshot):
            self._feed.post(message)
        self._feed.post(WorkersSynced())
        if updates.is_snapshot:
            return updates.page.revision
        await _pause_after(updates.page, _WORKERS_WATCH_PAUSE_S)
        return max(revision, updates.page.revision)

    def _entry_messages(self, item: Item) -> Iterator[OwnerMessage]:
        name = item.key.removeprefix(WORKERS_PREFIX)
        try:
            entry = decode_worker(name, item.value)
        except ProtocolError as error:
            log_event('worker_entry_malformed', worker=name, why=str(error))
            yield WorkerUnreadable(name)
            return
        self._known.add(item.key)
        yield WorkerListed(entry.profile, entry.address, entry.incarnation, entry.cold_left_s)

    def _removal_message(self, key: str) -> WorkerUnlisted:
        self._known.discard(key)
        return WorkerUnlisted(key.removeprefix(WORKERS_PREFIX))
