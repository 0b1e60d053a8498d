"""Accounting of time and core-seconds, derived from the logs of real processes."""

from .histories import JobHistory, read_histories, RunHistory
from .inherited import inherited_waits, InheritedWaits
from .predictions import PredictionSummary
from .stops import describe_preemptions, FreedCapacityUse, PreemptedJob
from .sums import AccountingReport, build_report, CostlyDecision, Loss, QueueSummary, WindowSummary
from .takeovers import Takeover, takeovers

__all__ = (
    'AccountingReport',
    'CostlyDecision',
    'FreedCapacityUse',
    'InheritedWaits',
    'JobHistory',
    'Loss',
    'PredictionSummary',
    'PreemptedJob',
    'QueueSummary',
    'RunHistory',
    'Takeover',
    'WindowSummary',
    'build_report',
    'describe_preemptions',
    'inherited_waits',
    'read_histories',
    'takeovers',
)
