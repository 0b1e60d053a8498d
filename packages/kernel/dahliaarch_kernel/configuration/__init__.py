"""The operators' configuration: queues, client accounts and limits."""

from .core import Account, Configuration, HttpLimits, Queue, ServiceSettings
from .lookup import AccessDenied, authorize, find_queue, RouteNotFound

__all__ = (
    'AccessDenied',
    'Account',
    'Configuration',
    'HttpLimits',
    'Queue',
    'RouteNotFound',
    'ServiceSettings',
    'authorize',
    'find_queue',
)
