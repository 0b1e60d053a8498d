"""Configuration set by operators: queues, services, client accounts and request limits."""

from .changes import (
    apply_change,
    ChangeMismatchError,
    ConfigurationChange,
    diff_configurations,
    EMPTY_CONFIGURATION,
    NO_VERSION,
)
from .core import (
    Account,
    AdviceTerms,
    build_configuration,
    Configuration,
    ConfigurationParts,
    HttpLimits,
    Queue,
    ServiceSettings,
)
from .lookup import AccessDeniedError, authorize, find_queue, RouteNotFoundError

__all__ = (
    'EMPTY_CONFIGURATION',
    'NO_VERSION',
    'AccessDeniedError',
    'Account',
    'AdviceTerms',
    'ChangeMismatchError',
    'Configuration',
    'ConfigurationChange',
    'ConfigurationParts',
    'HttpLimits',
    'Queue',
    'RouteNotFoundError',
    'ServiceSettings',
    'apply_change',
    'authorize',
    'build_configuration',
    'diff_configurations',
    'find_queue',
)
