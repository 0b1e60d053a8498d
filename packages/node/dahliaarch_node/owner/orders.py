"""Orders to one worker: starts and stops."""

from enum import auto, Enum

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


class _Outcome(Enum):
    """What became of a start."""

    BEGUN = auto()
    NEVER = auto()
    IN_DOUBT = auto()


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
        # Runs whose stop was acknowledged, by the time of that: once a later
        # survey does not list them they are certainly not there.
        self._stopped_at_by_run: dict[tuple[TaskKey, int], float] = {}
        self._stops_under_way: set[tuple[TaskKey, int]] = set()

    @property
    def has_unresolved_stops(self) -> bool:
        """Whether a survey has to tell what became of a run that was stopped."""
        return bool(self._stopped_at_by_run)

    def resolve_stopped(self, survey: Survey, begun_s: float) -> None:
        """Tell of stopped runs that a survey begun after their stop does not list: they never are there."""
        listed = {(run.key, run.run) for run in survey.running}
        over = {(each.end.key, each.end.run) for each in survey.ended}
        for stopped, at_s in tuple(self._stopped_at_by_run.items()):
            if at_s > begun_s:
                continue
            if stopped in listed:
                continue
            del self._stopped_at_by_run[stopped]
            if stopped not in over:
                self._contact.context.post(RunNever(self._contact.worker_id, *stopped, EndKind.STOPPED))

    async def start(self, effect: StartRun, payload: str) -> None:
        """Order a start until it is answered; take it back when it stays in doubt."""
        async with self._queue.turn(effect):
            if self._is_needless(effect):
                return
            outcome = await self._try_starts(effect, payload)
        if outcome is _Outcome.BEGUN and self._contact.may_hide_ends:
            log_event('worker_probed', worker=self._contact.worker_id, task=effect.key, run=effect.run)
            await self.stop(effect.key, effect.run)
        if outcome is _Outcome.IN_DOUBT:
            log_event('start_in_doubt', worker=self._contact.worker_id, task=effect.key, run=effect.run)
            self._contact.context.metrics.orders.labels('start', 'in_doubt').inc()
            await self.stop(effect.key, effect.run)

    async def _try_starts(self, effect: StartRun, payload: str) -> '_Outcome':
        """Order a start until it is answered; tell what became of it."""
        settings = self._contact.context.settings
        is_doubtful = False
        for number in range(settings.order_tries):
            if not self._contact.context.may_order():
                return self._withhold(effect, is_doubtful=is_doubtful)
            status = await self._note_try(effect, payload, settings.answer_s if number else settings.order_s)
            if status is not None:
                self._start_answered(effect, status, is_doubtful=is_doubtful)
                if status is OrderStatus.DONE:
                    return _Outcome.BEGUN
                return _Outcome.IN_DOUBT if is_doubtful else _Outcome.NEVER
            is_doubtful = True
        return _Outcome.IN_DOUBT

    def _withhold(self, effect: StartRun, *, is_doubtful: bool) -> '_Outcome':
        """Send a start no more, since another instance may own the pool; tell what became of it."""
        if is_doubtful:
            return _Outcome.IN_DOUBT
        self._contact.context.post(RunNever(self._contact.worker_id, effect.key, effect.run))
        return _Outcome.NEVER

    def _is_needless(self, effect: StartRun) -> bool:
        """Tell whether a start need not be sent any more since it waited for its turn: it never runs then."""
        takes_none = self._contact.is_silent or self._contact.is_draining or self._contact.is_overfull
        if not takes_none and (effect.key, effect.run) not in self._stops_under_way:
            return False
        kind = EndKind.REFUSED if takes_none else EndKind.STOPPED
        self._contact.context.post(RunNever(self._contact.worker_id, effect.key, effect.run, kind))
        return True

    async def _note_try(self, effect: StartRun, payload: str, timeout_s: float) -> OrderStatus | None:
        """Order a start once, and note if it got no answer: the next life of the worker may carry it out."""
        unanswered = self._contact.unanswered_starts
        earlier_s = unanswered.get(effect.key)
        # Other calls may close this link before it is answered.
        unanswered[effect.key] = self._contact.context.clock()
        status = await self._try_start(effect, payload, timeout_s)
        if status is not None:
            del unanswered[effect.key]
            if earlier_s is not None:
                unanswered[effect.key] = earlier_s
        return status

    async def _try_start(self, effect: StartRun, payload: str, timeout_s: float) -> OrderStatus | None:
        """Order a start once; return nothing when it is not known what became of it."""
        try:
            return await self._start_once(effect, payload, timeout_s)
        except WorkerReplacedError as error:
            self._contact.over(error)
            return OrderStatus.UNHEALTHY
        except WorkerUnreachableError:
            return OrderStatus.UNHEALTHY
        except WORKER_FAILURES:
            return None

    def _start_answered(self, effect: StartRun, status: OrderStatus, *, is_doubtful: bool) -> None:
        context = self._contact.context
        context.metrics.orders.labels('start', status.value).inc()
        if status is OrderStatus.DONE:
            context.post(StartAcknowledged(self._contact.worker_id, effect.key, effect.run))
            return
        log_event('start_refused', worker=self._contact.worker_id, task=effect.key, run=effect.run, status=status)
        if status is OrderStatus.FENCED:
            context.fenced()
        if not is_doubtful:
            context.post(RunNever(self._contact.worker_id, effect.key, effect.run))

    async def _start_once(self, effect: StartRun, payload: str, timeout_s: float) -> OrderStatus:
        context = self._contact.context
        until_s = self._contact.lease_until(context.settings.start_hold_s) or 0.0
        self._contact.lease.sent(until_s)
        order = StartOrder(effect.key, effect.run, payload, until_s, effect.checkpoint, effect.ticket)
        reply = await self._contact.session.start(order, timeout_s=timeout_s)
        self._contact.read_clock(reply.clock_s)
        return reply.status

    async def stop(self, key: TaskKey, run: int) -> None:
        """Order a stop until it is acknowledged; the run can't start there after."""
        if (key, run) in self._stops_under_way:
            return
        self._stops_under_way.add((key, run))
        try:
            while not await self._try_stop(key, run):
                heard = self._contact.heard
                await anyio.sleep(self._contact.context.settings.retry_s)
                if self._contact.failures:
                    # Surveys tell when it answers again: hundreds of stops that are
                    # repeated meanwhile would fill a slow link for good.
                    await heard.wait()
        finally:
            self._stops_under_way.discard((key, run))

    async def _try_stop(self, key: TaskKey, run: int) -> bool:
        """Order a stop once; tell whether it was acknowledged or has no object any more."""
        context = self._contact.context
        try:
            reply = await self._contact.session.stop(key, run, timeout_s=context.settings.answer_s)
        except WorkerReplacedError as error:
            self._contact.over(error)
            return True
        except WORKER_FAILURES:
            return False
        context.metrics.orders.labels('stop', reply.status.value).inc()
        self._contact.read_clock(reply.clock_s)
        if reply.status is OrderStatus.FENCED:
            context.fenced()
        if reply.status is OrderStatus.UNHEALTHY:
            return False
        self._stopped_at_by_run[key, run] = context.clock()
        return True
