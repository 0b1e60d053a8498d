"""The summary of the backlog that the owner sends to the instances, and its encoding.

Load: the instances decide on some ten submissions a second each, alone, while thousands
of tasks wait. The summary is bounded, so its size does not grow with the backlog.
"""

import math
from typing import NamedTuple

from ..codec import decode, encode
from ..errors import ProtocolError
from ..workload import Resources

MAX_QUEUES = 64
MAX_ACCOUNTS = 64


class QueueBacklog(NamedTuple):
    """Ready work of one queue and rank that has not been placed.

    It contains only work that every worker of the service may run and that nothing but
    the lack of capacity keeps from being started.

    Parameters
    ----------
    queue : str
        Name of the queue.
    service : str
        Service whose workers run it.
    rank : int
        Rank of the work, as in `scheduler.ranks`.
    core_s, accelerator_s : float
        Expected core-seconds and accelerator-seconds.
    largest : Resources
        Largest amount of each resource that one of the tasks requires.
    longest_s : float
        Expected run time of the longest task, in seconds.
    """

    queue: str
    service: str
    rank: int
    core_s: float
    accelerator_s: float
    largest: Resources
    longest_s: float


class Digest(NamedTuple):
    """Summary of the owner's backlog.

    Parameters
    ----------
    epoch : int
        Epoch of the owner.
    made_wall_s : float
        When it was made, in seconds since 1970.
    capacity_by_service : dict
        Capacity of all workers of each service.
    backlogs : tuple of QueueBacklog
        Waiting work, at most `MAX_QUEUES` rows.
    ratio_by_account : dict
        Ratio of each account's usage to its share, at most `MAX_ACCOUNTS`.
    """

    epoch: int
    made_wall_s: float
    capacity_by_service: dict[str, Resources]
    backlogs: tuple[QueueBacklog, ...] = ()
    ratio_by_account: dict[str, float] = {}


class KnownDigest(NamedTuple):
    """A digest and when it was received, on the steady clock."""

    digest: Digest
    received_s: float


def encode_digest(digest: Digest) -> bytes:
    """Serialize a digest."""
    return encode(digest)


def decode_digest(data: bytes) -> Digest | None:
    """Deserialize a digest; None if it is malformed or holds amounts that no owner sends."""
    try:
        digest = decode(data, Digest, 'digest')
    except ProtocolError:
        return None
    amounts: list[float] = [amount for capacity in digest.capacity_by_service.values() for amount in capacity]
    amounts.extend(digest.ratio_by_account.values())
    for row in digest.backlogs:
        amounts.extend((row.core_s, row.accelerator_s, row.longest_s, *row.largest))
    is_valid = math.isfinite(digest.made_wall_s) and all(math.isfinite(each) and each >= 0 for each in amounts)
    return digest if is_valid else None
