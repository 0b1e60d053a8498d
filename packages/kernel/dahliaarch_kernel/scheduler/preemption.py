"""Which runs are stopped to make room for more urgent work."""

from collections.abc import Callable
from typing import NamedTuple

from ..policies import Policy
from ..workload import Resources, weighted_cores
from .job_state import StepState
from .mechanisms import Mechanism
from .placement import allowed_workers
from .ranks import RANK_ORDINARY
from .room import effective_demand, fitting, is_near, per_worker_limit, Room
from .runs import Run, RunPhase
from .settings import SchedulerSettings
from .standing import Standing
from .variables import is_slow, victim_variables
from .workers import group_by_rack, WorkerState

# Room that others have reserved is taken, however short the work that asks.
_FOR_GOOD = float('inf')
# Urgent work that is stopped ends late: it has little slack, and is worth little late.
_URGENT_WEIGHT = 6.0
# Cost of any stop, in seconds of the run's work: its restart elsewhere.
_RESTART_S = 0.5
# A plan with slow workers counts as this many times as dear, and so many
# weighted core-seconds more: urgent work that waits for stops and then runs longer
# ends late.
_SLOW_FACTOR = 3.0
_SLOW_COST = 100.0
# A run with less than this left is cheaper to wait for than to stop.
_NEARLY_DONE_S = 0.4

StepOf = Callable[[Run], StepState | None]


class Plan(NamedTuple):
    """Room for a step once some runs are stopped.

    Parameters
    ----------
    count_by_worker : dict
        Tasks of the step for each worker.
    victims : tuple of Run
        Runs to stop.
    cost : float
        Work lost, in weighted core-seconds.
    has_slow : bool
        Whether a worker on which tasks take longer is among them.
    """

    count_by_worker: dict[str, int]
    victims: tuple[Run, ...]
    cost: float
    has_slow: bool


class _Search(NamedTuple):
    """What room is looked for.

    Parameters
    ----------
    step : StepState
        The step.
    wanted : int
        Tasks that must find room.
    room : Room
        What is free now.
    standing : Standing
        Where it stands: only runs of higher ranks may be stopped.
    """

    step: StepState
    wanted: int
    room: Room
    standing: Standing


class _Offer(NamedTuple):
    """One more task on a worker, after more runs there are stopped."""

    worker: WorkerState
    victims: tuple[Run, ...]
    task_count: int
    cost: float


