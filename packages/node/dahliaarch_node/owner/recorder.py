"""Persists job progress, task assignments and the worker roster in the store, batching jobs per transaction."""

import zlib
from collections import defaultdict
from collections.abc import Callable, Collection, Iterable, Iterator, Sequence
from typing import NamedTuple

import anyio

from dahliaarch_kernel.codec import encode
from dahliaarch_kernel.errors import DahliaarchError
from dahliaarch_kernel.scheduler import AssignmentsPart, JobState, parts_of, Scheduler
from dahliaarch_platform.operators import evacuated_domain
from dahliaarch_platform.store import (
    CommitResult,
    CommitStatus,
    Condition,
    Item,
    MAX_TRANSACTION_ENTRIES,
    STORE_FAILURES,
    Write,
)

from ..logs import log_event
from ..records import (
    ASSIGNMENTS_EPOCH_KEY,
    assignments_key,
    cancel_key,
    job_id_from_key,
    job_key,
    OWNER_KEY,
    progress_key,
    PROGRESS_PREFIX,
    roster_key,
    ROSTER_PREFIX,
    RosterEntry,
)
from ..timing import StoreTiming
from .barred_jobs import BarredJobs
from .changes import batches, Change, domain_conditions, DomainEvacuatedError
from .committing import Committer
from .held_starts import HeldStarts, RunId

# Task ends that arrive within this time share a transaction, in seconds. They must
# be acknowledged within 0.1 s of being listed. The end of a job is persisted without
# this delay, because the job's submitter waits for it.
_BATCH_DELAY_S = 0.03
# Maximum time that the assignment of an ended run stays in the store, in seconds. The next
# owner would wait for its worker if that worker is silent.
_MAX_FLUSH_INTERVAL_S = 0.5
# Number of keys that the roster is partitioned into. With 1,400 workers, a change to
# one of them rewrites the entries of 44, which is 6 KB instead of 196 KB.
_ROSTER_PARTS = 32
# Maximum number of jobs removed in one transaction; each has a record, a cancellation and a progress key.
_MAX_JOBS_PER_REMOVAL = (MAX_TRANSACTION_ENTRIES - 1) // 3
# Interval between removals of jobs past their retention period, in seconds.
_CLEANUP_INTERVAL_S = 30.0
# Time that jobs are kept beyond the promised retention period, in seconds, because clocks differ.
_RETENTION_MARGIN_S = 30.0


class RevisionConflictError(DahliaarchError):
    """Keys are at unexpected revisions because a delayed write was applied."""


class _PendingChanges(NamedTuple):
    """Changes to jobs that have not been persisted yet.

    Parameters
    ----------
    job_ids : set of str
        Jobs whose progress has changed.
    parts : set of AssignmentsPart
        Parts whose assignments have changed.
    runs_by_part : dict
        Runs whose starts are sent once their assignments are persisted.
    """

    job_ids: set[str]
    parts: set[AssignmentsPart]
    runs_by_part: dict[AssignmentsPart, list[RunId]]

    def ordered_ids(self) -> list[str]:
        """Return the jobs in the order in which to persist them: first those with held starts."""
        first = dict.fromkeys(part.job_id for part in self.runs_by_part)
        others = self.job_ids.union(part.job_id for part in self.parts).difference(first)
        return [*first, *sorted(others)]

    def parts_by_job(self) -> dict[str, list[AssignmentsPart]]:
        """Return the sorted parts of each job."""
        found: dict[str, list[AssignmentsPart]] = {}
        for part in sorted(self.parts):
            found.setdefault(part.job_id, []).append(part)
        return found


