"""One scheduling pass over all steps that have tasks to start."""

from collections.abc import Iterable, Iterator
from itertools import chain
from operator import attrgetter

from .accounts import precedence
from .advice_requests import ask_advice
from .clock import Moment
from .crashes import isolation_s, pending_suspects, waits_for_empty_worker
from .departures import find_moves, Move, order_move
from .gates import job_wait_reason, step_wait_reason
from .job_state import StepState
from .mechanisms import Mechanism
from .memory import SearchKey
from .objectives import begin_s
from .openings import earliest_reservation
from .placement import has_near_capacity, place, Placement, PlacementRequest
from .preemption import Preemption, PreemptionPlan
from .ranks import rank_by_job, RANK_GUARANTEED, RANK_ORDINARY
from .reservations import Reservation
from .room import effective_demand, FreeCapacity
from .runs import Run
from .stall_reports import StallReporter
from .stalls import used_share
from .standing import CachedSortKey, SortKey
from .state import SchedulerState
from .variables import job_variables

# How long after its expected time a reservation is kept whose capacity has not come free,
# in seconds. A new one is made then.
_RESERVATION_GRACE_S = 1.0

# How long guaranteed work waits for capacity near its data or in one rack, in seconds:
# less than half of the shortest limit on the time until it starts.
_GUARANTEED_LOCALITY_WAIT_S = 1.2

# Interval of full passes, in seconds. They reconsider also the steps for which nothing has
# changed since no capacity was found: reservations are renewed and victims searched for.
_FULL_PASS_INTERVAL_S = 0.25
# Interval at which a step's possible capacity near its data is checked again, in seconds:
# workers join and leave.
_NEAR_CAPACITY_CHECK_INTERVAL_S = 1.0
# How long a gang waits while the pool has idle capacity before its reservation also blocks
# overdue work that follows it, in seconds.
_BLOCK_OVERDUE_AFTER_S = 12.0
# Minimum time before a failed search for victims is repeated, in seconds.
_VICTIM_SEARCH_INTERVAL_S = 0.1


