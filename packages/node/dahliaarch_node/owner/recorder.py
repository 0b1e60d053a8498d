"""Keeps the progress of jobs and where their tasks are assigned in the store, many jobs in one transaction."""

import zlib
from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator, Sequence
from typing import NamedTuple

import anyio

from dahliaarch_kernel.codec import encode
from dahliaarch_kernel.errors import DahliaarchError
from dahliaarch_kernel.scheduler import AssignmentsPart, JobState, parts_of, Scheduler
from dahliaarch_platform.store import (
    CommitStatus,
    Condition,
    MAX_TRANSACTION_ENTRIES,
    STORE_FAILURES,
    Write,
)

from ..logs import log_event
from ..records import (
    ASSIGNER_KEY,
    assignments_key,
    cancel_key,
    job_id_of,
    job_key,
    OWNER_KEY,
    progress_key,
    PROGRESS_PREFIX,
    roster_key,
    ROSTER_PREFIX,
    RosterEntry,
)
from ..timing import StoreTiming
from .committing import Committer
from .held_starts import HeldStarts, RunId

# Ends of tasks that come within this time share a transaction, in seconds; they
# are owed their acknowledgement 0.1 s after they were listed. The end of a job is
# waited for by its owner and kept at once.
_GATHER_S = 0.03
# Changes of one transaction: each brings a condition on its own key, beside the
# one on the owner's key.
_MOST_CHANGES = (MAX_TRANSACTION_ENTRIES - 1) // 2
# Longest time that an assignment whose run has ended stays in the store, in seconds: a next
# owner would wait for its worker if that is silent.
_TAKE_BACK_S = 0.5
# Keys that the list of workers is spread over: a worker that changes costs what 44
# of 1,400 take, 6 KB, and not 196.
_ROSTER_PARTS = 32
# Jobs removed in one transaction: each has a record, a cancellation and progress.
_MOST_REMOVED = (MAX_TRANSACTION_ENTRIES - 1) // 3
# How often jobs that ended long ago are removed, in seconds.
_CLEAN_EVERY_S = 30.0
# Kept longer than promised, since clocks differ.
_STATUS_SLACK_S = 30.0


class ProgressMovedError(DahliaarchError):
    """Keys stand at other revisions than was known: a write was carried out late."""


class _Change(NamedTuple):
    """A key that is written or, without a value, removed."""

    key: str
    value: bytes | None
    part: AssignmentsPart | None = None


class _Unkept(NamedTuple):
    """What is to be kept of jobs.

    Parameters
    ----------
    job_ids : set of str
        Jobs whose progress has changed.
    parts : set of AssignmentsPart
        Assignments that have changed.
    runs_by_part : dict
        Runs whose starts are sent once their assignments are kept.
    """

    job_ids: set[str]
    parts: set[AssignmentsPart]
    runs_by_part: dict[AssignmentsPart, list[RunId]]

    def ordered_ids(self) -> list[str]:
        """Return the jobs in the order in which they are to be kept: starts wait for some."""
        first = dict.fromkeys(part.job_id for part in self.runs_by_part)
        others = self.job_ids.union(part.job_id for part in self.parts).difference(first)
        return [*first, *sorted(others)]

    def parts_by_job(self) -> dict[str, list[AssignmentsPart]]:
        """Return the parts by job, in their order."""
        found: dict[str, list[AssignmentsPart]] = {}
        for part in sorted(self.parts):
            found.setdefault(part.job_id, []).append(part)
        return found


