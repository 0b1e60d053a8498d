"""Selection of the runs that are stopped in favor of more urgent work."""

from collections.abc import Callable
from typing import NamedTuple

from ..policies import Policy
from ..workload import Resources, weighted_cores
from .accounts import AccountShares
from .job_state import StepState
from .mechanisms import Mechanism
from .placement import allowed_workers
from .ranks import RANK_ORDINARY
from .room import effective_demand, fitting_count, FreeCapacity, is_near, per_worker_limit
from .runs import Run, RunPhase
from .settings import SchedulerSettings
from .standing import SortKey
from .variables import is_slow, victim_variables
from .workers import group_by_rack, WorkerState

# End of the preempting work, for the check against reservations: they are respected
# however short the work is.
_UNBOUNDED_S = float('inf')
# Urgent runs are costlier to stop: they have little slack and are worth little when late.
_URGENT_WEIGHT = 6.0
# Fixed cost of stopping a run, in seconds of its work: the restart on another worker.
_RESTART_COST_S = 0.5
# The cost of a plan that uses slow workers is multiplied by the factor and raised by the
# second value, in weighted core-seconds: urgent work that waits for runs to stop and then
# runs longer ends late.
_SLOW_FACTOR = 3.0
_SLOW_COST = 100.0
# Remaining time in seconds below which it is cheaper to wait for a run than to stop it.
# Its cost counts as 0 in the order of victims.
_NEARLY_DONE_S = 0.4

StepLookup = Callable[[Run], StepState | None]


class PreemptionPlan(NamedTuple):
    """Workers for a step and the runs to stop there first.

    Parameters
    ----------
    count_by_worker : dict
        Number of tasks of the step for each worker.
    victims : tuple of Run
        Runs to stop.
    cost : float
        Work lost, in weighted core-seconds.
    uses_slow_workers : bool
        Whether tasks take longer on one of the workers.
    """

    count_by_worker: dict[str, int]
    victims: tuple[Run, ...]
    cost: float
    uses_slow_workers: bool


class _Search(NamedTuple):
    """Parameters of a search for victims.

    Parameters
    ----------
    step : StepState
        The step.
    wanted : int
        Number of tasks that must fit.
    free_capacity : FreeCapacity
        Capacity that is free now.
    sort_key : SortKey
        Sort key of the step: only runs of higher ranks may be stopped.
    """

    step: StepState
    wanted: int
    free_capacity: FreeCapacity
    sort_key: SortKey


class _WorkerOption(NamedTuple):
    """Tasks that fit on a worker once some of its runs are stopped, and the cost of that."""

    worker: WorkerState
    victims: tuple[Run, ...]
    task_count: int
    cost: float


