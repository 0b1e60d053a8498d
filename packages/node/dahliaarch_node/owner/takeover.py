"""Reads the state that previous owners left in the store."""

from collections import defaultdict
from typing import NamedTuple

import anyio

from dahliaarch_kernel.codec import decode
from dahliaarch_kernel.errors import ProtocolError
from dahliaarch_kernel.scheduler import AssignmentsPart, JobProgress, StepAssignments
from dahliaarch_platform.operators import EVACUATIONS_PREFIX
from dahliaarch_platform.store import Page, StoreClient, WORKERS_PREFIX

from ..logs import log_event
from ..records import (
    ASSIGNMENTS_EPOCH_KEY,
    ASSIGNMENTS_PREFIX,
    job_id_from_key,
    JOBS_PREFIX,
    parse_assignments_key,
    PROGRESS_PREFIX,
    ROSTER_PREFIX,
    RosterEntry,
)
from ..timing import StoreTiming
from ..watching import read_all

AssignmentsById = dict[str, dict[AssignmentsPart, StepAssignments]]


class KnownWorkers(NamedTuple):
    """Workers that may be running tasks.

    Parameters
    ----------
    entries : Page
        Entries that workers published.
    roster : tuple of RosterEntry
        Workers that the previous owner knew, whether or not they have an entry.
    revision_by_key : dict
        Revisions of the roster keys, which only owners write.
    """

    entries: Page
    roster: tuple[RosterEntry, ...]
    revision_by_key: dict[str, int]


class StoredJobs(NamedTuple):
    """Jobs in the store with their progress and assignments, and the evacuations that bind their starts.

    Parameters
    ----------
    jobs : Page
        Job records and cancellations.
    progress_by_id : dict
        Progress by job.
    assignments_by_id : dict
        Assignments by job: the workers on which its tasks may be running.
    revision_by_key : dict
        Revisions of the progress and assignment keys, which only owners write.
    is_readable : bool
        Whether all assignments could be decoded.
    evacuations : Page
        Requests to evacuate failure domains.
    """

    jobs: Page
    progress_by_id: dict[str, JobProgress]
    assignments_by_id: AssignmentsById
    revision_by_key: dict[str, int]
    is_readable: bool
    evacuations: Page


def are_assignments_complete(workers: KnownWorkers, stored: StoredJobs) -> bool:
    """Return whether previous owners stored each assignment before they sent its start.

    Earlier versions of the program store only the roster, and later ones may use an encoding unknown to this one.
    """
    roster_revision = max(workers.revision_by_key.values(), default=0)
    return stored.is_readable and stored.revision_by_key.get(ASSIGNMENTS_EPOCH_KEY, 0) >= roster_revision


async def read_workers(store: StoreClient, timing: StoreTiming) -> KnownWorkers:
    """Read worker entries and the roster, retrying until the store answers."""
    entries, roster = await _read_prefixes(store, timing, WORKERS_PREFIX, ROSTER_PREFIX)
    return KnownWorkers(entries, _roster(roster), _revision_by_key(roster))


async def read_jobs(store: StoreClient, timing: StoreTiming) -> StoredJobs:
    """Read all jobs, retrying until the store answers.

    Only owners write progress and assignments, and no previous owner can write any more,
    so the progress and assignments read here belong to jobs that are already in the store.
    """
    progress, assignments, jobs, evacuations = await _read_prefixes(
        store, timing, PROGRESS_PREFIX, ASSIGNMENTS_PREFIX, JOBS_PREFIX, EVACUATIONS_PREFIX
    )
    assignments_by_id, is_readable = _assignments_by_id(assignments)
    revision_by_key = _revision_by_key(progress) | _revision_by_key(assignments)
    return StoredJobs(jobs, _progress_by_id(progress), assignments_by_id, revision_by_key, is_readable, evacuations)


async def _read_prefixes(store: StoreClient, timing: StoreTiming, *prefixes: str) -> list[Page]:
    """Read prefixes concurrently; one by one, a takeover took 1.07 s with a store that answers in 0.27 s."""
    page_by_prefix: dict[str, Page] = {}

    async def read(prefix: str) -> None:
        page_by_prefix[prefix] = await read_all(store, timing, prefix)

    async with anyio.create_task_group() as tasks:
        for each in prefixes:
            tasks.start_soon(read, each)
    return [page_by_prefix[each] for each in prefixes]


def _revision_by_key(page: Page) -> dict[str, int]:
    return {item.key: item.revision for item in page.items}


def _progress_by_id(page: Page) -> dict[str, JobProgress]:
    found = {}
    for item in page.items:
        try:
            found[job_id_from_key(item.key)] = decode(item.value, JobProgress, 'progress')
        except ProtocolError as error:
            log_event('progress_malformed', key=item.key, why=str(error))
    return found


def _assignments_by_id(page: Page) -> tuple[AssignmentsById, bool]:
    """Decode assignments; also return whether all of them could be decoded."""
    found: AssignmentsById = defaultdict(dict)
    is_readable = True
    for item in page.items:
        if item.key == ASSIGNMENTS_EPOCH_KEY:
            continue
        try:
            part = parse_assignments_key(item.key)
            found[part.job_id][part] = decode(item.value, StepAssignments, 'assignments')
        except (ProtocolError, ValueError) as error:
            log_event('assignments_malformed', key=item.key, why=str(error))
            is_readable = False
    return dict(found), is_readable


def _roster(page: Page) -> tuple[RosterEntry, ...]:
    return tuple(entry for item in page.items for entry in decode(item.value, list[RosterEntry], 'roster'))
