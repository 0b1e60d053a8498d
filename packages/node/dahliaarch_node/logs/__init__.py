"""JSON log lines that never hold the program up."""

from .core import configure_logs, log_event, LogWriter

__all__ = ('LogWriter', 'configure_logs', 'log_event')