class SchedulingPass:
    """One scheduling pass at one point in time.

    Parameters
    ----------
    state : SchedulerState
        State of the scheduler, in which starts and stops are recorded.
    now : Moment
        The current time.
    """

    def __init__(self, state: SchedulerState, now: Moment) -> None:
        """Read the free capacity."""
        self._state = state
        self._now = now
        self._reservations = state.reservations
        accepting = [worker for worker in state.worker_by_id.values() if worker.takes_starts]
        self._workers = [
            worker
            for worker in accepting
            if state.is_capacity_known(worker, now.steady_s) and worker.refusal_backoff.is_over(now.steady_s)
        ]
        self._free_capacity = FreeCapacity(self._workers, state.reservations)
        self._preemption = Preemption(
            lambda run: state.step_of(run.key), now.steady_s, state.policy, state.settings, state.account_shares
        )
        self._failed_searches = state.failed_searches
        self._ranks = rank_by_job(state.active_jobs(), state.guaranteed_by_account)
        self._is_full = now.steady_s - self._failed_searches.last_full_pass_s >= _FULL_PASS_INTERVAL_S

    def run(self) -> None:
        """Place every step that fits, in order of sort keys."""
        self._drop_stale_reservations()
        self._failed_searches.invalidate(self._free_capacity.free_by_id, self._reservations.pop_freed_workers())
        if self._is_full:
            self._failed_searches.begin_full_pass(self._now.steady_s)
            workers = self._state.worker_by_id.values()
            guaranteed = self._state.guaranteed_by_account
            self._state.account_shares.update(self._state.active_jobs(), workers, guaranteed, self._now.steady_s)
            share = used_share(workers)
            self._state.stalls.update(self._state.active_jobs(), share, self._now.steady_s)
            self._reservations.blocks_only_later_steps = self._state.stalls.has_idle_capacity
        moves = find_moves(self._state, self._now)
        for request in self._ordered_requests(self._move_request(step, move) for step, move in moves.items()):
            if request.step in moves:
                order_move(self._state, moves[request.step], request, self._free_capacity, self._now)
            else:
                self._schedule(request)
        if self._is_full:
            self._report_stalls()

    def _ordered_requests(self, moves: Iterable[PlacementRequest]) -> list[PlacementRequest]:
        """Return the requests that may be granted now, moves among them, in order of sort keys."""
        waiting = (request for request in self._requests() if self._may_be_placed(request))
        return sorted(chain(waiting, moves), key=attrgetter('sort_key'))

    def _move_request(self, step: StepState, move: Move) -> PlacementRequest:
        """Return the request to place the tasks of a move near their data or in one rack, as if they had not waited."""
        request = self._request(step, self._ranks.get(step.job.spec.job_id, RANK_ORDINARY), move.task_indices)
        is_far_allowed = self._allows_far_workers(step, request.task_count, has_waited=False)
        return request._replace(allows_far_workers=is_far_allowed, is_overdue=False)

    def _requests(self) -> Iterator[PlacementRequest]:
        """Yield the requests of all ready steps that no gate holds back."""
        for job in self._state.active_jobs():
            if job_wait_reason(job, self._now) is not None:
                continue
            rank = self._ranks.get(job.spec.job_id, RANK_ORDINARY)
            for step in job.ready_steps():
                if step_wait_reason(self._state, step, self._now) is None:
                    yield from self._requests_for_step(step, rank)

    def _requests_for_step(self, step: StepState, rank: int) -> Iterator[PlacementRequest]:
        """Yield the requests of a step, a separate one for tasks that must run in isolation."""
        suspected = pending_suspects(step)
        others = step.pending - suspected
        if others:
            yield self._request(step, rank, others)
        if suspected:
            yield self._request(step, rank, suspected)._replace(isolation_s=isolation_s(step))

    def _may_be_placed(self, request: PlacementRequest) -> bool:
        """Return whether a request may succeed in this pass."""
        step = request.step
        if request.isolation_s:
            return True
        if self._is_full or not step.was_considered or self._reservations.has(step):
            return True
        return not self._is_known_to_lack_capacity(request, self._search_key(request))

    def _sort_key(self, step: StepState, rank: int) -> SortKey:
        """Return a step's sort key, recomputed periodically."""
        cached = step.sort_key
        if (
            cached is not None
            and cached.sort_key.rank == rank
            and self._now.steady_s - cached.computed_s < _FULL_PASS_INTERVAL_S
        ):
            return cached.sort_key
        sort_key = self._compute_sort_key(step, rank)
        step.sort_key = CachedSortKey(sort_key, self._now.steady_s)
        self._reservations.update_standing(step, sort_key)
        return sort_key

    def _compute_sort_key(self, step: StepState, rank: int) -> SortKey:
        state = self._state
        place_in_order = precedence(step, rank, state.account_shares, state.settings, state.times, self._now)
        sort_key = SortKey(rank, *place_in_order, 0.0, begin_s(step.job.spec, step.occurrence), step.step_key)
        policy = state.policy
        if not policy.has_priority:
            return sort_key
        variables = job_variables(step, sort_key, state.times, self._now.wall_s)
        return sort_key._replace(preference=-policy.priority(variables))

    def _schedule(self, request: PlacementRequest) -> None:
        """Start the tasks that fit; for the rest, preempt runs or reserve capacity."""
        step = request.step
        if request.isolation_s and waits_for_empty_worker(step, self._now.steady_s):
            self._start_isolated(request)
            return
        step.was_considered = True
        search_key = self._search_key(request)
        self._drop_outdated_reservation(step)
        placement = self._place(request, search_key)
        if not placement.task_count:
            ask_advice(self._state, request, self._free_capacity)
        if placement.task_count:
            self._start(request, placement)
        missing = request.task_count - placement.task_count
        if not missing:
            self._drop_reservation(step)
            return
        if request.rank < RANK_ORDINARY:
            self._preempt(request, missing)
        elif step.spec.gang:
            self._reserve(request, missing)

    def _start_isolated(self, request: PlacementRequest) -> None:
        """Start suspects on workers without runs, without preempting any for them."""
        empty = [worker for worker in self._workers if not worker.run_count]
        placement = place(request, FreeCapacity(empty, self._reservations))
        if placement.task_count:
            self._start(request, placement)

    def _request(self, step: StepState, rank: int, tasks: set[int]) -> PlacementRequest:
        work_s = self._state.times.expect_s(step.job.queue.name, step.spec)
        waited_s = self._now.wall_s - begin_s(step.job.spec, step.occurrence)
        settings = self._state.settings
        locality_wait_s = _GUARANTEED_LOCALITY_WAIT_S if rank == RANK_GUARANTEED else settings.far_after_share * work_s
        is_overdue = self._state.stalls.waited_with_idle_capacity_s(step, self._now.steady_s) >= settings.idle_wait_s
        return PlacementRequest(
            step,
            len(tasks),
            work_s,
            self._now.steady_s,
            self._allows_far_workers(step, len(tasks), has_waited=is_overdue or waited_s > locality_wait_s),
            settings,
            self._state.policy,
            self._sort_key(step, rank),
            tuple(sorted(tasks)),
            is_overdue=is_overdue,
        )

    def _allows_far_workers(self, step: StepState, count: int, *, has_waited: bool) -> bool:
        """Return whether a step may start away from its data or across racks."""
        if has_waited or not self._state.settings.has(Mechanism.NEAR_FIRST):
            return True
        if not step.spec.data_rack and not (step.spec.gang and step.spec.same_rack):
            return False
        now_s = self._now.steady_s
        if now_s - step.near_capacity_checked_s >= _NEAR_CAPACITY_CHECK_INTERVAL_S:
            workers = (worker for worker in self._state.worker_by_id.values() if worker.provides_capacity)
            step.has_near_capacity = has_near_capacity(step, count if step.spec.gang else 1, workers)
            step.near_capacity_checked_s = now_s
        return not step.has_near_capacity

    def _place(self, request: PlacementRequest, search_key: SearchKey) -> Placement:
        """Return a placement, unless one for an equal search key failed since free capacity last grew."""
        if self._is_known_to_lack_capacity(request, search_key):
            return Placement(())
        placement = place(request, self._free_capacity)
        # Tickets are granted and expire between passes: steps that need them are always tried.
        if not placement.task_count and request.step.advice is None:
            standing = request.sort_key.standing
            self._failed_searches.record_no_capacity(search_key, request.min_task_count, standing)
        return placement

    def _is_known_to_lack_capacity(self, request: PlacementRequest, search_key: SearchKey) -> bool:
        wanted = request.min_task_count
        return self._failed_searches.is_known_to_lack_capacity(search_key, wanted, request.sort_key.standing)

    def _search_key(self, request: PlacementRequest) -> SearchKey:
        """Return a search key that is equal for all steps with the same placement requirements.

        It is unique for steps that failed or were refused on a worker, that are overdue,
        isolated, limited per worker or need advice, or that have a reservation.
        """
        step = request.step
        spec = step.spec
        unique_reasons = (
            spec.max_per_worker,
            step.failed_worker_ids,
            step.refused_until_by_worker,
            step.advice,
            request.isolation_s,
            request.is_overdue,
        )
        is_unique = any(unique_reasons) or self._reservations.has(step)
        return SearchKey(
            effective_demand(step),
            request.rank,
            step.job.queue.service,
            spec.label,
            spec.data_rack,
            is_gang=spec.gang,
            in_one_rack=spec.same_rack,
            allows_far_workers=request.allows_far_workers,
            owner=step.step_key if is_unique else None,
        )

    def _start(self, request: PlacementRequest, placement: Placement) -> None:
        step = request.step
        indices = list(request.indices)
        gang_run = self._state.next_run_number() if step.spec.gang else 0
        demand = effective_demand(step)
        slowdown = placement.slowdown
        if step.spec.gang:
            slowdown *= max(allocation.worker.slowdown for allocation in placement.allocations)
        for allocation in placement.allocations:
            for _ in range(allocation.task_count):
                number = gang_run or self._state.next_run_number()
                index = indices.pop(0)
                run_slowdown = slowdown if step.spec.gang else slowdown * allocation.worker.slowdown
                work_s = request.work_s * run_slowdown
                run = Run(step.key(index), number, allocation.worker.worker_id, demand, self._now.steady_s, work_s)
                run.rank = request.rank
                run.isolation_s = request.isolation_s
                run.slowdown = run_slowdown
                run.began_cold = allocation.worker.is_cold
                run.assigned_s = self._now.wall_s
                self._state.start(step, index, run)
                self._free_capacity.allocate(allocation.worker, demand)
            if request.isolation_s:
                self._free_capacity.mark_full(allocation.worker)
        step.empty_worker_wait_until_s = None
        self._drop_reservation(step)

    def _preempt(self, request: PlacementRequest, count: int) -> None:
        step = request.step
        if self._reservations.has(step):
            return
        plan = self._plan(request, count if step.spec.gang else 1)
        if plan is None:
            self._reserve(request, count)
            return
        for victim in plan.victims:
            self._state.stop_with_gang(victim, f'makes room for {step.job.spec.job_id}')
        self._reserve_for_plan(request, plan)

    def _plan(self, request: PlacementRequest, wanted: int) -> PreemptionPlan | None:
        """Search for victims, unless a search for an equal search key has just failed."""
        step = request.step
        rank = request.rank
        search_key = self._search_key(request)
        since_s = self._now.steady_s - _VICTIM_SEARCH_INTERVAL_S
        if self._failed_searches.is_known_to_lack_victims(search_key, rank, wanted, since_s):
            return None
        plan = self._preemption.plan(
            step, wanted, self._free_capacity, request.sort_key, allows_far_workers=request.allows_far_workers
        )
        if plan is None:
            self._failed_searches.record_no_victims(search_key, rank, wanted, self._now.steady_s)
        return plan

    def _reserve_for_plan(self, request: PlacementRequest, plan: PreemptionPlan) -> None:
        """Reserve the capacity that becomes free when the victims have stopped."""
        now_s = self._now.steady_s
        ready_s = now_s + self._state.settings.stop_timeout_s
        reservation = Reservation(
            request.step, plan.count_by_worker, ready_s, request.sort_key, awaits_preemption=True, created_s=now_s
        )
        self._reservations.add(reservation)

    def _reserve(self, request: PlacementRequest, count: int) -> None:
        """Reserve the capacity expected to be free earliest, for a limited number of waiting gangs."""
        step = request.step
        settings = self._state.settings
        if not settings.has(Mechanism.GANG_RESERVATIONS):
            return
        if self._reservations.has(step):
            return
        if self._now.wall_s - begin_s(step.job.spec, step.occurrence) < settings.reserve_after_s:
            return
        sort_key = request.sort_key
        if self._reservations.count_without_preemption() >= settings.reservations:
            if not (self._state.account_shares.may_reorder and self._reservations.drop_last_after(sort_key)):
                return
        if not settings.has(Mechanism.RESERVATION_RANKS):
            sort_key = sort_key._replace(rank=RANK_GUARANTEED)
        reservation = earliest_reservation(
            step, count, sort_key, self._free_capacity, self._reservations, self._now.steady_s
        )
        if reservation is not None:
            waited_s = self._state.stalls.waited_with_idle_capacity_s(step, self._now.steady_s)
            self._reservations.add(reservation._replace(blocks_overdue=waited_s >= _BLOCK_OVERDUE_AFTER_S))

    def _report_stalls(self) -> None:
        """Report why steps wait whose jobs have had no running task for a while."""
        reporter = StallReporter(self._state, self._workers, self._now)
        for step in self._state.stalls.due_for_report(self._now.steady_s):
            for request in self._requests_for_step(step, self._ranks.get(step.job.spec.job_id, RANK_ORDINARY)):
                reporter.report(request)

    def _drop_reservation(self, step: StepState) -> None:
        self._reservations.drop_for_step(step)

    def _drop_outdated_reservation(self, step: StepState) -> None:
        """Drop a step's reservation if it is due to be recomputed and awaits no preempted runs."""
        if not self._reservations.has(step):
            return
        oldest_s = self._now.steady_s - _FULL_PASS_INTERVAL_S
        self._reservations.drop(
            lambda reservation: (
                reservation.step is step and not reservation.awaits_preemption and reservation.created_s <= oldest_s
            )
        )

    def _drop_stale_reservations(self) -> None:
        """Drop reservations that are no longer needed or can no longer be used."""
        self._reservations.shrink_moves()
        worker_ids = {worker.worker_id for worker in self._workers}
        self._reservations.drop(lambda reservation: not self._is_valid(reservation, worker_ids))

    def _is_valid(self, reservation: Reservation, worker_ids: set[str]) -> bool:
        if reservation.step.job.has_ended or not (reservation.step.pending or reservation.moved):
            return False
        if not reservation.awaits_preemption:
            return not reservation.step.run_by_index
        late_s = self._now.steady_s - reservation.ready_s
        return late_s < _RESERVATION_GRACE_S and worker_ids.issuperset(reservation.count_by_worker)
