"""Moves runs off leaving workers once their tasks could start elsewhere at once.

A gang moves as a whole. The places of its members on workers that stay come free with its
stop, so that it only needs as many further places as it has members on leaving workers. All
places are reserved in the pass that orders the stop: the plan of the next gang finds them
taken, and work that arrives during the stop does not use them.
"""

from typing import NamedTuple

from ..clock import Moment
from ..events import WaitReason
from ..gates import job_wait_reason, step_wait_reason
from ..job_state import StepState
from ..mechanisms import Mechanism
from ..placement import place, Placement, PlacementRequest
from ..reservations import Reservation
from ..room import FreeCapacity
from ..runs import Run, RunPhase
from ..state import SchedulerState
from .assessing import Departure, departures, Timing, timing
from .stopping import stop_departing


class Move(NamedTuple):
    """Runs of one step that wait for capacity elsewhere: a whole gang, or separate tasks.

    Parameters
    ----------
    step : StepState
        The step.
    departures : tuple of Departure
        Its runs on leaving workers.
    """

    step: StepState
    departures: tuple[Departure, ...]

    @property
    def task_indices(self) -> set[int]:
        """Indices of the tasks to be placed elsewhere."""
        if self.step.spec.gang:
            return set(self.step.run_by_index)
        return {departure.run.key.task_index for departure in self.departures}


def find_moves(state: SchedulerState, now: Moment) -> dict[StepState, Move]:
    """Return the moves that wait for capacity elsewhere, by step.

    A step with pending tasks has none: what fits elsewhere goes to these.
    """
    if not state.settings.has(Mechanism.EARLY_MOVES):
        return {}
    found: dict[StepState, list[Departure]] = {}
    for worker in state.worker_by_id.values():
        if not worker.profile.draining:
            continue
        for departure in departures(state, worker, now):
            if timing(departure) is Timing.CAPACITY_ELSEWHERE:
                found.setdefault(departure.step, []).append(departure)
    return {step: Move(step, tuple(each)) for step, each in found.items() if _may_move(state, step, now)}


def order_move(
    state: SchedulerState, move: Move, request: PlacementRequest, free_capacity: FreeCapacity, now: Moment
) -> None:
    """Stop the runs of a move and reserve capacity elsewhere, if there is enough of it now.

    Parameters
    ----------
    state : SchedulerState
        State of the scheduler.
    move : Move
        The runs.
    request : PlacementRequest
        Request to place their tasks.
    free_capacity : FreeCapacity
        Capacity that is free now.
    now : Moment
        Current time.
    """
    placement = _place_elsewhere(move, request, free_capacity)
    if not placement.task_count:
        return
    # The runs whose workers leave first are moved first.
    first = sorted(move.departures, key=lambda departure: (departure.last_stop_s, departure.run.key.task_index))
    moved: set[int] = set()
    for departure in first if not move.step.spec.gang else first[:1]:
        if len(moved) < placement.task_count:
            moved.update(run.key.task_index for run in departure.members)
            stop_departing(state, departure, Timing.CAPACITY_ELSEWHERE, now)
    count_by_worker = {allocation.worker.worker_id: allocation.task_count for allocation in placement.allocations}
    ready_s = now.steady_s + state.settings.stop_timeout_s
    state.reservations.add(
        Reservation(
            move.step,
            count_by_worker,
            ready_s,
            request.sort_key,
            awaits_preemption=True,
            created_s=now.steady_s,
            moved=frozenset(moved),
        )
    )


def _may_move(state: SchedulerState, step: StepState, now: Moment) -> bool:
    if step.pending or step.job.has_ended or state.reservations.has(step):
        return False
    gates = (job_wait_reason(step.job, now), step_wait_reason(state, step, now))
    if any(gate not in {None, WaitReason.GANG_ENDING} for gate in gates):
        return False
    return not step.spec.gang or all(run.phase is not RunPhase.STOPPING for run in step.run_by_index.values())


def _place_elsewhere(move: Move, request: PlacementRequest, free_capacity: FreeCapacity) -> Placement:
    if not move.step.spec.gang:
        return place(request, free_capacity)
    free_by_id = free_capacity.free_by_id
    before = {run.worker_id: free_by_id[run.worker_id] for run in _members_that_stay(move, free_capacity)}
    for run in _members_that_stay(move, free_capacity):
        free_by_id[run.worker_id] = free_by_id[run.worker_id].plus(run.demand)
    placement = place(request, free_capacity)
    free_by_id.update(before)
    return placement


def _members_that_stay(move: Move, free_capacity: FreeCapacity) -> list[Run]:
    """Return the members of a gang on workers that get starts."""
    return [run for run in move.step.run_by_index.values() if run.worker_id in free_capacity.free_by_id]
