"""State of one job: what is done, what runs and what may start."""

from collections.abc import Iterator
from enum import StrEnum

from ..configuration import Queue
from ..workload import JobSpec, StepKey, StepSpec, TaskKey
from .advice import Advice
from .progress import Crash, is_suspect, JobProgress, StepProgress
from .runs import Run
from .standing import DatedStanding


class JobPhase(StrEnum):
    """State of a job as callers see it."""

    QUEUED = 'queued'
    RUNNING = 'running'
    SUCCEEDED = 'succeeded'
    FAILED = 'failed'
    CANCELLED = 'cancelled'


ENDED_PHASES = frozenset((JobPhase.SUCCEEDED, JobPhase.FAILED, JobPhase.CANCELLED))


class StepState:
    """State of one step in one occurrence.

    Parameters
    ----------
    job : JobState
        Its job.
    occurrence, number : int
        Which step.
    """

    def __init__(self, job: 'JobState', occurrence: int, number: int) -> None:
        """Start with every task pending."""
        self.job = job
        self.occurrence = occurrence
        self.number = number
        self.spec: StepSpec = job.spec.steps[number]
        self.pending = set(range(self.spec.task_count))
        self.done: set[int] = set()
        self.run_by_index: dict[int, Run] = {}
        self.failed_runs_by_index: dict[int, set[int]] = {}
        self.crashes_by_index: dict[int, list[Crash]] = {}
        # Tasks that may crash workers, and until when they wait for a worker of their own, steady clock.
        self.suspects: set[int] = set()
        self.alone_until_s: float | None = None
        self.failed_on: set[str] = set()
        self.checkpoint_by_index: dict[int, str] = {}
        self.refused_until_s = 0.0
        # Workers that refused it, and until when others are asked first, steady clock.
        self.refused_until_by_worker: dict[str, float] = {}
        # Incarnations of workers that may have begun its tasks, and until when they are waited for, steady clock.
        self.awaited_until_by_worker: dict[str, float] = {}
        # Whether a pass has tried to place it, and looked for victims.
        self.was_considered = False
        # Logarithms of the times that its tasks take on a worker like the others.
        self.log_times: list[float] = []
        self.standing: DatedStanding | None = None
        # Whether any place near its data, or any rack, could hold it, and when that was looked at, steady clock.
        self.has_near_place = True
        self.near_place_seen_s = float('-inf')
        self.advice = Advice() if job.queue.advice else None

    @property
    def identity(self) -> StepKey:
        """Which step of which job it is."""
        return StepKey(self.job.spec.job_id, self.occurrence, self.number)

    @property
    def is_done(self) -> bool:
        """Whether every task has succeeded."""
        return len(self.done) == self.spec.task_count

    def key(self, index: int) -> TaskKey:
        """Return the key of a task."""
        return TaskKey(self.job.spec.job_id, self.occurrence, self.number, index)

    def mark_done(self, index: int) -> None:
        """Record a success; one member's stands for its whole gang."""
        indices = range(self.spec.task_count) if self.spec.gang else (index,)
        for each in indices:
            self.pending.discard(each)
            self.checkpoint_by_index.pop(each, None)
            self.done.add(each)

    def count_failure(self, index: int, run: int) -> int:
        """Record a failed run, once; return how many there are of its task."""
        failed = self.failed_runs_by_index.setdefault(0 if self.spec.gang else index, set())
        failed.add(run)
        return len(failed)

    def count_crash(self, index: int, crash: Crash) -> bool:
        """Record a crash of a worker under a task, once; tell whether it is new."""
        crashes = self.crashes_by_index.setdefault(index, [])
        if any(known.run == crash.run for known in crashes):
            return False
        crashes.append(crash)
        self.alone_until_s = None
        # What one owner counted and could not keep is a start more under the next: with
        # the store away, three owners in turn gave a task six.
        self.job.has_unkept_crashes = self.job.has_unkept_crashes or is_suspect(crashes)
        return True

    def discount_crash(self, index: int, run: int) -> bool:
        """Record that the crash under a run said nothing of its task; tell whether that is new."""
        crashes = self.crashes_by_index.get(index, [])
        for number, crash in enumerate(crashes):
            if crash.run == run and not crash.is_discounted:
                crashes[number] = crash._replace(is_discounted=True)
                if not is_suspect(crashes):
                    self.suspects.discard(index)
                return True
        return False

    def gang_checkpoint(self) -> str:
        """Return a checkpoint that every member can go on from."""
        return max(self.checkpoint_by_index.values(), default='')

    def progress(self) -> StepProgress | None:
        """Return what must be kept; nothing for an untouched step."""
        if not (self.done or self.failed_runs_by_index or self.checkpoint_by_index or self.crashes_by_index):
            return None
        all_done = self.is_done
        return StepProgress(
            self.occurrence,
            self.number,
            () if all_done else tuple(sorted(self.done)),
            all_done,
            {index: tuple(sorted(runs)) for index, runs in self.failed_runs_by_index.items()},
            {} if all_done else dict(self.checkpoint_by_index),
            {} if all_done else {index: tuple(crashes) for index, crashes in self.crashes_by_index.items()},
        )

    def restore(self, saved: StepProgress) -> None:
        """Take in what was kept."""
        for index in range(self.spec.task_count) if saved.all_done else saved.done:
            self.pending.discard(index)
            self.done.add(index)
        self.failed_runs_by_index = {index: set(runs) for index, runs in saved.failures.items()}
        self.checkpoint_by_index = dict(saved.checkpoints)
        self.crashes_by_index = {index: list(crashes) for index, crashes in saved.crashes.items()}
        self.suspects = {index for index, crashes in saved.crashes.items() if is_suspect(crashes)}


