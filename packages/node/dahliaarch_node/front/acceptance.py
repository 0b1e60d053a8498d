"""Writes accepted jobs and cancellations to the store.

When the store doesn't answer a write, its outcome is unknown. The write is retried
under the same condition, which shows whether the first attempt took effect. As long
as the outcome is unknown, the caller receives 504 instead of a refusal, which would
say that the job will not run.

The write of a job has as its condition that the job has not been cancelled. The
cancellation of a job that is not in the store is stored as well: a write of the job
that is still under way then fails, however late it is applied.
"""

import time
from enum import StrEnum
from typing import NamedTuple

from dahliaarch_platform.store import (
    CommitResult,
    CommitStatus,
    Condition,
    STORE_FAILURES,
    StoreClient,
    StoreUnansweredError,
    Write,
)

from ..logs import log_event
from ..records import cancel_key, job_key

# Time limit for writing a request to the store, retries included, in seconds.
STORE_WRITE_TIMEOUT_S = 0.8


class WriteStatus(StrEnum):
    """Outcome of a write to the store."""

    KEPT = 'kept'
    NOT_KEPT = 'not_kept'
    UNKNOWN = 'unknown'
    # The store does not hold the job and never will, since it holds the job's cancellation.
    NO_SUCH_JOB = 'no_such_job'


class WriteOutcome(NamedTuple):
    """Outcome of a write and its store revision; 0 if nothing was written or an earlier attempt wrote it."""

    status: WriteStatus
    revision: int = 0


class _Attempt(NamedTuple):
    """Result of a transaction, or the outcome of the write if none was returned."""

    outcome: WriteOutcome
    result: CommitResult | None = None


async def write_job(
    store: StoreClient, job_id: str, record: bytes, write_timeout_s: float = STORE_WRITE_TIMEOUT_S
) -> WriteOutcome:
    """Write a job to the store, unless it holds one with this id or its cancellation already."""
    write = Write(job_key(job_id), record)
    conditions = (Condition(write.key, 0), Condition(cancel_key(job_id), 0))
    outcome, result = await _commit(store, conditions, write, write_timeout_s)
    if result is None or result.status is CommitStatus.DONE:
        return outcome
    # An earlier attempt of this loop or of the caller may have written the job.
    present = {item.key for item in result.current}
    if write.key in present or cancel_key(job_id) not in present:
        return outcome
    return WriteOutcome(WriteStatus.NO_SUCH_JOB)


async def write_cancellation(
    store: StoreClient, job_id: str, write_timeout_s: float = STORE_WRITE_TIMEOUT_S
) -> WriteOutcome:
    """Write the cancellation of a job that the store holds."""
    return (await _commit(store, (), Write(cancel_key(job_id), b''), write_timeout_s)).outcome


async def cancel_missing_job(
    store: StoreClient, job_id: str, write_timeout_s: float = STORE_WRITE_TIMEOUT_S
) -> WriteOutcome:
    """Write the cancellation of a job that the store does not hold, so that no delayed write adds it.

    Until the cancellation is stored, the job may still be added: only then is the outcome `NO_SUCH_JOB`.
    """
    deadline_s = time.monotonic() + write_timeout_s
    write = Write(cancel_key(job_id), b'')
    outcome, result = await _commit(store, (Condition(job_key(job_id), 0),), write, write_timeout_s)
    if result is None:
        return outcome
    if result.status is CommitStatus.DONE:
        return WriteOutcome(WriteStatus.NO_SUCH_JOB)
    # The job has been added meanwhile.
    return await write_cancellation(store, job_id, deadline_s - time.monotonic())


async def _commit(
    store: StoreClient,
    conditions: tuple[Condition, ...],
    write: Write,
    write_timeout_s: float,
) -> _Attempt:
    if store.is_suspect:
        # A write that is never sent can't take effect later, so the refusal is certain.
        return _Attempt(WriteOutcome(WriteStatus.NOT_KEPT))
    deadline_s = time.monotonic() + write_timeout_s
    status = WriteStatus.NOT_KEPT
    while time.monotonic() < deadline_s:
        try:
            result = await store.commit(conditions, (write,), timeout_s=deadline_s - time.monotonic())
        except StoreUnansweredError as error:
            log_event('write_unanswered', key=write.key, why=str(error))
            status = WriteStatus.UNKNOWN
            continue
        except STORE_FAILURES as error:
            log_event('write_refused', key=write.key, why=str(error), was_ambiguous=status is WriteStatus.UNKNOWN)
            break
        return _Attempt(WriteOutcome(WriteStatus.KEPT, result.revision), result)
    return _Attempt(WriteOutcome(status))
