"""Upper bound on the net credit of any scheduler on a drawn day.

A linear program over a relaxation of the day. Time is cut into slices; in each a
step may do any part of its work, up to all of its tasks at once, wherever the
whole pool has strength left. What is left out can only lower what a scheduler
earns: racks, gangs that start together, workers that are whole, time for orders,
stops and restarts, work that is done twice, and that nobody knows the future.
"""

from collections import defaultdict
from collections.abc import Callable, Hashable, Iterable, Iterator, Sequence
from typing import NamedTuple

import numpy as np
from scipy.optimize import linprog
from scipy.sparse import coo_array

from dahliaarch_kernel.workload import Resources, StepSpec, TaskKey

from .chances import Chances
from .days import AFTER_S, Day, TRAFFIC_S
from .degradation import draw_degraded_places, stretches
from .scoring import LATE_FACTOR, parts_weights, SHOWN_AFTER_S, WORST_WINDOWS, worth_of
from .shapes import Pool
from .simulation import draw_speeds, failing_share, FAILURE
from .workload import DrawnJob

_UNTIL_S = TRAFFIC_S + AFTER_S
# Length of a time slice, in seconds.
_SLICE_S = 1.0
# Maximum number of tasks per worker that are counted as whole tasks.
_MOST_WHOLE = 4


class _Aim(NamedTuple):
    """Credit that a job earns if it is done by a deadline."""

    job: DrawnJob
    worth: float
    due_s: float


class _Program:
    """A linear program: maximizes a gain subject to upper limits on rows.

    Attributes
    ----------
    gains, limits : list of float
        What each variable earns, and the limit of each row.
    lower : list of float or None
        Lower bound of each variable.
    """

    def __init__(self) -> None:
        """Start without variables and rows."""
        self.gains: list[float] = []
        self.limits: list[float] = []
        self.lower: list[float | None] = []
        self._entries: list[tuple[int, int, float]] = []

    def variable(self, gain: float = 0.0, *, lower: float | None = 0.0) -> int:
        """Add a variable, and return its number."""
        self.gains.append(gain)
        self.lower.append(lower)
        return len(self.gains) - 1

    def row(self, limit: float, *terms: tuple[int, float]) -> int:
        """Add a row, and return its number."""
        self.limits.append(limit)
        number = len(self.limits) - 1
        for variable, factor in terms:
            self.add(number, variable, factor)
        return number

    def add(self, row: int, variable: int, factor: float) -> None:
        """Add a variable to a row."""
        self._entries.append((row, variable, factor))

    def maximum(self) -> float:
        """Return the maximum total gain."""
        rows, variables, factors = zip(*self._entries, strict=True)
        shape = (len(self.limits), len(self.gains))
        matrix = coo_array((factors, (rows, variables)), shape=shape).tocsr()
        bounds = [(lower, None) for lower in self.lower]
        found = linprog(-np.array(self.gains), matrix, self.limits, bounds=bounds, method='highs')
        if not found.success:
            raise ArithmeticError(found.message)
        return -float(found.fun)


def bound(day: Day) -> float:
    """Return the maximum credit less the price of waste that any scheduler can reach on the day."""
    return _Relaxation(day).program.maximum()


