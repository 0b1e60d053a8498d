"""Submitted work: jobs, their steps and the keys of their tasks."""

from .core import JobSpec, Resources, StepKey, StepSpec, TaskKey
from .demand import dominant_share, NO_RESOURCES, step_summary, weighted_cores
from .validation import check_job, MAX_TASKS

__all__ = (
    'JobSpec',
    'MAX_TASKS',
    'NO_RESOURCES',
    'Resources',
    'StepKey',
    'StepSpec',
    'TaskKey',
    'check_job',
    'dominant_share',
    'step_summary',
    'weighted_cores',
)
