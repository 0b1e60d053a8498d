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
    WorkerReplacedError,
    WorkerUnansweredError,
    WorkerUngreetedError,
    WorkerUnreachableError,
)

from ..logs import log_event
from .contact import Contact, FAILURES_UNTIL_SILENT
from .link_settings import LinkContext
from .messages import RunNever, WorkerSilent, WorkerSurveyed
from .orders import SurveyStart, WorkerOrders


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
        self._listed_numbers: tuple[int, ...] = ()
        self._acknowledgement_event = anyio.Event()
        self._worker_id = incarnation.worker_id
        self._lease = lease
        self._context = context
        self._tasks: TaskGroup | None = None
        self._is_idle = False
        self._session = context.client.session(address, incarnation, fence)
        self._contact = Contact(self._session, incarnation.worker_id, lease, context)
        # Ends the survey that is under way, when there are updates of the worker.
        self._survey_abort: asyncio.Future[None] | None = None
        # An answer to a hedge of the survey that is under way.
        self._hedge_answer: Survey | OrderStatus | None = None
        self._hedge_scope = anyio.CancelScope()
        self._is_acknowledging = False
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
            with self._contact.cancel_scope:
                async with anyio.create_task_group() as tasks:
                    self._tasks = tasks
                    while not self._contact.cancel_scope.cancel_called:
                        await self._survey_once()
        finally:
            self._session.close()

    def close(self) -> None:
        """Stop surveying."""
        self._contact.cancel_scope.cancel()

    def look_again(self) -> None:
        """Survey at once: the worker may have started again."""
        if self._survey_abort is not None and not self._survey_abort.done():
            self._survey_abort.set_result(None)

    def acknowledge(self, number: int) -> None:
        """Let ends up to a number be acknowledged: they are kept."""
        if number > self.acknowledged:
            self.acknowledged = number
            acknowledgement_event, self._acknowledgement_event = self._acknowledgement_event, anyio.Event()
            acknowledgement_event.set()

    def start(self, effect: StartRun, payload: str) -> None:
        """Order a start; one that comes after the incarnation has ended never runs."""
        if self._tasks is None or self._contact.cancel_scope.cancel_called:
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
        survey_start = SurveyStart(context.clock(), self._contact.clock_s)
        wait_s = self._survey_wait_s()
        # A worker that does not answer is not given more time: its lease must end
        # at some point for its runs to start elsewhere.
        may_renew = context.may_order() and not self._contact.failures
        lease_end_s = self._contact.lease_end(self._lease_duration_s) if may_renew else None
        try:
            survey = await self._survey_with_hedge(lease_end_s, wait_s)
        except WorkerUnreachableError as error:
            await self._handle_failed_survey(error)
            return
        except WORKER_FAILURES as error:
            self._lease.sent(lease_end_s or 0.0)
            await self._handle_failed_survey(error)
            return
        self._lease.sent(lease_end_s or 0.0)
        if isinstance(survey, OrderStatus):
            await self._handle_refused_survey(survey)
            return
        self._contact.record_answer()
        self.last_contact_s = context.clock()
        if not self._lease.has_reading:
            # Until this answer a previous owner may have given the longest lease.
            self._lease.assume_held(settings.hold_s, context.clock())
        self._contact.record_clock(survey.clock_s)
        self._process_survey(survey, survey_start)
        if lease_end_s is not None or not context.may_order():
            # One that renewed no lease, the first and any after a failure, is followed
            # at once by one that does.
            await self._await_acknowledgement(survey)

    @property
    def _last_acknowledgeable(self) -> int:
        """Number of the last end that is kept and still listed.

        What was acknowledged already is not again: an acknowledgement that gets no
        answer may be carried out late, by another incarnation.
        """
        return max((number for number in self._listed_numbers if number <= self.acknowledged), default=0)

    @property
    def _lease_duration_s(self) -> float:
        """Lease that a survey gives."""
        settings = self._context.settings
        return settings.draining_lease_s if self.is_draining else settings.hold_s

    async def _survey_with_hedge(self, lease_end_s: float | None, wait_s: float) -> Survey | OrderStatus:
        """Ask what runs, and ask again beside that when the answer is late; tell of a second late one."""
        context = self._context
        late_s = wait_s + context.settings.answer_s
        loop = asyncio.get_running_loop()
        timers = [
            loop.call_later(late_s, self._report_late_answer),
            loop.call_later(
                wait_s + self._hedge_delay_s, self._start_hedge, self._answer_timeout_s() - self._hedge_delay_s
            ),
        ]
        self._survey_abort = loop.create_future()
        self._hedge_answer = None
        acknowledged = self._last_acknowledgeable
        # An acknowledgement that got no answer has the worker's next incarnation probed: its own is waited for.
        self._is_acknowledging = bool(acknowledged)
        earlier_s = self.unanswered_at_s
        if acknowledged:
            # Other calls may close this link before it is answered.
            self.unanswered_at_s = context.clock()
        try:
            survey = await self._session.survey(
                acknowledged=acknowledged,
                lease_until_s=lease_end_s,
                wait_s=wait_s,
                timeout_s=wait_s + self._answer_timeout_s(),
                given_up=self._survey_abort,
            )
        except WorkerReplacedError:
            self.unanswered_at_s = earlier_s
            raise
        except (WorkerUnansweredError, WorkerUnreachableError) as error:
            if isinstance(error, WorkerUnreachableError):
                # It was never sent: a worker is asked first which incarnation it is.
                self.unanswered_at_s = earlier_s
            if self._hedge_answer is None:
                raise
            return self._hedge_answer
        finally:
            for timer in timers:
                timer.cancel()
            self._hedge_scope.cancel()
        self.unanswered_at_s = earlier_s
        return survey

    def _start_hedge(self, left_s: float) -> None:
        """Ask again beside a survey whose answer is late: where answers are lost it never comes."""
        if self._tasks is not None:
            self._hedge_scope = anyio.CancelScope()
            self._tasks.start_soon(self._run_hedge, self._hedge_scope, left_s)

    async def _run_hedge(self, cancel_scope: anyio.CancelScope, left_s: float) -> None:
        """Ask what runs, and nothing else, until an answer comes in some time."""
        answer_s = self._hedge_delay_s
        with cancel_scope:
            while left_s > 0:
                try:
                    self._hedge_answer = await self._session.survey(
                        acknowledged=0, lease_until_s=None, wait_s=0.0, timeout_s=min(answer_s, left_s)
                    )
                except (WorkerUnansweredError, WorkerUngreetedError):
                    left_s -= answer_s
                    answer_s += answer_s
                    continue
                except WORKER_FAILURES as error:
                    # The survey itself fails likewise, or its answer comes.
                    log_event('hedge_failed', worker=self._worker_id, why=str(error))
                    return
                if not self._is_acknowledging:
                    self.look_again()
                return

    @property
    def _hedge_delay_s(self) -> float:
        """How long an answer is late before the worker is asked again, beside."""
        settings = self._context.settings
        return settings.hedge_delay_s if self._lease.has_reading else settings.first_hedge_delay_s

    def _report_late_answer(self) -> None:
        if self._contact.failures:
            self._context.post(WorkerSilent(self._worker_id))

    def _answer_timeout_s(self) -> float:
        """Return how long the answer to the next survey is waited for.

        It doubles with each failure: where answers come late, from the worker or to
        an owner that has little processor time, a wait that stays the same gets
        none of them, and what they listed runs again elsewhere.
        """
        settings = self._context.settings
        doublings = min(self._contact.failures, _MAX_DOUBLINGS)
        return min(settings.answer_s * (1 << doublings), settings.max_answer_s)

    def _survey_wait_s(self) -> float:
        """Return how long the next survey waits at the worker for an end."""
        has_updates = self.listed > self.acknowledged or not self._lease.has_reading
        # An acknowledgement is not under way for longer than it has to be.
        if has_updates or self._contact.failures or self._last_acknowledgeable:
            return 0.0
        if self._orders.has_unresolved_stops:
            return _STOP_POLL_S
        settings = self._context.settings
        longest_s = settings.idle_wait_s if self._is_idle else settings.wait_s
        if self._contact.may_hide_ends:
            longest_s = _HIDDEN_END_POLL_S
        return min(longest_s, self._orders.max_survey_wait_s())

    async def _await_acknowledgement(self, survey: Survey) -> None:
        """Wait until ends are kept: a survey before that lists them again at once."""
        if self.listed > self.acknowledged:
            settings = self._context.settings
            pause_s = max(
                settings.max_acknowledgement_wait_s, settings.acknowledgement_wait_per_end_s * len(survey.ended)
            )
            with anyio.move_on_after(min(pause_s, self._lease_duration_s / _SURVEYS_PER_LEASE)):
                await self._acknowledgement_event.wait()

    def _process_survey(self, survey: Survey, survey_start: SurveyStart) -> None:
        ended = tuple(listed.end for listed in survey.ended if listed.number > self.listed)
        for end in ended:
            self._context.metrics.run_ends.labels(end.kind.value).inc()
        self._listed_numbers = tuple(listed.number for listed in survey.ended)
        last_end = max(self._listed_numbers, default=0)
        if self._listed_numbers or (self.is_trusted_at_work and survey.running):
            self._contact.may_hide_ends = False
        self._is_idle = not survey.running
        self._orders.reconcile(survey, survey_start)
        self._context.post(WorkerSurveyed(self._worker_id, survey.running, ended, last_end, survey_start.at_s))
        self.listed = max(self.listed, last_end)

    async def _handle_failed_survey(self, error: Exception) -> None:
        if isinstance(error, WorkerReplacedError):
            self._contact.report_ended(error)
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

    async def _handle_refused_survey(self, status: OrderStatus) -> None:
        log_event('survey_refused', worker=self._worker_id, status=status)
        if status is OrderStatus.FENCED:
            self._context.on_fenced()
        self._contact.failures += 1
        if self._contact.is_silent:
            self._context.post(WorkerSilent(self._worker_id))
        await anyio.sleep(self._context.settings.retry_s)


# Doublings of a wait after which only its bound counts.
_MAX_DOUBLINGS = 8
# Surveys in the duration of a lease, however seldom: one or two may be lost.
_SURVEYS_PER_LEASE = 3
# How long a survey waits at a worker while a stop there is not over, in seconds: it is
# answered at once when that ends. Asked as often without waiting, workers told of the
# end 0.08 s later in the mean, and urgent work that waited for it began that late.
_STOP_POLL_S = 0.15
# The same where an end may come of which the worker does not tell, in seconds.
_HIDDEN_END_POLL_S = 0.4
