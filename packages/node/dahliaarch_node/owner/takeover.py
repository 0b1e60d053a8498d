"""Reads what earlier owners left in the store."""

from typing import NamedTuple

from dahliaarch_kernel.codec import decode
from dahliaarch_kernel.errors import ProtocolError
from dahliaarch_kernel.scheduler import JobProgress
from dahliaarch_platform.store import Page, StoreClient, WORKERS_PREFIX

from ..logs import log_event
from ..records import job_id_of, JOBS_PREFIX, PROGRESS_PREFIX, ROSTER_PREFIX, RosterEntry
from ..timing import StoreTiming
from ..watching import read_all


class KnownWorkers(NamedTuple):
    """Workers that may run something.

    Parameters
    ----------
    entries : Page
        Workers' entries.
    missing : tuple of RosterEntry
        Workers that the last owner knew and that have no entry now.
    revision_by_key : dict
        Revisions of the keys that the owner writes.
    """

    entries: Page
    missing: tuple[RosterEntry, ...]
    revision_by_key: dict[str, int]


class KeptJobs(NamedTuple):
    """Jobs and what is known of them.

    Parameters
    ----------
    jobs : Page
        Jobs and cancellations.
    progress_by_id : dict
        Progress by job.
    revision_by_key : dict
        Revisions of the keys that the owner writes.
    """

    jobs: Page
    progress_by_id: dict[str, JobProgress]
    revision_by_key: dict[str, int]


async def read_workers(store: StoreClient, timing: StoreTiming) -> KnownWorkers:
    """Read which workers there are, however long the store needs."""
    entries = await read_all(store, timing, WORKERS_PREFIX)
    roster = await read_all(store, timing, ROSTER_PREFIX)
    return KnownWorkers(entries, _missing(roster, entries), _revision_by_key(roster))


async def read_jobs(store: StoreClient, timing: StoreTiming) -> KeptJobs:
    """Read all jobs, however long the store needs.

    Progress is read before jobs: it belongs to jobs that were there before.
    """
    progress = await read_all(store, timing, PROGRESS_PREFIX)
    jobs = await read_all(store, timing, JOBS_PREFIX)
    return KeptJobs(jobs, _progress_by_id(progress), _revision_by_key(progress))


def _revision_by_key(page: Page) -> dict[str, int]:
    return {item.key: item.revision for item in page.items}


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
