"""Assignments of tasks to workers, saved so that the next owner knows which starts were sent."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from ..workload import TaskKey
from .clock import Moment
from .crashes import isolation_s
from .job_state import JobState, StepState
from .ranks import rank_of_queue
from .room import effective_demand
from .runs import Run, RunPhase
from .state import AssignmentsPart, SchedulerState
from .successors import wait_for_survey


class Assignment(NamedTuple):
    """A run of a task on a worker, saved before its start order is sent.

    Parameters
    ----------
    task_index : int
        Index of the task in its step.
    run : int
        Number of the run.
    worker_id : str
        Identifier of the worker incarnation.
    assigned_s : float
        Time of the decision, in seconds since 1970.
    """

    task_index: int
    run: int
    worker_id: str
    assigned_s: float


class StepAssignments(NamedTuple):
    """The assignments of some tasks of a step.

    Parameters
    ----------
    runs : tuple of Assignment
        Assigned runs that are not known to have ended.
    awaited : tuple of str
        Workers that may have started tasks of the step without reporting it: the step waits
        until they have listed their runs.
    """

    runs: tuple[Assignment, ...] = ()
    awaited: tuple[str, ...] = ()


class Assignments:
    """Tracks which assignments have changed since they were last saved.

    Parameters
    ----------
    state : SchedulerState
        The scheduler's state.
    """

    def __init__(self, state: SchedulerState) -> None:
        """Wrap a scheduler state."""
        self._state = state

    def take_unsaved(self) -> set[AssignmentsPart]:
        """Return the parts with unsaved changes, and clear that set."""
        unsaved = self._state.unsaved_assignments
        self._state.unsaved_assignments = set()
        return unsaved

    def mark_unsaved(self, parts: Iterable[AssignmentsPart]) -> None:
        """Mark parts as unsaved again after a failed write."""
        self._state.unsaved_assignments.update(parts)

    def for_part(self, part: AssignmentsPart) -> StepAssignments:
        """Return the current assignments of a part; none once the job has ended."""
        step = self._state.step_of(part.first_task)
        if step is None or step.job.has_ended:
            return StepAssignments()
        runs = (step.run_by_index[index] for index in part.task_indices if index in step.run_by_index)
        return StepAssignments(
            tuple(Assignment(run.key.task_index, run.number, run.worker_id, run.assigned_s) for run in runs),
            () if part.number else tuple(step.awaited_until_by_worker),
        )

    def record_sent(self, worker_id: str, key: TaskKey, number: int, now: Moment) -> bool:
        """Record that a start order is about to be sent; return false if the run is no longer wanted."""
        worker = self._state.worker_by_id.get(worker_id)
        run = None if worker is None else worker.run_by_key.get(key)
        if run is None or run.number != number or run.phase is RunPhase.STOPPING:
            return False
        run.mark_sent(now.steady_s)
        return True


def restore_assignments(
    state: SchedulerState, job: JobState, saved: Mapping[AssignmentsPart, StepAssignments], now: Moment
) -> None:
    """Restore the runs that a previous owner assigned; they count as running until their workers report otherwise.

    Parameters
    ----------
    state : SchedulerState
        The scheduler's state; the workers must already be known.
    job : JobState
        The job, with its progress already restored.
    saved : mapping
        The job's assignments as saved by the previous owner.
    now : Moment
        The current time.
    """
    for part, assignments in saved.items():
        step = job.step_of(part.first_task)
        if step is None:
            continue
        for assignment in assignments.runs:
            _restore_run(state, step, assignment, now)
        for worker_id in assignments.awaited:
            worker = state.worker_by_id.get(worker_id)
            if worker is not None:
                wait_for_survey(state, step, worker_id, now.steady_s + worker.late_order_s)
        # The store already holds this part, except that some of its runs may have ended since.
        state.unsaved_assignments.discard(part)


def _restore_run(state: SchedulerState, step: StepState, assignment: Assignment, now: Moment) -> None:
    worker = state.worker_by_id.get(assignment.worker_id)
    # Nothing runs on a worker that the previous owner no longer knew, or that is lapsed.
    if assignment.task_index not in step.pending or worker is None or worker.is_lapsed:
        return
    work_s = state.times.expect_s(step.job.queue.name, step.spec)
    started_s = now.steady_s - max(0.0, now.wall_s - assignment.assigned_s)
    key = step.key(assignment.task_index)
    run = Run(key, assignment.run, worker.worker_id, effective_demand(step), started_s, work_s)
    run.assigned_s = assignment.assigned_s
    run.last_seen_s = now.steady_s
    run.is_inherited = True
    run.rank = rank_of_queue(step.job.queue)
    # Only the worker knows the run's progress and pace, so pace is not learned from this run.
    run.has_reported_pace = True
    run.discard_pace_baseline()
    if assignment.task_index in step.suspects:
        run.isolation_s = isolation_s(step)
    state.add_run(step, run)