class Preemption:
    """Finds the cheapest victims.

    Parameters
    ----------
    step_of : callable
        Returns the step of a run.
    now_s : float
        The present, steady clock.
    policy : Policy
        The operators' programs.
    settings : SchedulerSettings
        Limits and weights.
    """

    def __init__(self, step_of: StepOf, now_s: float, policy: Policy, settings: SchedulerSettings) -> None:
        """Start a search at one moment."""
        self._settings = settings
        self._policy = policy
        self._step_of = step_of
        self._now_s = now_s
        self._cost_by_run: dict[Run, float] = {}

    def plan(self, step: StepState, count: int, room: Room, standing: Standing, *, may_go_far: bool) -> Plan | None:
        """Return the cheapest way to make room, if there is one."""
        everywhere = allowed_workers(step, room)
        able = [worker for worker in everywhere if is_near(worker, step)]
        groups = [able]
        if step.spec.gang and step.spec.same_rack:
            groups = list(group_by_rack(able).values())
        search = _Search(step, count, room, standing)
        plans = [self._plan_with_fast(search, group) for group in groups]
        found = [plan for plan in plans if plan is not None]
        if not found and may_go_far:
            return self._plan_among(search, everywhere)
        return min(found, key=_weighted_cost, default=None)

    def cost(self, run: Run) -> float:
        """Return the work lost by stopping a run, its whole gang included."""
        known = self._cost_by_run.get(run)
        if known is None:
            known = self._unit_cost(run)
            self._cost_by_run[run] = known
        return known

    def _unit_cost(self, run: Run) -> float:
        step = self._step_of(run)
        if step is None:
            return 0.0
        if not self._settings.has(Mechanism.CHEAP_VICTIMS):
            return 1.0
        members = list(step.run_by_index.values()) if step.spec.gang else [run]
        if self._policy.has_reclaim:
            return self._policy.reclaim_cost(victim_variables(run, step, len(members), self._now_s))
        return sum(self._own_cost(member, step) for member in members)

    def _own_cost(self, run: Run, step: StepState) -> float:
        worked_s = max(0.0, self._now_s - run.started_s)
        unsaved_s = 0.0 if step.spec.checkpoints else worked_s
        weight = _URGENT_WEIGHT if run.rank < RANK_ORDINARY else 1.0
        return weight * weighted_cores(run.demand) * (unsaved_s + _RESTART_S)

    def _plan_with_fast(self, search: _Search, workers: list[WorkerState]) -> Plan | None:
        """Return the better of the plans with fast workers alone and with all."""
        plan = self._plan_among(search, workers)
        fast = [worker for worker in workers if not is_slow(worker)]
        if plan is None or not plan.has_slow or not fast:
            return plan
        other = self._plan_among(search, fast)
        return plan if other is None else min((other, plan), key=_weighted_cost)

    def _plan_among(self, search: _Search, workers: list[WorkerState]) -> Plan | None:
        offers = [offer for worker in workers for offer in self._offers(search, worker)]
        offers.sort(key=lambda offer: offer.cost / offer.task_count)
        chosen: dict[str, _Offer] = {}
        for offer in offers:
            if sum(each.task_count for each in chosen.values()) >= search.wanted:
                break
            known = chosen.get(offer.worker.worker_id)
            if known is None or offer.task_count > known.task_count:
                chosen[offer.worker.worker_id] = offer
        if sum(each.task_count for each in chosen.values()) < search.wanted:
            return None
        return _as_plan(chosen, search.wanted)

    def _offers(self, search: _Search, worker: WorkerState) -> list[_Offer]:
        """Return what a worker offers, with more and more of its runs stopped."""
        step = search.step
        demand = effective_demand(step)
        limit = per_worker_limit(worker, step)
        free = search.room.free_for(worker, step, search.standing, _FOR_GOOD)
        for run in worker.run_by_key.values():
            if run.phase is RunPhase.STOPPING:
                free = free.plus(run.demand)
        offers = []
        best = min(fitting(free, demand), limit)
        if best:
            offers.append(_Offer(worker, (), best, 0.0))
        victims: list[Run] = []
        cost = 0.0
        for run in self._victims(worker, search.standing.rank):
            free = free.plus(run.demand)
            victims.append(run)
            cost += self.cost(run)
            count = min(fitting(free, demand), limit)
            if count > best:
                best = count
                offers.append(_Offer(worker, tuple(victims), count, cost))
        return offers

    def _victims(self, worker: WorkerState, rank: int) -> list[Run]:
        found = [
            run
            for run in worker.run_by_key.values()
            if run.rank > rank and run.phase is not RunPhase.STOPPING and not self._is_lasting(run)
        ]
        return sorted(found, key=lambda run: self._price(run, worker.profile.capacity))

    def _price(self, run: Run, capacity: Resources) -> float:
        share = max(weighted_cores(run.demand), 1.0) / max(weighted_cores(capacity), 1.0)
        if run.left_s(self._now_s) < _NEARLY_DONE_S:
            return 0.0
        return self.cost(run) / share

    def _is_lasting(self, run: Run) -> bool:
        step = self._step_of(run)
        return step is not None and step.spec.lasting


def _as_plan(chosen: dict[str, _Offer], count: int) -> Plan:
    """Keep what is needed, the dearest offers last to stay."""
    left = count
    count_by_worker: dict[str, int] = {}
    victims: list[Run] = []
    cost = 0.0
    has_slow = False
    for offer in sorted(chosen.values(), key=lambda each: each.cost / each.task_count):
        if not left:
            break
        taken = min(left, offer.task_count)
        left -= taken
        count_by_worker[offer.worker.worker_id] = taken
        victims.extend(offer.victims)
        cost += offer.cost
        has_slow = has_slow or is_slow(offer.worker)
    return Plan(count_by_worker, tuple(victims), cost, has_slow)


def _weighted_cost(plan: Plan) -> float:
    """Return a plan's cost, slow workers dearer: work that waited for stops ends late there."""
    return plan.cost * _SLOW_FACTOR + _SLOW_COST if plan.has_slow else plan.cost
