"""Conditions that keep a ready step from being started regardless of free capacity."""

from .clock import Moment
from .events import WaitReason
from .job_state import JobState, StepState
from .state import SchedulerState
from .successors import is_waiting_for_survey


def job_wait_reason(job: JobState, now: Moment) -> WaitReason | None:
    """Return why no task of a job may start now, or None if tasks may start."""
    if job.crash_limit_at_s is not None:
        return WaitReason.CRASH_REVIEW
    if job.not_before_s > now.steady_s:
        return WaitReason.PREVIOUS_OWNER
    return WaitReason.CRASHES_NOT_SAVED if job.has_unsaved_crashes else None


def step_wait_reason(state: SchedulerState, step: StepState, now: Moment) -> WaitReason | None:
    """Return why no task of a step may start now, or None if tasks may start."""
    if step.refused_until_s > now.steady_s:
        return WaitReason.REFUSED
    if step.refused_until_by_worker:
        refused = step.refused_until_by_worker.items()
        step.refused_until_by_worker = {worker_id: until_s for worker_id, until_s in refused if until_s > now.steady_s}
    if is_waiting_for_survey(state, step, now):
        return WaitReason.UNKNOWN_START
    return WaitReason.GANG_ENDING if step.spec.gang and step.run_by_index else None
