"""Keys and values that the system keeps in the store."""

from .core import (
    cancel_key,
    CANCEL_SUFFIX,
    job_id_of,
    job_key,
    JobRecord,
    JOBS_PREFIX,
    Member,
    member_key,
    MEMBERS_PREFIX,
    OWNER_KEY,
    progress_key,
    PROGRESS_PREFIX,
    roster_key,
    ROSTER_PREFIX,
    RosterEntry,
)

__all__ = (
    'CANCEL_SUFFIX',
    'JOBS_PREFIX',
    'JobRecord',
    'MEMBERS_PREFIX',
    'Member',
    'OWNER_KEY',
    'PROGRESS_PREFIX',
    'ROSTER_PREFIX',
    'RosterEntry',
    'cancel_key',
    'job_id_of',
    'job_key',
    'member_key',
    'progress_key',
    'roster_key',
)
