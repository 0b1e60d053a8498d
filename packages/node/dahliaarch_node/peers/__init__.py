"""Messages between instances over ZeroMQ."""

from .core import Mesh, PeerSilentError
from .messages import (
    AcceptCancel,
    Accepted,
    AcceptJob,
    AskConfiguration,
    AskPending,
    AskPolicy,
    AskState,
    Beat,
    BeatReply,
    ConfigurationPart,
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
    'AskConfiguration',
    'AskPending',
    'AskPolicy',
    'AskState',
    'Beat',
    'BeatReply',
    'ConfigurationPart',
    'Hello',
    'JobNews',
    'Mesh',
    'Message',
    'PeerSilentError',
    'PendingReply',
    'PolicyReply',
    'StateReply',
)