class Recorder:
    """Writes progress and assignments on the condition that this owner still owns the pool.

    Parameters
    ----------
    store : Committer
        Commits transactions.
    timing : StoreTiming
        Timeouts and retry pauses of store calls.
    scheduler : Scheduler
        Scheduler whose jobs are persisted.
    epoch : int
        Revision of the owner's key.
    held_starts : HeldStarts
        Starts that are sent once their assignments are persisted.
    barred : BarredJobs
        Jobs that were cancelled before they were known.
    processed_ends : callable
        Returns, by worker, the number of the last end that has been processed.
    on_persisted : callable
        Called with the result of `processed_ends` once everything up to it is persisted.
    on_end_persisted : callable
        Called with a job whose end is persisted and may now be shown to clients.
    on_evacuated : callable
        Called with the requests to evacuate failure domains that a transaction encountered.
    on_deposed : callable
        Called when another owner has taken over the pool.
    """

    def __init__(
        self,
        store: Committer,
        timing: StoreTiming,
        scheduler: Scheduler,
        epoch: int,
        *,
        held_starts: HeldStarts,
        barred: BarredJobs,
        processed_ends: Callable[[], dict[str, int]],
        on_persisted: Callable[[dict[str, int]], None],
        on_end_persisted: Callable[[str], None],
        on_evacuated: Callable[[Iterable[Item]], None],
        on_deposed: Callable[[], None],
    ) -> None:
        """Start without pending changes."""
        self.flush_requested = anyio.Event()
        self.roster: list[RosterEntry] = []
        # Expected revision of each key. A delayed write that is applied after a newer
        # one by the same owner fails on these revisions.
        self.revision_by_key: dict[str, int] = {}
        self._encoded_roster: list[RosterEntry] = []
        self._roster_version = 0
        # Version of the latest roster that the store is known to hold.
        self.persisted_roster_version = 0
        self._part_by_key: dict[str, bytes] = {}
        self._persisted_part_by_key: dict[str, bytes] = {}
        self._store = store
        self._timing = timing
        self._scheduler = scheduler
        self._epoch = epoch
        self._held_starts = held_starts
        self._barred = barred
        self._processed_ends = processed_ends
        self._on_persisted = on_persisted
        self._on_end_persisted = on_end_persisted
        self._on_evacuated = on_evacuated
        self._on_deposed = on_deposed

    def set_roster(self, roster: list[RosterEntry]) -> int:
        """Replace the roster to be persisted; return its version."""
        self.roster = roster
        self._roster_version += 1
        self.flush_requested.set()
        return self._roster_version

    async def run(self) -> None:
        """Persist changes until cancelled."""
        while True:
            with anyio.move_on_after(_MAX_FLUSH_INTERVAL_S):
                await self.flush_requested.wait()
            self.flush_requested = anyio.Event()
            if not (self._held_starts or self._scheduler.has_unsaved_ends):
                await anyio.sleep(_BATCH_DELAY_S)
            await self._flush()

    async def run_cleanup(self, status_s: float, wall_s: Callable[[], float]) -> None:
        """Periodically remove jobs past their retention period, until cancelled."""
        while True:
            await anyio.sleep(_CLEANUP_INTERVAL_S)
            await self.remove_ended(wall_s() - status_s - _RETENTION_MARGIN_S)

    async def remove_ended(self, before_wall_s: float) -> None:
        """Remove the jobs that ended before a wall-clock time, in batches."""
        old = self._scheduler.jobs_ended_before(before_wall_s)
        for first in range(0, len(old), _MAX_JOBS_PER_REMOVAL):
            await self._remove_jobs(old[first : first + _MAX_JOBS_PER_REMOVAL])
        for job_id in self._barred.seen_before(before_wall_s):
            await self._remove_cancellation(job_id)

    async def _flush(self) -> None:
        processed_ends = self._processed_ends()
        pending = _PendingChanges(
            self._scheduler.take_dirty_jobs(),
            self._scheduler.assignments.take_unsaved(),
            self._held_starts.runs_by_part(),
        )
        roster_version = self._roster_version
        roster = self._roster_changes()
        # Jobs come first: a worker is removed from the roster only once no stored assignment names it.
        changes = [*self._job_changes(pending), *roster]
        try:
            for batch in batches(changes):
                if not await self._commit(batch):
                    return
                self._mark_persisted(batch, pending)
                if not roster:
                    self._release(pending, [change.part for change in batch if change.part])
        except DomainEvacuatedError as error:
            log_event('starts_in_evacuated_domain', why=str(error), starts=len(self._held_starts))
            self._requeue(pending, changes)
            self._on_evacuated(error.requests)
            # The scheduling task withdraws these starts meanwhile.
            await anyio.sleep(_BATCH_DELAY_S)
            return
        except RevisionConflictError as error:
            log_event('progress_moved', why=str(error), jobs=len(pending.job_ids))
            self._requeue(pending, changes)
            return
        except STORE_FAILURES as error:
            log_event('progress_not_kept', why=str(error), jobs=len(pending.job_ids), starts=len(self._held_starts))
            self._requeue(pending, changes)
            await anyio.sleep(self._timing.retry_pause_s())
            return
        self.persisted_roster_version = roster_version
        self._release(pending, tuple(pending.runs_by_part))
        self._on_persisted(processed_ends)

    def _release(self, pending: _PendingChanges, parts: Iterable[AssignmentsPart]) -> None:
        """Send the held starts whose assignments, and whose workers' roster entries, are persisted."""
        for part in parts:
            self._held_starts.release(pending.runs_by_part.pop(part, ()))

    def _requeue(self, pending: _PendingChanges, changes: Iterable[Change]) -> None:
        """Queue changes that failed for another write; an unanswered write may still be applied later."""
        for change in changes:
            self._persisted_part_by_key.pop(change.key, None)
        self._scheduler.mark_dirty(pending.job_ids)
        # Each start is sent after a transaction that excludes an evacuation of its failure domain.
        self._scheduler.assignments.mark_unsaved(pending.parts.union(pending.runs_by_part))
        self.flush_requested.set()

    def _mark_persisted(self, batch: Iterable[Change], pending: _PendingChanges) -> None:
        """Mark a batch as persisted: it is not rewritten if a later transaction fails, and job ends may be shown."""
        for change in batch:
            if change.part is not None:
                pending.parts.discard(change.part)
            elif change.key.startswith(PROGRESS_PREFIX):
                self._mark_progress_persisted(job_id_from_key(change.key), pending)
            elif change.value is not None and change.key.startswith(ROSTER_PREFIX):
                self._persisted_part_by_key[change.key] = change.value

    def _mark_progress_persisted(self, job_id: str, pending: _PendingChanges) -> None:
        pending.job_ids.discard(job_id)
        if self._scheduler.mark_saved(job_id):
            log_event('job_ended', job=job_id, phase=self._scheduler.job_by_id[job_id].phase)
            self._on_end_persisted(job_id)

    async def _commit(self, batch: Sequence[Change]) -> bool:
        conditions = [Condition(change.key, self._revision(change.key)) for change in batch]
        outcome = await self._store.commit(
            [Condition(OWNER_KEY, self._epoch), *domain_conditions(batch), *conditions],
            [Write(change.key, change.value) for change in batch if change.value is not None],
            [change.key for change in batch if change.value is None],
            timeout_s=self._timing.write_timeout_s,
        )
        if outcome.status is CommitStatus.DONE:
            for change in batch:
                self._record_revision(change.key, 0 if change.value is None else outcome.revision)
            return True
        if _is_owner(outcome, self._epoch):
            self._handle_conflict(batch, outcome)
        log_event('progress_refused', status=outcome.status, epoch=self._epoch)
        self._on_deposed()
        return False

    def _handle_conflict(self, batch: Collection[Change], outcome: CommitResult) -> None:
        """Record the revisions that made a transaction fail, and raise the error that tells why it failed."""
        present = {item.key: item.revision for item in outcome.current}
        for change in batch:
            self._record_revision(change.key, present.get(change.key, 0))
        requests = tuple(item for item in outcome.current if evacuated_domain(item.key) is not None)
        if requests:
            raise DomainEvacuatedError(requests)
        # An earlier unanswered write has been applied in the meantime.
        raise RevisionConflictError(f'one or more of {len(batch)} keys at an unexpected revision')

    def _revision(self, key: str) -> int:
        return self.revision_by_key.get(key, 0)

    def _record_revision(self, key: str, revision: int) -> None:
        """Record the revision of a key, 0 for a removed one."""
        if revision:
            self.revision_by_key[key] = revision
        else:
            self.revision_by_key.pop(key, None)

    def _job_changes(self, pending: _PendingChanges) -> Iterator[Change]:
        """Yield the changes of each job: its progress, then its assignments."""
        parts_by_job = pending.parts_by_job()
        for job_id in pending.ordered_ids():
            job = self._scheduler.job_by_id.get(job_id)
            if job is None:
                continue
            if job_id in pending.job_ids:
                yield Change(progress_key(job_id), encode(job.progress()))
            parts = self._stored_parts(job) if job.has_ended else parts_by_job.get(job_id, [])
            yield from self._assignment_changes(parts, pending)

    def _assignment_changes(self, parts: Iterable[AssignmentsPart], pending: _PendingChanges) -> Iterator[Change]:
        """Yield changes of assignments; a part without assignments is removed."""
        for part in parts:
            key = assignments_key(part)
            assignments = self._scheduler.assignments.for_part(part)
            if any(assignments):
                domains = self._domains_of(pending.runs_by_part.get(part, ()))
                yield Change(key, encode(assignments), part, domains)
            elif self._revision(key):
                yield Change(key, None, part)

    def _domains_of(self, runs: Iterable[RunId]) -> frozenset[str]:
        """Return the failure domains in which held starts are sent."""
        workers = self._scheduler.worker_by_id
        worker_ids = self._held_starts.workers_of(runs)
        return frozenset(workers[worker_id].profile.domain for worker_id in worker_ids if worker_id in workers)

    def _stored_parts(self, job: JobState) -> list[AssignmentsPart]:
        """Return the parts of a job that the store is known to hold."""
        parts = (part for step in job.step_by_key.values() for part in parts_of(step))
        return [part for part in parts if self._revision(assignments_key(part))]

    def _roster_changes(self) -> list[Change]:
        """Return the changed parts of the roster, followed by the mark that this owner stores assignments."""
        if self.roster is not self._encoded_roster:
            self._part_by_key = self._roster_parts()
            self._encoded_roster = self.roster
        parts = sorted(self._part_by_key.items())
        changes = [Change(key, part) for key, part in parts if part != self._persisted_part_by_key.get(key)]
        if changes:
            changes.append(Change(ASSIGNMENTS_EPOCH_KEY, encode(self._epoch)))
        return changes

    def _roster_parts(self) -> dict[str, bytes]:
        entries_by_key = defaultdict[str, list[RosterEntry]](list)
        # Parts written by a previous owner may contain only workers that no longer exist.
        for key in self.revision_by_key:
            if key.startswith(ROSTER_PREFIX):
                entries_by_key[key] = []
        for entry in self.roster:
            number = zlib.crc32(entry.profile.worker_id.encode()) % _ROSTER_PARTS
            entries_by_key[roster_key(number)].append(entry)
        return {key: encode(entries) for key, entries in entries_by_key.items()}

    async def _remove_cancellation(self, job_id: str) -> None:
        """Remove the cancellation of a job that was not added until the end of the retention period."""
        conditions = [Condition(OWNER_KEY, self._epoch), Condition(job_key(job_id), 0)]
        try:
            outcome = await self._store.commit(
                conditions, [], [cancel_key(job_id)], timeout_s=self._timing.call_timeout_s
            )
        except STORE_FAILURES as error:
            log_event('cancellation_not_removed', job=job_id, why=str(error))
            return
        if outcome.status is CommitStatus.DONE:
            self._barred.discard(job_id)

    async def _remove_jobs(self, job_ids: list[str]) -> None:
        keys = [key(job_id) for job_id in job_ids for key in (job_key, cancel_key, progress_key)]
        try:
            outcome = await self._store.commit(
                [Condition(OWNER_KEY, self._epoch)],
                [],
                keys,
                timeout_s=self._timing.call_timeout_s,
            )
        except STORE_FAILURES as error:
            log_event('jobs_not_removed', jobs=len(job_ids), why=str(error))
            return
        if outcome.status is not CommitStatus.DONE:
            return
        for job_id in job_ids:
            self.revision_by_key.pop(progress_key(job_id), None)
            self._scheduler.forget_job(job_id)


def _is_owner(outcome: CommitResult, epoch: int) -> bool:
    """Return whether the pool still belongs to an owner whose transaction failed on a condition."""
    return any(item.key == OWNER_KEY and item.revision == epoch for item in outcome.current)
