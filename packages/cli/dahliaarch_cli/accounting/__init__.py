"""Where time and core-seconds went, worked out from the logs of real processes."""

from .histories import JobHistory, read_histories, RunHistory
from .inherited import inherited_waits, InheritedWaits
from .stops import describe_preemptions, FreedCapacityUse, PreemptedJob
from .sums import AccountingReport, build_report, CostlyDecision, Loss, QueueSummary, WindowSummary
from .takeovers import Takeover, takeovers

__all__ = (
    'AccountingReport',
    'CostlyDecision',
    'InheritedWaits',
    'JobHistory',
    'Loss',
    'QueueSummary',
    'FreedCapacityUse',
    'RunHistory',
    'PreemptedJob',
    'Takeover',
    'WindowSummary',
    'build_report',
    'inherited_waits',
    'read_histories',
    'takeovers',
    'describe_preemptions',
)
