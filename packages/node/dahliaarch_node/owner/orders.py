"""Orders to one worker: starts and stops."""

import math
from enum import auto, Enum
from typing import NamedTuple

import anyio

from dahliaarch_kernel.scheduler import EndKind, StartRun
from dahliaarch_kernel.workload import TaskKey
from dahliaarch_platform.workers import (
    OrderStatus,
    StartOrder,
    Survey,
    WORKER_FAILURES,
    WorkerReplacedError,
    WorkerUnreachableError,
)

from ..logs import log_event
from .contact import Contact
from .messages import RunNever, StartAcknowledged
from .start_turns import TurnQueue
from .unanswered import RunId, UnansweredStarts

# How long a survey waits at a worker at most while a start has no answer, in seconds.
_MAX_POLL_S = 0.5
# The same at least, and how much later than the end of a lease it is answered.
_MIN_POLL_S = 0.02


class SurveyStart(NamedTuple):
    """When a survey was begun.

    Parameters
    ----------
    at_s : float
        By the steady clock here.
    clock_s : float
        A time that the worker's clock had reached by then.
    """

    at_s: float
    clock_s: float


class _StartOutcome(Enum):
    """What became of a start."""

    STARTED = auto()
    NOT_STARTED = auto()
    UNKNOWN = auto()


