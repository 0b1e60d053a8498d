"""The mutable state of the scheduler: jobs, workers, runs and pending effects."""

from collections.abc import Iterator
from typing import NamedTuple

from ..policies import Policy
from ..workload import TaskKey
from .accounts import AccountShares
from .effects import Effect, StartRun, StopRun
from .events import LossCause, Note, RunLost
from .job_state import JobPhase, JobState, StepState
from .mechanisms import Mechanism
from .memory import FailedSearches
from .prediction import RunTimes
from .progress import Crash
from .reservations import Reservations
from .runs import Run, RunPhase
from .settings import SchedulerSettings
from .stalls import StallTracker
from .workers import WorkerState

# Run numbers of one owner are its epoch times this, plus a counter: they increase from
# one owner to the next.
RUNS_PER_EPOCH = 1 << 20
# How long the published capacity of workers that don't enforce it stays valid, in
# seconds: entries are written every 1.5 s, and users tolerate starts on capacity that
# shrank up to 4.5 s ago.
_CAPACITY_VALID_S = 3.0
# Probabilities of the run times that are logged when a run is ordered.
_LOGGED_PROBABILITIES = (0.5, 0.9)


# Number of tasks of a step whose assignments are saved together. It bounds the size of
# the write that a start needs, however many tasks the step has.
_TASKS_PER_PART = 256


class AssignmentsPart(NamedTuple):
    """A group of tasks of one step whose assignments are saved together.

    Parameters
    ----------
    job_id : str
        The job.
    occurrence, step : int
        Numbers of the occurrence and of the step in the job.
    number : int
        Number of the part in the step, from 0.
    """

    job_id: str
    occurrence: int
    step: int
    number: int

    @property
    def task_indices(self) -> range:
        """Indices of the tasks that the part covers."""
        first = self.number * _TASKS_PER_PART
        return range(first, first + _TASKS_PER_PART)

    @property
    def first_task(self) -> TaskKey:
        """Key of the first task of the part."""
        return TaskKey(self.job_id, self.occurrence, self.step, self.task_indices[0])