class Recorder:
    """Writes progress and assignments under the condition that this owner is still the owner.

    Parameters
    ----------
    store : Committer
        Makes transactions.
    timing : StoreTiming
        Timeouts and pauses.
    scheduler : Scheduler
        Whose jobs are kept.
    epoch : int
        Revision of the owner's key.
    starts : HeldStarts
        Starts that are sent once their assignments are kept.
    mark : callable
        Returns, by worker, the last end that has been taken in.
    kept : callable
        Called with such a mark once everything up to it is kept.
    shown : callable
        Called with a job whose end is kept, so that it may be shown.
    deposed : callable
        Called when another owner has taken the pool.
    """

    def __init__(
        self,
        store: Committer,
        timing: StoreTiming,
        scheduler: Scheduler,
        epoch: int,
        *,
        starts: HeldStarts,
        mark: Callable[[], dict[str, int]],
        kept: Callable[[dict[str, int]], None],
        shown: Callable[[str], None],
        deposed: Callable[[], None],
    ) -> None:
        """Start with nothing to keep."""
        self.needed = anyio.Event()
        self.roster: list[RosterEntry] = []
        # Revisions at which the keys stand: a write that is carried out late, after
        # a newer one of the same owner, fails on them.
        self.revision_by_key: dict[str, int] = {}
        self._encoded_roster: list[RosterEntry] = []
        self._roster_number = 0
        # Number of the latest roster that the store surely holds.
        self.kept_roster_number = 0
        self._part_by_key: dict[str, bytes] = {}
        self._kept_part_by_key: dict[str, bytes] = {}
        self._store = store
        self._timing = timing
        self._scheduler = scheduler
        self._epoch = epoch
        self._starts = starts
        self._mark = mark
        self._kept = kept
        self._shown = shown
        self._deposed = deposed

    def offer_roster(self, roster: list[RosterEntry]) -> int:
        """Have a roster kept in place of the one before; return its number."""
        self.roster = roster
        self._roster_number += 1
        self.needed.set()
        return self._roster_number

    async def run(self) -> None:
        """Keep what has changed, again and again, until cancelled."""
        while True:
            with anyio.move_on_after(_TAKE_BACK_S):
                await self.needed.wait()
            self.needed = anyio.Event()
            if not (self._starts or self._scheduler.has_ends_to_keep):
                await anyio.sleep(_GATHER_S)
            await self._keep_once()

    async def clean(self, status_s: float, wall_s: Callable[[], float]) -> None:
        """Remove jobs that ended long ago, again and again, until cancelled."""
        while True:
            await anyio.sleep(_CLEAN_EVERY_S)
            await self.remove_ended(wall_s() - status_s - _STATUS_SLACK_S)

    async def remove_ended(self, before_wall_s: float) -> None:
        """Remove the jobs that ended before a time, many in one transaction."""
        old = self._scheduler.jobs_ended_before(before_wall_s)
        for first in range(0, len(old), _MOST_REMOVED):
            await self._remove(old[first : first + _MOST_REMOVED])

    async def _keep_once(self) -> None:
        mark = self._mark()
        unkept = _Unkept(
            self._scheduler.take_dirty_jobs(),
            self._scheduler.assignments.take_unkept(),
            self._starts.runs_by_part(),
        )
        roster_number = self._roster_number
        roster = self._roster_changes()
        # Jobs come first: a worker is taken off the roster only once nothing says that a task runs there.
        changes = [*self._job_changes(unkept), *roster]
        try:
            for first in range(0, len(changes), _MOST_CHANGES):
                batch = changes[first : first + _MOST_CHANGES]
                if not await self._commit(batch):
                    return
                self._note_kept(batch, unkept)
                if not roster:
                    self._release(unkept, [change.part for change in batch if change.part])
        except ProgressMovedError as error:
            log_event('progress_moved', why=str(error), jobs=len(unkept.job_ids))
            self._keep_again(unkept, changes)
            return
        except STORE_FAILURES as error:
            log_event('progress_not_kept', why=str(error), jobs=len(unkept.job_ids), starts=len(self._starts))
            self._keep_again(unkept, changes)
            await anyio.sleep(self._timing.retry_pause_s())
            return
        self.kept_roster_number = roster_number
        self._release(unkept, tuple(unkept.runs_by_part))
        self._kept(mark)

    def _release(self, unkept: _Unkept, parts: Iterable[AssignmentsPart]) -> None:
        """Let starts be sent whose assignments are kept, and whose workers are on the kept roster."""
        for part in parts:
            self._starts.release(unkept.runs_by_part.pop(part, ()))

    def _keep_again(self, unkept: _Unkept, changes: Iterable[_Change]) -> None:
        """Have what was not kept written again: a write without an answer may yet be carried out."""
        for change in changes:
            self._kept_part_by_key.pop(change.key, None)
        self._scheduler.mark_dirty(unkept.job_ids)
        self._scheduler.assignments.mark_unkept(unkept.parts)
        self.needed.set()

    def _note_kept(self, batch: Iterable[_Change], unkept: _Unkept) -> None:
        """Note what is kept now: it is not written again when a later transaction fails, and ends may be shown."""
        for change in batch:
            if change.part is not None:
                unkept.parts.discard(change.part)
            elif change.key.startswith(PROGRESS_PREFIX):
                self._note_progress(job_id_of(change.key), unkept)
            elif change.value is not None and change.key.startswith(ROSTER_PREFIX):
                self._kept_part_by_key[change.key] = change.value

    def _note_progress(self, job_id: str, unkept: _Unkept) -> None:
        unkept.job_ids.discard(job_id)
        if self._scheduler.mark_kept(job_id):
            log_event('job_ended', job=job_id, phase=self._scheduler.job_by_id[job_id].phase)
            self._shown(job_id)

    async def _commit(self, batch: Sequence[_Change]) -> bool:
        conditions = [Condition(change.key, self._revision(change.key)) for change in batch]
        outcome = await self._store.commit(
            [Condition(OWNER_KEY, self._epoch), *conditions],
            [Write(change.key, change.value) for change in batch if change.value is not None],
            [change.key for change in batch if change.value is None],
            timeout_s=self._timing.write_s,
        )
        if outcome.status is CommitStatus.DONE:
            for change in batch:
                self._note_revision(change.key, 0 if change.value is None else outcome.revision)
            return True
        present = {item.key: item.revision for item in outcome.current}
        if present.get(OWNER_KEY) == self._epoch:
            # An earlier write without an answer has been carried out meanwhile.
            for change in batch:
                self._note_revision(change.key, present.get(change.key, 0))
            raise ProgressMovedError(f'{len(batch)} keys')
        log_event('progress_refused', status=outcome.status, epoch=self._epoch)
        self._deposed()
        return False

    def _revision(self, key: str) -> int:
        return self.revision_by_key.get(key, 0)

    def _note_revision(self, key: str, revision: int) -> None:
        """Note at which revision a key stands; 0 for one that is gone."""
        if revision:
            self.revision_by_key[key] = revision
        else:
            self.revision_by_key.pop(key, None)

    def _job_changes(self, unkept: _Unkept) -> Iterator[_Change]:
        """Yield what is to be kept of jobs: of each its progress, then where its tasks are assigned."""
        parts_by_job = unkept.parts_by_job()
        for job_id in unkept.ordered_ids():
            job = self._scheduler.job_by_id.get(job_id)
            if job is None:
                continue
            if job_id in unkept.job_ids:
                yield _Change(progress_key(job_id), encode(job.progress()))
            parts = parts_by_job.get(job_id, [])
            yield from self._part_changes(self._kept_parts(job) if job.has_ended else parts)

    def _part_changes(self, parts: Iterable[AssignmentsPart]) -> Iterator[_Change]:
        """Yield changes of assignments; where nothing is assigned any more, nothing is kept."""
        for part in parts:
            key = assignments_key(part)
            assignments = self._scheduler.assignments.of_part(part)
            if any(assignments):
                yield _Change(key, encode(assignments), part)
            elif self._revision(key):
                yield _Change(key, None, part)

    def _kept_parts(self, job: JobState) -> list[AssignmentsPart]:
        """Return the parts of a job that the store holds, as far as is known."""
        parts = (part for step in job.step_by_key.values() for part in parts_of(step))
        return [part for part in parts if self._revision(assignments_key(part))]

    def _roster_changes(self) -> list[_Change]:
        """Return the parts of the list of workers that have changed, and then that this owner keeps assignments."""
        if self.roster is not self._encoded_roster:
            self._part_by_key = self._roster_parts()
            self._encoded_roster = self.roster
        parts = sorted(self._part_by_key.items())
        changes = [_Change(key, part) for key, part in parts if part != self._kept_part_by_key.get(key)]
        if changes:
            changes.append(_Change(ASSIGNER_KEY, encode(self._epoch)))
        return changes

    def _roster_parts(self) -> dict[str, bytes]:
        entries_by_key = defaultdict[str, list[RosterEntry]](list)
        # Parts that a previous owner wrote may name workers that are gone.
        for key in self.revision_by_key:
            if key.startswith(ROSTER_PREFIX):
                entries_by_key[key] = []
        for entry in self.roster:
            number = zlib.crc32(entry.profile.worker_id.encode()) % _ROSTER_PARTS
            entries_by_key[roster_key(number)].append(entry)
        return {key: encode(entries) for key, entries in entries_by_key.items()}

    async def _remove(self, job_ids: list[str]) -> None:
        keys = [key(job_id) for job_id in job_ids for key in (job_key, cancel_key, progress_key)]
        try:
            outcome = await self._store.commit(
                [Condition(OWNER_KEY, self._epoch)],
                [],
                keys,
                timeout_s=self._timing.call_s,
            )
        except STORE_FAILURES as error:
            log_event('jobs_not_removed', jobs=len(job_ids), why=str(error))
            return
        if outcome.status is not CommitStatus.DONE:
            return
        for job_id in job_ids:
            self.revision_by_key.pop(progress_key(job_id), None)
            self._scheduler.forget_job(job_id)
