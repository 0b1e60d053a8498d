"""Messages between instances and their encoding."""

from enum import StrEnum
from typing import NamedTuple

import msgspec

from dahliaarch_kernel.errors import ProtocolError
from dahliaarch_platform.store import Condition, Item, Write

from ..records import Member


class Hello(NamedTuple):
    """Announces an instance to the owner."""

    member: Member


class Heartbeat(NamedTuple):
    """Announces to an instance that the sender owns the pool.

    Parameters
    ----------
    owner : Member
        The owner.
    epoch : int
        Epoch of the owner; a larger epoch is newer.
    version : int
        Version of the configuration that is active on the owner; instances with an
        older one request it. Heartbeats are sent periodically, so they contain nothing
        that grows with the system.
    """

    owner: Member
    epoch: int
    version: int


class HeartbeatReply(NamedTuple):
    """Reply of an instance to a heartbeat.

    Parameters
    ----------
    version : int
        Version of the configuration that is active on the instance.
    epoch : int
        Epoch of the newest owner that the instance knows: it agrees that the owner goes on if that is the
        owner's own.
    """

    version: int
    epoch: int = 0


class AskConfiguration(NamedTuple):
    """Requests a part of a configuration update.

    Parameters
    ----------
    base : int
        Version that is active on the requesting instance.
    version : int
        Version that the parts received so far belong to; -1 for the first part.
    offset : int
        Number of bytes received so far.
    """

    base: int
    version: int
    offset: int


class ConfigurationPart(NamedTuple):
    """A part of an encoded configuration update.

    Parameters
    ----------
    version : int
        Version that the update leads to; -1 if there is no newer version.
    total_bytes : int
        Size of the whole encoded update.
    offset : int
        Offset of this part in the update.
    data : bytes
        Bytes of this part.
    """

    version: int
    total_bytes: int = 0
    offset: int = 0
    data: bytes = b''


class AskState(NamedTuple):
    """Requests the state of a job.

    Parameters
    ----------
    job_id : str
        Id of the job.
    wait_s : float
        How long the reply may be delayed while the job is about to end, in seconds.
    """

    job_id: str
    wait_s: float = 0.0


class StateReply(NamedTuple):
    """State of a job.

    Parameters
    ----------
    is_known : bool
        Whether the owner knows the job.
    phase : str
        Its phase; if it is not known, `MAY_BE_ADDED` or empty. Versions that don't know `MAY_BE_ADDED`
        ignore the phase of such a job, and reject a reply with a further field.
    has_ended : bool
        Whether it has ended and its end is stored.
    """

    is_known: bool
    phase: str = ''
    has_ended: bool = False


# Phase of a job that is not known, of which a write without an answer may still be applied.
MAY_BE_ADDED = 'may be added'


class UnansweredWrite(NamedTuple):
    """Tells the owner of a job whose write got no answer: it may be added for some time."""

    job_id: str


class AskPending(NamedTuple):
    """Requests the number of jobs in a queue that have not started."""

    queue: str


class PendingReply(NamedTuple):
    """Number of jobs that have not started; not ready until the owner has completed the takeover."""

    is_ready: bool
    job_count: int = 0


class JobUpdate(NamedTuple):
    """Notifies the owner of a job or cancellation that has been written to the store."""

    job_id: str
    record: bytes
    revision: int
    is_cancel: bool


class AcceptJob(NamedTuple):
    """Requests that the owner write a job for an instance whose store calls fail."""

    job_id: str
    record: bytes


class AcceptCancel(NamedTuple):
    """Requests that the owner write a cancellation for an instance whose store calls fail."""

    job_id: str


class Accepted(NamedTuple):
    """Outcome of a write on behalf of another instance.

    Parameters
    ----------
    is_done : bool
        Whether the write is in the store.
    is_certain : bool
        If not done: whether it is certain that the write will never take effect.
    is_missing : bool
        Whether the job doesn't exist and never will, because its cancellation is in the store.
    """

    is_done: bool
    is_certain: bool = False
    is_missing: bool = False


