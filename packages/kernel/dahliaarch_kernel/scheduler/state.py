"""Everything that the scheduler believes, in one place."""

from collections.abc import Iterator
from typing import NamedTuple

from ..policies import Policy
from ..workload import TaskKey
from .effects import Effect, StartRun, StopRun
from .events import LossCause, Note, RunLost
from .job_state import JobPhase, JobState, StepState
from .learning import RunTimes
from .mechanisms import Mechanism
from .memory import FailedSearches
from .progress import Crash
from .reservations import Reservations
from .runs import Run, RunPhase
from .settings import SchedulerSettings
from .stalls import Stalls
from .workers import WorkerState

# Runs of one owner count up below its epoch, so that numbers rise over owners.
RUNS_PER_EPOCH = 1 << 20
# How long the last word of workers' room holds where they don't guard it, in seconds:
# entries are written each 1.5 s, and users bear starts on room that shrank 4.5 s ago.
_ROOM_KNOWN_S = 3.0


# Tasks of a step whose assignments are kept together: a start costs a write of so many
# at most, however wide its step is.
_TASKS_OF_A_PART = 256


class AssignmentsPart(NamedTuple):
    """Some tasks of one step, whose assignments are kept together.

    Parameters
    ----------
    job_id : str
        The job.
    occurrence, step : int
        Which step of it.
    number : int
        Which part of the step, from 0.
    """

    job_id: str
    occurrence: int
    step: int
    number: int

    @property
    def task_indices(self) -> range:
        """Which tasks of the step it is about."""
        first = self.number * _TASKS_OF_A_PART
        return range(first, first + _TASKS_OF_A_PART)

    @property
    def first_task(self) -> TaskKey:
        """The first of its tasks."""
        return TaskKey(self.job_id, self.occurrence, self.step, self.task_indices[0])


