"""Admission control: which submitted jobs are refused for load, and when refused callers should return."""

from .backoff import MAX_RETRY_AFTER_S, MIN_RETRY_AFTER_S, Refusal, retry_after_s
from .bounds import Candidate, start_bound_s
from .digest import decode_digest, Digest, encode_digest, KnownDigest, MAX_ACCOUNTS, MAX_QUEUES, QueueBacklog
from .outages import Outages
from .summary import summarize
from .verdict import assess, digest_age_s, Reason, Verdict

__all__ = (
    'MAX_ACCOUNTS',
    'MAX_QUEUES',
    'MAX_RETRY_AFTER_S',
    'MIN_RETRY_AFTER_S',
    'Candidate',
    'Digest',
    'KnownDigest',
    'Outages',
    'QueueBacklog',
    'Reason',
    'Refusal',
    'Verdict',
    'assess',
    'decode_digest',
    'digest_age_s',
    'encode_digest',
    'retry_after_s',
    'start_bound_s',
    'summarize',
)
