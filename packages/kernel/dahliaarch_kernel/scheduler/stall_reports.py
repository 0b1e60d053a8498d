"""Reports of why ready steps wait whose jobs have had no running task for a while."""

from collections.abc import Sequence
from functools import cached_property

from .clock import Moment
from .events import StepWaiting, WaitReason
from .gates import job_wait_reason, step_wait_reason
from .job_state import StepState
from .placement import place, PlacementRequest
from .reservations import Reservations
from .room import effective_demand, fitting_count, FreeCapacity, per_worker_limit
from .state import SchedulerState
from .workers import WorkerState


class StallReporter:
    """Reports, after a pass has started all tasks it could, why the remaining steps wait.

    Parameters
    ----------
    state : SchedulerState
        State of the scheduler, to which reports are added.
    workers : sequence of WorkerState
        Workers that accept starts.
    now : Moment
        The current time.
    """

    def __init__(self, state: SchedulerState, workers: Sequence[WorkerState], now: Moment) -> None:
        """Create a reporter for the end of one pass."""
        self._state = state
        self._workers = workers
        self._now = now

    def report(self, request: PlacementRequest) -> None:
        """Report why a request was not granted, unless the reason is unchanged since the last report."""
        step = request.step
        reason = (
            job_wait_reason(step.job, self._now)
            or step_wait_reason(self._state, step, self._now)
            or self._capacity_reason(request)
        )
        if self._state.stalls.set_reason(step, reason, self._now.steady_s):
            self._state.notes.append(self._build_report(request, reason))

    def _capacity_reason(self, request: PlacementRequest) -> WaitReason:
        """Return why no place was found for a step that no gate holds back."""
        step = request.step
        if (
            request.isolation_s
            and step.empty_worker_wait_until_s is not None
            and self._now.steady_s <= step.empty_worker_wait_until_s
        ):
            return WaitReason.ISOLATION
        if place(request, self._unreserved_capacity).task_count:
            return WaitReason.RESERVED
        if place(request._replace(allows_far_workers=True), self._unreserved_capacity).task_count:
            return WaitReason.LOCALITY
        if step.advice is not None:
            return WaitReason.ADVICE
        if place(request._replace(allows_far_workers=True), self._listed_capacity).task_count:
            return WaitReason.UNAVAILABLE
        if self._is_evacuated_capacity_needed(request):
            return WaitReason.EVACUATED
        return WaitReason.NO_CAPACITY

    @cached_property
    def _unreserved_capacity(self) -> FreeCapacity:
        """Free capacity, including what is reserved."""
        return FreeCapacity(list(self._workers), Reservations())

    @cached_property
    def _listed_capacity(self) -> FreeCapacity:
        """Capacity that would be free if all workers that provide capacity accepted starts."""
        workers = self._state.worker_by_id.values()
        return FreeCapacity([worker for worker in workers if worker.provides_capacity], Reservations())

    @cached_property
    def _reopened_capacity(self) -> FreeCapacity:
        """Capacity that would be free if, in addition, all evacuations ended."""
        workers = self._state.worker_by_id.values()
        return FreeCapacity(
            [worker for worker in workers if worker.is_listed and not worker.profile.draining], Reservations()
        )

    def _is_evacuated_capacity_needed(self, request: PlacementRequest) -> bool:
        """Return whether a step lacks only the capacity of evacuated failure domains, or may run only there."""
        if not self._state.evacuation_by_domain:
            return False
        if place(request._replace(allows_far_workers=True), self._reopened_capacity).task_count:
            return True
        step = request.step
        return not self._listed_capacity.admissible(step) and bool(self._reopened_capacity.admissible(step))

    def _build_report(self, request: PlacementRequest, reason: WaitReason) -> StepWaiting:
        step = request.step
        stalls = self._state.stalls
        shares = self._state.account_shares
        account = step.job.spec.account
        wanted = request.min_task_count
        return StepWaiting(
            step.step_key,
            reason,
            stalls.waited_s(step, self._now.steady_s),
            wanted,
            stalls.used_share,
            has_room_twice=_total_fitting_count(step, self._listed_capacity) >= 2 * wanted,
            has_takers_twice=_total_fitting_count(step, self._unreserved_capacity) >= 2 * wanted,
            account=account,
            account_level=shares.level_of(account),
            account_ratio=shares.ratio_of(account),
        )


def _total_fitting_count(step: StepState, free_capacity: FreeCapacity) -> int:
    """Return how many tasks of a step fit on all workers together, with reserved capacity included."""
    demand = effective_demand(step)
    return sum(
        min(fitting_count(worker.free, demand), per_worker_limit(worker, step))
        for worker in free_capacity.admissible(step)
    )
