"""Messages between instances over ZeroMQ."""

from .core import Mesh, PeerSilent
from .messages import (
    AcceptCancel,
    AcceptJob,
    Accepted,
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
    'PeerSilent',
    'PendingReply',
    'StateReply',
)
