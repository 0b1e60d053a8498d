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
    ConfigurationPart,
    Heartbeat,
    HeartbeatReply,
    Hello,
    JobUpdate,
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
    'Heartbeat',
    'HeartbeatReply',
    'ConfigurationPart',
    'Hello',
    'JobUpdate',
    'Mesh',
    'Message',
    'PeerSilentError',
    'PendingReply',
    'PolicyReply',
    'StateReply',
)
