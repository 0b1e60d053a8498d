"""Settings and context shared by all links to workers."""

from collections.abc import Callable
from typing import NamedTuple

import anyio

from dahliaarch_platform.sessions import WorkerClient

from ..metrics import Metrics
from ..own_settings import WorkerSettings
from .messages import OwnerMessage


class LinkSettings(NamedTuple):
    """Timeouts and intervals of a link to a worker, in seconds.

    Parameters
    ----------
    lease_s : float
        Duration of the lease granted by each survey: long enough that runs survive a
        takeover, and short because the tasks of a worker that falls silent start
        elsewhere only when it has ended.
    max_lease_s : float
        Maximum duration of a lease that workers allow. A previous owner, perhaps of
        another version, may have granted it.
    draining_lease_s : float
        Lease duration on a draining worker: short, so that its runs start
        elsewhere soon after it is gone.
    start_lease_s : float
        Lease duration carried by a start order: a worker that processes the
        order after its end refuses it as late.
    survey_wait_s : float
        How long a worker delays the answer to a survey until a run ends; also
        the maximum age of reported progress.
    idle_survey_wait_s : float
        The same for a worker on which nothing runs: the maximum that workers allow.
    answer_timeout_s : float
        Answer timeout in addition to that wait: long enough for a lost packet
        to be retransmitted.
    max_answer_timeout_s : float
        Upper bound of the answer timeout, which grows after failures. A worker that
        takes longer counts as silent, and its runs start elsewhere once its lease
        has ended.
    hedge_delay_s, first_hedge_delay_s : float
        Delay after which a late survey is hedged, and the same before the worker's
        first answer. It doubles with each hedge of a survey.
    start_timeout_s : float
        Answer timeout of the first attempt of a start: a worker answers within
        milliseconds, and the order can be repeated safely.
    max_start_attempts : int
        Maximum number of attempts of a start before it is revoked.
    max_slot_wait_s : float
        Maximum time that a start waits for a slot at a worker that leaves starts
        unanswered; a start that waits longer is dropped, as its task may start
        elsewhere.
    retry_s : float
        Pause after a failed survey.
    acknowledgement_wait_s : float
        Maximum wait for listed ends to be stored before the next survey, which
        lists them again.
    acknowledgement_wait_per_end_s : float
        The same per listed end, where that is longer: after a minute without the
        store, relisting thirty ends on each of 176 workers took 0.7 MB/s.
    """

    lease_s: float = 6.0
    max_lease_s: float = 6.0
    draining_lease_s: float = 2.0
    start_lease_s: float = 2.0
    survey_wait_s: float = 1.0
    idle_survey_wait_s: float = 2.0
    answer_timeout_s: float = 0.6
    max_answer_timeout_s: float = 2.4
    hedge_delay_s: float = 0.2
    first_hedge_delay_s: float = 0.1
    start_timeout_s: float = 0.3
    max_start_attempts: int = 3
    max_slot_wait_s: float = 0.4
    retry_s: float = 0.25
    acknowledgement_wait_s: float = 0.4
    acknowledgement_wait_per_end_s: float = 0.04


def link_settings(workers: WorkerSettings, max_lease_s: float) -> LinkSettings:
    """Return the settings for workers that allow leases of a maximum duration, in seconds."""
    return LinkSettings(lease_s=min(workers.lease_s, max_lease_s), max_lease_s=max_lease_s)


class StartLimits(NamedTuple):
    """Concurrency limits of start requests; urgent ones have their own, so that others never delay them."""

    urgent: anyio.Semaphore
    other: anyio.Semaphore

    def limit_for(self, *, is_urgent: bool) -> anyio.Semaphore:
        """Return the limit for urgent or for other starts."""
        return self.urgent if is_urgent else self.other


def _always() -> bool:
    return True


class LinkContext(NamedTuple):
    """Client, settings and callbacks shared by all links to workers.

    Parameters
    ----------
    client : WorkerClient
        Client for requests to workers.
    epoch : int
        Epoch of this owner.
    settings : LinkSettings
        Timeouts and intervals.
    metrics : Metrics
        Metrics of this instance.
    post : callable
        Passes a message to the scheduling task.
    on_fenced : callable
        Called when a worker refuses a request because it has seen a newer owner.
    clock : callable
        Steady clock.
    start_limits : StartLimits
        Limits of concurrent start requests over all links.
    may_order : callable
        Returns whether this instance is certain to own the pool now.
    """

    client: WorkerClient
    epoch: int
    settings: LinkSettings
    metrics: Metrics
    post: Callable[[OwnerMessage], None]
    on_fenced: Callable[[], None]
    clock: Callable[[], float]
    start_limits: StartLimits
    may_order: Callable[[], bool] = _always
