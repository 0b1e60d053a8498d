"""Where time and core-seconds went, worked out from the logs of real processes."""

from .core import Account, account, CostlyDecision, Loss, QueueRow, WindowRow
from .histories import JobHistory, read_histories, RunHistory

__all__ = (
    'Account',
    'CostlyDecision',
    'JobHistory',
    'Loss',
    'QueueRow',
    'RunHistory',
    'WindowRow',
    'account',
    'read_histories',
)
