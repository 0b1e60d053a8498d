"""Executes the decisions of the scheduler."""

from collections.abc import Callable
from functools import singledispatchmethod

from dahliaarch_kernel.scheduler import AskAdvice, EndKind, Moment, Scheduler, StartRun, StopRun
from dahliaarch_kernel.scheduler.events import (
    CrashCounted,
    DomainEmptied,
    DomainEvacuated,
    DomainReopened,
    RunLost,
    RunsMoved,
    StepWaiting,
    TaskGivenUp,
)

from ..logs import log_event
from ..metrics import Metrics
from .advising import AdviceDispatcher
from .held_starts import HeldStart, HeldStarts
from .messages import OwnerMessage, RunRuledOut
from .registry import LinkRegistry


class EffectExecutor:
    """Dispatches each decision to the worker link or advice dispatcher concerned, and logs it.

    Parameters
    ----------
    scheduler : Scheduler
        Scheduler, which holds the jobs and assignments.
    links : LinkRegistry
        Links to workers.
    advice_dispatcher : AdviceDispatcher
        Client of the external policy.
    post : callable
        Passes a message to the scheduling task.
    metrics : Metrics
        Metrics of this instance.
    now : callable
        Returns the current time.

    Attributes
    ----------
    held_starts : HeldStarts
        Starts whose assignments the store does not hold yet.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        links: LinkRegistry,
        advice_dispatcher: AdviceDispatcher,
        post: Callable[[OwnerMessage], None],
        metrics: Metrics,
        now: Callable[[], Moment],
    ) -> None:
        """Initialize without held starts."""
        self.held_starts = HeldStarts(self._send_start)
        self._now = now
        self._metrics = metrics
        self._scheduler = scheduler
        self._links = links
        self._advice_dispatcher = advice_dispatcher
        self._post = post

    @singledispatchmethod
    def execute(self, effect: object) -> None:
        """Execute one decision."""
        raise NotImplementedError(type(effect).__name__)

    @execute.register
    def _(self, effect: StartRun) -> None:
        self.held_starts.hold(effect, self._now().steady_s)

    @execute.register
    def _(self, effect: StopRun) -> None:
        log_event('stop_ordered', worker=effect.worker_id, task=effect.key, run=effect.run, why=effect.reason)
        if self.held_starts.withdraw(effect.key, effect.run):
            self._post(RunRuledOut(effect.worker_id, effect.key, effect.run, EndKind.STOPPED))
            return
        link = self._links.get(effect.worker_id)
        if link is not None:
            link.stop(effect)

    @execute.register
    def _(self, effect: AskAdvice) -> None:
        self._advice_dispatcher.ask(effect)

    def _send_start(self, held: HeldStart) -> None:
        """Send a start whose assignment is stored."""
        start = held.start
        now = self._now()
        self._metrics.start_hold_s.observe(now.steady_s - held.since_s)
        link = self._links.get(start.worker_id)
        if link is None:
            self._post(RunRuledOut(start.worker_id, start.key, start.run))
            return
        if not self._scheduler.assignments.record_sent(start.worker_id, start.key, start.run, now):
            log_event('start_dropped', worker=start.worker_id, task=start.key, run=start.run)
            return
        log_event(
            'run_ordered',
            worker=start.worker_id,
            task=start.key,
            run=start.run,
            from_checkpoint=start.checkpoint,
            rank=start.rank,
            expected_s=round(start.expected_s, 2),
            account=start.account,
            account_level=start.account_level,
            account_ratio=round(start.account_ratio, 2),
            slowdown=round(start.slowdown, 2),
            p50_s=round(start.p50_s, 2),
            p90_s=round(start.p90_s, 2),
        )
        link.start(start, self._scheduler.job_by_id[start.key.job_id].spec.payload)

    @singledispatchmethod
    def log_note(self, note: object) -> None:
        """Log an event of a run, a task or a waiting step."""
        raise NotImplementedError(type(note).__name__)

    @log_note.register
    def _(self, note: RunLost) -> None:
        self._metrics.runs_lost.labels(note.cause.value).inc()
        log_event(
            'run_lost',
            worker=note.worker_id,
            task=note.key,
            run=note.run,
            why=note.cause,
            ran_s=round(note.ran_s, 2),
            beside=note.beside,
        )

    @log_note.register
    def _(self, note: CrashCounted) -> None:
        log_event(
            'crash_counted',
            worker=note.worker_id,
            task=note.key,
            run=note.run,
            is_conclusive=note.is_conclusive,
            is_discounted=note.is_discounted,
        )

    @log_note.register
    def _(self, note: TaskGivenUp) -> None:
        log_event('task_given_up', task=note.key, workers=note.worker_ids)

    @log_note.register
    def _(self, note: RunsMoved) -> None:
        self._metrics.departure_moves.labels(note.saved, note.timing).inc()
        self._metrics.departure_core_s.labels('lost').inc(note.lost_core_s)
        self._metrics.departure_core_s.labels('spared').inc(note.spared_core_s)
        log_event(
            'runs_moved',
            worker=note.worker_id,
            step=note.step,
            saved=note.saved,
            timing=note.timing,
            runs=note.runs,
            lost_core_s=round(note.lost_core_s, 1),
            spared_core_s=round(note.spared_core_s, 1),
        )

    @log_note.register
    def _(self, note: DomainEvacuated) -> None:
        log_event(
            'domain_evacuated',
            domain=note.domain,
            workers=note.workers,
            running=note.running,
            withdrawn=note.withdrawn,
        )

    @log_note.register
    def _(self, note: DomainEmptied) -> None:
        log_event('domain_emptied', domain=note.domain, evacuated_s=round(note.evacuated_s, 2))

    @log_note.register
    def _(self, note: DomainReopened) -> None:
        log_event('domain_reopened', domain=note.domain, evacuated_s=round(note.evacuated_s, 2))

    @log_note.register
    def _(self, note: StepWaiting) -> None:
        log_event(
            'step_waiting',
            job=note.step.job_id,
            step=note.step,
            reason=note.reason,
            waited_s=round(note.waited_s, 2),
            tasks=note.task_count,
            has_room_twice=note.has_room_twice,
            has_takers_twice=note.has_takers_twice,
            used_share=round(note.used_share, 2),
            account=note.account,
            account_level=note.account_level,
            account_ratio=round(note.account_ratio, 2),
        )
