"""Messages between instances over ZeroMQ."""

from .core import Mesh, PeerSilentError
from .messages import (
    AcceptCancel,
    Accepted,
    AcceptJob,
    AskPending,
    AskPolicy,
    AskState,
    Beat,
    BeatReply,
    Hello,
    JobNews,
    Message,
    PendingReply,
    PolicyReply,
    StateReply,
)

__all__ = (
    'AcceptCancel',
    'AcceptJob',
    'Accepted',
    'AskPending',
    'AskPolicy',
    'AskState',
    'Beat',
    'BeatReply',
    'Hello',
    'JobNews',
    'Mesh',
    'Message',
    'PeerSilentError',
    'PendingReply',
    'PolicyReply',
    'StateReply',
)
