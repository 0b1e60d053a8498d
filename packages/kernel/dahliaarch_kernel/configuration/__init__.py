"""The operators' configuration: queues, client accounts and limits."""

from .core import Account, AdviceTerms, Configuration, HttpLimits, Queue, ServiceSettings
from .lookup import AccessDeniedError, authorize, find_queue, RouteNotFoundError

__all__ = (
    'AccessDeniedError',
    'Account',
    'AdviceTerms',
    'Configuration',
    'HttpLimits',
    'Queue',
    'RouteNotFoundError',
    'ServiceSettings',
    'authorize',
    'find_queue',
)
