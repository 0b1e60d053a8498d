"""Non-blocking JSON logs."""

from .core import configure_logs, log_event, LogWriter

__all__ = ('LogWriter', 'configure_logs', 'log_event')
