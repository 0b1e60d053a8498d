"""Reads what earlier owners left in the store."""

from typing import NamedTuple

import anyio

from dahliaarch_kernel.codec import decode
from dahliaarch_kernel.errors import ProtocolError
from dahliaarch_kernel.scheduler import JobProgress
from dahliaarch_platform.store import Page, STORE_FAILURES, StoreClient, WORKERS_PREFIX

from ..logs import log_event
from ..records import job_id_of, JOBS_PREFIX, PROGRESS_PREFIX, ROSTER_KEY, RosterEntry
from ..timing import StoreTiming


class Inheritance(NamedTuple):
    """What earlier owners left.

    Parameters
    ----------
    jobs : Page
        Jobs and cancellations.
    workers : Page
        Workers' entries.
    progress_by_id : dict
        Progress by job.
    roster : tuple of RosterEntry
        Workers that the last owner knew and that have no entry now.
    revision_by_key : dict
        Revisions of the keys that the owner writes.
    """

    jobs: Page
    workers: Page
    progress_by_id: dict[str, JobProgress]
    roster: tuple[RosterEntry, ...]
    revision_by_key: dict[str, int]


async def read_inheritance(store: StoreClient, timing: StoreTiming) -> Inheritance:
    """Read everything, however long the store needs.

    Progress is read before jobs: it belongs to jobs that were there before.
    """
    progress = await _list(store, timing, PROGRESS_PREFIX)
    jobs = await _list(store, timing, JOBS_PREFIX)
    workers = await _list(store, timing, WORKERS_PREFIX)
    roster = await _list(store, timing, ROSTER_KEY)
    revision_by_key = {item.key: item.revision for item in (*progress.items, *roster.items)}
    return Inheritance(jobs, workers, _progress_by_id(progress), _missing(roster, workers), revision_by_key)


def _progress_by_id(page: Page) -> dict[str, JobProgress]:
    found = {}
    for item in page.items:
        try:
            found[job_id_of(item.key)] = decode(item.value, JobProgress, 'progress')
        except ProtocolError as error:
            log_event('progress_malformed', key=item.key, why=str(error))
    return found


def _missing(roster: Page, workers: Page) -> tuple[RosterEntry, ...]:
    """Return the known workers whose entries are missing: they may have lapsed."""
    listed = {item.key.removeprefix(WORKERS_PREFIX) for item in workers.items}
    entries = [entry for item in roster.items for entry in decode(item.value, list[RosterEntry], 'roster')]
    return tuple(entry for entry in entries if entry.profile.worker_id not in listed)


async def _list(store: StoreClient, timing: StoreTiming, prefix: str) -> Page:
    while True:
        try:
            return await store.list(prefix, timeout_s=timing.call_s)
        except STORE_FAILURES as error:
            log_event('takeover_list_failed', prefix=prefix, why=str(error))
            await anyio.sleep(timing.retry_pause_s())