def part_of(key: TaskKey) -> AssignmentsPart:
    """Return the assignments part that a task belongs to."""
    return AssignmentsPart(key.job_id, key.occurrence, key.step, key.task_index // _TASKS_PER_PART)


def parts_of(step: StepState) -> list[AssignmentsPart]:
    """Return all assignments parts of a step."""
    last = part_of(step.key(step.spec.task_count - 1))
    return [last._replace(number=number) for number in range(last.number + 1)]


class SilentLoss(NamedTuple):
    """The runs of a worker whose lease ended in silence: it may have crashed, or only be unreachable.

    Parameters
    ----------
    at_s : float
        When the worker was given up, on the steady clock.
    crash_by_task : dict
        Crashes to record if the worker turns out to have crashed.
    """

    at_s: float
    crash_by_task: dict[TaskKey, Crash]


class WorkerCrash(NamedTuple):
    """A crash of a worker and the crashes recorded for the tasks that ran there.

    Parameters
    ----------
    at_s : float
        When the crash became known, on the steady clock.
    crash_by_task : dict
        Recorded crashes by task.
    """

    at_s: float
    crash_by_task: dict[TaskKey, Crash]


class Evacuation(NamedTuple):
    """An evacuation of a failure domain.

    Parameters
    ----------
    since_s : float
        When this owner learned of it, in seconds since 1970.
    is_empty : bool
        Whether the last run in the domain has ended.
    """

    since_s: float
    is_empty: bool = False


class SchedulerState:
    """Jobs, workers, runs and the effects that are still to be sent.

    Parameters
    ----------
    settings : SchedulerSettings
        Limits and weights.
    epoch : int
        Epoch of the owner; it grows with every new owner.
    policy : Policy
        The operators' policy programs, with built-in defaults for those not given.
    """

    def __init__(self, settings: SchedulerSettings, epoch: int, policy: Policy) -> None:
        """Start empty."""
        self.settings = settings
        self.policy = policy
        self.epoch = epoch
        self.job_by_id: dict[str, JobState] = {}
        self.active_job_by_id: dict[str, JobState] = {}
        self.worker_by_id: dict[str, WorkerState] = {}
        self.times = RunTimes(
            is_learning=settings.has(Mechanism.LEARNED_TIMES),
            has_quantiles=settings.has(Mechanism.RUN_TIME_QUANTILES),
        )
        self.reservations = Reservations()
        self.dirty_jobs: set[str] = set()
        # Parts whose assignments have changed and are not saved yet.
        self.unsaved_assignments: set[AssignmentsPart] = set()
        self.notes: list[Note] = []
        self.silent_loss_by_worker: dict[str, SilentLoss] = {}
        # Incarnations whose lists of runs a step waits for or has waited for; and those of them that have since been
        # given up in silence, until something answers at their addresses.
        self.awaited_incarnations: set[str] = set()
        self.given_up_unacknowledged: set[str] = set()
        self.recent_crashes: list[WorkerCrash] = []
        # Gangs of which a run has ended without success since the last pass, by step and run number.
        self.broken_gang_runs: set[tuple[StepState, int]] = set()
        self.effects: list[Effect] = []
        self.guaranteed_by_account: dict[str, int] = {}
        self.account_shares = AccountShares(settings)
        # Failure domains in which nothing may be started.
        self.evacuation_by_domain: dict[str, Evacuation] = {}
        # Services whose workers don't enforce their capacity, and when worker entries were last synced.
        self.services_without_capacity_check: frozenset[str] = frozenset()
        self.workers_synced_s = float('-inf')
        self.surveyed_workers: set[str] = set()
        # Pace of a healthy worker, as the logarithm of its ratio of run times.
        self.pace_reference = 0.0
        # When slowdowns of workers were last updated, on the steady clock.
        self.slowdowns_updated_s = float('-inf')
        self.failed_searches = FailedSearches()
        self.stalls = StallTracker()
        self._runs_started = 0

    def step_of(self, key: TaskKey) -> StepState | None:
        """Return the step of a task, or None if the job or task is unknown."""
        job = self.job_by_id.get(key.job_id)
        return None if job is None else job.step_of(key)

    def is_capacity_known(self, worker: WorkerState, now_s: float) -> bool:
        """Return whether a worker's published capacity is recent, or the worker enforces it itself."""
        if worker.profile.service not in self.services_without_capacity_check:
            return True
        return now_s - self.workers_synced_s <= _CAPACITY_VALID_S

    def next_run_number(self) -> int:
        """Return a run number larger than all previous ones."""
        self._runs_started += 1
        return self.epoch * RUNS_PER_EPOCH + self._runs_started

    def add_run(self, step: StepState, run: Run) -> None:
        """Add a run, which takes its task and its capacity on the worker."""
        step.pending.discard(run.key.task_index)
        step.run_by_index[run.key.task_index] = run
        run.ratios = self.times.ratios(step.job.queue.name, step.job.spec.account)
        self.unsaved_assignments.add(part_of(run.key))
        worker = self.worker_by_id.get(run.worker_id)
        if worker is not None:
            worker.add_run(run)

    def remove_run(self, run: Run) -> None:
        """Remove a run and free its capacity; its task is pending again unless it has succeeded."""
        worker = self.worker_by_id.get(run.worker_id)
        if worker is not None:
            worker.remove_run(run)
            self.failed_searches.grown_workers.add(run.worker_id)
        step = self.step_of(run.key)
        if step is None or step.run_by_index.get(run.key.task_index) is not run:
            return
        del step.run_by_index[run.key.task_index]
        self.unsaved_assignments.add(part_of(run.key))
        if run.key.task_index not in step.done:
            step.pending.add(run.key.task_index)

    def record_losses(self, worker: WorkerState, cause: LossCause) -> None:
        """Record all runs of a worker as lost, for the log."""
        for run in worker.run_by_key.values():
            self.record_loss(worker, run, cause)

    def record_loss(self, worker: WorkerState, run: Run, cause: LossCause) -> None:
        """Record that a run was lost without a reported end, for the log."""
        self.notes.append(
            RunLost(worker.worker_id, run.key, run.number, cause, run.ran_s, worker.count_runs_of_other_jobs(run))
        )

    def start(self, step: StepState, task_index: int, run: Run) -> None:
        """Add a run and order its start."""
        checkpoints = step.checkpoint_by_index
        run.checkpoint = step.gang_checkpoint() if step.spec.gang else checkpoints.get(task_index, '')
        run.began_from_checkpoint = bool(run.checkpoint)
        if run.began_from_checkpoint:
            run.discard_pace_baseline()
        self.add_run(step, run)
        ticket = step.advice.ticket(run.worker_id, run.started_s) if step.advice else ''
        step.passed_over_since_s = run.started_s
        account = step.job.spec.account
        self.effects.append(
            StartRun(
                run.worker_id,
                run.key,
                run.number,
                run.checkpoint,
                run.rank,
                run.work_s,
                ticket,
                account,
                self.account_shares.level_of(account),
                self.account_shares.ratio_of(account),
                run.slowdown,
                *(run.predicted_s(probability) for probability in _LOGGED_PROBABILITIES),
            )
        )

    def stop(self, run: Run, reason: str) -> None:
        """Order a stop, unless one has been ordered already."""
        if run.phase is RunPhase.STOPPING:
            return
        run.phase = RunPhase.STOPPING
        self.effects.append(StopRun(run.worker_id, run.key, run.number, reason))

    def stop_with_gang(self, run: Run, reason: str) -> None:
        """Order a stop of a run or, for a gang, of all its members."""
        step = self.step_of(run.key)
        members = list(step.run_by_index.values()) if step is not None and step.spec.gang else [run]
        for member in members:
            self.stop(member, reason)

    def end_job(self, job: JobState, phase: JobPhase, wall_s: float, reason: str) -> None:
        """Move a job to a final phase and stop its remaining runs."""
        job.phase = phase
        job.ended_s = wall_s
        self.active_job_by_id.pop(job.spec.job_id, None)
        self.dirty_jobs.add(job.spec.job_id)
        self.reservations.drop(lambda reservation: reservation.step.job is job)
        for step in job.step_by_key.values():
            for run in tuple(step.run_by_index.values()):
                # The other members of a gang that has succeeded end by themselves.
                if run.key.task_index not in step.done:
                    self.stop(run, reason)

    def active_jobs(self) -> Iterator[JobState]:
        """Return an iterator over the jobs that have not ended."""
        return iter(self.active_job_by_id.values())
