"""The owner's side of one worker: surveys, leases and orders."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

import anyio
from anyio.abc import TaskGroup

from dahliaarch_kernel.scheduler import EndKind, Lease, StartRun, StopRun
from dahliaarch_kernel.scheduler.ranks import RANK_URGENT
from dahliaarch_kernel.workload import TaskKey
from dahliaarch_platform.settings import Address
from dahliaarch_platform.workers import (
    OrderStatus,
    StartOrder,
    Survey,
    WORKER_FAILURES,
    WorkerClient,
    WorkerReplacedError,
    WorkerUnreachableError,
)

from ..logs import log_event
from ..metrics import Metrics
from .messages import OwnerMessage, RunNever, StartAcknowledged, WorkerOver, WorkerSilent, WorkerSurveyed


class LinkSettings(NamedTuple):
    """Times in seconds.

    Parameters
    ----------
    hold_s : float
        Lease given by each survey: the longest that workers allow, so that
        work outlasts a takeover and an outage.
    draining_hold_s : float
        Lease on a worker that leaves: once it is gone its runs start
        elsewhere soon.
    start_hold_s : float
        Lease that a start carries: a start that is carried out later than
        this is refused by the worker as late.
    wait_s : float
        How long a survey waits for an end; also how old progress may be.
    idle_wait_s : float
        The same where nothing runs: the longest that workers allow.
    answer_s : float
        Longest wait for an answer beside that: a lost packet is sent again
        within it.
    longest_answer_s : float
        The same after waits that were too short. A worker that answers later than
        this is heard no more, and its runs start elsewhere once its lease has ended.
    order_s : float
        Longest wait for the answer to the first try of a start: a worker
        answers in milliseconds, and the same start may be ordered again.
    order_tries : int
        Tries of a start before it is taken back.
    retry_s : float
        Pause after a survey that failed.
    unacknowledged_s : float
        Longest wait for ends to be kept before the next survey, which lists
        them again.
    listed_again_s : float
        The same for each of them, where that is longer: after a minute without
        the store thirty on each of 176 workers were 0.7 MB/s.
    """

    hold_s: float = 6.0
    draining_hold_s: float = 2.0
    start_hold_s: float = 2.0
    wait_s: float = 1.0
    idle_wait_s: float = 2.0
    answer_s: float = 0.6
    longest_answer_s: float = 2.4
    order_s: float = 0.3
    order_tries: int = 3
    retry_s: float = 0.25
    unacknowledged_s: float = 0.4
    listed_again_s: float = 0.04


class StartTurns(NamedTuple):
    """Starts that may be under way at one time.

    A worker that answers nothing holds a turn for all tries of a start, 1.5 s:
    urgent starts wait for none but their like.
    """

    urgent: anyio.Semaphore
    other: anyio.Semaphore


class LinkContext(NamedTuple):
    """What every link uses.

    Parameters
    ----------
    client : WorkerClient
        Calls of workers.
    fence : int
        Epoch of the owner.
    settings : LinkSettings
        Times.
    metrics : Metrics
        Counters.
    post : callable
        Hands a message to the task that decides.
    fenced : callable
        Called when a worker has seen a newer owner.
    clock : callable
        Steady clock.
    turns : StartTurns
        Bounds the starts under way on all links together.
    """

    client: WorkerClient
    fence: int
    settings: LinkSettings
    metrics: Metrics
    post: Callable[[OwnerMessage], None]
    fenced: Callable[[], None]
    clock: Callable[[], float]
    turns: StartTurns


class WorkerLink:
    """Keeps in touch with one life of a worker.

    Parameters
    ----------
    worker_id : str
        Identifier of this life.
    address : Address
        Where it takes orders.
    lease : Lease
        Its lease, shared with the scheduler.
    context : LinkContext
        What every link uses.
    """

    def __init__(self, worker_id: str, address: Address, lease: Lease, context: LinkContext) -> None:
        """Start without having asked anything."""
        self.address = address
        self.is_draining = False
        self.acknowledged = 0
        self.listed = 0
        self.processed = 0
        self.acknowledged_more = anyio.Event()
        self._worker_id = worker_id
        self._lease = lease
        self._context = context
        self._tasks: TaskGroup | None = None
        self._scope = anyio.CancelScope()
        self._failures = 0
        self._heard = anyio.Event()
        self._is_idle = False
        # Runs whose stop was acknowledged, by the time of that: once a later
        # survey does not list them they are certainly not there.
        self._stopped_at_by_run: dict[tuple[TaskKey, int], float] = {}
        self._stops_under_way: set[tuple[TaskKey, int]] = set()

    async def run(self) -> None:
        """Survey until closed."""
        with self._scope:
            async with anyio.create_task_group() as tasks:
                self._tasks = tasks
                while True:
                    await self._survey_once()

    def close(self) -> None:
        """Stop surveying."""
        self._scope.cancel()

    def acknowledge(self, number: int) -> None:
        """Let ends up to a number be acknowledged: they are kept."""
        if number > self.acknowledged:
            self.acknowledged = number
            more, self.acknowledged_more = self.acknowledged_more, anyio.Event()
            more.set()

    def start(self, effect: StartRun, payload: str) -> None:
        """Order a start."""
        assert self._tasks is not None  # noqa: S101
        self._is_idle = False
        self._tasks.start_soon(self._start, effect, payload)

    def stop(self, effect: StopRun) -> None:
        """Order a stop."""
        assert self._tasks is not None  # noqa: S101
        self._tasks.start_soon(self._stop, effect.key, effect.run)

    async def _survey_once(self) -> None:
        context = self._context
        settings = context.settings
        begun_s = context.clock()
        wait_s = self._wait_s()
        # A worker that does not answer is not given more time: its lease must end
        # at some point for its runs to start elsewhere.
        until_s = None if self._failures else self._lease_until(self._hold_s)
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
        self._failures = 0
        if not self._lease.has_reading:
            # Until this answer an earlier owner may have given the longest lease.
            self._lease.assume_held(settings.hold_s, context.clock())
        heard, self._heard = self._heard, anyio.Event()
        heard.set()
        self._lease.read(survey.clock_s, context.clock())
        self._take_in(survey, begun_s)
        if until_s is not None:
            # One that renewed no lease, the first and any after a failure, is followed
            # at once by one that does.
            await self._pause(survey)

    @property
    def _hold_s(self) -> float:
        """Lease that a survey gives."""
        settings = self._context.settings
        return settings.draining_hold_s if self.is_draining else settings.hold_s

    async def _ask(self, until_s: float | None, wait_s: float) -> Survey | OrderStatus:
        """Ask what runs; tell that the worker is silent as soon as a second answer is late."""
        context = self._context
        late_s = wait_s + context.settings.answer_s
        timer = asyncio.get_running_loop().call_later(late_s, self._answer_is_late)
        try:
            return await context.client.survey(
                self.address,
                self._worker_id,
                fence=context.fence,
                acknowledged=self.acknowledged,
                lease_until_s=until_s,
                wait_s=wait_s,
                timeout_s=wait_s + self._answer_s(),
            )
        finally:
            timer.cancel()

    def _answer_is_late(self) -> None:
        if self._failures:
            self._context.post(WorkerSilent(self._worker_id))

    def _answer_s(self) -> float:
        """Return how long the answer to the next survey is waited for.

        It doubles with each failure: where answers come late, from the worker or to
        an owner that has little processor time, a wait that stays the same hears
        none of them, and what they listed runs again elsewhere.
        """
        settings = self._context.settings
        doublings = min(self._failures, _MOST_DOUBLINGS)
        return min(settings.answer_s * (1 << doublings), settings.longest_answer_s)

    def _wait_s(self) -> float:
        """Return how long the next survey waits at the worker for an end."""
        has_news = self.listed > self.acknowledged or not self._lease.has_reading
        if has_news or self._failures or self._stopped_at_by_run:
            return 0.0
        settings = self._context.settings
        return settings.idle_wait_s if self._is_idle else settings.wait_s

    async def _pause(self, survey: Survey) -> None:
        """Wait until ends are kept: a survey before that lists them again at once."""
        if self.listed > self.acknowledged:
            settings = self._context.settings
            pause_s = max(settings.unacknowledged_s, settings.listed_again_s * len(survey.ended))
            with anyio.move_on_after(min(pause_s, self._hold_s / _SURVEYS_IN_A_LEASE)):
                await self.acknowledged_more.wait()
        elif self._stopped_at_by_run:
            await anyio.sleep(_STOP_POLL_S)

    def _take_in(self, survey: Survey, begun_s: float) -> None:
        ended = tuple(listed.end for listed in survey.ended if listed.number > self.listed)
        for end in ended:
            self._context.metrics.run_ends.labels(end.kind.value).inc()
        last_end = max((listed.number for listed in survey.ended), default=0)
        self._is_idle = not survey.running
        self._resolve_stopped(survey, begun_s)
        self._context.post(WorkerSurveyed(self._worker_id, survey.running, ended, last_end, begun_s))
        self.listed = max(self.listed, last_end)

    def _resolve_stopped(self, survey: Survey, begun_s: float) -> None:
        listed = {(run.key, run.run) for run in survey.running}
        over = {(each.end.key, each.end.run) for each in survey.ended}
        for stopped, at_s in tuple(self._stopped_at_by_run.items()):
            if at_s > begun_s:
                continue
            if stopped in listed:
                continue
            del self._stopped_at_by_run[stopped]
            if stopped not in over:
                self._context.post(RunNever(self._worker_id, *stopped, EndKind.STOPPED))

    async def _survey_failed(self, error: Exception) -> None:
        if isinstance(error, WorkerReplacedError):
            self._over()
            return
        self._failures += 1
        if self._failures == 1:
            return
        if self._failures == _FAILURES_THAT_TELL:
            log_event('worker_silent', worker=self._worker_id, why=str(error))
        # A missing entry and a closed port do not tell that a worker is gone: both
        # are seen of one behind a cut, which runs on until its lease ends.
        self._context.post(WorkerSilent(self._worker_id))
        await anyio.sleep(self._context.settings.retry_s)

    async def _survey_refused(self, status: OrderStatus) -> None:
        log_event('survey_refused', worker=self._worker_id, status=status)
        if status is OrderStatus.FENCED:
            self._context.fenced()
        self._failures += 1
        if self._failures >= _FAILURES_THAT_TELL:
            self._context.post(WorkerSilent(self._worker_id))
        await anyio.sleep(self._context.settings.retry_s)

    async def _start(self, effect: StartRun, payload: str) -> None:
        """Order a start until it is answered; take it back when it stays in doubt."""
        turns = self._context.turns
        async with turns.urgent if effect.rank <= RANK_URGENT else turns.other:
            if self._is_needless(effect):
                return
            is_doubtful = await self._try_starts(effect, payload)
        if is_doubtful:
            log_event('start_in_doubt', worker=self._worker_id, task=effect.key, run=effect.run)
            self._context.metrics.orders.labels('start', 'in_doubt').inc()
            await self._stop(effect.key, effect.run)

    async def _try_starts(self, effect: StartRun, payload: str) -> bool:
        """Order a start until it is answered; tell whether it stays in doubt."""
        settings = self._context.settings
        is_doubtful = False
        for number in range(settings.order_tries):
            status = await self._try_start(effect, payload, settings.answer_s if number else settings.order_s)
            if status is not None:
                self._start_answered(effect, status, is_doubtful=is_doubtful)
                return is_doubtful and status is not OrderStatus.DONE
            is_doubtful = True
        return True

    def _is_needless(self, effect: StartRun) -> bool:
        """Tell whether a start need not be sent any more since it waited for its turn: it never runs then."""
        is_silent = self._failures >= _FAILURES_THAT_TELL
        if not is_silent and (effect.key, effect.run) not in self._stops_under_way:
            return False
        kind = EndKind.REFUSED if is_silent else EndKind.STOPPED
        self._context.post(RunNever(self._worker_id, effect.key, effect.run, kind))
        return True

    async def _try_start(self, effect: StartRun, payload: str, timeout_s: float) -> OrderStatus | None:
        """Order a start once; return nothing when it is not known what became of it."""
        try:
            return await self._start_once(effect, payload, timeout_s)
        except WorkerReplacedError:
            self._over()
            return OrderStatus.UNHEALTHY
        except WorkerUnreachableError:
            return OrderStatus.UNHEALTHY
        except WORKER_FAILURES:
            return None

    def _start_answered(self, effect: StartRun, status: OrderStatus, *, is_doubtful: bool) -> None:
        context = self._context
        context.metrics.orders.labels('start', status.value).inc()
        if status is OrderStatus.DONE:
            context.post(StartAcknowledged(self._worker_id, effect.key, effect.run))
            return
        log_event('start_refused', worker=self._worker_id, task=effect.key, run=effect.run, status=status)
        if status is OrderStatus.FENCED:
            context.fenced()
        if not is_doubtful:
            context.post(RunNever(self._worker_id, effect.key, effect.run))

    async def _start_once(self, effect: StartRun, payload: str, timeout_s: float) -> OrderStatus:
        context = self._context
        until_s = self._lease_until(context.settings.start_hold_s) or 0.0
        self._lease.sent(until_s)
        order = StartOrder(effect.key, effect.run, payload, until_s, context.fence, effect.checkpoint, effect.ticket)
        reply = await context.client.start(
            self.address,
            self._worker_id,
            order,
            timeout_s=timeout_s,
        )
        self._read_clock(reply.clock_s)
        return reply.status

    async def _stop(self, key: TaskKey, run: int) -> None:
        """Order a stop until it is acknowledged; the run can't start there after."""
        if (key, run) in self._stops_under_way:
            return
        self._stops_under_way.add((key, run))
        try:
            while not await self._try_stop(key, run):
                heard = self._heard
                await anyio.sleep(self._context.settings.retry_s)
                if self._failures:
                    # Surveys tell when it answers again: hundreds of stops that are
                    # repeated meanwhile would fill a slow link for good.
                    await heard.wait()
        finally:
            self._stops_under_way.discard((key, run))

    async def _try_stop(self, key: TaskKey, run: int) -> bool:
        """Order a stop once; tell whether it was acknowledged or has no object any more."""
        context = self._context
        try:
            reply = await context.client.stop(
                self.address,
                self._worker_id,
                key,
                run,
                context.fence,
                timeout_s=context.settings.answer_s,
            )
        except WorkerReplacedError:
            self._over()
            return True
        except WORKER_FAILURES:
            return False
        context.metrics.orders.labels('stop', reply.status.value).inc()
        self._read_clock(reply.clock_s)
        if reply.status is OrderStatus.FENCED:
            context.fenced()
        if reply.status is OrderStatus.UNHEALTHY:
            return False
        self._stopped_at_by_run[key, run] = context.clock()
        return True

    def _over(self) -> None:
        """Tell that this life of the worker has ended for certain."""
        self._context.post(WorkerOver(self._worker_id))
        self.close()

    def _lease_until(self, hold_s: float) -> float | None:
        if not self._lease.has_reading:
            return None
        return self._lease.until(hold_s, self._context.clock())

    def _read_clock(self, clock_s: float | None) -> None:
        if clock_s is not None:
            self._lease.read(clock_s, self._context.clock())


# Doublings of a wait after which only its bound counts.
_MOST_DOUBLINGS = 8
# Failed surveys in a row after which a worker counts as silent.
_FAILURES_THAT_TELL = 2
# Surveys in the life of a lease, however seldom: one or two may be lost.
_SURVEYS_IN_A_LEASE = 3
# How often a worker is asked while a stop there is not over, in seconds.
_STOP_POLL_S = 0.15
