"""Steps whose workers an outside policy must consent to.

The policy is slow and takes one call at a time, so it is asked as soon as a step
may start, while it waits for room. Its consent does not change, but the tickets
that prove it expire: when there is room and no valid ticket, it is asked again,
for those that it consented to alone.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from .workers import WorkerState

# Most workers that the policy is asked about at one time.
MAX_WORKERS_PER_REQUEST = 100
# A ticket must hold for so long when it is used, in seconds: the start may need
# a second try.
_MIN_TICKET_VALIDITY_S = 0.5
# Pause after a call that failed, in seconds.
_RETRY_DELAY_S = 0.5


class Ticket(NamedTuple):
    """The policy's consent to one worker.

    Parameters
    ----------
    text : str
        What the worker wants to see.
    until_s : float
        When it expires, steady clock.
    """

    text: str
    until_s: float


class Advice:
    """What the policy has said about one step."""

    def __init__(self) -> None:
        """Start without having asked."""
        self._ticket_by_worker: dict[str, Ticket] = {}
        self._refused: set[str] = set()
        self._is_request_pending = False
        self._retry_at_s = float('-inf')

    def consents(self, worker_id: str) -> bool:
        """Tell whether the policy has consented to a worker, its ticket valid or not."""
        return worker_id in self._ticket_by_worker

    def ticket(self, worker_id: str, now_s: float) -> str:
        """Return a ticket that is still valid for a while; empty when there is none."""
        known = self._ticket_by_worker.get(worker_id)
        if known is None or known.until_s - now_s < _MIN_TICKET_VALIDITY_S:
            return ''
        return known.text

    def to_ask(self, workers: Iterable[WorkerState], now_s: float) -> tuple[str, ...]:
        """Return the workers to ask the policy about now, and note that it is asked.

        Parameters
        ----------
        workers : iterable of WorkerState
            Workers that could run the step, the likeliest first.
        now_s : float
            The present, steady clock.
        """
        if self._is_request_pending or now_s < self._retry_at_s:
            return ()
        worker_ids = [
            worker.worker_id
            for worker in workers
            if worker.worker_id not in self._refused and not self.ticket(worker.worker_id, now_s)
        ]
        self._is_request_pending = bool(worker_ids)
        return tuple(worker_ids[:MAX_WORKERS_PER_REQUEST])

    def take_in(self, asked: Iterable[str], tickets: Mapping[str, str], until_s: float) -> None:
        """Take in an answer."""
        self._is_request_pending = False
        self._refused.update(worker_id for worker_id in asked if worker_id not in tickets)
        for worker_id, text in tickets.items():
            self._ticket_by_worker[worker_id] = Ticket(text, until_s)

    def failed(self, now_s: float) -> None:
        """Note that there was no answer."""
        self._is_request_pending = False
        self._retry_at_s = now_s + _RETRY_DELAY_S

    def invalidate_ticket(self, worker_id: str) -> None:
        """Note that a worker did not take a ticket."""
        known = self._ticket_by_worker.get(worker_id)
        if known is not None:
            self._ticket_by_worker[worker_id] = known._replace(until_s=float('-inf'))