class AskPolicy(NamedTuple):
    """Requests that an instance query the external policy, which handles the queries of an instance one by one.

    Parameters
    ----------
    step : str
        Name of the step in the policy's protocol.
    worker_ids : tuple of str
        Candidate workers.
    timeout_s : float
        Timeout of the query, in seconds.
    """

    step: str
    worker_ids: tuple[str, ...]
    timeout_s: float


class PolicyReply(NamedTuple):
    """Tickets by worker; `is_answered` is false if the policy didn't answer."""

    is_answered: bool
    ticket_by_worker: dict[str, str] = {}


class CommitFor(NamedTuple):
    """Requests that an instance commit a transaction for an owner whose store calls fail.

    Parameters
    ----------
    conditions : tuple of Condition
        Required revisions of keys.
    writes : tuple of Write
        Keys and values to write.
    removals : tuple of str
        Keys to remove.
    timeout_s : float
        How long the owner waits for the reply, in seconds.
    """

    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]
    removals: tuple[str, ...]
    timeout_s: float


class CommitOutcome(StrEnum):
    """Outcome of a transaction committed for another instance."""

    DONE = 'done'
    CONDITION_FAILED = 'condition_failed'
    LEASE_OVER = 'lease_over'
    #: The transaction was certainly not committed.
    REFUSED = 'refused'
    UNKNOWN = 'unknown'


class CommitReply(NamedTuple):
    """Reply to `CommitFor`.

    Parameters
    ----------
    outcome : CommitOutcome
        Outcome of the transaction.
    revision : int
        Store revision of the transaction, if done.
    current : tuple of Item
        Current items of the condition keys, if a condition failed.
    """

    outcome: CommitOutcome
    revision: int = 0
    current: tuple[Item, ...] = ()


class PoolDigest(NamedTuple):
    """Summary of the owner's backlog, sent with its heartbeats.

    It is a message of its own because instances of earlier versions reject a heartbeat that
    has more fields than they know, and would then count as silent.

    Parameters
    ----------
    epoch : int
        Epoch of the owner.
    data : bytes
        The encoded digest, which may have a form that the receiver does not know.
    """

    epoch: int
    data: bytes


Message = (
    Hello
    | Heartbeat
    | HeartbeatReply
    | AskState
    | StateReply
    | AskPending
    | PendingReply
    | JobUpdate
    | AcceptJob
    | AcceptCancel
    | Accepted
    | AskPolicy
    | PolicyReply
    | AskConfiguration
    | ConfigurationPart
    | CommitFor
    | CommitReply
    | PoolDigest
    | UnansweredWrite
)

_TYPES: tuple[type[Message], ...] = (
    Hello,
    Heartbeat,
    HeartbeatReply,
    AskState,
    StateReply,
    AskPending,
    PendingReply,
    JobUpdate,
    AcceptJob,
    AcceptCancel,
    Accepted,
    AskPolicy,
    PolicyReply,
    AskConfiguration,
    ConfigurationPart,
    CommitFor,
    CommitReply,
    PoolDigest,
    UnansweredWrite,
)
_NUMBER_BY_TYPE = {kind: number for number, kind in enumerate(_TYPES)}


class _Envelope(NamedTuple):
    call: int
    kind: int
    body: msgspec.Raw


def encode(call: int, message: Message) -> bytes:
    """Encode a message with the number of its call; 0 for a message without a reply."""
    body = msgspec.Raw(msgspec.msgpack.encode(message))
    return msgspec.msgpack.encode(_Envelope(call, _NUMBER_BY_TYPE[type(message)], body))


def decode(frame: bytes) -> tuple[int, Message]:
    """Decode a frame into the call number and the message.

    Raises
    ------
    ProtocolError
        If the frame is not a valid message.
    """
    try:
        envelope = msgspec.msgpack.decode(frame, type=_Envelope)
        if not 0 <= envelope.kind < len(_TYPES):
            raise ProtocolError('message', f'unknown kind {envelope.kind}')
        return envelope.call, msgspec.msgpack.decode(envelope.body, type=_TYPES[envelope.kind])
    except msgspec.DecodeError as error:
        raise ProtocolError('message', str(error)) from error
