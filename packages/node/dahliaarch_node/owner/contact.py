"""What is known of the contact with one incarnation of a worker."""

import math

import anyio

from dahliaarch_kernel.scheduler import Lease
from dahliaarch_kernel.workload import TaskKey
from dahliaarch_platform.sessions import WorkerSession
from dahliaarch_platform.workers import WorkerReplacedError

from ..logs import log_event
from .link_settings import LinkContext
from .messages import WorkerOver, WorkerReplaced

# Failed surveys in a row after which a worker counts as silent.
FAILURES_UNTIL_SILENT = 2


class Contact:
    """Shared by the surveys of a worker and the orders to it.

    Parameters
    ----------
    session : WorkerSession
        Calls of this incarnation.
    worker_id : str
        Identifier of this incarnation.
    lease : Lease
        Its lease, shared with the scheduler.
    context : LinkContext
        What every link uses.

    Attributes
    ----------
    clock_s : float
        Latest reading of its clock.
    failures : int
        Surveys in a row that failed.
    answer : Event
        Set when a survey is answered, and then replaced.
    is_draining : bool
        Whether the worker has said that it leaves.
    is_overfull : bool
        Whether it holds more than it says it has: its room has shrunk.
    may_hide_ends : bool
        Whether ends may never be listed; until one is, a run is stopped as soon as it has started.
    unanswered_starts : dict
        When the last try of a start was sent that got no answer, by task, whatever became of others.
    scope : CancelScope
        Ends all that is under way with this incarnation.
    """

    def __init__(self, session: WorkerSession, worker_id: str, lease: Lease, context: LinkContext) -> None:
        """Start without an answer."""
        self.session = session
        self.worker_id = worker_id
        self.lease = lease
        self.context = context
        self.clock_s = -math.inf
        self.failures = 0
        self.is_draining = False
        self.is_overfull = False
        self.may_hide_ends = False
        self.unanswered_starts: dict[TaskKey, float] = {}
        self.survey_answered = anyio.Event()
        self.cancel_scope = anyio.CancelScope()

    @property
    def is_silent(self) -> bool:
        """Whether surveys have failed often enough."""
        return self.failures >= FAILURES_UNTIL_SILENT

    def record_answer(self) -> None:
        """Note that a survey was answered."""
        if self.is_silent:
            log_event('worker_answers_again', worker=self.worker_id, failures=self.failures)
        self.failures = 0
        answer, self.survey_answered = self.survey_answered, anyio.Event()
        answer.set()

    def report_ended(self, error: WorkerReplacedError) -> None:
        """Tell that this incarnation of the worker has ended for certain, and who answered in its place."""
        if error.successor is None:
            self.context.post(WorkerOver(self.worker_id))
        else:
            self.context.post(WorkerReplaced(self.worker_id, error.successor))
        self.cancel_scope.cancel()

    def lease_end(self, hold_s: float) -> float | None:
        """Return the end, on the worker's clock, of a lease from now; nothing before its clock was read."""
        if not self.lease.has_reading:
            return None
        return self.lease.until(hold_s, self.context.clock())

    def record_clock(self, clock_s: float | None) -> None:
        """Take a reading of the worker's clock from an answer."""
        if clock_s is not None:
            self.clock_s = clock_s
            self.lease.read(clock_s, self.context.clock())
