"""One pass over all steps that have tasks to start."""

from collections.abc import Iterator
from operator import attrgetter

from .advice import Advice
from .clock import Moment
from .crashes import isolation_s, suspects, waits_for_own_place
from .effects import AskAdvice
from .gates import job_gate, step_gate
from .job_state import StepState
from .mechanisms import Mechanism
from .memory import SearchKey
from .objectives import begin_s
from .openings import earliest_reservation
from .placement import has_near_place, place, Placement, Request, without_failed
from .preemption import Plan, Preemption
from .ranks import rank_by_job, RANK_GUARANTEED, RANK_ORDINARY
from .reservations import Reservation
from .room import effective_demand, fits, Room
from .runs import Run
from .stall_reports import StallReports
from .stalls import used_share
from .standing import DatedStanding, Standing
from .state import SchedulerState
from .variables import job_variables

# A reservation whose room did not come free by then is made anew, in seconds.
_RESERVATION_SLACK_S = 1.0

# Guaranteed work waits this long for a place near its data or in one rack, in
# seconds: under half of the shortest bound on its beginning.
_GUARANTEED_NEAR_S = 1.2

# How often steps that found no room are considered again though nothing has
# changed for them, in seconds: reservations are made anew and victims looked for.
_FULL_EVERY_S = 0.25
# How often it is looked at whether a step has any place near its data, in seconds:
# workers come and go.
_NEAR_PLACE_EVERY_S = 1.0
# How long a gang waits beside idle capacity before overdue work behind it leaves its
# room alone, in seconds.
_PRESSING_AFTER_S = 12.0
# A search for victims that failed is not repeated within this time, in seconds.
_VICTIMS_AGAIN_S = 0.1


