"""Checks of a submitted job that need no configuration."""

from ..errors import JobRejectedError
from .core import JobSpec, StepSpec

# A job's progress must fit one value of the store (1 MB) with room to spare.
MAX_TASKS = 20_000
# Longest payload that the interface promises to carry, in bytes.
MAX_PAYLOAD_BYTES = 4_000
_MAX_STEPS = 256
_MAX_OCCURRENCES = 10_000


def check_job(job: JobSpec) -> None:
    """Check a job as it was submitted.

    Raises
    ------
    JobRejectedError
        When it could never run as it stands.
    """
    if len(job.payload.encode()) > MAX_PAYLOAD_BYTES:
        raise JobRejectedError('payload', f'longer than {MAX_PAYLOAD_BYTES} bytes')
    if not job.steps or len(job.steps) > _MAX_STEPS:
        raise JobRejectedError('steps', f'a job has 1 to {_MAX_STEPS} steps')
    if job.occurrences > _MAX_OCCURRENCES:
        raise JobRejectedError('repeats', f'at most {_MAX_OCCURRENCES} occurrences')
    tasks = sum(step.count for step in job.steps) * job.occurrences
    if tasks > MAX_TASKS:
        raise JobRejectedError('steps', f'more than {MAX_TASKS} tasks')
    for number, step in enumerate(job.steps):
        _check_step(number, step)


def _check_step(number: int, step: StepSpec) -> None:
    if step.count < 1:
        raise JobRejectedError(f'steps.{number}.count', 'a step has at least one task')
    if min(step.demand) < 0:
        raise JobRejectedError(f'steps.{number}', 'resources are not negative')
    if any(earlier < 0 or earlier >= number for earlier in step.after):
        raise JobRejectedError(f'steps.{number}.after', 'names a step that does not come earlier')
