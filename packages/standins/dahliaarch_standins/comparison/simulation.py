"""Simulates a day of jobs under a scheduler with a fake clock."""

import heapq
import random
from collections.abc import Callable
from functools import partial, singledispatchmethod
from itertools import count

from dahliaarch_kernel.scheduler import EndKind, Moment, StartRun, StopRun, WorkerProfile
from dahliaarch_kernel.scheduler.events import ListedRun, RunEnd

from .chances import Chances
from .decider import Decider
from .degradation import DegradedPlace, draw_degraded_places, REPLACED_AFTER_S
from .executions import Execution, PlayedWorker, RunKey, saved_work_s, Unit
from .ledger import Cause, Ledger
from .orders import Orders
from .shapes import Deployment, Pool
from .troubles import Degradation, Troubles
from .workload import DrawnJob, queue_of, SERVICE, WALL_S

# Delay between an order and its effect, in seconds: one message.
_ORDER_S = 0.005
# Updates within this time share a scheduling pass, in seconds.
_GATHER_S = 0.01
# Maximum time between two scheduling passes, in seconds.
_PASS_EVERY_S = 0.25
# Interval of progress reports of workers, in seconds.
_SURVEY_S = 1.0
# Name of the draw whether a run fails by its own fault; it is repeated only after a failure.
FAILURE = 'failure'
# Time from the last answer of a worker that is cut off until it counts as silent, in seconds.
_SILENT_AFTER_S = 2.2
# A run on a worker that fails all that it runs ends after this time, in seconds.
_FAILS_AFTER_S = (0.1, 0.6)
_CAUSE_BY_KIND = {EndKind.FAILED: Cause.RUN_FAILED, EndKind.BROKEN: Cause.WORKER_LOST}


