"""Orders to one worker: starts and stops."""

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
        is_doubtful = await self._try_starts(effect, payload)
        if self._contact.may_hide_ends and not is_doubtful:
            log_event('worker_probed', worker=self._contact.worker_id, task=effect.key, run=effect.run)
            await self.stop(effect.key, effect.run)
        if is_doubtful:
            log_event('start_in_doubt', worker=self._contact.worker_id, task=effect.key, run=effect.run)
            self._contact.context.metrics.orders.labels('start', 'in_doubt').inc()
            await self.stop(effect.key, effect.run)

    async def _try_starts(self, effect: StartRun, payload: str) -> bool:
        """Order a start until it is answered; tell whether it stays in doubt."""
        context = self._contact.context
        settings = context.settings
        is_doubtful = False
        ordered_s = context.clock()
        for number in range(settings.order_tries):
            async with self._queue.turn(effect):
                if not number and self._is_needless(effect, context.clock() - ordered_s):
                    return False
                if not context.may_order():
                    return self._withhold(effect, is_doubtful=is_doubtful)
                status = await self._try_start(effect, payload, settings.answer_s if number else settings.order_s)
            self._queue.leaves_unanswered = status is None
            if status is not None:
                self._start_answered(effect, status, is_doubtful=is_doubtful)
                return is_doubtful and status is not OrderStatus.DONE
            is_doubtful = True
        return True

    def _withhold(self, effect: StartRun, *, is_doubtful: bool) -> bool:
        """Send a start no more, since another instance may own the pool; tell whether it stays in doubt."""
        if not is_doubtful:
            self._contact.context.post(RunNever(self._contact.worker_id, effect.key, effect.run))
        return is_doubtful

    def _is_needless(self, effect: StartRun, waited_s: float) -> bool:
        """Tell whether a start need not be sent any more since it waited for its turn: it never runs then."""
        takes_none = self._contact.is_silent or self._contact.is_draining or self._contact.is_overfull
        if self._queue.leaves_unanswered and waited_s > self._contact.context.settings.turn_wait_s:
            takes_none = True
        if not takes_none and (effect.key, effect.run) not in self._stops_under_way:
            return False
        kind = EndKind.REFUSED if takes_none else EndKind.STOPPED
        self._contact.context.post(RunNever(self._contact.worker_id, effect.key, effect.run, kind))
        return True

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