class Preemption:
    """Finds the runs that are cheapest to stop.

    Parameters
    ----------
    find_step : callable
        Returns the step of a run.
    now_s : float
        The current time, steady clock.
    policy : Policy
        The operators' programs.
    settings : SchedulerSettings
        Limits and weights.
    shares : AccountShares
        How far accounts are over their shares: their runs are cheaper to stop.
    """

    def __init__(
        self, find_step: StepLookup, now_s: float, policy: Policy, settings: SchedulerSettings, shares: AccountShares
    ) -> None:
        """Create a search for one scheduling pass."""
        self._settings = settings
        self._shares = shares
        self._policy = policy
        self._find_step = find_step
        self._now_s = now_s
        self._cost_by_run: dict[Run, float] = {}

    def plan(
        self, step: StepState, count: int, free_capacity: FreeCapacity, sort_key: SortKey, *, allows_far_workers: bool
    ) -> PreemptionPlan | None:
        """Return the cheapest plan that fits the step, or None."""
        candidates = allowed_workers(step, free_capacity)
        near = [worker for worker in candidates if is_near(worker, step)]
        groups = [near]
        if step.spec.gang and step.spec.same_rack:
            groups = list(group_by_rack(near).values())
        search = _Search(step, count, free_capacity, sort_key)
        plans = [self._plan_preferring_fast(search, group) for group in groups]
        found = [plan for plan in plans if plan is not None]
        if not found and allows_far_workers:
            return self._plan_among(search, candidates)
        return min(found, key=_weighted_cost, default=None)

    def cost(self, run: Run) -> float:
        """Return the work lost by stopping a run, its whole gang included."""
        cached = self._cost_by_run.get(run)
        if cached is None:
            cached = self._unit_cost(run)
            self._cost_by_run[run] = cached
        return cached

    def _unit_cost(self, run: Run) -> float:
        step = self._find_step(run)
        if step is None:
            return 0.0
        cost = self._cost_before_shares(run, step)
        # Operators' programs may return negative costs, which a division would raise.
        return cost / self._shares.victim_divisor(step.job.spec.account) if cost > 0 else cost

    def _cost_before_shares(self, run: Run, step: StepState) -> float:
        if not self._settings.has(Mechanism.CHEAP_VICTIMS):
            return 1.0
        members = list(step.run_by_index.values()) if step.spec.gang else [run]
        if self._policy.has_reclaim:
            return self._policy.reclaim_cost(victim_variables(run, step, len(members), self._now_s))
        return sum(self._run_cost(member, step) for member in members)

    def _run_cost(self, run: Run, step: StepState) -> float:
        worked_s = max(0.0, self._now_s - run.started_s)
        unsaved_s = 0.0 if step.spec.checkpoints else worked_s
        weight = _URGENT_WEIGHT if run.rank < RANK_ORDINARY else 1.0
        return weight * weighted_cores(run.demand) * (unsaved_s + _RESTART_COST_S)

    def _plan_preferring_fast(self, search: _Search, workers: list[WorkerState]) -> PreemptionPlan | None:
        """Return the cheaper of the plans on all workers and on fast workers only."""
        plan = self._plan_among(search, workers)
        fast = [worker for worker in workers if not is_slow(worker)]
        if plan is None or not plan.uses_slow_workers or not fast:
            return plan
        other = self._plan_among(search, fast)
        return plan if other is None else min((other, plan), key=_weighted_cost)

    def _plan_among(self, search: _Search, workers: list[WorkerState]) -> PreemptionPlan | None:
        options = [option for worker in workers for option in self._options(search, worker)]
        options.sort(key=lambda option: option.cost / option.task_count)
        chosen: dict[str, _WorkerOption] = {}
        for option in options:
            if sum(each.task_count for each in chosen.values()) >= search.wanted:
                break
            previous = chosen.get(option.worker.worker_id)
            if previous is None or option.task_count > previous.task_count:
                chosen[option.worker.worker_id] = option
        if sum(each.task_count for each in chosen.values()) < search.wanted:
            return None
        return _build_plan(chosen, search.wanted)

    def _options(self, search: _Search, worker: WorkerState) -> list[_WorkerOption]:
        """Return the options of a worker, with an increasing number of its runs stopped."""
        step = search.step
        demand = effective_demand(step)
        limit = per_worker_limit(worker, step)
        free = search.free_capacity.free_for(worker, step, search.sort_key, _UNBOUNDED_S)
        for run in worker.runs:
            if run.phase is RunPhase.STOPPING:
                free = free.plus(run.demand)
        options = []
        best = min(fitting_count(free, demand), limit)
        if best:
            options.append(_WorkerOption(worker, (), best, 0.0))
        victims: list[Run] = []
        cost = 0.0
        for run in self._victims(worker, search.sort_key.rank):
            free = free.plus(run.demand)
            victims.append(run)
            cost += self.cost(run)
            count = min(fitting_count(free, demand), limit)
            if count > best:
                best = count
                options.append(_WorkerOption(worker, tuple(victims), count, cost))
        return options

    def _victims(self, worker: WorkerState, rank: int) -> list[Run]:
        found = [
            run
            for run in worker.run_by_key.values()
            if run.rank > rank and run.phase is not RunPhase.STOPPING and not self._is_lasting(run)
        ]
        return sorted(found, key=lambda run: self._relative_cost(run, worker.profile.capacity))

    def _relative_cost(self, run: Run, capacity: Resources) -> float:
        share = max(weighted_cores(run.demand), 1.0) / max(weighted_cores(capacity), 1.0)
        if run.expected_left_s(self._now_s) < _NEARLY_DONE_S:
            return 0.0
        return self.cost(run) / share

    def _is_lasting(self, run: Run) -> bool:
        step = self._find_step(run)
        return step is not None and step.spec.lasting


def _build_plan(chosen: dict[str, _WorkerOption], count: int) -> PreemptionPlan:
    """Return a plan for the tasks needed, using the options that are cheapest per task."""
    remaining = count
    count_by_worker: dict[str, int] = {}
    victims: list[Run] = []
    cost = 0.0
    uses_slow_workers = False
    for option in sorted(chosen.values(), key=lambda each: each.cost / each.task_count):
        if not remaining:
            break
        taken = min(remaining, option.task_count)
        remaining -= taken
        count_by_worker[option.worker.worker_id] = taken
        victims.extend(option.victims)
        cost += option.cost
        uses_slow_workers = uses_slow_workers or is_slow(option.worker)
    return PreemptionPlan(count_by_worker, tuple(victims), cost, uses_slow_workers)


def _weighted_cost(plan: PreemptionPlan) -> float:
    """Return a plan's cost, raised if it uses slow workers: work that waited for stops ends late there."""
    return plan.cost * _SLOW_FACTOR + _SLOW_COST if plan.uses_slow_workers else plan.cost
