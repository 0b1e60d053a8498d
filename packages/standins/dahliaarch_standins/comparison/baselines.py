"""A plain scheduler to compare with: first come, first served, best fit, backfill.

Jobs start in the order of their arrival on the fullest workers that hold them;
the first gang that does not fit keeps the room that is expected to be free
first, and only what ends before then is let in ahead of it. Nothing is stopped
for other work, and nothing is learned.
"""

from dahliaarch_kernel.policies import compile_policy, SHIPPED_POLICIES
from dahliaarch_kernel.scheduler import Effect, Moment, Scheduler, SchedulerSettings
from dahliaarch_kernel.scheduler.job_state import StepState
from dahliaarch_kernel.scheduler.leaving import expire_leases
from dahliaarch_kernel.scheduler.objectives import begin_s
from dahliaarch_kernel.scheduler.openings import earliest_reservation
from dahliaarch_kernel.scheduler.placement import place, Request
from dahliaarch_kernel.scheduler.ranks import RANK_ORDINARY
from dahliaarch_kernel.scheduler.reservations import Reservations
from dahliaarch_kernel.scheduler.room import effective_demand, Room
from dahliaarch_kernel.scheduler.runs import Run
from dahliaarch_kernel.scheduler.standing import Standing


class BestFit(Scheduler):
    """Keeps the books of the scheduler and decides in its own, plain way.

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
        """Start what fits, in the order of arrival."""
        state = self._state
        reservations = Reservations()
        expire_leases(state, now)
        workers = [worker for worker in state.worker_by_id.values() if worker.takes_starts]
        room = Room(workers, reservations)
        for job in state.active_jobs():
            job.open_due(now.wall_s)
            for step in job.ready_steps():
                if not (step.spec.gang and step.run_by_index):
                    self._consider(step, room, reservations, now)
        effects, state.effects = state.effects, []
        return effects

    def _consider(self, step: StepState, room: Room, reservations: Reservations, now: Moment) -> None:
        settings = self._state.settings
        request = Request(
            step,
            len(step.pending),
            step.spec.estimate_s,
            now.steady_s,
            False,
            settings,
            self._policy,
            Standing(RANK_ORDINARY, 0.0, begin_s(step.job.spec, step.occurrence), step.identity),
        )
        placement = place(request, room)
        if placement.task_count:
            self._start(step, request, now, room)
        elif not reservations.open_ones():
            reservation = earliest_reservation(
                step, len(step.pending), request.standing, room, reservations, now.steady_s
            )
            if reservation is not None:
                reservations.add(reservation)

    def _start(self, step: StepState, request: Request, now: Moment, room: Room) -> None:
        indices = sorted(step.pending)
        number = self._state.next_run_number()
        demand = effective_demand(step)
        for spot in place(request, room).spots:
            for _ in range(spot.task_count):
                index = indices.pop(0)
                run = Run(step.key(index), number, spot.worker.worker_id, demand, now.steady_s, request.work_s)
                self._state.start(step, index, run)
                room.take(spot.worker, demand)
                number = number if step.spec.gang else self._state.next_run_number()