def part_of(key: TaskKey) -> AssignmentsPart:
    """Return the part that a task belongs to."""
    return AssignmentsPart(key.job_id, key.occurrence, key.step, key.task_index // _TASKS_OF_A_PART)


def parts_of(step: StepState) -> list[AssignmentsPart]:
    """Return the parts of a step."""
    last = part_of(step.key(step.spec.task_count - 1))
    return [last._replace(number=number) for number in range(last.number + 1)]


class SilentLoss(NamedTuple):
    """What was on a worker whose lease ended in silence: it may have crashed, or be cut off.

    Parameters
    ----------
    at_s : float
        When it was given up, steady clock.
    crash_by_task : dict
        What is to be noted if it has crashed.
    """

    at_s: float
    crash_by_task: dict[TaskKey, Crash]


class Death(NamedTuple):
    """A crash of a worker, and what it may say of the tasks that were there.

    Parameters
    ----------
    at_s : float
        When it was known, steady clock.
    crash_by_task : dict
        What was noted.
    """

    at_s: float
    crash_by_task: dict[TaskKey, Crash]


class SchedulerState:
    """Jobs, workers and what is to be done about them.

    Parameters
    ----------
    settings : SchedulerSettings
        Limits and weights.
    epoch : int
        Epoch of the owner; later owners have larger ones.
    policy : Policy
        The operators' programs, with built-in choices for those left out.
    """

    def __init__(self, settings: SchedulerSettings, epoch: int, policy: Policy) -> None:
        """Start empty."""
        self.settings = settings
        self.policy = policy
        self.epoch = epoch
        self.job_by_id: dict[str, JobState] = {}
        self.active_job_by_id: dict[str, JobState] = {}
        self.worker_by_id: dict[str, WorkerState] = {}
        self.times = RunTimes(is_learning=settings.has(Mechanism.LEARNED_TIMES))
        self.reservations = Reservations()
        self.dirty_jobs: set[str] = set()
        # What has changed of where tasks may run, and is not kept.
        self.unkept_assignments: set[AssignmentsPart] = set()
        self.notes: list[Note] = []
        self.silent_loss_by_worker: dict[str, SilentLoss] = {}
        # Incarnations whose lists some step waits for, or did, and those that were given up in silence since, until
        # something answers at their addresses.
        self.awaited_incarnations: set[str] = set()
        self.given_up_unacknowledged: set[str] = set()
        self.recent_deaths: list[Death] = []
        self.effects: list[Effect] = []
        self.guaranteed_by_account: dict[str, int] = {}
        # Services whose workers start whatever they are sent, and when entries were last synced.
        self.unguarded_services: frozenset[str] = frozenset()
        self.workers_synced_s = float('-inf')
        self.surveyed_workers: set[str] = set()
        self.memory = FailedSearches()
        self.stalls = Stalls()
        self._runs_started = 0

    def step_of(self, key: TaskKey) -> StepState | None:
        """Return the step of a task, if its job is known."""
        job = self.job_by_id.get(key.job_id)
        return None if job is None else job.step_of(key)

    def knows_room(self, worker: WorkerState, now_s: float) -> bool:
        """Tell whether a worker's room is known, or guarded by the worker itself."""
        if worker.profile.service not in self.unguarded_services:
            return True
        return now_s - self.workers_synced_s <= _ROOM_KNOWN_S

    def next_run_number(self) -> int:
        """Return a run number above all that were given before."""
        self._runs_started += 1
        return self.epoch * RUNS_PER_EPOCH + self._runs_started

    def add_run(self, step: StepState, run: Run) -> None:
        """Let a run hold its task and its room."""
        step.pending.discard(run.key.task_index)
        step.run_by_index[run.key.task_index] = run
        self.unkept_assignments.add(part_of(run.key))
        worker = self.worker_by_id.get(run.worker_id)
        if worker is not None:
            worker.add_run(run)

    def remove_run(self, run: Run) -> None:
        """Free a run's room; its task waits again unless it has succeeded."""
        worker = self.worker_by_id.get(run.worker_id)
        if worker is not None:
            worker.remove_run(run)
            self.memory.grown_workers.add(run.worker_id)
        step = self.step_of(run.key)
        if step is None or step.run_by_index.get(run.key.task_index) is not run:
            return
        del step.run_by_index[run.key.task_index]
        self.unkept_assignments.add(part_of(run.key))
        if run.key.task_index not in step.done:
            step.pending.add(run.key.task_index)

    def note_losses(self, worker: WorkerState, cause: LossCause) -> None:
        """Note what a worker takes with it."""
        for run in worker.run_by_key.values():
            self.note_loss(worker, run, cause)

    def note_loss(self, worker: WorkerState, run: Run, cause: LossCause) -> None:
        """Note that a run is gone though its worker did not list its end."""
        self.notes.append(
            RunLost(worker.worker_id, run.key, run.number, cause, run.ran_s, worker.count_runs_of_other_jobs(run))
        )

    def start(self, step: StepState, task_index: int, run: Run) -> None:
        """Order a start."""
        kept = step.checkpoint_by_index
        run.checkpoint = step.gang_checkpoint() if step.spec.gang else kept.get(task_index, '')
        run.began_from_checkpoint = bool(run.checkpoint)
        if run.began_from_checkpoint:
            run.went_on()
        self.add_run(step, run)
        ticket = step.advice.ticket(run.worker_id, run.started_s) if step.advice else ''
        self.effects.append(StartRun(run.worker_id, run.key, run.number, run.checkpoint, run.rank, run.work_s, ticket))

    def stop(self, run: Run, reason: str) -> None:
        """Order a stop, once."""
        if run.phase is RunPhase.STOPPING:
            return
        run.phase = RunPhase.STOPPING
        self.effects.append(StopRun(run.worker_id, run.key, run.number, reason))

    def stop_unit(self, run: Run, reason: str) -> None:
        """Order a stop of a run and of its whole gang."""
        step = self.step_of(run.key)
        members = list(step.run_by_index.values()) if step is not None and step.spec.gang else [run]
        for member in members:
            self.stop(member, reason)

    def end_job(self, job: JobState, phase: JobPhase, wall_s: float, reason: str) -> None:
        """Let a job end: nothing of it runs on."""
        job.phase = phase
        job.ended_s = wall_s
        self.active_job_by_id.pop(job.spec.job_id, None)
        self.dirty_jobs.add(job.spec.job_id)
        self.reservations.drop(lambda reservation: reservation.step.job is job)
        for step in job.step_by_key.values():
            for run in tuple(step.run_by_index.values()):
                # Members of a gang that has succeeded end by themselves.
                if run.key.task_index not in step.done:
                    self.stop(run, reason)

    def active_jobs(self) -> Iterator[JobState]:
        """Yield the jobs that have not ended."""
        return iter(self.active_job_by_id.values())
