"""Assignments of tasks to workers: what a next owner must know of starts that were sent."""

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
    """A run of a task on a worker, kept before its start is sent.

    Parameters
    ----------
    task_index : int
        Which task of the step.
    run : int
        Number of the run.
    worker_id : str
        Incarnation of the worker.
    assigned_s : float
        When it was decided, seconds since 1970.
    """

    task_index: int
    run: int
    worker_id: str
    assigned_s: float


class StepAssignments(NamedTuple):
    """Where some tasks of a step may run.

    Parameters
    ----------
    runs : tuple of Assignment
        Runs that were assigned, and of which no end is known.
    awaited : tuple of str
        Workers that may have begun tasks of the step and have not said so: it waits for their lists.
    """

    runs: tuple[Assignment, ...] = ()
    awaited: tuple[str, ...] = ()


class Assignments:
    """Where tasks may run, as far as the store does not hold it yet.

    Parameters
    ----------
    state : SchedulerState
        What is believed.
    """

    def __init__(self, state: SchedulerState) -> None:
        """Start with what is believed."""
        self._state = state

    def take_unkept(self) -> set[AssignmentsPart]:
        """Return the parts that must be kept, and forget that they must."""
        unkept = self._state.unkept_assignments
        self._state.unkept_assignments = set()
        return unkept

    def mark_unkept(self, parts: Iterable[AssignmentsPart]) -> None:
        """Ask for parts to be kept, after a write that failed."""
        self._state.unkept_assignments.update(parts)

    def of_part(self, part: AssignmentsPart) -> StepAssignments:
        """Return where tasks may run; nowhere once their job has ended."""
        step = self._state.step_of(part.first_task)
        if step is None or step.job.has_ended:
            return StepAssignments()
        runs = (step.run_by_index[index] for index in part.task_indices if index in step.run_by_index)
        return StepAssignments(
            tuple(Assignment(run.key.task_index, run.number, run.worker_id, run.assigned_s) for run in runs),
            () if part.number else tuple(step.awaited_until_by_worker),
        )

    def sent(self, worker_id: str, key: TaskKey, number: int, now: Moment) -> bool:
        """Record that the start of a run is about to be sent; false when it is not wanted any more."""
        worker = self._state.worker_by_id.get(worker_id)
        run = None if worker is None else worker.run_by_key.get(key)
        if run is None or run.number != number or run.phase is RunPhase.STOPPING:
            return False
        run.date(now.steady_s)
        return True


def restore_assignments(
    state: SchedulerState, job: JobState, kept: Mapping[AssignmentsPart, StepAssignments], now: Moment
) -> None:
    """Believe in the runs that a previous owner assigned, until their workers say otherwise.

    Parameters
    ----------
    state : SchedulerState
        What is believed; workers are known by now.
    job : JobState
        The job, its progress restored.
    kept : mapping
        What the previous owner kept of it.
    now : Moment
        The present.
    """
    for part, assignments in kept.items():
        step = job.step_of(part.first_task)
        if step is None:
            continue
        for assignment in assignments.runs:
            _restore_run(state, step, assignment, now)
        for worker_id in assignments.awaited:
            worker = state.worker_by_id.get(worker_id)
            if worker is not None:
                wait_for_survey(state, step, worker_id, now.steady_s + worker.late_order_s)
        # It is kept as it is, but for what has ended since.
        state.unkept_assignments.discard(part)


def _restore_run(state: SchedulerState, step: StepState, assignment: Assignment, now: Moment) -> None:
    worker = state.worker_by_id.get(assignment.worker_id)
    # A worker that its owner did not know any more, or that is lapsed, runs nothing.
    if assignment.task_index not in step.pending or worker is None or worker.is_lapsed:
        return
    work_s = state.times.expect_s(step.job.queue.name, step.spec)
    started_s = now.steady_s - max(0.0, now.wall_s - assignment.assigned_s)
    key = step.key(assignment.task_index)
    run = Run(key, assignment.run, worker.worker_id, effective_demand(step), started_s, work_s)
    run.assigned_s = assignment.assigned_s
    run.seen_s = now.steady_s
    run.is_inherited = True
    run.rank = rank_of_queue(step.job.queue)
    # How far it has come, and at what pace, only its worker can tell.
    run.has_reported_pace = True
    run.went_on()
    if assignment.task_index in step.suspects:
        run.isolation_s = isolation_s(step)
    state.add_run(step, run)
