"""Target times of jobs, and the slack that remains to meet them."""

from collections.abc import Callable, Sequence

from ..workload import JobSpec, StepSpec
from .job_state import JobState, StepState
from .prediction import RunTimes


def critical_path_s(job: JobState, times: RunTimes) -> float:
    """Return the expected duration of a job's critical path, its longest chain of dependent steps."""
    return longest_chain_s(job.spec.steps, lambda step: times.expect_s(job.queue.name, step))


def longest_chain_s(steps: Sequence[StepSpec], run_time_s: Callable[[StepSpec], float]) -> float:
    """Return the duration of the longest chain of dependent steps, given the run time of each step."""
    end_offsets: list[float] = []
    for step in steps:
        start_offset_s = max((end_offsets[earlier] for earlier in step.after), default=0.0)
        end_offsets.append(start_offset_s + run_time_s(step))
    return max(end_offsets, default=0.0)


def target_s(job: JobState, times: RunTimes) -> float:
    """Return the target time in which an occurrence is to end, counted from when it came due."""
    return job.queue.stretch * critical_path_s(job, times) + job.queue.target_latency_s


def remaining_s(step: StepState, times: RunTimes) -> float:
    """Return the expected time from the start of a step to the end of its occurrence."""
    return max(times.expect_s(step.job.queue.name, step.spec), 0.0) + downstream_s(step, times)


def slack_s(step: StepState, times: RunTimes, wall_s: float) -> float:
    """Return how long a step can still wait and meet its target; negative if it can't meet it."""
    left_s = target_s(step.job, times) - (wall_s - begin_s(step.job.spec, step.occurrence))
    return left_s - remaining_s(step, times)


def begin_s(spec: JobSpec, occurrence: int) -> float:
    """Return the due time of an occurrence, or else when its job was accepted, in seconds since 1970."""
    return spec.due_s(occurrence) or spec.accepted_s


def downstream_s(step: StepState, times: RunTimes) -> float:
    """Return the expected duration of the longest chain of steps that depend on this one."""
    longest_s = 0.0
    steps = step.job.spec.steps
    end_offset_by_step: dict[int, float] = {step.number: 0.0}
    for number, later in enumerate(steps):
        start_offsets = [end_offset_by_step[earlier] for earlier in later.after if earlier in end_offset_by_step]
        if start_offsets:
            end_offset_by_step[number] = max(start_offsets) + times.expect_s(step.job.queue.name, later)
            longest_s = max(longest_s, end_offset_by_step[number])
    return longest_s
