"""Client side of one worker: periodic surveys, lease renewal and orders."""

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
from .messages import RunRuledOut, WorkerSilent, WorkerSurveyed
from .orders import SurveyStart, WorkerOrders


class WorkerLink:
    """Surveys one incarnation of a worker, renews its lease and sends it orders.

    Parameters
    ----------
    incarnation : WorkerIncarnation
        Incarnation of the worker to survey.
    address : Address
        Address at which the worker accepts orders.
    lease : Lease
        Lease of the worker, shared with the scheduler.
    context : LinkContext
        Client, settings and callbacks shared by all links.
    fence : int
        Fencing token sent with orders; greater than those of previous incarnations.
    """

    def __init__(
        self, incarnation: WorkerIncarnation, address: Address, lease: Lease, context: LinkContext, fence: int = 0
    ) -> None:
        """Initialize the link without contacting the worker."""
        self.incarnation = incarnation
        self.address = address
        self.last_acknowledged_end = 0
        self.last_listed_end = 0
        self.last_processed_end = 0
        # When the last unanswered acknowledgement was sent; the worker may still process it later.
        self.unanswered_acknowledgement_s = -math.inf
        # When the worker was inherited from the previous owner, which may have sent it an acknowledgement
        # that was never answered.
        self.inherited_s = -math.inf
        # Whether a survey that lists running tasks shows that the worker lists ends too: the previous owner
        # had probed it before it started anything there.
        self.is_probed_if_running = False
        # When the last survey was answered.
        self.last_contact_s = -math.inf
        # Numbers of the ends listed in the latest answer.
        self._listed_numbers: tuple[int, ...] = ()
        # Whether the latest answer left out ends.
        self._is_list_cut = False
        self._acknowledgement_event = anyio.Event()
        self._worker_id = incarnation.worker_id
        self._lease = lease
        self._context = context
        self._tasks: TaskGroup | None = None
        self._is_idle = False
        self._session = context.client.session(address, incarnation, fence)
        self._contact = Contact(self._session, incarnation.worker_id, lease, context)
        # Aborts the pending survey when completed: the worker may have restarted, or a hedge was answered.
        self._survey_abort: asyncio.Future[None] | None = None
        # Answer to a hedge of the pending survey.
        self._hedge_answer: Survey | OrderStatus | None = None
        self._hedge_scope = anyio.CancelScope()
        self._is_acknowledging = False
        self._orders = WorkerOrders(self._contact)

    @property
    def is_draining(self) -> bool:
        """Whether the worker has announced that it is shutting down."""
        return self._contact.is_draining

    @is_draining.setter
    def is_draining(self, is_draining: bool) -> None:
        self._contact.is_draining = is_draining

    @property
    def is_overcommitted(self) -> bool:
        """Whether the running tasks exceed the capacity that the worker reports."""
        return self._contact.is_overcommitted

    @is_overcommitted.setter
    def is_overcommitted(self, is_overcommitted: bool) -> None:
        self._contact.is_overcommitted = is_overcommitted

    @property
    def may_hide_ends(self) -> bool:
        """Whether the worker may fail to list future ends."""
        return self._contact.may_hide_ends

    @may_hide_ends.setter
    def may_hide_ends(self, may_hide_ends: bool) -> None:
        self._contact.may_hide_ends = may_hide_ends

    @property
    def unanswered_starts(self) -> dict[TaskKey, float]:
        """Time at which the last unanswered start request was sent, by task."""
        return self._contact.unanswered_starts

    async def run(self) -> None:
        """Survey the worker until the link is closed."""
        try:
            with self._contact.cancel_scope:
                async with anyio.create_task_group() as tasks:
                    self._tasks = tasks
                    while not self._contact.cancel_scope.cancel_called:
                        await self._survey_once()
        finally:
            self._session.close()

    def close(self) -> None:
        """Cancel the surveys and all pending orders."""
        self._contact.cancel_scope.cancel()

    def survey_now(self) -> None:
        """Abort the pending survey and start a new one, e.g. because the worker may have restarted."""
        if self._survey_abort is not None and not self._survey_abort.done():
            self._survey_abort.set_result(None)

    def acknowledge(self, number: int) -> None:
        """Acknowledge ends up to a number in the next survey: the store holds them."""
        if number > self.last_acknowledged_end:
            self.last_acknowledged_end = number
            acknowledgement_event, self._acknowledgement_event = self._acknowledgement_event, anyio.Event()
            acknowledgement_event.set()

    def start(self, effect: StartRun, payload: str) -> None:
        """Send a start order; once the incarnation has ended, report that the run will never start."""
        if self._tasks is None or self._contact.cancel_scope.cancel_called:
            self._context.post(RunRuledOut(self._worker_id, effect.key, effect.run))
            return
        self._is_idle = False
        self._tasks.start_soon(self._orders.start, effect, payload)

    def stop(self, effect: StopRun) -> None:
        """Send a stop order."""
        assert self._tasks is not None  # noqa: S101
        self._tasks.start_soon(self._orders.stop, effect.key, effect.run)

    async def _survey_once(self) -> None:
        context = self._context
        settings = context.settings
        survey_start = SurveyStart(context.clock(), self._contact.clock_s)
        wait_s = self._survey_wait_s()
        # The lease of a worker that does not answer is not renewed: it has to expire
        # before its runs can start elsewhere.
        may_renew = context.may_order() and not self._contact.failures
        lease_end_s = self._contact.lease_end(self._lease_duration_s) if may_renew else None
        try:
            survey = await self._survey_with_hedge(lease_end_s, wait_s)
        except WorkerUnreachableError as error:
            await self._handle_failed_survey(error)
            return
        except WORKER_FAILURES as error:
            self._lease.record_sent(lease_end_s or 0.0)
            await self._handle_failed_survey(error)
            return
        self._lease.record_sent(lease_end_s or 0.0)
        if isinstance(survey, OrderStatus):
            await self._handle_refused_survey(survey)
            return
        self._contact.record_answer()
        self.last_contact_s = context.clock()
        if not self._lease.has_reading:
            # Before this answer a previous owner may have granted the longest possible lease.
            self._lease.assume_granted(settings.max_lease_s, context.clock())
        self._contact.record_clock(survey.clock_s)
        self._process_survey(survey, survey_start)
        if lease_end_s is not None or not context.may_order():
            # The first survey and any after a failure renew no lease, so the next one
            # follows immediately to renew it.
            await self._await_acknowledgement(survey)

    @property
    def _last_acknowledgeable_end(self) -> int:
        """Number of the last end that the store holds and the worker still lists.

        Ends that the worker no longer lists are not acknowledged again: an unanswered
        acknowledgement may be processed late, by another incarnation.
        """
        return max((number for number in self._listed_numbers if number <= self.last_acknowledged_end), default=0)

    @property
    def _lease_duration_s(self) -> float:
        """Duration of the lease that a survey grants."""
        settings = self._context.settings
        return settings.draining_lease_s if self.is_draining else settings.lease_s

    async def _survey_with_hedge(self, lease_end_s: float | None, wait_s: float) -> Survey | OrderStatus:
        """Survey the worker, with a hedged request when the answer is late.

        The worker is reported silent when the answer is late after an earlier failure.
        """
        context = self._context
        late_s = wait_s + context.settings.answer_timeout_s
        loop = asyncio.get_running_loop()
        timers = [
            loop.call_later(late_s, self._report_late_answer),
            loop.call_later(
                wait_s + self._hedge_delay_s, self._start_hedge, self._answer_timeout_s() - self._hedge_delay_s
            ),
        ]
        self._survey_abort = loop.create_future()
        self._hedge_answer = None
        acknowledged = self._last_acknowledgeable_end
        # After an unanswered acknowledgement the worker's next incarnation has to be probed, so a survey
        # that acknowledges is not aborted when a hedge is answered.
        self._is_acknowledging = bool(acknowledged)
        earlier_s = self.unanswered_acknowledgement_s
        if acknowledged:
            # Set before sending: other calls may close this link before the answer arrives.
            self.unanswered_acknowledgement_s = context.clock()
        try:
            survey = await self._session.survey(
                acknowledged=acknowledged,
                lease_until_s=lease_end_s,
                wait_s=wait_s,
                timeout_s=wait_s + self._answer_timeout_s(),
                cancellation=self._survey_abort,
            )
        except WorkerReplacedError:
            self.unanswered_acknowledgement_s = earlier_s
            raise
        except (WorkerUnansweredError, WorkerUnreachableError) as error:
            if isinstance(error, WorkerUnreachableError):
                # The survey was never sent: the handshake that identifies the incarnation comes first.
                self.unanswered_acknowledgement_s = earlier_s
            if self._hedge_answer is None:
                raise
            return self._hedge_answer
        finally:
            for timer in timers:
                timer.cancel()
            self._hedge_scope.cancel()
        self.unanswered_acknowledgement_s = earlier_s
        return survey

    def _start_hedge(self, left_s: float) -> None:
        """Start a hedge of a survey whose answer is late and may have been lost."""
        if self._tasks is not None:
            self._hedge_scope = anyio.CancelScope()
            self._tasks.start_soon(self._run_hedge, self._hedge_scope, left_s)

    async def _run_hedge(self, cancel_scope: anyio.CancelScope, left_s: float) -> None:
        """Send surveys without lease or acknowledgement until one is answered or the time is used up."""
        answer_timeout_s = self._hedge_delay_s
        with cancel_scope:
            while left_s > 0:
                try:
                    self._hedge_answer = await self._session.survey(
                        acknowledged=0, lease_until_s=None, wait_s=0.0, timeout_s=min(answer_timeout_s, left_s)
                    )
                except (WorkerUnansweredError, WorkerHandshakeError):
                    left_s -= answer_timeout_s
                    answer_timeout_s += answer_timeout_s
                    continue
                except WORKER_FAILURES as error:
                    # The hedged survey either fails in the same way or is answered.
                    log_event('hedge_failed', worker=self._worker_id, why=str(error))
                    return
                if not self._is_acknowledging:
                    self.survey_now()
                return

    @property
    def _hedge_delay_s(self) -> float:
        """Delay after which a survey without an answer is hedged."""
        settings = self._context.settings
        return settings.hedge_delay_s if self._lease.has_reading else settings.first_hedge_delay_s

    def _report_late_answer(self) -> None:
        if self._contact.failures:
            self._context.post(WorkerSilent(self._worker_id))

    def _answer_timeout_s(self) -> float:
        """Return the answer timeout of the next survey.

        It doubles with each failure. With a constant timeout, a worker that is slow to
        answer, or an owner short of processor time, would miss every answer, and the
        tasks listed in them would be run again elsewhere.
        """
        settings = self._context.settings
        doublings = min(self._contact.failures, _MAX_DOUBLINGS)
        return min(settings.answer_timeout_s * (1 << doublings), settings.max_answer_timeout_s)

    def _survey_wait_s(self) -> float:
        """Return how long the worker may delay its answer to the next survey until a run ends."""
        has_updates = self.last_listed_end > self.last_acknowledged_end or not self._lease.has_reading
        # Acknowledgements are sent without a wait to keep the time in which they are unanswered short.
        if has_updates or self._contact.failures or self._last_acknowledgeable_end:
            return 0.0
        if self._contact.may_hide_ends:
            return _HIDDEN_END_POLL_S
        if self._orders.has_unresolved_stops:
            return _STOP_POLL_S
        settings = self._context.settings
        longest_s = settings.idle_survey_wait_s if self._is_idle else settings.survey_wait_s
        return min(longest_s, self._orders.max_survey_wait_s())

    async def _await_acknowledgement(self, survey: Survey) -> None:
        """Wait until the listed ends are stored: a survey before that would list them again immediately."""
        if self.last_listed_end > self.last_acknowledged_end:
            settings = self._context.settings
            pause_s = max(settings.acknowledgement_wait_s, settings.acknowledgement_wait_per_end_s * len(survey.ended))
            with anyio.move_on_after(min(pause_s, self._lease_duration_s / _SURVEYS_PER_LEASE)):
                await self._acknowledgement_event.wait()

    def _process_survey(self, survey: Survey, survey_start: SurveyStart) -> None:
        ended = tuple(listed.end for listed in survey.ended if listed.number > self.last_listed_end)
        for end in ended:
            self._context.metrics.run_ends.labels(end.kind.value).inc()
        self._listed_numbers = tuple(listed.number for listed in survey.ended)
        last_end = max(self._listed_numbers, default=0)
        if self._listed_numbers or (self.is_probed_if_running and survey.running):
            self._contact.may_hide_ends = False
        self._is_idle = not survey.running
        self._orders.reconcile(survey, survey_start)
        if survey.is_complete is self._is_list_cut:
            self._is_list_cut = not survey.is_complete
            log_event(
                'ends_cut' if self._is_list_cut else 'ends_complete', worker=self._worker_id, listed=len(survey.ended)
            )
        message = WorkerSurveyed(
            self._worker_id, survey.running, ended, last_end, survey_start.at_s, survey.is_complete
        )
        self._context.post(message)
        self.last_listed_end = max(self.last_listed_end, last_end)

    async def _handle_failed_survey(self, error: Exception) -> None:
        if isinstance(error, WorkerReplacedError):
            self._contact.report_ended(error)
            return
        self._contact.failures += 1
        if self._contact.failures == 1:
            return
        if self._contact.failures == FAILURES_UNTIL_SILENT:
            log_event('worker_silent', worker=self._worker_id, why=str(error))
        # A missing entry or a closed port does not prove that a worker is gone: both
        # also occur during a network partition, where it runs on until its lease ends.
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


# Maximum number of doublings of the answer timeout; by then max_answer_timeout_s applies.
_MAX_DOUBLINGS = 8
# Minimum number of surveys per lease duration, so that one or two may be lost.
_SURVEYS_PER_LEASE = 3
# Longest wait of a survey at a worker while a stop is unresolved, in seconds. The worker
# answers as soon as the run ends. Polling at the same interval without a wait reported
# the end 0.08 s later on average, and delayed the urgent work waiting for it by as much.
_STOP_POLL_S = 0.15
# Longest wait of a survey at a worker that may not report ends, in seconds. The end of a probe does not
# wake such a survey, and the next probe waits for its outcome.
_HIDDEN_END_POLL_S = 0.08
