"""Messages between instances over ZeroMQ."""

from .core import Mesh, PeerSilentError
from .messages import (
    AcceptCancel,
    Accepted,
    AcceptJob,
    AskPending,
    AskState,
    Beat,
    BeatReply,
    Hello,
    JobNews,
    Message,
    PendingReply,
    StateReply,
)

__all__ = (
    'AcceptCancel',
    'AcceptJob',
    'Accepted',
    'AskPending',
    'AskState',
    'Beat',
    'BeatReply',
    'Hello',
    'JobNews',
    'Mesh',
    'Message',
    'PeerSilentError',
    'PendingReply',
    'StateReply',
)
