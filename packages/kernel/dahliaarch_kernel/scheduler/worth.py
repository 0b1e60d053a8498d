"""What a job is worth to its owner, and in which order jobs go."""

from ..workload import dominant_share, JobSpec, Resources, weighted_cores
from .job_state import JobState, StepState
from .learning import RunTimes
from .standing import Standing

# Worth of a job in time and late, by priority of its queue. The platform
# names no worth; these are the users' sheets, the last for all the rest.
_WORTH_BY_PRIORITY = ((4.0, 0.8), (3.0, 0.9), (1.0, 0.3))
# The users' formula: a fixed part and one by the work against the mean.
_FIXED_PART = 0.3
_LARGEST_SIZE_FACTOR = 4.0
# A job is late up to this multiple of its objective, then worth nothing.
LATE_FACTOR = 3.0
# Worth kept by a job past that: it must end, but after the others.
_HOPELESS_SHARE = 0.02
_SMALLEST_AREA = 0.01


def job_work(job: JobState, times: RunTimes) -> float:
    """Return the expected work of one occurrence in weighted core-seconds."""
    return sum(
        step.task_count * times.expect_s(job.queue.name, step) * weighted_cores(step.demand) for step in job.spec.steps
    )


def chain_s(job: JobState, times: RunTimes) -> float:
    """Return the expected time of the longest chain of steps."""
    ends: list[float] = []
    for step in job.spec.steps:
        begins_s = max((ends[earlier] for earlier in step.after), default=0.0)
        ends.append(begins_s + times.expect_s(job.queue.name, step))
    return max(ends, default=0.0)


def objective_s(job: JobState, times: RunTimes) -> float:
    """Return the time in which the owner wants an occurrence to end."""
    return job.queue.stretch * chain_s(job, times) + job.queue.target_latency_s


def rest_s(step: StepState, times: RunTimes) -> float:
    """Return the expected time from a step's start to its occurrence's end."""
    return max(times.expect_s(step.job.queue.name, step.spec), 0.0) + after_s(step, times)


def standing(step: StepState, rank: int, times: RunTimes, unit: Resources, wall_s: float) -> Standing:
    """Return a step's place in the order.

    Parameters
    ----------
    step : StepState
        A step with tasks to start.
    rank : int
        Its rank.
    times : RunTimes
        Learned run times.
    unit : Resources
        Capacity of one worker of the pool.
    wall_s : float
        The present, seconds since 1970.
    """
    job = step.job
    begun_s = begin_s(job.spec, step.occurrence)
    wanted_s = objective_s(job, times)
    end_s = wall_s + rest_s(step, times)
    area = max(_area(step, times, unit), _SMALLEST_AREA)
    return Standing(rank, -_worth(job, times, end_s - begun_s, wanted_s) / area, begun_s)


def slack_s(step: StepState, times: RunTimes, wall_s: float) -> float:
    """Return how long a step may still wait and end in time; negative when it is too late."""
    left_s = objective_s(step.job, times) - (wall_s - begin_s(step.job.spec, step.occurrence))
    return left_s - rest_s(step, times)


def begin_s(spec: JobSpec, occurrence: int) -> float:
    """Return when an occurrence came up, seconds since 1970."""
    return spec.due_s(occurrence) or spec.accepted_s


def _area(step: StepState, times: RunTimes, unit: Resources) -> float:
    """Return the worker-seconds that the rest of the occurrence takes."""
    work_s = times.expect_s(step.job.queue.name, step.spec)
    area = len(step.pending) * work_s * dominant_share(step.spec.demand, unit)
    for number, later in enumerate(step.job.spec.steps):
        if step.number in later.after and number != step.number:
            later_s = times.expect_s(step.job.queue.name, later)
            area += later.task_count * later_s * dominant_share(later.demand, unit)
    return area


def _worth(job: JobState, times: RunTimes, took_s: float, wanted_s: float) -> float:
    in_time, late = _WORTH_BY_PRIORITY[min(job.queue.priority, len(_WORTH_BY_PRIORITY) - 1)]
    mean = max(times.mean_work(job.queue.name), 1.0)
    size = min(_FIXED_PART + (1 - _FIXED_PART) * job_work(job, times) / mean, _LARGEST_SIZE_FACTOR)
    if took_s <= wanted_s:
        return in_time * size
    if took_s <= LATE_FACTOR * wanted_s:
        return late * size
    return _HOPELESS_SHARE * late * size


def after_s(step: StepState, times: RunTimes) -> float:
    """Return the longest expected chain of steps that wait for this one."""
    longest = 0.0
    steps = step.job.spec.steps
    reach: dict[int, float] = {step.number: 0.0}
    for number, later in enumerate(steps):
        begins = [reach[earlier] for earlier in later.after if earlier in reach]
        if begins:
            reach[number] = max(begins) + times.expect_s(step.job.queue.name, later)
            longest = max(longest, reach[number])
    return longest
