"""Records of jobs as their owners submitted them."""

from typing import NamedTuple


class Resources(NamedTuple):
    """An amount of a worker's resources.

    Parameters
    ----------
    cpu_millis : int
        Processor time in thousandths of a core.
    memory_mb : int
        Memory in megabytes.
    accelerators : int
        Whole accelerators.
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
        """Return the difference; parts may be negative."""
        return Resources(
            self.cpu_millis - other.cpu_millis,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def times(self, count: int) -> 'Resources':
        """Return the amount taken ``count`` times."""
        return Resources(self.cpu_millis * count, self.memory_mb * count, self.accelerators * count)

    def covers(self, requested: 'Resources') -> bool:
        """Tell whether ``wanted`` fits into this amount."""
        return (
            requested.cpu_millis <= self.cpu_millis
            and requested.memory_mb <= self.memory_mb
            and requested.accelerators <= self.accelerators
        )


class TaskKey(NamedTuple):
    """Identity of one task over all of its runs.

    Parameters
    ----------
    job_id : str
        Identifier that the caller chose.
    occurrence : int
        Which repetition of the steps, from 0.
    step : int
        Which step of the job, from 0.
    task_index : int
        Which task of the step, from 0.
    """

    job_id: str
    occurrence: int
    step: int
    task_index: int


class StepKey(NamedTuple):
    """Identity of one step of one occurrence."""

    job_id: str
    occurrence: int
    step: int


class StepSpec(NamedTuple):
    """One step of a job: equal tasks and the conditions they run under.

    Parameters
    ----------
    task_count : int
        Number of tasks.
    demand : Resources
        What one task needs.
    estimate_s : float
        The owner's rough guess of a task's run time in seconds.
    after : tuple of int
        Steps whose tasks must all have succeeded before.
    checkpoints : bool
        Whether tasks save their progress.
    gang : bool
        Whether the tasks run all together or not at all.
    same_rack : bool
        Whether a gang is slowed when it spreads over racks.
    label : str
        Label that a worker must have; empty for any.
    data_rack : str
        Rack on which the data lies; empty for any.
    max_per_worker : int
        Most tasks of the step on one worker; 0 for no limit.
    speculative : bool
        Whether copies of a task may run side by side.
    lasting : bool
        Whether tasks run until the job is cancelled.
    image : str
        Name of the program; tasks of one image behave alike.
    target_latency_s : float
        Bound on the tail latency of a serving task; 0 for none.
    fills : bool
        Whether the tasks use only processor time that others leave.
    max_unavailable : int
        Lasting tasks that the scheduler may take away at once.
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
    """An accepted job, whole: enough to run it after every instance was lost.

    Parameters
    ----------
    job_id : str
        Identifier that the caller chose.
    account : str
        Client account that submitted it; empty on a public queue.
    queue : str
        Name of the queue.
    payload : str
        Text handed to every task as it is.
    steps : tuple of StepSpec
        Steps in the caller's order.
    repeats : int
        How often the steps run at due times; 0 for once, at once.
    first_due_s : float
        Due time of the first occurrence, seconds since 1970.
    interval_s : float
        Time between due times in seconds.
    accepted_s : float
        When the job was accepted, seconds since 1970.
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
        """Return when an occurrence is due, seconds since 1970; 0 for at once."""
        if not self.repeats:
            return 0.0
        return self.first_due_s + occurrence * self.interval_s
