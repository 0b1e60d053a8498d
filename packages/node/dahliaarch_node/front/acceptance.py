"""Keeps accepted jobs and cancellations, and knows what it does not know.

A write without an answer is neither done nor not done. It is tried again under
the same condition, which tells the two apart; while that can't be told the
caller gets 504, never a refusal that says the job will not run.
"""

import time
from enum import StrEnum
from typing import NamedTuple

from dahliaarch_platform.store import Condition, STORE_FAILURES, StoreClient, StoreUnansweredError, Write

from ..logs import log_event
from ..records import cancel_key, job_key

# Longest time that a request is held for the store, in seconds.
STORE_WRITE_TIMEOUT_S = 0.8


class Fate(StrEnum):
    """What became of a write."""

    KEPT = 'kept'
    NOT_KEPT = 'not_kept'
    UNKNOWN = 'unknown'
    NO_SUCH_JOB = 'no_such_job'


class WriteOutcome(NamedTuple):
    """What became of a write, and its revision when it was made now."""

    fate: Fate
    revision: int = 0


async def keep_job(
    store: StoreClient, job_id: str, record: bytes, write_timeout_s: float = STORE_WRITE_TIMEOUT_S
) -> WriteOutcome:
    """Keep a job unless one of its id is kept already."""
    write = Write(job_key(job_id), record)
    return await _commit(store, (Condition(write.key, 0),), write, write_timeout_s)


async def keep_cancellation(
    store: StoreClient, job_id: str, write_timeout_s: float = STORE_WRITE_TIMEOUT_S
) -> WriteOutcome:
    """Keep a cancellation."""
    return await _commit(store, (), Write(cancel_key(job_id), b''), write_timeout_s)


async def _commit(
    store: StoreClient,
    conditions: tuple[Condition, ...],
    write: Write,
    write_timeout_s: float,
) -> WriteOutcome:
    if store.is_suspect:
        # What is not sent can't be carried out late.
        return WriteOutcome(Fate.NOT_KEPT)
    deadline_s = time.monotonic() + write_timeout_s
    fate = Fate.NOT_KEPT
    while time.monotonic() < deadline_s:
        try:
            outcome = await store.commit(conditions, (write,), timeout_s=deadline_s - time.monotonic())
        except StoreUnansweredError as error:
            log_event('write_unanswered', key=write.key, why=str(error))
            fate = Fate.UNKNOWN
            continue
        except STORE_FAILURES as error:
            log_event('write_refused', key=write.key, why=str(error), was_ambiguous=fate is Fate.UNKNOWN)
            break
        # A condition that fails tells that the key is there, by an earlier try
        # of ours or of the caller.
        return WriteOutcome(Fate.KEPT, outcome.revision)
    return WriteOutcome(fate)
