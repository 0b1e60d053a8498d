"""Baseline scheduler: first come, first served, best fit, with backfill.

Jobs start in the order of their arrival on the fullest workers that hold them;
the first gang that does not fit keeps the room that is expected to be free
first, and only what ends before then is let in ahead of it. Nothing is stopped
for other work, and nothing is learned.
"""

from dahliaarch_kernel.policies import compile_policy, SHIPPED_POLICIES
from dahliaarch_kernel.scheduler import Effect, Moment, Scheduler, SchedulerSettings
from dahliaarch_kernel.scheduler.departures import expire_leases
from dahliaarch_kernel.scheduler.job_state import StepState
from dahliaarch_kernel.scheduler.objectives import begin_s
from dahliaarch_kernel.scheduler.openings import earliest_reservation
from dahliaarch_kernel.scheduler.placement import place, PlacementRequest
from dahliaarch_kernel.scheduler.ranks import RANK_ORDINARY
from dahliaarch_kernel.scheduler.reservations import Reservations
from dahliaarch_kernel.scheduler.room import effective_demand, FreeCapacity
from dahliaarch_kernel.scheduler.runs import Run
from dahliaarch_kernel.scheduler.standing import SortKey


class BestFit(Scheduler):
    """Uses the scheduler's state with a simple decision rule.

    Parameters
    ----------
    settings : SchedulerSettings
        What the platform says of itself.
    """

    def __init__(self, settings: SchedulerSettings) -> None:
        """Start empty."""
        super().__init__(settings, epoch=1)
        self._policy = compile_policy(SHIPPED_POLICIES['first-come'])

    def decide(self, now: Moment) -> list[Effect]:
        """Start what fits, in order of arrival."""
        state = self._state
        reservations = Reservations()
        expire_leases(state, now)
        workers = [worker for worker in state.worker_by_id.values() if worker.takes_starts]
        room = FreeCapacity(workers, reservations)
        for job in state.active_jobs():
            job.open_due(now.wall_s)
            for step in job.ready_steps():
                if not (step.spec.gang and step.run_by_index):
                    self._consider(step, room, reservations, now)
        effects, state.effects = state.effects, []
        return effects

    def _consider(self, step: StepState, room: FreeCapacity, reservations: Reservations, now: Moment) -> None:
        settings = self._state.settings
        request = PlacementRequest(
            step,
            len(step.pending),
            step.spec.estimate_s,
            now.steady_s,
            False,
            settings,
            self._policy,
            SortKey(RANK_ORDINARY, 0, 0, False, 0.0, begin_s(step.job.spec, step.occurrence), step.step_key),
        )
        placement = place(request, room)
        if placement.task_count:
            self._start(step, request, now, room)
        elif not reservations.count_without_preemption():
            reservation = earliest_reservation(
                step, len(step.pending), request.sort_key, room, reservations, now.steady_s
            )
            if reservation is not None:
                reservations.add(reservation)

    def _start(self, step: StepState, request: PlacementRequest, now: Moment, room: FreeCapacity) -> None:
        indices = sorted(step.pending)
        number = self._state.next_run_number()
        demand = effective_demand(step)
        for allocation in place(request, room).allocations:
            for _ in range(allocation.task_count):
                index = indices.pop(0)
                run = Run(step.key(index), number, allocation.worker.worker_id, demand, now.steady_s, request.work_s)
                self._state.start(step, index, run)
                room.allocate(allocation.worker, demand)
                number = number if step.spec.gang else self._state.next_run_number()
