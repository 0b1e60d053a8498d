"""Runs on the workers of a simulated pool, and their progress."""

from dahliaarch_kernel.scheduler import StartRun, WorkerProfile
from dahliaarch_kernel.workload import NO_RESOURCES, Resources, StepSpec, TaskKey, weighted_cores

from .troubles import Degradation
from .workload import DrawnJob

RunKey = tuple[TaskKey, int]
_MS = 1000


class Execution:
    """One run on one worker.

    Parameters
    ----------
    start : StartRun
        The order that began it.
    job : DrawnJob
        Its job.
    worker : PlayedWorker
        Where it runs.
    begun_s : float
        When it began.
    """

    def __init__(self, start: StartRun, job: DrawnJob, worker: 'PlayedWorker', begun_s: float) -> None:
        """Initialize the run."""
        self.start = start
        self.job = job
        self.worker = worker
        self.begun_s = begun_s
        self.is_over = False

    @property
    def key(self) -> RunKey:
        """Its task and number."""
        return (self.start.key, self.start.run)

    @property
    def step(self) -> StepSpec:
        """Its step as submitted."""
        return self.job.spec.steps[self.start.key.step]

    @property
    def demand(self) -> Resources:
        """Resources that it holds."""
        return self.step.demand

    @property
    def cores(self) -> float:
        """Resources that it holds, in weighted cores."""
        return weighted_cores(self.demand)


class Unit:
    """Runs that progress together: the members of a gang, or one task.

    Parameters
    ----------
    first : Execution
        Its first member.
    saved_s : float
        Work that was saved before.
    """

    def __init__(self, first: Execution, saved_s: float) -> None:
        """Initialize with one member; work starts once all members have started."""
        step = first.step
        self.members: list[Execution] = []
        self.size = step.task_count if step.gang else 1
        key = first.start.key
        # The task that identifies it: the first of a gang.
        self.key = key._replace(task_index=0) if step.gang else key
        self.work_s = first.job.work_s[key.step][key.task_index]
        self.saved_s = saved_s
        self.done_s = saved_s
        # Work done per second, and since when.
        self.rate = 0.0
        self.since_s = first.begun_s
        # Incremented whenever its scheduled events become invalid.
        self.plan = 0
        # Amount of work after which it fails, if it does.
        self.fails_at_s: float | None = None

    @property
    def is_complete(self) -> bool:
        """Whether all of its members have started."""
        return len(self.members) == self.size

    def blamed(self) -> Execution:
        """Return the member that fails when the unit does: one on a worker that fails all its runs, if there is any."""
        failing = [each for each in self.members if each.worker.degradation is Degradation.FAILING]
        return (failing or self.members)[0]

    def advance(self, now_s: float) -> None:
        """Add the work done until now."""
        self.done_s = min(self.work_s, self.done_s + max(0.0, now_s - self.since_s) * self.rate)
        self.since_s = max(self.since_s, now_s)

    def percent(self, now_s: float) -> int:
        """Return the work done so far, in whole percent."""
        self.advance(now_s)
        return int(100 * self.done_s / self.work_s)

    def checkpoint(self, every_s: float, *, is_stop: bool) -> str:
        """Return its saved work: all of it at a stop, otherwise that of the last checkpoint."""
        if not self.members[0].step.checkpoints:
            return ''
        kept_s = self.done_s if is_stop else max(self.saved_s, self.done_s // every_s * every_s)
        return f'{int(kept_s * _MS):08d}' if kept_s else ''


def saved_work_s(checkpoint: str) -> float:
    """Return the work saved in a checkpoint."""
    return float(checkpoint or 0) / _MS


class PlayedWorker:
    """One incarnation of a worker.

    Parameters
    ----------
    profile : WorkerProfile
        What it publishes.
    speed : float
        Times as long as work takes there.
    """

    def __init__(self, profile: WorkerProfile, speed: float) -> None:
        """Initialize without runs."""
        self.profile = profile
        self.speed = speed
        self.degradation: Degradation | None = None
        self.factor = 1.0
        self.is_gone = False
        self.unit_by_run: dict[RunKey, Unit] = {}
        self.used = NO_RESOURCES

    @property
    def rate(self) -> float:
        """Work done there per second."""
        if self.degradation is Degradation.STALLED:
            return 0.0
        return 1.0 / (self.speed * self.factor)

    @property
    def is_cut_off(self) -> bool:
        """Whether it is cut off from the network."""
        return self.degradation is Degradation.CUT_OFF

    def units(self) -> tuple[Unit, ...]:
        """Return the units that work there, each once, in order of their starts."""
        return tuple(dict.fromkeys(self.unit_by_run.values()))

    def has_room(self, demand: Resources) -> bool:
        """Return whether a task fits into its free capacity."""
        return self.profile.capacity.covers(self.used.plus(demand))

    def add(self, execution: Execution, unit: Unit) -> None:
        """Allocate the resources of a run."""
        self.unit_by_run[execution.key] = unit
        self.used = self.used.plus(execution.demand)

    def remove(self, execution: Execution) -> None:
        """Free the resources of a run."""
        if self.unit_by_run.pop(execution.key, None) is not None:
            self.used = self.used.minus(execution.demand)