class JobState:
    """State of one job.

    Parameters
    ----------
    spec : JobSpec
        The job as submitted.
    queue : Queue
        Its queue when it was accepted.
    """

    def __init__(self, spec: JobSpec, queue: Queue) -> None:
        """Start with nothing done."""
        self.spec = spec
        self.queue = queue
        self.phase = JobPhase.QUEUED
        self.has_begun = False
        self.ended_s = 0.0
        self.known_since_s = 0.0
        self.step_by_key: dict[tuple[int, int], StepState] = {}
        self.opened_occurrences = 0
        self.failed_on: set[str] = set()
        self.has_success = False
        # Whether crashes of workers were counted that a next owner would not know of.
        self.has_unkept_crashes = False
        # Until when it is not decided whether one of its tasks is given up, steady clock.
        self.crash_limit_at_s: float | None = None
        self.is_end_kept = False

    @property
    def has_ended(self) -> bool:
        """Whether nothing more will run."""
        return self.phase in ENDED_PHASES

    @property
    def shown_phase(self) -> JobPhase:
        """Phase to show: an end only once it can't be lost any more."""
        if self.has_ended and not self.is_end_kept and self.phase is not JobPhase.CANCELLED:
            return JobPhase.RUNNING
        return self.phase

    @property
    def is_end_near(self) -> bool:
        """Whether its end waits only for runs that are under way, or to be kept."""
        if self.has_ended:
            return self.shown_phase not in ENDED_PHASES
        if self.opened_occurrences < self.spec.occurrences:
            return False
        return not any(step.pending or step.spec.lasting for step in self.step_by_key.values())

    def open_due(self, wall_s: float) -> bool:
        """Create the steps of occurrences that are due; tell whether any was."""
        opened = False
        while self.opened_occurrences < self.spec.occurrences and self.spec.due_s(self.opened_occurrences) <= wall_s:
            self._open_occurrence(self.opened_occurrences)
            self.opened_occurrences += 1
            opened = True
        return opened

    def ready_steps(self) -> Iterator[StepState]:
        """Yield the steps that have tasks to start and wait for no other."""
        for (occurrence, _), step in self.step_by_key.items():
            if not step.pending:
                continue
            prerequisites = step.spec.after
            if all(self.step_by_key[occurrence, prerequisite].is_done for prerequisite in prerequisites):
                yield step

    def step_of(self, key: TaskKey) -> StepState | None:
        """Return the step of a task; nothing when the job has no such task."""
        if key.step >= len(self.spec.steps) or key.occurrence >= self.spec.occurrences:
            return None
        step = self.step_by_key.get((key.occurrence, key.step))
        if step is None:
            self._open_occurrence(key.occurrence)
            step = self.step_by_key[key.occurrence, key.step]
        return step if key.task_index < step.spec.task_count else None

    def has_succeeded(self) -> bool:
        """Whether every task of every occurrence has succeeded."""
        if self.opened_occurrences < self.spec.occurrences:
            return False
        return all(step.is_done for step in self.step_by_key.values())

    def mark_begun(self) -> None:
        """Record that one of its tasks has begun."""
        self.has_begun = True
        if self.phase is JobPhase.QUEUED:
            self.phase = JobPhase.RUNNING

    def runs(self) -> Iterator[Run]:
        """Yield the runs that hold capacity."""
        for step in self.step_by_key.values():
            yield from step.run_by_index.values()

    def progress(self) -> JobProgress:
        """Return what must outlast every instance."""
        saved = (step.progress() for step in self.step_by_key.values())
        return JobProgress(str(self.phase), tuple(each for each in saved if each), self.ended_s)

    def restore(self, saved: JobProgress) -> None:
        """Take in what was kept."""
        self.phase = JobPhase(saved.phase)
        self.ended_s = saved.ended_s
        self.is_end_kept = self.has_ended
        for each in saved.steps:
            step = self.step_of(TaskKey(self.spec.job_id, each.occurrence, each.step, 0))
            if step is not None:
                step.restore(each)
        if saved.steps:
            self.has_begun = True

    def release(self) -> None:
        """Let go of its steps, which name it: nothing but reference counts has to free it then."""
        self.step_by_key.clear()

    def _open_occurrence(self, occurrence: int) -> None:
        for number, _ in enumerate(self.spec.steps):
            key = (occurrence, number)
            if key not in self.step_by_key:
                self.step_by_key[key] = StepState(self, occurrence, number)
