"""The owner's side of one worker: surveys and leases."""

import asyncio
import math

import anyio
from anyio.abc import TaskGroup

from dahliaarch_kernel.scheduler import Lease, StartRun, StopRun
from dahliaarch_kernel.workload import TaskKey
from dahliaarch_platform.incarnations import WorkerIncarnation
from dahliaarch_platform.settings import Address
from dahliaarch_platform.workers import (
    OrderStatus,
    Survey,
    WORKER_FAILURES,
    WorkerHandshakeError,
    WorkerReplacedError,
    WorkerUnansweredError,
    WorkerUnreachableError,
)

from ..logs import log_event
from .contact import Contact, FAILURES_UNTIL_SILENT
from .link_settings import LinkContext
from .messages import RunNever, WorkerSilent, WorkerSurveyed
from .orders import Asked, WorkerOrders


class WorkerLink:
    """Keeps in touch with one incarnation of a worker.

    Parameters
    ----------
    incarnation : WorkerIncarnation
        Which incarnation of the worker is meant.
    address : Address
        Where it takes orders.
    lease : Lease
        Its lease, shared with the scheduler.
    context : LinkContext
        What every link uses.
    fence : int
        Number that its orders carry; above those of the incarnations before.
    """

    def __init__(
        self, incarnation: WorkerIncarnation, address: Address, lease: Lease, context: LinkContext, fence: int = 0
    ) -> None:
        """Start without having asked anything."""
        self.incarnation = incarnation
        self.address = address
        self.acknowledged = 0
        self.listed = 0
        self.processed = 0
        # When the last acknowledgement was sent that got no answer; it may be carried out late.
        self.unanswered_at_s = -math.inf
        # When it was taken over from the previous owner, which may have sent it an acknowledgement without an answer.
        self.inherited_at_s = -math.inf
        # Whether ends are taken to be listed where something runs: the previous owner had tried the worker then.
        self.is_trusted_at_work = False
        # When a survey was answered last.
        self.last_contact_s = -math.inf
        # The ends that the latest answer listed.
        self._numbers: tuple[int, ...] = ()
        self.acknowledged_more = anyio.Event()
        self._worker_id = incarnation.worker_id
        self._lease = lease
        self._context = context
        self._tasks: TaskGroup | None = None
        self._is_idle = False
        self._session = context.client.session(address, incarnation, fence)
        self._contact = Contact(self._session, incarnation.worker_id, lease, context)
        # Ends the survey that is under way, when there are updates of the worker.
        self._given_up: asyncio.Future[None] | None = None
        # An answer to a hedge of the survey that is under way.
        self._hedged: Survey | OrderStatus | None = None
        self._hedges = anyio.CancelScope()
        self._acknowledging = False
        self._orders = WorkerOrders(self._contact)

    @property
    def is_draining(self) -> bool:
        """Whether the worker has said that it leaves."""
        return self._contact.is_draining

    @is_draining.setter
    def is_draining(self, is_draining: bool) -> None:
        self._contact.is_draining = is_draining

    @property
    def is_overfull(self) -> bool:
        """Whether the worker holds more than it says it has."""
        return self._contact.is_overfull

    @is_overfull.setter
    def is_overfull(self, is_overfull: bool) -> None:
        self._contact.is_overfull = is_overfull

    @property
    def may_hide_ends(self) -> bool:
        """Whether the worker may never list ends that are yet to come."""
        return self._contact.may_hide_ends

    @may_hide_ends.setter
    def may_hide_ends(self, may_hide_ends: bool) -> None:
        self._contact.may_hide_ends = may_hide_ends

    @property
    def unanswered_starts(self) -> dict[TaskKey, float]:
        """When the last try of a start was sent that got no answer, by task."""
        return self._contact.unanswered_starts

    async def run(self) -> None:
        """Survey until closed."""
        try:
            with self._contact.scope:
                async with anyio.create_task_group() as tasks:
                    self._tasks = tasks
                    while not self._contact.scope.cancel_called:
                        await self._survey_once()
        finally:
            self._session.close()

    def close(self) -> None:
        """Stop surveying."""
        self._contact.scope.cancel()

    def look_again(self) -> None:
        """Survey at once: the worker may have started again."""
        if self._given_up is not None and not self._given_up.done():
            self._given_up.set_result(None)

    def acknowledge(self, number: int) -> None:
        """Let ends up to a number be acknowledged: they are kept."""
        if number > self.acknowledged:
            self.acknowledged = number
            more, self.acknowledged_more = self.acknowledged_more, anyio.Event()
            more.set()

    def start(self, effect: StartRun, payload: str) -> None:
        """Order a start; one that comes after the incarnation has ended never runs."""
        if self._tasks is None or self._contact.scope.cancel_called:
            self._context.post(RunNever(self._worker_id, effect.key, effect.run))
            return
        self._is_idle = False
        self._tasks.start_soon(self._orders.start, effect, payload)

    def stop(self, effect: StopRun) -> None:
        """Order a stop."""
        assert self._tasks is not None  # noqa: S101
        self._tasks.start_soon(self._orders.stop, effect.key, effect.run)

    async def _survey_once(self) -> None:
        context = self._context
        settings = context.settings
        begun = Asked(context.clock(), self._contact.clock_s)
        wait_s = self._wait_s()
        # A worker that does not answer is not given more time: its lease must end
        # at some point for its runs to start elsewhere.
        may_renew = context.may_order() and not self._contact.failures
        until_s = self._contact.lease_until(self._hold_s) if may_renew else None
        try:
            survey = await self._ask(until_s, wait_s)
        except WorkerUnreachableError as error:
            await self._survey_failed(error)
            return
        except WORKER_FAILURES as error:
            self._lease.sent(until_s or 0.0)
            await self._survey_failed(error)
            return
        self._lease.sent(until_s or 0.0)
        if isinstance(survey, OrderStatus):
            await self._survey_refused(survey)
            return
        self._contact.answered()
        self.last_contact_s = context.clock()
        if not self._lease.has_reading:
            # Until this answer a previous owner may have given the longest lease.
            self._lease.assume_held(settings.hold_s, context.clock())
        self._contact.read_clock(survey.clock_s)
        self._take_in(survey, begun)
        if until_s is not None or not context.may_order():
            # One that renewed no lease, the first and any after a failure, is followed
            # at once by one that does.
            await self._pause(survey)

    @property
    def _to_acknowledge(self) -> int:
        """Number of the last end that is kept and still listed.

        What was acknowledged already is not again: an acknowledgement that gets no
        answer may be carried out late, by another incarnation.
        """
        return max((number for number in self._numbers if number <= self.acknowledged), default=0)

    @property
    def _hold_s(self) -> float:
        """Lease that a survey gives."""
        settings = self._context.settings
        return settings.draining_hold_s if self.is_draining else settings.hold_s

    async def _ask(self, until_s: float | None, wait_s: float) -> Survey | OrderStatus:
        """Ask what runs, and ask again beside that when the answer is late; tell of a second late one."""
        context = self._context
        late_s = wait_s + context.settings.answer_s
        loop = asyncio.get_running_loop()
        timers = [
            loop.call_later(late_s, self._answer_is_late),
            loop.call_later(wait_s + self._hedge_s, self._hedge, self._answer_s() - self._hedge_s),
        ]
        self._given_up = loop.create_future()
        self._hedged = None
        acknowledged = self._to_acknowledge
        # An acknowledgement that got no answer has the worker's next incarnation probed: its own is waited for.
        self._acknowledging = bool(acknowledged)
        earlier_s = self.unanswered_at_s
        if acknowledged:
            # Other calls may close this link before it is answered.
            self.unanswered_at_s = context.clock()
        try:
            survey = await self._session.survey(
                acknowledged=acknowledged,
                lease_until_s=until_s,
                wait_s=wait_s,
                timeout_s=wait_s + self._answer_s(),
                cancellation=self._given_up,
            )
        except WorkerReplacedError:
            self.unanswered_at_s = earlier_s
            raise
        except (WorkerUnansweredError, WorkerUnreachableError) as error:
            if isinstance(error, WorkerUnreachableError):
                # It was never sent: a worker is asked first which incarnation it is.
                self.unanswered_at_s = earlier_s
            if self._hedged is None:
                raise
            return self._hedged
        finally:
            for timer in timers:
                timer.cancel()
            self._hedges.cancel()
        self.unanswered_at_s = earlier_s
        return survey

    def _hedge(self, left_s: float) -> None:
        """Ask again beside a survey whose answer is late: where answers are lost it never comes."""
        if self._tasks is not None:
            self._hedges = anyio.CancelScope()
            self._tasks.start_soon(self._ask_beside, self._hedges, left_s)

    async def _ask_beside(self, scope: anyio.CancelScope, left_s: float) -> None:
        """Ask what runs, and nothing else, until an answer comes in some time."""
        answer_s = self._hedge_s
        with scope:
            while left_s > 0:
                try:
                    self._hedged = await self._session.survey(
                        acknowledged=0, lease_until_s=None, wait_s=0.0, timeout_s=min(answer_s, left_s)
                    )
                except (WorkerUnansweredError, WorkerHandshakeError):
                    left_s -= answer_s
                    answer_s += answer_s
                    continue
                except WORKER_FAILURES as error:
                    # The survey itself fails likewise, or its answer comes.
                    log_event('hedge_failed', worker=self._worker_id, why=str(error))
                    return
                if not self._acknowledging:
                    self.look_again()
                return

    @property
    def _hedge_s(self) -> float:
        """How long an answer is late before the worker is asked again, beside."""
        settings = self._context.settings
        return settings.hedge_s if self._lease.has_reading else settings.first_hedge_s

    def _answer_is_late(self) -> None:
        if self._contact.failures:
            self._context.post(WorkerSilent(self._worker_id))

    def _answer_s(self) -> float:
        """Return how long the answer to the next survey is waited for.

        It doubles with each failure: where answers come late, from the worker or to
        an owner that has little processor time, a wait that stays the same gets
        none of them, and what they listed runs again elsewhere.
        """
        settings = self._context.settings
        doublings = min(self._contact.failures, _MOST_DOUBLINGS)
        return min(settings.answer_s * (1 << doublings), settings.longest_answer_s)

    def _wait_s(self) -> float:
        """Return how long the next survey waits at the worker for an end."""
        has_updates = self.listed > self.acknowledged or not self._lease.has_reading
        # An acknowledgement is not under way for longer than it has to be.
        if has_updates or self._contact.failures or self._to_acknowledge:
            return 0.0
        if self._orders.has_unresolved_stops:
            return _STOP_POLL_S
        settings = self._context.settings
        longest_s = settings.idle_wait_s if self._is_idle else settings.wait_s
        if self._contact.may_hide_ends:
            longest_s = _HIDDEN_END_POLL_S
        return min(longest_s, self._orders.settles_in_s())

    async def _pause(self, survey: Survey) -> None:
        """Wait until ends are kept: a survey before that lists them again at once."""
        if self.listed > self.acknowledged:
            settings = self._context.settings
            pause_s = max(settings.unacknowledged_s, settings.listed_again_s * len(survey.ended))
            with anyio.move_on_after(min(pause_s, self._hold_s / _SURVEYS_IN_A_LEASE)):
                await self.acknowledged_more.wait()

    def _take_in(self, survey: Survey, begun: Asked) -> None:
        ended = tuple(listed.end for listed in survey.ended if listed.number > self.listed)
        for end in ended:
            self._context.metrics.run_ends.labels(end.kind.value).inc()
        self._numbers = tuple(listed.number for listed in survey.ended)
        last_end = max(self._numbers, default=0)
        if self._numbers or (self.is_trusted_at_work and survey.running):
            self._contact.may_hide_ends = False
        self._is_idle = not survey.running
        self._orders.settle(survey, begun)
        self._context.post(WorkerSurveyed(self._worker_id, survey.running, ended, last_end, begun.at_s))
        self.listed = max(self.listed, last_end)

    async def _survey_failed(self, error: Exception) -> None:
        if isinstance(error, WorkerReplacedError):
            self._contact.over(error)
            return
        self._contact.failures += 1
        if self._contact.failures == 1:
            return
        if self._contact.failures == FAILURES_UNTIL_SILENT:
            log_event('worker_silent', worker=self._worker_id, why=str(error))
        # A missing entry and a closed port do not tell that a worker is gone: both
        # are seen of one behind a cut, which runs on until its lease ends.
        self._context.post(WorkerSilent(self._worker_id))
        if self._lease.has_reading or not isinstance(error, WorkerUnansweredError):
            await anyio.sleep(self._context.settings.retry_s)

    async def _survey_refused(self, status: OrderStatus) -> None:
        log_event('survey_refused', worker=self._worker_id, status=status)
        if status is OrderStatus.FENCED:
            self._context.fenced()
        self._contact.failures += 1
        if self._contact.is_silent:
            self._context.post(WorkerSilent(self._worker_id))
        await anyio.sleep(self._context.settings.retry_s)


# Doublings of a wait after which only its bound counts.
_MOST_DOUBLINGS = 8
# Surveys in the duration of a lease, however seldom: one or two may be lost.
_SURVEYS_IN_A_LEASE = 3
# How long a survey waits at a worker while a stop there is not over, in seconds: it is
# answered at once when that ends. Asked as often without waiting, workers told of the
# end 0.08 s later in the mean, and urgent work that waited for it began that late.
_STOP_POLL_S = 0.15
# The same where an end may come of which the worker does not tell, in seconds.
_HIDDEN_END_POLL_S = 0.4
