"""Writes accepted jobs and cancellations to the store.

When the store doesn't answer a write, its outcome is unknown. The write is retried
under the same condition, which shows whether the first attempt took effect. As long
as the outcome is unknown, the caller receives 504 instead of a refusal, which would
say that the job will not run.
"""

import time
from enum import StrEnum
from typing import NamedTuple

from dahliaarch_platform.store import Condition, STORE_FAILURES, StoreClient, StoreUnansweredError, Write

from ..logs import log_event
from ..records import cancel_key, job_key

# Time limit for writing a request to the store, retries included, in seconds.
STORE_WRITE_TIMEOUT_S = 0.8


class WriteStatus(StrEnum):
    """Outcome of a write to the store."""

    KEPT = 'kept'
    NOT_KEPT = 'not_kept'
    UNKNOWN = 'unknown'
    NO_SUCH_JOB = 'no_such_job'


class WriteOutcome(NamedTuple):
    """Outcome of a write and its store revision; 0 if nothing was written or an earlier attempt wrote it."""

    status: WriteStatus
    revision: int = 0


async def write_job(
    store: StoreClient, job_id: str, record: bytes, write_timeout_s: float = STORE_WRITE_TIMEOUT_S
) -> WriteOutcome:
    """Write a job to the store unless it holds one with this id already."""
    write = Write(job_key(job_id), record)
    return await _commit(store, (Condition(write.key, 0),), write, write_timeout_s)


async def write_cancellation(
    store: StoreClient, job_id: str, write_timeout_s: float = STORE_WRITE_TIMEOUT_S
) -> WriteOutcome:
    """Write a cancellation to the store."""
    return await _commit(store, (), Write(cancel_key(job_id), b''), write_timeout_s)


async def _commit(
    store: StoreClient,
    conditions: tuple[Condition, ...],
    write: Write,
    write_timeout_s: float,
) -> WriteOutcome:
    if store.is_suspect:
        # A write that is never sent can't take effect later, so the refusal is certain.
        return WriteOutcome(WriteStatus.NOT_KEPT)
    deadline_s = time.monotonic() + write_timeout_s
    status = WriteStatus.NOT_KEPT
    while time.monotonic() < deadline_s:
        try:
            outcome = await store.commit(conditions, (write,), timeout_s=deadline_s - time.monotonic())
        except StoreUnansweredError as error:
            log_event('write_unanswered', key=write.key, why=str(error))
            status = WriteStatus.UNKNOWN
            continue
        except STORE_FAILURES as error:
            log_event('write_refused', key=write.key, why=str(error), was_ambiguous=status is WriteStatus.UNKNOWN)
            break
        # A failed condition means that the key exists already, written by an earlier
        # attempt of this loop or of the caller.
        return WriteOutcome(WriteStatus.KEPT, outcome.revision)
    return WriteOutcome(status)