class Simulation:
    """A pool of workers that executes the orders of a scheduler.

    Parameters
    ----------
    deployment : Deployment
        The pool.
    jobs : list of DrawnJob
        The day's jobs.
    troubles : Troubles
        What befalls workers.
    scheduler : Decider
        What decides.
    seed : int
        Seed of failures, of how long stops take and of which workers are degraded.

    Attributes
    ----------
    ledger : Ledger
        What became of each job, and what was thrown away.
    """

    def __init__(
        self,
        deployment: Deployment,
        jobs: list[DrawnJob],
        troubles: Troubles,
        scheduler: Decider,
        seed: int,
    ) -> None:
        """Create the workers of the pool."""
        self._pool = deployment.pool
        self._scheduler = scheduler
        self._chances = Chances(seed)
        self._job_by_id = {job.spec.job_id: job for job in jobs}
        self._worker_by_place = _draw_workers(deployment, self._chances)
        self._worker_by_id = {worker.profile.worker_id: worker for worker in self._worker_by_place}
        self._unit_by_gang: dict[tuple[str, int, int, int], Unit] = {}
        self._orders = Orders(troubles.lost_orders, self._chances)
        # Runs that have started, and runs that were stopped before they started.
        self._begun: set[RunKey] = set()
        self._forbidden: set[RunKey] = set()
        # Reports and actions of workers that are cut off, deferred until they are reachable.
        self._later_by_worker: dict[str, list[Callable[[], None]]] = {}
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = count()
        self._now_s = 0.0
        self._pass_at_s = 0.0
        self.ledger = Ledger(deployment.pool, self._job_by_id)
        for job in jobs:
            self._at(job.at_s, partial(self._submit, job))
            if job.cancel_at_s is not None:
                self._at(job.cancel_at_s, partial(self._cancel, job))
        for each in draw_degraded_places(deployment.pool, troubles.degraded, self._chances):
            self._at(each.span.begin_s, partial(self._degrade, each))

    def run(self, until_s: float) -> None:
        """Simulate until a time."""
        for worker in self._worker_by_place:
            self._join(worker)
        self._ask_pass(0.0)
        while self._events and self._events[0][0] <= until_s:
            self._now_s, _, act = heapq.heappop(self._events)
            act()

    @property
    def _moment(self) -> Moment:
        return Moment(self._now_s, WALL_S + self._now_s)

    def _at(self, at_s: float, act: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._numbers), act))

    def _ask_pass(self, after_s: float) -> None:
        """Schedule a pass; an earlier one replaces it."""
        at_s = self._now_s + after_s
        if self._pass_at_s > self._now_s and self._pass_at_s <= at_s:
            return
        self._pass_at_s = at_s
        self._at(at_s, partial(self._pass, at_s))

    def _pass(self, at_s: float) -> None:
        if at_s < self._pass_at_s:
            return
        for effect in self._scheduler.decide(self._moment):
            self._carry_out(effect)
        self.ledger.note_idle(self._now_s, [worker for worker in self._worker_by_place if not worker.is_gone])
        self._ask_pass(_PASS_EVERY_S)

    @singledispatchmethod
    def _carry_out(self, effect: object) -> None:
        raise NotImplementedError(type(effect).__name__)

    @_carry_out.register
    def _(self, effect: StartRun) -> None:
        order = self._orders.start(effect, self._now_s)
        act = self._start if order.is_certain else self._never_begins
        self._at(self._now_s + order.takes_s + _ORDER_S, partial(act, effect))

    @_carry_out.register
    def _(self, effect: StopRun) -> None:
        self.ledger.note_stop(effect)
        luck = self._chances.nth_about('stop', *effect.key)
        self._chances.has_come('stop', *effect.key)
        takes_s = luck.uniform(self._pool.shortest_stop_s, self._pool.largest_stop_s)
        takes_s += self._orders.stop_takes_s(effect, self._now_s)
        self._at(self._now_s + takes_s, partial(self._stop, effect))

    def _submit(self, job: DrawnJob) -> None:
        self._scheduler.add_job(job.spec, queue_of(job.kind), self._moment)
        self._ask_pass(_GATHER_S)

    def _cancel(self, job: DrawnJob) -> None:
        self._scheduler.cancel(job.spec.job_id, self._moment)
        self._ask_pass(_GATHER_S)

    def _join(self, worker: PlayedWorker) -> None:
        self._scheduler.update_worker(worker.profile, self._moment)
        first_s = self._chances.about('survey', worker.profile.worker_id).uniform(0.0, _SURVEY_S)
        self._at(self._now_s + first_s, partial(self._survey_again, worker))
        self._report_survey(worker)

    def _survey_again(self, worker: PlayedWorker) -> None:
        if worker.is_gone:
            return
        if not worker.is_cut_off:
            self._report_survey(worker)
        self._at(self._now_s + _SURVEY_S, partial(self._survey_again, worker))

    def _report_survey(self, worker: PlayedWorker) -> None:
        every_s = self._pool.checkpoint_s
        running = [
            ListedRun(key, run, unit.checkpoint(every_s, is_stop=False), unit.percent(self._now_s))
            for (key, run), unit in worker.unit_by_run.items()
        ]
        worker_id = worker.profile.worker_id
        lease = self._scheduler.worker_by_id[worker_id].lease
        lease.record_clock(self._now_s, self._now_s)
        lease.record_sent(self._now_s + self._pool.hold_s)
        self._scheduler.worker_surveyed(worker_id, running, self._now_s, self._moment)

    def _degrade(self, degraded: DegradedPlace) -> None:
        worker = self._worker_by_place[degraded.place]
        worker.degradation = degraded.kind
        worker.factor = degraded.factor
        self._renew_rates(worker)
        if degraded.kind is Degradation.LEAVING:
            left_s = degraded.span.end_s - self._now_s
            self._scheduler.update_worker(worker.profile._replace(draining=True, leaves_in_s=left_s), self._moment)
            self._at(degraded.span.end_s, partial(self._leave, degraded.place))
        else:
            self._at(degraded.span.end_s, partial(self._recover, worker))
        if degraded.kind is Degradation.CUT_OFF:
            self._at(self._now_s + _SILENT_AFTER_S, partial(self._fall_silent, worker))

    def _fall_silent(self, worker: PlayedWorker) -> None:
        if worker.is_cut_off:
            self._scheduler.worker_silent(worker.profile.worker_id, self._moment)

    def _recover(self, worker: PlayedWorker) -> None:
        worker.degradation = None
        worker.factor = 1.0
        self._renew_rates(worker)
        for act in self._later_by_worker.pop(worker.profile.worker_id, []):
            act()
        self._ask_pass(_GATHER_S)

    def _leave(self, place: int) -> None:
        worker = self._worker_by_place[place]
        worker.is_gone = True
        for unit in worker.units():
            self._end_unit(unit, EndKind.BROKEN, lost_on=worker)
        self._scheduler.worker_over(worker.profile.worker_id, self._moment)
        self._at(self._now_s + REPLACED_AFTER_S, partial(self._replace, place))
        self._ask_pass(_GATHER_S)

    def _replace(self, place: int) -> None:
        gone = self._worker_by_place[place]
        profile = gone.profile._replace(worker_id=f'{gone.profile.worker_id}+', draining=False)
        worker = PlayedWorker(profile, gone.speed)
        self._worker_by_place[place] = worker
        self._worker_by_id[profile.worker_id] = worker
        self._join(worker)

    def _renew_rates(self, worker: PlayedWorker) -> None:
        for unit in worker.units():
            self._plan(unit)

    def _start(self, start: StartRun) -> None:
        worker = self._worker_by_id[start.worker_id]
        job = self._job_by_id[start.key.job_id]
        if worker.is_gone:
            return
        if worker.is_cut_off:
            # It is withdrawn once the worker answers again.
            self._later(worker, partial(self._refuse, start))
            return
        if (start.key, start.run) in self._forbidden:
            return
        execution = Execution(start, job, worker, self._now_s)
        if not worker.has_room(execution.demand):
            self._refuse(start)
            return
        unit = self._unit_of(execution)
        unit.members.append(execution)
        self._begun.add(execution.key)
        worker.add(execution, unit)
        self.ledger.note_begin(start.key.job_id, self._now_s)
        self._scheduler.run_started(start.worker_id, start.key, start.run, self._moment)
        if unit.is_complete:
            self._begin_work(unit)

    def _refuse(self, start: StartRun) -> None:
        self._scheduler.run_ended(RunEnd(start.worker_id, start.key, start.run, EndKind.REFUSED), self._moment)
        self._ask_pass(_GATHER_S)

    def _never_begins(self, order: StartRun | StopRun) -> None:
        """Report that a run was stopped before it started."""
        if self._worker_by_id[order.worker_id].is_gone:
            return
        self._forbidden.add((order.key, order.run))
        self._report_end(RunEnd(order.worker_id, order.key, order.run, EndKind.STOPPED))
        self._ask_pass(_GATHER_S)

    def _unit_of(self, execution: Execution) -> Unit:
        start = execution.start
        saved_s = saved_work_s(start.checkpoint)
        if not execution.step.gang:
            return Unit(execution, saved_s)
        gang = (*start.key[:3], start.run)
        known = self._unit_by_gang.get(gang)
        if known is None:
            known = Unit(execution, saved_s)
            self._unit_by_gang[gang] = known
        return known

    def _begin_work(self, unit: Unit) -> None:
        """Start the work of a unit, after its checkpoint is restored."""
        first = unit.members[0]
        unit.since_s = self._now_s + (self._pool.restore_s if unit.saved_s else 0.0)
        luck = self._chances.nth_about(FAILURE, *unit.key)
        share = failing_share(luck, first.job)
        if share is not None:
            unit.fails_at_s = unit.saved_s + (unit.work_s - unit.saved_s) * share
        if any(member.worker.degradation is Degradation.FAILING for member in unit.members):
            self._at(self._now_s + luck.uniform(*_FAILS_AFTER_S), partial(self._finish, unit, None, EndKind.FAILED))
        self._plan(unit)

    def _plan(self, unit: Unit) -> None:
        """Reschedule the end of a unit."""
        unit.advance(self._now_s)
        unit.plan += 1
        unit.rate = _rate(unit, self._pool.far_factor) if unit.is_complete else 0.0
        if not unit.rate:
            return
        goal_s = unit.work_s if unit.fails_at_s is None else max(unit.done_s, unit.fails_at_s)
        kind = EndKind.DONE if unit.fails_at_s is None else EndKind.FAILED
        ends_s = max(unit.since_s, self._now_s) + (goal_s - unit.done_s) / unit.rate
        self._at(ends_s, partial(self._finish, unit, unit.plan, kind))

    def _finish(self, unit: Unit, plan: int | None, kind: EndKind) -> None:
        if plan is not None and plan != unit.plan:
            return
        self._end_unit(unit, kind)

    def _stop(self, stop: StopRun) -> None:
        worker = self._worker_by_id[stop.worker_id]
        if worker.is_cut_off:
            self._later(worker, partial(self._stop, stop))
            return
        unit = worker.unit_by_run.get((stop.key, stop.run))
        if unit is not None:
            self._end_unit(unit, EndKind.STOPPED)
        elif (stop.key, stop.run) not in self._begun:
            self._never_begins(stop)

    def _end_unit(self, unit: Unit, kind: EndKind, lost_on: PlayedWorker | None = None) -> None:
        """End all members of a unit; one member of a failed gang ends as failed."""
        if not unit.members or unit.members[0].is_over:
            return
        unit.advance(self._now_s)
        unit.plan += 1
        if kind is EndKind.FAILED:
            self._chances.has_come(FAILURE, *unit.key)
        blamed = unit.blamed()
        for member in unit.members:
            ends_so = kind in {EndKind.DONE, EndKind.STOPPED} or member is blamed
            checkpoint = unit.checkpoint(self._pool.checkpoint_s, is_stop=kind is EndKind.STOPPED)
            self._end(member, unit, RunEnd(
                member.start.worker_id,
                member.start.key,
                member.start.run,
                kind if ends_so else EndKind.BROKEN,
                checkpoint if kind is not EndKind.DONE else '',
            ), cause=_CAUSE_BY_KIND.get(kind), is_reported=member.worker is not lost_on)  # fmt: skip
        self._ask_pass(_GATHER_S)

    def _end(self, member: Execution, unit: Unit, end: RunEnd, *, cause: Cause | None, is_reported: bool) -> None:
        member.is_over = True
        member.worker.remove(member)
        self.ledger.note_end(member, unit, end, cause, self._now_s)
        if is_reported:
            self._report_end(end)

    def _report_end(self, end: RunEnd) -> None:
        worker = self._worker_by_id[end.worker_id]
        if worker.is_cut_off:
            self._later(worker, partial(self._report_end, end))
            return
        self._scheduler.run_ended(end, self._moment)

    def _later(self, worker: PlayedWorker, act: Callable[[], None]) -> None:
        """Defer an action until a worker that is cut off is reachable."""
        self._later_by_worker.setdefault(worker.profile.worker_id, []).append(act)


