"""Reports of why steps wait whose jobs have had nothing running for a while."""

from collections.abc import Sequence
from functools import cached_property

from .clock import Moment
from .events import StepWaiting, WaitReason
from .gates import job_gate, step_gate
from .job_state import StepState
from .placement import place, PlacementRequest
from .reservations import Reservations
from .room import effective_demand, fitting_count, FreeCapacity, per_worker_limit
from .state import SchedulerState
from .workers import WorkerState


class StallReporter:
    """Tells, once a pass has started what it could, why the rest waits.

    Parameters
    ----------
    state : SchedulerState
        What is believed; reports are noted there.
    workers : sequence of WorkerState
        Workers that take starts.
    now : Moment
        The present.
    """

    def __init__(self, state: SchedulerState, workers: Sequence[WorkerState], now: Moment) -> None:
        """Start without a report."""
        self._state = state
        self._workers = workers
        self._now = now

    def add(self, request: PlacementRequest) -> None:
        """Report why a request was not granted, unless that was reported."""
        step = request.step
        reason = (
            job_gate(step.job, self._now) or step_gate(self._state, step, self._now) or self._capacity_reason(request)
        )
        if self._state.stalls.set_reason(step, reason, self._now.steady_s):
            self._state.notes.append(self._report(request, reason))

    def _capacity_reason(self, request: PlacementRequest) -> WaitReason:
        """Return what a step that may start found no place for."""
        step = request.step
        if request.isolation_s and step.alone_until_s is not None and self._now.steady_s <= step.alone_until_s:
            return WaitReason.ISOLATION
        if place(request, self._unreserved_capacity).task_count:
            return WaitReason.RESERVED
        if place(request._replace(allows_far_workers=True), self._unreserved_capacity).task_count:
            return WaitReason.LOCALITY
        if step.advice is not None:
            return WaitReason.ADVICE
        if place(request._replace(allows_far_workers=True), self._listed_capacity).task_count:
            return WaitReason.UNAVAILABLE
        return WaitReason.NO_CAPACITY

    @cached_property
    def _unreserved_capacity(self) -> FreeCapacity:
        """What is free, reserved or not."""
        return FreeCapacity(list(self._workers), Reservations())

    @cached_property
    def _listed_capacity(self) -> FreeCapacity:
        """What would be free if every worker took starts that is listed and does not leave."""
        workers = self._state.worker_by_id.values()
        return FreeCapacity(
            [worker for worker in workers if worker.is_listed and not worker.profile.draining], Reservations()
        )

    def _report(self, request: PlacementRequest, reason: WaitReason) -> StepWaiting:
        step = request.step
        stalls = self._state.stalls
        wanted = request.min_task_count
        return StepWaiting(
            step.identity,
            reason,
            stalls.waited_s(step, self._now.steady_s),
            wanted,
            stalls.used_share,
            has_room_twice=_total_fitting_count(step, self._listed_capacity) >= 2 * wanted,
            has_takers_twice=_total_fitting_count(step, self._unreserved_capacity) >= 2 * wanted,
        )


def _total_fitting_count(step: StepState, free_capacity: FreeCapacity) -> int:
    """Return how many tasks of a step fit into some room."""
    demand = effective_demand(step)
    return sum(
        min(fitting_count(worker.free, demand), per_worker_limit(worker, step))
        for worker in free_capacity.admissible(step)
    )
