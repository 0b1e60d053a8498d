"""Keeps the progress of jobs in the store, many jobs in one transaction."""

import zlib
from collections import defaultdict
from collections.abc import Callable

import anyio

from dahliaarch_kernel.codec import encode
from dahliaarch_kernel.errors import DahliaarchError
from dahliaarch_kernel.scheduler import Scheduler
from dahliaarch_platform.store import (
    CommitStatus,
    Condition,
    MAX_TRANSACTION_ENTRIES,
    STORE_FAILURES,
    StoreClient,
    Write,
)

from ..logs import log_event
from ..records import (
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

# Ends of tasks that come within this time share a transaction, in seconds; they
# are owed their acknowledgement 0.1 s after they were listed. The end of a job is
# waited for by its owner and kept at once.
_GATHER_S = 0.03
# Writes of one transaction: each brings a condition on its own key, beside the
# one on the owner's key.
_MOST_WRITES = (MAX_TRANSACTION_ENTRIES - 1) // 2
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


class Recorder:
    """Writes progress under the condition that this owner is still the owner.

    Parameters
    ----------
    store : StoreClient
        The store.
    timing : StoreTiming
        Timeouts and pauses.
    scheduler : Scheduler
        Whose jobs are kept.
    epoch : int
        Revision of the owner's key.
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
        store: StoreClient,
        timing: StoreTiming,
        scheduler: Scheduler,
        epoch: int,
        *,
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
            await self.needed.wait()
            self.needed = anyio.Event()
            if not self._scheduler.has_ends_to_keep:
                await anyio.sleep(_GATHER_S)
            await self._keep_once()

    async def clean(self, status_s: float, wall_s: Callable[[], float]) -> None:
        """Remove jobs that ended long ago, again and again, until cancelled."""
        while True:
            await anyio.sleep(_CLEAN_EVERY_S)
            await self.remove_ended(wall_s() - status_s - _STATUS_SLACK_S)

    async def remove_ended(self, before_wall_s: float) -> None:
        """Remove the jobs that ended before a time, many in one transaction."""
        old = self._scheduler.ended_before(before_wall_s)
        for first in range(0, len(old), _MOST_REMOVED):
            await self._remove(old[first : first + _MOST_REMOVED])

    async def _keep_once(self) -> None:
        mark = self._mark()
        job_ids = self._scheduler.take_dirty_jobs()
        writes = self._roster_writes()
        roster_number = self._roster_number
        writes.extend(self._write_of(job_id) for job_id in sorted(job_ids) if job_id in self._scheduler.job_by_id)
        try:
            for first in range(0, len(writes), _MOST_WRITES):
                batch = writes[first : first + _MOST_WRITES]
                if not await self._commit(batch):
                    return
                # What is kept is not written again when a later transaction fails.
                job_ids.difference_update(self._note_kept(batch))
        except ProgressMovedError as error:
            log_event('progress_moved', why=str(error), jobs=len(job_ids))
            self._forget_kept_parts(writes)
            self._scheduler.mark_dirty(job_ids)
            self.needed.set()
            return
        except STORE_FAILURES as error:
            log_event('progress_not_kept', why=str(error), jobs=len(job_ids))
            self._forget_kept_parts(writes)
            self._scheduler.mark_dirty(job_ids)
            await anyio.sleep(self._timing.retry_pause_s())
            self.needed.set()
            return
        self.kept_roster_number = roster_number
        self._kept(mark)

    def _forget_kept_parts(self, writes: list[Write]) -> None:
        """Have parts of the roster written again: a write without an answer may yet be carried out."""
        for write in writes:
            self._kept_part_by_key.pop(write.key, None)

    def _note_kept(self, batch: list[Write]) -> list[str]:
        """Note what is kept now; return its jobs, whose ends may be shown."""
        self._kept_part_by_key.update(
            (write.key, write.value) for write in batch if write.key.startswith(ROSTER_PREFIX)
        )
        job_ids = [job_id_of(write.key) for write in batch if write.key.startswith(PROGRESS_PREFIX)]
        for job_id in job_ids:
            if self._scheduler.mark_kept(job_id):
                log_event('job_ended', job=job_id, phase=self._scheduler.job_by_id[job_id].phase)
                self._shown(job_id)
        return job_ids

    async def _commit(self, writes: list[Write]) -> bool:
        conditions = [Condition(write.key, self.revision_by_key.get(write.key, 0)) for write in writes]
        outcome = await self._store.commit(
            [Condition(OWNER_KEY, self._epoch), *conditions],
            writes,
            timeout_s=self._timing.write_s,
        )
        if outcome.status is CommitStatus.DONE:
            self.revision_by_key.update((write.key, outcome.revision) for write in writes)
            return True
        present = {item.key: item.revision for item in outcome.current}
        if present.get(OWNER_KEY) == self._epoch:
            # An earlier write without an answer has been carried out meanwhile.
            self.revision_by_key.update((write.key, present.get(write.key, 0)) for write in writes)
            raise ProgressMovedError(f'{len(writes)} keys')
        log_event('progress_refused', status=outcome.status, epoch=self._epoch)
        self._deposed()
        return False

    def _roster_writes(self) -> list[Write]:
        """Return the parts of the list of workers that have changed."""
        if self.roster is not self._encoded_roster:
            self._part_by_key = self._roster_parts()
            self._encoded_roster = self.roster
        parts = sorted(self._part_by_key.items())
        return [Write(key, part) for key, part in parts if part != self._kept_part_by_key.get(key)]

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

    def _write_of(self, job_id: str) -> Write:
        progress = self._scheduler.job_by_id[job_id].progress()
        return Write(progress_key(job_id), encode(progress))

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