class Pass:
    """One pass of decisions at one moment.

    Parameters
    ----------
    state : SchedulerState
        What is believed; starts and stops are recorded there.
    now : Moment
        The present.
    """

    def __init__(self, state: SchedulerState, now: Moment) -> None:
        """Read the free room."""
        self._state = state
        self._now = now
        self._reservations = state.reservations
        takers = [worker for worker in state.worker_by_id.values() if worker.takes_starts]
        self._workers = [
            worker
            for worker in takers
            if state.knows_room(worker, now.steady_s) and worker.refusal_backoff.is_over(now.steady_s)
        ]
        self._room = Room(self._workers, state.reservations)
        self._preemption = Preemption(lambda run: state.step_of(run.key), now.steady_s, state.policy, state.settings)
        self._memory = state.memory
        self._ranks = rank_by_job(state.active_jobs(), state.guaranteed_by_account)
        self._is_full = now.steady_s - self._memory.last_full_pass_s >= _FULL_EVERY_S

    def run(self) -> None:
        """Place every step that fits, in order of standing."""
        self._drop_stale_reservations()
        self._memory.invalidate(self._room.free_by_id, self._reservations.take_freed())
        if self._is_full:
            self._memory.begin_full_pass(self._now.steady_s)
            share = used_share(self._state.worker_by_id.values())
            self._state.stalls.renew(self._state.active_jobs(), share, self._now.steady_s)
            self._reservations.is_in_order = self._state.stalls.has_idle_capacity
        for request in self._ordered_requests():
            self._consider(request)
        if self._is_full:
            self._explain_stalls()

    def _ordered_requests(self) -> list[Request]:
        """Return what asks for room and may find it now, in order of standing."""
        return sorted(
            (request for request in self._requests() if self._may_find_room(request)),
            key=attrgetter('standing'),
        )

    def _requests(self) -> Iterator[Request]:
        """Yield what asks for room."""
        for job in self._state.active_jobs():
            if job_gate(job, self._now) is not None:
                continue
            rank = self._ranks.get(job.spec.job_id, RANK_ORDINARY)
            for step in job.ready_steps():
                if step_gate(self._state, step, self._now) is None:
                    yield from self._requests_of(step, rank)

    def _requests_of(self, step: StepState, rank: int) -> Iterator[Request]:
        """Yield what a step asks for, apart for the tasks that must run alone."""
        suspected = suspects(step)
        others = step.pending - suspected
        if others:
            yield self._request(step, rank, others)
        if suspected:
            yield self._request(step, rank, suspected)._replace(isolation_s=isolation_s(step))

    def _may_find_room(self, request: Request) -> bool:
        """Tell whether a step is worth considering in this pass."""
        step = request.step
        if request.isolation_s:
            return True
        if self._is_full or not step.was_considered or self._reservations.has(step):
            return True
        return not self._memory.is_known_to_lack_room(self._signature(request), request.wanted_together)

    def _standing(self, step: StepState, rank: int) -> Standing:
        """Return a step's place in the order, worked out anew from time to time."""
        known = step.standing
        if known is not None and known.standing.rank == rank and self._now.steady_s - known.at_s < _FULL_EVERY_S:
            return known.standing
        found = self._work_out_standing(step, rank)
        step.standing = DatedStanding(found, self._now.steady_s)
        return found

    def _work_out_standing(self, step: StepState, rank: int) -> Standing:
        order = Standing(rank, 0.0, begin_s(step.job.spec, step.occurrence), step.identity)
        policy = self._state.policy
        if not policy.has_priority:
            return order
        variables = job_variables(step, order, self._state.times, self._now.wall_s)
        return order._replace(preference=-policy.priority(variables))

    def _consider(self, request: Request) -> None:
        """Start what finds room; else stop others for it, or keep room."""
        step = request.step
        if request.isolation_s and waits_for_own_place(step, self._now.steady_s):
            self._start_alone(request)
            return
        step.was_considered = True
        signature = self._signature(request)
        self._reopen_reservation(step)
        placement = self._place(request, signature)
        if not placement.task_count and step.advice is not None:
            self._ask_advice(request, step.advice)
        if placement.task_count:
            self._start(request, placement)
        missing = request.task_count - placement.task_count
        if not missing:
            self._forget_reservation(step)
            return
        if request.rank < RANK_ORDINARY:
            self._preempt(request, missing)
        elif step.spec.gang:
            self._reserve(request, missing)

    def _start_alone(self, request: Request) -> None:
        """Start suspects on workers that run nothing; nobody is stopped for them."""
        empty = [worker for worker in self._workers if not worker.run_by_key]
        placement = place(request, Room(empty, self._reservations))
        if placement.task_count:
            self._start(request, placement)

    def _request(self, step: StepState, rank: int, tasks: set[int]) -> Request:
        work_s = self._state.times.expect_s(step.job.queue.name, step.spec)
        waited_s = self._now.wall_s - begin_s(step.job.spec, step.occurrence)
        settings = self._state.settings
        near_s = _GUARANTEED_NEAR_S if rank == RANK_GUARANTEED else settings.far_after_share * work_s
        is_overdue = self._state.stalls.waited_beside_idle_s(step, self._now.steady_s) >= settings.idle_wait_s
        return Request(
            step,
            len(tasks),
            work_s,
            self._now.steady_s,
            self._may_go_far(step, len(tasks), has_waited=is_overdue or waited_s > near_s),
            settings,
            self._state.policy,
            self._standing(step, rank),
            tuple(sorted(tasks)),
            is_overdue=is_overdue,
        )

    def _may_go_far(self, step: StepState, count: int, *, has_waited: bool) -> bool:
        """Tell whether a step may start away from its data, or spread over racks."""
        if has_waited or not self._state.settings.has(Mechanism.NEAR_FIRST):
            return True
        if not step.spec.data_rack and not (step.spec.gang and step.spec.same_rack):
            return False
        now_s = self._now.steady_s
        if now_s - step.near_place_seen_s >= _NEAR_PLACE_EVERY_S:
            workers = self._state.worker_by_id.values()
            staying = (worker for worker in workers if worker.is_listed and not worker.profile.draining)
            step.has_near_place = has_near_place(step, count if step.spec.gang else 1, staying)
            step.near_place_seen_s = now_s
        return not step.has_near_place

    def _ask_advice(self, request: Request, advice: Advice) -> None:
        """Ask the outside policy: at first about all workers, then again once one it consents to has room."""
        step = request.step
        free_by_id = self._room.free_by_id
        demand = effective_demand(step)
        able = without_failed(step, self._room.admissible(step))
        known = [worker for worker in able if advice.consents(worker.worker_id)]
        if known and not any(fits(free_by_id[worker.worker_id], demand) for worker in known):
            return
        likeliest = sorted(known or able, key=lambda worker: -free_by_id[worker.worker_id].accelerators)
        asked = advice.to_ask(likeliest, self._now.steady_s)
        if asked and step.job.queue.advice is not None:
            self._state.effects.append(AskAdvice(step.identity, asked, step.job.queue.advice))

    def _place(self, request: Request, signature: SearchKey) -> Placement:
        """Try a placement unless a like request found no room since some has grown."""
        wanted = request.wanted_together
        if self._memory.is_known_to_lack_room(signature, wanted):
            return Placement(())
        placement = place(request, self._room)
        # Tickets come and go, so that a step that needs them is always tried.
        if not placement.task_count and request.step.advice is None:
            self._memory.record_no_room(signature, wanted)
        return placement

    def _signature(self, request: Request) -> SearchKey:
        """Return what steps that need the same places have in common.

        The places of some steps are their own: those that failed somewhere, are
        limited on each worker, or may use what is reserved for them.
        """
        step = request.step
        spec = step.spec
        own_reasons = (
            spec.max_per_worker,
            step.failed_on,
            step.refused_until_by_worker,
            step.advice,
            request.isolation_s,
            request.is_overdue,
        )
        is_special = any(own_reasons) or self._reservations.has(step)
        return SearchKey(
            effective_demand(step),
            request.rank,
            step.job.queue.service,
            spec.label,
            spec.data_rack,
            is_gang=spec.gang,
            in_one_rack=spec.same_rack,
            may_go_far=request.may_go_far,
            owner=step.identity if is_special else None,
        )

    def _start(self, request: Request, placement: Placement) -> None:
        step = request.step
        indices = list(request.indices)
        gang_run = self._state.next_run_number() if step.spec.gang else 0
        demand = effective_demand(step)
        slowdown = placement.slowdown
        if step.spec.gang:
            slowdown *= max(spot.worker.slowdown for spot in placement.spots)
        for spot in placement.spots:
            for _ in range(spot.task_count):
                number = gang_run or self._state.next_run_number()
                index = indices.pop(0)
                run_slowdown = slowdown if step.spec.gang else slowdown * spot.worker.slowdown
                work_s = request.work_s * run_slowdown
                run = Run(step.key(index), number, spot.worker.worker_id, demand, self._now.steady_s, work_s)
                run.rank = request.rank
                run.isolation_s = request.isolation_s
                run.slowdown = run_slowdown
                run.assigned_s = self._now.wall_s
                self._state.start(step, index, run)
                self._room.take(spot.worker, demand)
            if request.isolation_s:
                self._room.close(spot.worker)
        step.alone_until_s = None
        self._forget_reservation(step)

    def _preempt(self, request: Request, count: int) -> None:
        step = request.step
        if self._reservations.has(step):
            return
        plan = self._plan(request, count if step.spec.gang else 1)
        if plan is None:
            self._reserve(request, count)
            return
        for victim in plan.victims:
            self._state.stop_unit(victim, f'makes room for {step.job.spec.job_id}')
        self._reserve_plan(request, plan)

    def _plan(self, request: Request, wanted: int) -> Plan | None:
        """Look for victims unless a like search has just found none."""
        step = request.step
        rank = request.rank
        signature = self._signature(request)
        since_s = self._now.steady_s - _VICTIMS_AGAIN_S
        if self._memory.is_known_to_lack_victims(signature, rank, wanted, since_s):
            return None
        plan = self._preemption.plan(step, wanted, self._room, request.standing, may_go_far=request.may_go_far)
        if plan is None:
            self._memory.record_no_victims(signature, rank, wanted, self._now.steady_s)
        return plan

    def _reserve_plan(self, request: Request, plan: Plan) -> None:
        """Keep the room that comes free once what was stopped is gone."""
        now_s = self._now.steady_s
        ready_s = now_s + self._state.settings.stop_timeout_s
        reservation = Reservation(
            request.step, plan.count_by_worker, ready_s, request.standing, is_firm=True, made_s=now_s
        )
        self._reservations.add(reservation)

    def _reserve(self, request: Request, count: int) -> None:
        """Keep the room that is expected to be free first, for a few gangs that wait."""
        step = request.step
        settings = self._state.settings
        if not settings.has(Mechanism.GANG_RESERVATIONS):
            return
        if self._reservations.has(step) or self._reservations.open_ones() >= settings.reservations:
            return
        if self._now.wall_s - begin_s(step.job.spec, step.occurrence) < settings.reserve_after_s:
            return
        standing = request.standing
        if not settings.has(Mechanism.RESERVATION_RANKS):
            standing = standing._replace(rank=RANK_GUARANTEED)
        reservation = earliest_reservation(step, count, standing, self._room, self._reservations, self._now.steady_s)
        if reservation is not None:
            waited_s = self._state.stalls.waited_beside_idle_s(step, self._now.steady_s)
            self._reservations.add(reservation._replace(is_pressing=waited_s >= _PRESSING_AFTER_S))

    def _explain_stalls(self) -> None:
        """Report why steps wait whose jobs have had nothing running for a while."""
        reports = StallReports(self._state, self._workers, self._now)
        for step in self._state.stalls.due(self._now.steady_s):
            for request in self._requests_of(step, self._ranks.get(step.job.spec.job_id, RANK_ORDINARY)):
                reports.add(request)

    def _forget_reservation(self, step: StepState) -> None:
        self._reservations.drop_of(step)

    def _reopen_reservation(self, step: StepState) -> None:
        """Drop a step's reservation that stops nothing and is no longer fresh, to make it anew."""
        if not self._reservations.has(step):
            return
        oldest_s = self._now.steady_s - _FULL_EVERY_S
        self._reservations.drop(
            lambda reservation: reservation.step is step and not reservation.is_firm and reservation.made_s <= oldest_s
        )

    def _drop_stale_reservations(self) -> None:
        """Drop reservations that came to nothing."""
        known = {worker.worker_id for worker in self._workers}
        self._reservations.drop(lambda reservation: not self._still_holds(reservation, known))

    def _still_holds(self, reservation: Reservation, known: set[str]) -> bool:
        if reservation.step.job.has_ended or not reservation.step.pending:
            return False
        if not reservation.is_firm:
            return not reservation.step.run_by_index
        late_s = self._now.steady_s - reservation.ready_s
        return late_s < _RESERVATION_SLACK_S and known.issuperset(reservation.count_by_worker)
