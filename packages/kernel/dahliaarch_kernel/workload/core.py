"""Specifications of jobs and the keys of their steps and tasks."""

from typing import NamedTuple


class Resources(NamedTuple):
    """An amount of resources, as required by a task or provided by a worker.

    Parameters
    ----------
    cpu_millis : int
        CPU in thousandths of a core.
    memory_mb : int
        Memory in megabytes.
    accelerators : int
        Number of accelerators.
    """

    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def plus(self, other: 'Resources') -> 'Resources':
        """Return the sum of two amounts."""
        return Resources(
            self.cpu_millis + other.cpu_millis,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: 'Resources') -> 'Resources':
        """Return the difference of two amounts; components may be negative."""
        return Resources(
            self.cpu_millis - other.cpu_millis,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def times(self, count: int) -> 'Resources':
        """Return the amount multiplied by ``count``."""
        return Resources(self.cpu_millis * count, self.memory_mb * count, self.accelerators * count)

    def covers(self, requested: 'Resources') -> bool:
        """Return whether ``requested`` fits into this amount."""
        return (
            requested.cpu_millis <= self.cpu_millis
            and requested.memory_mb <= self.memory_mb
            and requested.accelerators <= self.accelerators
        )


class TaskKey(NamedTuple):
    """Identifier of one task, common to all of its runs.

    Parameters
    ----------
    job_id : str
        Identifier of the job, chosen by the client.
    occurrence : int
        Index of the repetition of the steps, from 0.
    step : int
        Index of the step in the job, from 0.
    task_index : int
        Index of the task in the step, from 0.
    """

    job_id: str
    occurrence: int
    step: int
    task_index: int


class StepKey(NamedTuple):
    """Identifier of one step in one occurrence; the fields are those of `TaskKey`."""

    job_id: str
    occurrence: int
    step: int


class StepSpec(NamedTuple):
    """One step of a job: identical tasks and their scheduling constraints.

    Parameters
    ----------
    task_count : int
        Number of tasks.
    demand : Resources
        Resources that one task requires.
    estimate_s : float
        Submitter's rough estimate of the run time of a task in seconds.
    after : tuple of int
        Indices of the steps whose tasks must all succeed before this step starts.
    checkpoints : bool
        Whether tasks save checkpoints of their progress.
    gang : bool
        Whether the tasks must all run at the same time (gang scheduling).
    same_rack : bool
        Whether a gang runs slower when it is spread over several racks.
    label : str
        Label that a worker must have; empty for no restriction.
    data_rack : str
        Rack that holds the input data; empty for no preference.
    max_per_worker : int
        Maximum number of tasks of the step on one worker; 0 for no limit.
    speculative : bool
        Whether several copies of a task may run concurrently.
    lasting : bool
        Whether tasks run until the job is cancelled.
    image : str
        Name of the program; tasks with the same image are expected to behave alike.
    target_latency_s : float
        Upper limit on the tail latency of a serving task; 0 for no limit.
    fills : bool
        Whether the tasks use only CPU time that other tasks leave idle.
    max_unavailable : int
        Maximum number of lasting tasks that the scheduler may stop at the same time.
    """

    task_count: int
    demand: Resources
    estimate_s: float = 0.0
    after: tuple[int, ...] = ()
    checkpoints: bool = False
    gang: bool = False
    same_rack: bool = False
    label: str = ''
    data_rack: str = ''
    max_per_worker: int = 0
    speculative: bool = False
    lasting: bool = False
    image: str = ''
    target_latency_s: float = 0.0
    fills: bool = False
    max_unavailable: int = 0


class JobSpec(NamedTuple):
    """Complete specification of an accepted job; sufficient to run it after all instances were lost.

    Parameters
    ----------
    job_id : str
        Identifier of the job, chosen by the client.
    account : str
        Client account that submitted it; empty on a public queue.
    queue : str
        Name of the queue.
    payload : str
        Text passed unchanged to every task.
    steps : tuple of StepSpec
        Steps in the order in which the client submitted them.
    repeats : int
        Number of scheduled repetitions of the steps; 0 to run them once, immediately.
    first_due_s : float
        Due time of the first occurrence, in seconds since 1970.
    interval_s : float
        Time between consecutive occurrences in seconds.
    accepted_s : float
        Time at which the job was accepted, in seconds since 1970.
    """

    job_id: str
    account: str
    queue: str
    payload: str
    steps: tuple[StepSpec, ...]
    repeats: int = 0
    first_due_s: float = 0.0
    interval_s: float = 0.0
    accepted_s: float = 0.0

    @property
    def occurrences(self) -> int:
        """Number of times that the steps run."""
        return max(1, self.repeats)

    def due_s(self, occurrence: int) -> float:
        """Return the due time of an occurrence in seconds since 1970; 0 if it is due immediately."""
        if not self.repeats:
            return 0.0
        return self.first_due_s + occurrence * self.interval_s
