"""Connection state of one incarnation of a worker."""

import math

import anyio

from dahliaarch_kernel.scheduler import Lease
from dahliaarch_kernel.workload import TaskKey
from dahliaarch_platform.sessions import WorkerSession
from dahliaarch_platform.workers import WorkerReplacedError

from ..logs import log_event
from .link_settings import LinkContext
from .messages import WorkerOver, WorkerReplaced

# Number of consecutive failed surveys after which a worker counts as silent.
FAILURES_UNTIL_SILENT = 2


class Contact:
    """Connection state shared by the surveys of a worker and the orders to it.

    Parameters
    ----------
    session : WorkerSession
        Session with this incarnation.
    worker_id : str
        Identifier of this incarnation.
    lease : Lease
        Lease of the worker, shared with the scheduler.
    context : LinkContext
        Client, settings and callbacks shared by all links.

    Attributes
    ----------
    clock_s : float
        Latest reading of the worker's clock.
    failures : int
        Number of consecutive failed surveys.
    survey_answered : Event
        Set and replaced by a new event each time a survey is answered.
    is_draining : bool
        Whether the worker has announced that it is shutting down.
    is_overcommitted : bool
        Whether running tasks exceed the capacity that the worker reports, because it has shrunk.
    may_hide_ends : bool
        Whether the worker may fail to list ends. Until it lists one, each run is stopped right after its start.
    unanswered_starts : dict
        Time at which the last unanswered start request was sent, by task, regardless of the outcome of other attempts.
    cancel_scope : CancelScope
        Cancels all surveys and orders of this incarnation.
    """

    def __init__(self, session: WorkerSession, worker_id: str, lease: Lease, context: LinkContext) -> None:
        """Initialize the state of a worker that has not answered yet."""
        self.session = session
        self.worker_id = worker_id
        self.lease = lease
        self.context = context
        self.clock_s = -math.inf
        self.failures = 0
        self.is_draining = False
        self.is_overcommitted = False
        self.may_hide_ends = False
        self.unanswered_starts: dict[TaskKey, float] = {}
        self.survey_answered = anyio.Event()
        self.cancel_scope = anyio.CancelScope()

    @property
    def is_silent(self) -> bool:
        """Whether enough consecutive surveys have failed for the worker to count as silent."""
        return self.failures >= FAILURES_UNTIL_SILENT

    def record_answer(self) -> None:
        """Reset the count of failures and wake the tasks that wait for an answered survey."""
        if self.is_silent:
            log_event('worker_answers_again', worker=self.worker_id, failures=self.failures)
        self.failures = 0
        answer, self.survey_answered = self.survey_answered, anyio.Event()
        answer.set()

    def report_ended(self, error: WorkerReplacedError) -> None:
        """Report that this incarnation has certainly ended, with its successor if known, and cancel its tasks."""
        if error.successor is None:
            self.context.post(WorkerOver(self.worker_id))
        else:
            self.context.post(WorkerReplaced(self.worker_id, error.successor))
        self.cancel_scope.cancel()

    def lease_end(self, lease_s: float) -> float | None:
        """Return the end of a lease that begins now, on the worker's clock; None before the first reading of it."""
        if not self.lease.has_reading:
            return None
        return self.lease.end_of(lease_s, self.context.clock())

    def record_clock(self, clock_s: float | None) -> None:
        """Record a reading of the worker's clock from an answer, if it has one."""
        if clock_s is not None:
            self.clock_s = clock_s
            self.lease.record_clock(clock_s, self.context.clock())