def _rate(unit: Unit, far_factor: float) -> float:
    """Return the work that a unit does per second: that of its slowest member, less when it is spread over racks."""
    slowest = min(member.worker.rate for member in unit.members)
    racks = {member.worker.profile.labels[1] for member in unit.members}
    is_far = unit.members[0].step.same_rack and len(racks) > 1
    return slowest / far_factor if is_far else slowest


def failing_share(luck: random.Random, job: DrawnJob) -> float | None:
    """Return the share of its work after which a run fails by its own fault, or None."""
    fails = luck.random() < job.kind.failing_share
    return luck.random() if fails or job.is_hopeless else None


def draw_speeds(pool: Pool, chances: Chances) -> list[float]:
    """Return the factor of run time of each worker of the pool."""
    speeds = [pool.speeds[place % len(pool.speeds)] for place in range(pool.workers)]
    chances.about('speeds').shuffle(speeds)
    return speeds


def _draw_workers(deployment: Deployment, chances: Chances) -> list[PlayedWorker]:
    pool = deployment.pool
    found = []
    for place, speed in enumerate(draw_speeds(pool, chances)):
        labels = ('a', f'r{place // pool.workers_per_rack}')
        profile = WorkerProfile(f'w{place}', SERVICE, 'z', pool.capacity, labels)
        found.append(PlayedWorker(profile, speed))
    return found
