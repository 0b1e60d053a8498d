"""Messages between instances."""

from enum import StrEnum
from typing import NamedTuple

import msgspec

from dahliaarch_kernel.errors import ProtocolError
from dahliaarch_platform.store import Condition, Item, Write

from ..records import Member


class Hello(NamedTuple):
    """An instance tells the owner that it is there."""

    member: Member


class Heartbeat(NamedTuple):
    """The owner tells an instance that it owns the pool.

    Parameters
    ----------
    owner : Member
        The owner.
    epoch : int
        Its epoch; larger ones are newer.
    version : int
        Version of the configuration that it follows; whoever is behind asks for
        it. Heartbeats carry nothing whose size grows: they come again and again.
    """

    owner: Member
    epoch: int
    version: int


class HeartbeatReply(NamedTuple):
    """What an instance knows as it answers a heartbeat.

    Parameters
    ----------
    version : int
        Version of the configuration that it follows.
    epoch : int
        Epoch of the newest owner that it knows.
    """

    version: int
    epoch: int = 0


class AskConfiguration(NamedTuple):
    """Asks for a part of an update of the configuration.

    Parameters
    ----------
    base : int
        Version that the asking instance follows.
    version : int
        Version whose parts it has received so far; -1 for the first part.
    offset : int
        Bytes that it has received of that.
    """

    base: int
    version: int
    offset: int


class ConfigurationPart(NamedTuple):
    """A part of an update.

    Parameters
    ----------
    version : int
        Version that the update leads to; -1 when there is nothing newer.
    total_bytes : int
        Size of the whole update.
    offset : int
        Where in it this part begins.
    data : bytes
        The part.
    """

    version: int
    total_bytes: int = 0
    offset: int = 0
    data: bytes = b''


class AskState(NamedTuple):
    """Asks for the state of a job.

    Parameters
    ----------
    job_id : str
        The job.
    wait_s : float
        How long the answer may wait for an end that is near.
    """

    job_id: str
    wait_s: float = 0.0


class StateReply(NamedTuple):
    """State of a job; not known when the owner does not know of it."""

    is_known: bool
    phase: str = ''
    has_ended: bool = False


class AskPending(NamedTuple):
    """Asks how many jobs of a queue have not begun."""

    queue: str


class PendingReply(NamedTuple):
    """How many jobs have not begun; not ready while the owner still takes over."""

    is_ready: bool
    job_count: int = 0


class JobUpdate(NamedTuple):
    """Tells the owner of a job or cancellation that is in the store now."""

    job_id: str
    record: bytes
    revision: int
    is_cancel: bool


class AcceptJob(NamedTuple):
    """Asks the owner to write a job for an instance that the store turns away."""

    job_id: str
    record: bytes


class AcceptCancel(NamedTuple):
    """Asks the owner to write a cancellation likewise."""

    job_id: str


class Accepted(NamedTuple):
    """Outcome of a write done for another instance.

    Parameters
    ----------
    is_done : bool
        Whether it is in the store.
    is_certain : bool
        When not done: whether it certainly never will be.
    is_missing : bool
        Whether there is no such job.
    """

    is_done: bool
    is_certain: bool = False
    is_missing: bool = False


class AskPolicy(NamedTuple):
    """Asks an instance to ask the outside policy, which works for each in turn.

    Parameters
    ----------
    step : str
        The step, as the policy names it.
    worker_ids : tuple of str
        Workers to ask about.
    timeout_s : float
        Longest wait for the policy's answer.
    """

    step: str
    worker_ids: tuple[str, ...]
    timeout_s: float


class PolicyReply(NamedTuple):
    """Tickets by worker; not answered when the policy did not."""

    is_answered: bool
    ticket_by_worker: dict[str, str] = {}


class CommitFor(NamedTuple):
    """Asks an instance to make a transaction for an owner that the store turns away.

    Parameters
    ----------
    conditions : tuple of Condition
        Revisions at which keys must be.
    writes : tuple of Write
        Keys to be written.
    removals : tuple of str
        Keys to be removed.
    timeout_s : float
        How long the owner waits for the answer.
    """

    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]
    removals: tuple[str, ...]
    timeout_s: float


class CommitOutcome(StrEnum):
    """What became of a transaction that was made for another instance."""

    DONE = 'done'
    CONDITION_FAILED = 'condition_failed'
    LEASE_OVER = 'lease_over'
    #: It was certainly not made.
    REFUSED = 'refused'
    UNKNOWN = 'unknown'


class CommitReply(NamedTuple):
    """What became of a transaction.

    Parameters
    ----------
    outcome : CommitOutcome
        What became of it.
    revision : int
        Revision of the change, when done.
    current : tuple of Item
        Present items of the conditions, when one failed.
    """

    outcome: CommitOutcome
    revision: int = 0
    current: tuple[Item, ...] = ()


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
)
_NUMBER_BY_TYPE = {kind: number for number, kind in enumerate(_TYPES)}


class _Envelope(NamedTuple):
    call: int
    kind: int
    body: msgspec.Raw


def encode(call: int, message: Message) -> bytes:
    """Return a message with the number of the call that it belongs to."""
    body = msgspec.Raw(msgspec.msgpack.encode(message))
    return msgspec.msgpack.encode(_Envelope(call, _NUMBER_BY_TYPE[type(message)], body))


def decode(frame: bytes) -> tuple[int, Message]:
    """Return the call's number and the message.

    Raises
    ------
    ProtocolError
        When the frame is not a message.
    """
    try:
        envelope = msgspec.msgpack.decode(frame, type=_Envelope)
        if not 0 <= envelope.kind < len(_TYPES):
            raise ProtocolError('message', f'kind {envelope.kind} is unknown')
        return envelope.call, msgspec.msgpack.decode(envelope.body, type=_TYPES[envelope.kind])
    except msgspec.DecodeError as error:
        raise ProtocolError('message', str(error)) from error
