"""Validation of submitted jobs, independent of the configuration."""

from ..errors import JobRejectedError
from .core import JobSpec, StepSpec

# The progress record of a job must fit into one value of the store (1 MB) with some margin.
MAX_TASKS = 20_000
# Maximum payload of a job in bytes, as accepted by the interface.
MAX_PAYLOAD_BYTES = 4_000
_MAX_STEPS = 256
_MAX_OCCURRENCES = 10_000


def check_job(job: JobSpec) -> None:
    """Validate a submitted job.

    Raises
    ------
    JobRejectedError
        If the job could never run.
    """
    _check_sizes(job)
    for index, step in enumerate(job.steps):
        _check_step(index, step)


def _check_sizes(job: JobSpec) -> None:
    tasks = sum(step.task_count for step in job.steps) * job.occurrences
    limits = (
        ('payload', len(job.payload.encode()), MAX_PAYLOAD_BYTES),
        ('steps', len(job.steps), _MAX_STEPS),
        ('repeats', job.occurrences, _MAX_OCCURRENCES),
        ('tasks', tasks, MAX_TASKS),
    )
    for field, size, limit in limits:
        if size > limit:
            raise JobRejectedError(field, f'{size}, at most {limit}')
    if not job.steps:
        raise JobRejectedError('steps', 'a job has at least one step')


def _check_step(index: int, step: StepSpec) -> None:
    if step.task_count < 1:
        raise JobRejectedError(f'steps.{index}.task_count', 'a step has at least one task')
    if min(step.demand) < 0:
        raise JobRejectedError(f'steps.{index}', 'resources are not negative')
    if any(dependency < 0 or dependency >= index for dependency in step.after):
        raise JobRejectedError(f'steps.{index}.after', 'names a step that does not come earlier')