class _Relaxation:
    """Builds the linear program of a day."""

    def __init__(self, day: Day) -> None:
        self.program = _Program()
        self._pool = day.deployment.pool
        self._chances = Chances(day.seed)
        self._owed_by_id = worth_of(day.jobs)
        self._owed = [job for job in day.jobs if job.is_owed]
        self._room_rows = self._add_room(day)
        # Credit of each job, as pairs of a variable and its factor.
        self._earned_by_id: dict[str, list[tuple[int, float]]] = {}
        for job in self._owed:
            self._add_job(job)
        self._add_gains()

    def _add_room(self, day: Day) -> list[dict['_Measure', int]]:
        """Add a row for each slice and each measure of its capacity; return the rows by slice."""
        degraded = draw_degraded_places(self._pool, day.troubles.degraded, self._chances)
        strength = np.zeros(int(_UNTIL_S / _SLICE_S))
        for span, workers in stretches(self._pool, draw_speeds(self._pool, self._chances), degraded, _UNTIL_S):
            for number, length_s in _slices(*span):
                strength[number] += workers * length_s
        demands = {step.demand for job in self._owed for step in job.spec.steps}
        measures = [measure for measure in _measures() if measure.binds(demands, self._pool)]
        return [{measure: self.program.row(float(limit)) for measure in measures} for limit in strength]

    def _add_job(self, job: DrawnJob) -> None:
        """Add the shares of a job that are done in time and late, and their work."""
        owed = self._owed_by_id[job.spec.job_id]
        if self._fails_once(job):
            # Failed runs extend its objective, so that it may never be late.
            aims = [_Aim(job, owed, _UNTIL_S)]
        else:
            aims = [
                _Aim(job, owed, job.at_s + job.objective_s),
                _Aim(job, owed * job.kind.late_worth / job.kind.worth, job.at_s + LATE_FACTOR * job.objective_s),
            ]
        shares = [self.program.variable() for _ in aims]
        self.program.row(1.0, *((share, 1.0) for share in shares))
        self._earned_by_id[job.spec.job_id] = [(share, aim.worth) for share, aim in zip(shares, aims, strict=True)]
        for share, aim in zip(shares, aims, strict=True):
            self._add_work(share, aim)

    def _add_work(self, share: int, aim: _Aim) -> None:
        """Allow work on each step of a share between its earliest start and its latest end."""
        due_s = min(aim.due_s - SHOWN_AFTER_S, _UNTIL_S)
        before_s = 0.0
        chain_s = aim.job.chain_s
        for step, work_s in zip(aim.job.spec.steps, aim.job.work_s, strict=True):
            longest_s = max(work_s)
            chain_s -= longest_s
            self._add_step(share, step, sum(work_s), aim.job.at_s + before_s, due_s - chain_s)
            before_s += longest_s

    def _add_step(self, share: int, step: StepSpec, work_s: float, begin_s: float, end_s: float) -> None:
        done = []
        for number, length_s in _slices(begin_s, end_s):
            part = self.program.variable()
            # All of its tasks run at once at most.
            self.program.row(0.0, (part, 1.0), (share, -step.task_count * length_s))
            for measure, row in self._room_rows[number].items():
                self.program.add(row, part, measure.size(step.demand, self._pool))
            done.append((part, -1.0))
        self.program.row(0.0, (share, work_s), *done)

    def _fails_once(self, job: DrawnJob) -> bool:
        """Return whether a run of a gang or of a single task fails by its own fault."""
        units = [number for number, step in enumerate(job.spec.steps) if step.gang or step.task_count == 1]
        lucks = (self._chances.about(FAILURE, *TaskKey(job.spec.job_id, 0, number, 0), 0) for number in units)
        return any(failing_share(luck, job) is not None for luck in lucks)

    def _add_gains(self) -> None:
        """Weight shares by the users' measures: each part is a sum, or the minimum of several sums."""
        weights = parts_weights()
        self._add_share(weights.day, self._owed)
        for groups, weight in (
            (_grouped(self._owed, lambda job: job.kind.name), weights.kind),
            (_grouped(self._owed, lambda job: job.spec.account), weights.account),
        ):
            self._add_least(weight, groups, 1)
        windows = _grouped(self._owed, lambda job: job.window)
        self._add_least(weights.windows, windows, min(WORST_WINDOWS, len(windows)))

    def _add_share(self, weight: float, jobs: Sequence[DrawnJob]) -> None:
        for variable, factor in self._terms(jobs):
            self.program.gains[variable] += weight * factor

    def _add_least(self, weight: float, groups: Sequence[Sequence[DrawnJob]], count: int) -> None:
        """Add the mean of the smallest shares: a level, less the shortfall of each group."""
        if not groups:
            self.program.variable(0.0)
            return
        level = self.program.variable(weight, lower=None)
        for group in groups:
            below = self.program.variable(-weight / count)
            terms = [(variable, -factor) for variable, factor in self._terms(group)]
            self.program.row(0.0, (level, 1.0), (below, -1.0), *terms)

    def _terms(self, jobs: Sequence[DrawnJob]) -> list[tuple[int, float]]:
        """Return the credit that jobs earn as a share of the credit owed, as variables and factors."""
        owed = sum(self._owed_by_id[job.spec.job_id] for job in jobs)
        return [(variable, factor / owed) for job in jobs for variable, factor in self._earned_by_id[job.spec.job_id]]


class _Measure(NamedTuple):
    """A measure of the part of a worker that a task takes.

    Tasks that run together on a worker sum to no more than one: by their share of
    one resource, or by whole tasks, where more than ``whole`` of a size never fit.
    """

    resource: str
    whole: int

    def size(self, demand: Resources, pool: Pool) -> float:
        """Return the part of a worker that a task takes."""
        share = float(getattr(demand, self.resource)) / float(getattr(pool.capacity, self.resource))
        if not self.whole:
            return share
        fitting = share * (self.whole + 1)
        return share if fitting.is_integer() else int(fitting) / self.whole

    def binds(self, demands: Iterable[Resources], pool: Pool) -> bool:
        """Return whether its limit is tighter than that of the plain share of the resource."""
        return not self.whole or any(
            self.size(demand, pool) > self._replace(whole=0).size(demand, pool) for demand in demands
        )


def _measures() -> Iterator[_Measure]:
    for resource in Resources._fields:
        for whole in range(_MOST_WHOLE + 1):
            yield _Measure(resource, whole)


def _slices(begin_s: float, end_s: float) -> Iterator[tuple[int, float]]:
    """Yield the slices that a time span overlaps, and the overlap with each."""
    number = int(begin_s / _SLICE_S)
    while number * _SLICE_S < end_s:
        length_s = min(end_s, (number + 1) * _SLICE_S) - max(begin_s, number * _SLICE_S)
        if length_s > 0:
            yield number, length_s
        number += 1


def _grouped(jobs: Sequence[DrawnJob], key: Callable[[DrawnJob], Hashable]) -> list[list[DrawnJob]]:
    groups: dict[Hashable, list[DrawnJob]] = defaultdict(list)
    for job in jobs:
        groups[key(job)].append(job)
    return list(groups.values())
