"""Submitted work: jobs, their steps and the keys of their tasks."""

from .core import JobSpec, Resources, StepKey, StepSpec, TaskKey
from .demand import dominant_share, MILLIS_PER_CORE, NO_RESOURCES, step_summary, weighted_cores
from .validation import check_job, MAX_TASKS

__all__ = (
    'JobSpec',
    'MAX_TASKS',
    'MILLIS_PER_CORE',
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
