"""State of one job and its steps: finished, running and pending tasks."""

from collections.abc import Iterator
from enum import StrEnum

from ..configuration import Queue
from ..workload import JobSpec, StepKey, StepSpec, TaskKey
from .advice import Advice
from .progress import Crash, is_suspect, JobProgress, StepProgress
from .runs import Run
from .standing import CachedSortKey


class JobPhase(StrEnum):
    """Phase of a job as shown to callers."""

    QUEUED = 'queued'
    RUNNING = 'running'
    SUCCEEDED = 'succeeded'
    FAILED = 'failed'
    CANCELLED = 'cancelled'


ENDED_PHASES = frozenset((JobPhase.SUCCEEDED, JobPhase.FAILED, JobPhase.CANCELLED))


class StepState:
    """State of one step in one occurrence of its job.

    Parameters
    ----------
    job : JobState
        Its job.
    occurrence, number : int
        Numbers of the occurrence and of the step in the job.
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
        # Tasks suspected of crashing workers, and until when they wait for an empty worker, on the steady clock.
        self.suspects: set[int] = set()
        self.empty_worker_wait_until_s: float | None = None
        self.failed_worker_ids: set[str] = set()
        self.checkpoint_by_index: dict[int, str] = {}
        self.refused_until_s = 0.0
        # Workers that refused the step, and until when other workers are preferred, on the steady clock.
        self.refused_until_by_worker: dict[str, float] = {}
        # Worker incarnations that may have started tasks of the step, and until when their lists of runs are awaited,
        # on the steady clock.
        self.awaited_until_by_worker: dict[str, float] = {}
        # Whether a scheduling pass has already tried to place the step and looked for preemption victims.
        self.was_considered = False
        # Logarithms of the run times of its tasks, normalized by the pace of their workers.
        self.log_run_times: list[float] = []
        self.sort_key: CachedSortKey | None = None
        # Since when it has waited without a start of any of its tasks, on the steady clock; None until it is ready.
        self.passed_over_since_s: float | None = None
        # Whether any worker near the step's data, or any single rack, could hold it, and when that was last checked,
        # on the steady clock.
        self.has_near_capacity = True
        self.near_capacity_checked_s = float('-inf')
        self.advice = Advice() if job.queue.advice else None

    @property
    def step_key(self) -> StepKey:
        """Key of the step."""
        return StepKey(self.job.spec.job_id, self.occurrence, self.number)

    @property
    def is_done(self) -> bool:
        """Whether every task has succeeded."""
        return len(self.done) == self.spec.task_count

    def key(self, index: int) -> TaskKey:
        """Return the key of a task."""
        return TaskKey(self.job.spec.job_id, self.occurrence, self.number, index)

    def mark_done(self, index: int) -> None:
        """Record the success of a task; the success of one gang member counts for the whole gang."""
        indices = range(self.spec.task_count) if self.spec.gang else (index,)
        for each in indices:
            self.pending.discard(each)
            self.checkpoint_by_index.pop(each, None)
            self.done.add(each)

    def count_failure(self, index: int, run: int) -> int:
        """Record a failed run, once; return the number of failed runs of its task."""
        failed = self.failed_runs_by_index.setdefault(0 if self.spec.gang else index, set())
        failed.add(run)
        return len(failed)

    def count_crash(self, index: int, crash: Crash) -> bool:
        """Record a worker crash against a task, once per run; return whether it is new."""
        crashes = self.crashes_by_index.setdefault(index, [])
        if any(known.run == crash.run for known in crashes):
            return False
        crashes.append(crash)
        self.empty_worker_wait_until_s = None
        # A crash that one owner counts but cannot save allows one more start under the next
        # owner: with the store unavailable, three successive owners started a task six times.
        self.job.has_unsaved_crashes = self.job.has_unsaved_crashes or is_suspect(crashes)
        return True

    def discount_crash(self, index: int, run: int) -> bool:
        """Discount the crash of a run as evidence against its task; return whether that is a change."""
        crashes = self.crashes_by_index.get(index, [])
        for number, crash in enumerate(crashes):
            if crash.run == run and not crash.is_discounted:
                crashes[number] = crash._replace(is_discounted=True)
                if not is_suspect(crashes):
                    self.suspects.discard(index)
                return True
        return False

    def gang_checkpoint(self) -> str:
        """Return a checkpoint that every gang member can resume from."""
        return max(self.checkpoint_by_index.values(), default='')

    def progress(self) -> StepProgress | None:
        """Return the progress to save; None for a step without any."""
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
        """Restore saved progress."""
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
        Specification of the job as submitted.
    queue : Queue
        Configuration of its queue when the job was accepted.
    """

    def __init__(self, spec: JobSpec, queue: Queue) -> None:
        """Start with nothing done."""
        self.spec = spec
        self.queue = queue
        self.phase = JobPhase.QUEUED
        self.has_begun = False
        self.ended_s = 0.0
        self.not_before_s = 0.0
        self.step_by_key: dict[tuple[int, int], StepState] = {}
        self.opened_occurrences = 0
        self.failed_worker_ids: set[str] = set()
        self.has_success = False
        # Whether worker crashes were counted that are not saved, so that the next owner would not know of them.
        self.has_unsaved_crashes = False
        # When the crash limit is applied to its tasks, on the steady clock; None if no decision is pending.
        self.crash_limit_at_s: float | None = None
        self.is_end_saved = False

    @property
    def has_ended(self) -> bool:
        """Whether the job is in a final phase."""
        return self.phase in ENDED_PHASES

    @property
    def shown_phase(self) -> JobPhase:
        """Phase to show to callers: success or failure only once it is saved and can no longer be lost."""
        if self.has_ended and not self.is_end_saved and self.phase is not JobPhase.CANCELLED:
            return JobPhase.RUNNING
        return self.phase

    @property
    def is_end_near(self) -> bool:
        """Whether the job only waits for its current runs to end, or for its end to be saved."""
        if self.has_ended:
            return self.shown_phase not in ENDED_PHASES
        if self.opened_occurrences < self.spec.occurrences:
            return False
        return not any(step.pending or step.spec.lasting for step in self.step_by_key.values())

    def open_due(self, wall_s: float) -> bool:
        """Create the steps of occurrences that are due; return whether there were any."""
        opened = False
        while self.opened_occurrences < self.spec.occurrences and self.spec.due_s(self.opened_occurrences) <= wall_s:
            self._open_occurrence(self.opened_occurrences)
            self.opened_occurrences += 1
            opened = True
        return opened

    def ready_steps(self) -> Iterator[StepState]:
        """Yield the steps that have pending tasks and whose prerequisite steps are done."""
        for (occurrence, _), step in self.step_by_key.items():
            if not step.pending:
                continue
            prerequisites = step.spec.after
            if all(self.step_by_key[occurrence, prerequisite].is_done for prerequisite in prerequisites):
                yield step

    def step_of(self, key: TaskKey) -> StepState | None:
        """Return the step of a task, or None if the job has no such task."""
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
        """Record that a task of the job has started."""
        self.has_begun = True
        if self.phase is JobPhase.QUEUED:
            self.phase = JobPhase.RUNNING

    def runs(self) -> Iterator[Run]:
        """Yield the runs that hold capacity."""
        for step in self.step_by_key.values():
            yield from step.run_by_index.values()

    def progress(self) -> JobProgress:
        """Return the progress to save in the store."""
        saved = (step.progress() for step in self.step_by_key.values())
        return JobProgress(str(self.phase), tuple(each for each in saved if each), self.ended_s)

    def restore(self, saved: JobProgress) -> None:
        """Restore saved progress."""
        self.phase = JobPhase(saved.phase)
        self.ended_s = saved.ended_s
        self.is_end_saved = self.has_ended
        for each in saved.steps:
            step = self.step_of(TaskKey(self.spec.job_id, each.occurrence, each.step, 0))
            if step is not None:
                step.restore(each)
        if saved.steps:
            self.has_begun = True

    def release(self) -> None:
        """Drop the steps, which refer back to the job, so that reference counting alone can free both."""
        self.step_by_key.clear()

    def _open_occurrence(self, occurrence: int) -> None:
        for number, _ in enumerate(self.spec.steps):
            key = (occurrence, number)
            if key not in self.step_by_key:
                self.step_by_key[key] = StepState(self, occurrence, number)
