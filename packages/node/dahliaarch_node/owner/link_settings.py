"""What all links to workers share: times, turns and whom they tell."""

from collections.abc import Callable
from typing import NamedTuple

import anyio

from dahliaarch_platform.sessions import WorkerClient

from ..metrics import Metrics
from .messages import OwnerMessage


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
        this counts as silent, and its runs start elsewhere once its lease has ended.
    hedge_s, first_hedge_s : float
        After how long a survey whose answer is late is asked again, beside it, and
        the same before the worker's first answer; twice as long after each time.
    order_s : float
        Longest wait for the answer to the first try of a start: a worker
        answers in milliseconds, and the same start may be ordered again.
    order_tries : int
        Tries of a start before it is taken back.
    turn_wait_s : float
        Longest wait of a start for its turn at a worker that leaves starts
        unanswered: its task may start elsewhere meanwhile.
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
    draining_lease_s: float = 2.0
    start_lease_s: float = 2.0
    wait_s: float = 1.0
    idle_wait_s: float = 2.0
    answer_s: float = 0.6
    max_answer_s: float = 2.4
    hedge_delay_s: float = 0.2
    first_hedge_delay_s: float = 0.1
    start_timeout_s: float = 0.3
    max_start_tries: int = 3
    max_turn_wait_s: float = 0.4
    retry_s: float = 0.25
    max_acknowledgement_wait_s: float = 0.4
    acknowledgement_wait_per_end_s: float = 0.04


class StartTurns(NamedTuple):
    """Tries of starts that may be under way at one time: urgent ones wait for none but their like."""

    urgent: anyio.Semaphore
    other: anyio.Semaphore

    def limit_for(self, *, is_urgent: bool) -> anyio.Semaphore:
        """Return what bounds tries of a rank."""
        return self.urgent if is_urgent else self.other


def _always() -> bool:
    return True


class LinkContext(NamedTuple):
    """What every link uses.

    Parameters
    ----------
    client : WorkerClient
        Calls of workers.
    epoch : int
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
    may_order : callable
        Tells whether this instance surely owns the pool now.
    """

    client: WorkerClient
    epoch: int
    settings: LinkSettings
    metrics: Metrics
    post: Callable[[OwnerMessage], None]
    on_fenced: Callable[[], None]
    clock: Callable[[], float]
    turns: StartTurns
    may_order: Callable[[], bool] = _always