class WorkerOrders:
    """Gives orders until it is certain what became of them.

    Parameters
    ----------
    contact : Contact
        The worker.
    """

    def __init__(self, contact: Contact) -> None:
        """Start without orders."""
        self._contact = contact
        self._queue = TurnQueue(contact)
        self._unanswered = UnansweredStarts()
        # Runs whose stop was acknowledged, by the time of that: once a later
        # survey does not list them they are certainly not there.
        self._stopped_at_by_run: dict[RunId, float] = {}
        self._pending_stops: dict[RunId, anyio.CancelScope] = {}

    @property
    def has_unresolved_stops(self) -> bool:
        """Whether a survey has to tell what became of a run that was stopped."""
        return bool(self._stopped_at_by_run)

    def max_survey_wait_s(self) -> float:
        """Return how long the next survey should wait at most, to tell soon what became of unanswered starts."""
        clock_s = self._contact.lease_end(0.0) or 0.0
        lease_end_s = self._unanswered.earliest_overdue_end_s
        if lease_end_s == math.inf:
            return lease_end_s
        return min(max(lease_end_s - clock_s, 0.0) + _MIN_POLL_S, _MAX_POLL_S)

    def reconcile(self, survey: Survey, survey_start: SurveyStart) -> None:
        """Tell of runs that a survey rules out: they never are there.

        Those are runs whose stop was acknowledged before, and starts without an
        answer whose lease had ended.
        """
        listed = {(run.key, run.run) for run in survey.running}
        ended = {(each.end.key, each.end.run) for each in survey.ended}
        for stopped, at_s in tuple(self._stopped_at_by_run.items()):
            if at_s > survey_start.at_s or stopped in listed:
                continue
            del self._stopped_at_by_run[stopped]
            if stopped not in ended:
                was_unanswered = self._unanswered.discard(stopped)
                self._report_never_ran(stopped, EndKind.REFUSED if was_unanswered else EndKind.STOPPED)
        # Another incarnation of which it is not known begins with a lower reading.
        asked_at_s = min(survey_start.clock_s, survey.clock_s)
        for run in self._unanswered.reconcile(listed | ended, asked_at_s):
            self._report_never_ran(run, EndKind.REFUSED)

    def _report_never_ran(self, run: RunId, kind: EndKind) -> None:
        pending_stop = self._pending_stops.get(run)
        if pending_stop is not None:
            pending_stop.cancel()
        self._contact.context.post(RunNever(self._contact.worker_id, *run, kind))

    async def start(self, effect: StartRun, payload: str) -> None:
        """Order a start until it is answered; take it back when it stays unacknowledged."""
        outcome = await self._start_with_retries(effect, payload)
        if (effect.key, effect.run) in self._unanswered:
            log_event('start_unacknowledged', worker=self._contact.worker_id, task=effect.key, run=effect.run)
            self._contact.context.metrics.orders.labels('start', 'unacknowledged').inc()
            await self.stop(effect.key, effect.run)
        elif outcome is not _StartOutcome.NOT_STARTED and self._contact.may_hide_ends:
            log_event('worker_probed', worker=self._contact.worker_id, task=effect.key, run=effect.run)
            await self.stop(effect.key, effect.run)

    async def _start_with_retries(self, effect: StartRun, payload: str) -> _StartOutcome:
        """Order a start until it is answered or known from a survey; tell what became of it."""
        settings = self._contact.context.settings
        run = effect.key, effect.run
        ordered_s = self._contact.context.clock()
        lease_end_s = 0.0
        for attempt in range(settings.max_start_tries):
            async with self._queue.turn(effect):
                if not self._may_send(effect, ordered_s, is_retry=attempt > 0):
                    return _StartOutcome.UNKNOWN if attempt else _StartOutcome.NOT_STARTED
                # Later tries carry no later end: a survey after it rules all of them out.
                lease_end_s = lease_end_s or self._contact.lease_end(settings.start_lease_s) or 0.0
                if not attempt:
                    self._unanswered.add(run, lease_end_s)
                order = StartOrder(effect.key, effect.run, payload, lease_end_s, effect.checkpoint, effect.ticket)
                status = await self._note_try(order, settings.answer_s if attempt else settings.start_timeout_s)
            self._queue.is_last_try_unanswered = status is None
            if status is not None:
                return self._handle_start_reply(effect, status, is_retry=attempt > 0)
            self._unanswered.mark_overdue(run)
        return _StartOutcome.UNKNOWN

    def _may_send(self, effect: StartRun, ordered_s: float, *, is_retry: bool) -> bool:
        """Tell whether a try of a start may be sent, now that its turn has come."""
        context = self._contact.context
        if is_retry:
            return (effect.key, effect.run) in self._unanswered and context.may_order()
        if self._is_obsolete(effect, context.clock() - ordered_s):
            return False
        if not context.may_order():
            # Another instance may own the pool.
            context.post(RunNever(self._contact.worker_id, effect.key, effect.run))
            return False
        return True

    def _is_obsolete(self, effect: StartRun, waited_s: float) -> bool:
        """Tell whether a start need not be sent any more since it waited for its turn: it never runs then."""
        is_unavailable = self._contact.is_silent or self._contact.is_draining or self._contact.is_overfull
        if self._queue.is_last_try_unanswered and waited_s > self._contact.context.settings.max_turn_wait_s:
            is_unavailable = True
        if not is_unavailable and (effect.key, effect.run) not in self._pending_stops:
            return False
        kind = EndKind.REFUSED if is_unavailable else EndKind.STOPPED
        self._contact.context.post(RunNever(self._contact.worker_id, effect.key, effect.run, kind))
        return True

    async def _note_try(self, order: StartOrder, timeout_s: float) -> OrderStatus | None:
        """Order a start once, and note if it got no answer: the next incarnation of the worker may carry it out."""
        unanswered = self._contact.unanswered_starts
        earlier_s = unanswered.get(order.key)
        # Other calls may close this link before it is answered.
        sent_s = self._contact.context.clock()
        unanswered[order.key] = sent_s
        status = await self._try_start(order, timeout_s)
        # A later run of the task may have been tried meanwhile.
        if status is not None and unanswered.get(order.key) == sent_s:
            del unanswered[order.key]
            if earlier_s is not None:
                unanswered[order.key] = earlier_s
        return status

    async def _try_start(self, order: StartOrder, timeout_s: float) -> OrderStatus | None:
        """Order a start once; return nothing when it is not known what became of it."""
        try:
            return await self._start_once(order, timeout_s)
        except WorkerReplacedError as error:
            self._contact.report_ended(error)
            return OrderStatus.UNHEALTHY
        except WorkerUnreachableError:
            return OrderStatus.UNHEALTHY
        except WORKER_FAILURES:
            return None

    def _handle_start_reply(self, effect: StartRun, status: OrderStatus, *, is_retry: bool) -> _StartOutcome:
        """Take in the answer to a try of a start; tell what became of the start."""
        context = self._contact.context
        context.metrics.orders.labels('start', status.value).inc()
        if status is OrderStatus.DONE or not is_retry:
            self._unanswered.discard((effect.key, effect.run))
        if status is OrderStatus.DONE:
            context.post(StartAcknowledged(self._contact.worker_id, effect.key, effect.run))
            return _StartOutcome.STARTED
        log_event('start_refused', worker=self._contact.worker_id, task=effect.key, run=effect.run, status=status)
        if status is OrderStatus.FENCED:
            context.on_fenced()
        if is_retry:
            return _StartOutcome.UNKNOWN
        context.post(RunNever(self._contact.worker_id, effect.key, effect.run))
        return _StartOutcome.NOT_STARTED

    async def _start_once(self, order: StartOrder, timeout_s: float) -> OrderStatus:
        self._contact.lease.sent(order.lease_until_s)
        reply = await self._contact.session.start(order, timeout_s=timeout_s)
        self._contact.record_clock(reply.clock_s)
        return reply.status

    async def stop(self, key: TaskKey, run: int) -> None:
        """Order a stop until it is acknowledged; the run can't start there after."""
        if (key, run) in self._pending_stops:
            return
        with anyio.CancelScope() as scope:
            self._pending_stops[key, run] = scope
            try:
                await self._stop_until_acknowledged(key, run)
            finally:
                del self._pending_stops[key, run]

    async def _stop_until_acknowledged(self, key: TaskKey, run: int) -> None:
        while not await self._try_stop(key, run):
            survey_answered = self._contact.survey_answered
            await anyio.sleep(self._contact.context.settings.retry_s)
            if self._contact.failures:
                # Surveys tell when it answers again: hundreds of stops that are
                # repeated meanwhile would fill a slow link for good.
                await survey_answered.wait()

    async def _try_stop(self, key: TaskKey, run: int) -> bool:
        """Order a stop once; tell whether it was acknowledged or has no object any more."""
        context = self._contact.context
        try:
            reply = await self._contact.session.stop(key, run, timeout_s=context.settings.answer_s)
        except WorkerReplacedError as error:
            self._contact.report_ended(error)
            return True
        except WORKER_FAILURES:
            return False
        context.metrics.orders.labels('stop', reply.status.value).inc()
        self._contact.record_clock(reply.clock_s)
        if reply.status is OrderStatus.FENCED:
            context.on_fenced()
        if reply.status is OrderStatus.UNHEALTHY:
            return False
        self._stopped_at_by_run[key, run] = context.clock()
        return True
