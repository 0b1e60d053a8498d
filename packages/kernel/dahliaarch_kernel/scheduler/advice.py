"""Consent of an external policy to run a step on particular workers.

The policy is slow and handles one call at a time, so it is queried as soon as a
step may start, while the step still waits for capacity. Its consent does not
change, but the tickets that prove it expire: when there is capacity and no valid
ticket, the policy is queried again about workers that it already consented to.
Workers that it was never queried about, because they joined later or did not fit
into a query, are included in every query until it has answered about them.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from .workers import WorkerState

# Maximum number of workers in one query to the policy.
MAX_WORKERS_PER_REQUEST = 100
# Minimum remaining validity of a ticket when it is used, in seconds: the start order
# may need a retry.
_MIN_TICKET_VALIDITY_S = 0.5
# Delay after a failed query before the next one, in seconds.
_RETRY_DELAY_S = 0.5


class Ticket(NamedTuple):
    """Proof of the policy's consent to one worker.

    Parameters
    ----------
    text : str
        Opaque ticket that the worker verifies.
    until_s : float
        Expiry time on the steady clock.
    """

    text: str
    until_s: float


class Advice:
    """The policy's answers about one step."""

    def __init__(self) -> None:
        """Start without any answers."""
        self._ticket_by_worker: dict[str, Ticket] = {}
        self._refused_worker_ids: set[str] = set()
        self._is_request_pending = False
        self._retry_at_s = float('-inf')

    def consents(self, worker_id: str) -> bool:
        """Return whether the policy has consented to a worker, even if the ticket has expired."""
        return worker_id in self._ticket_by_worker

    def has_answer_about(self, worker_id: str) -> bool:
        """Return whether the policy has consented to a worker or refused it."""
        return self.consents(worker_id) or worker_id in self._refused_worker_ids

    def ticket(self, worker_id: str, now_s: float) -> str:
        """Return a ticket that stays valid long enough to be used, or an empty string."""
        known = self._ticket_by_worker.get(worker_id)
        if known is None or known.until_s - now_s < _MIN_TICKET_VALIDITY_S:
            return ''
        return known.text

    def workers_to_query(self, workers: Iterable[WorkerState], now_s: float) -> tuple[str, ...]:
        """Return the workers to query the policy about now, and mark the query as pending.

        Parameters
        ----------
        workers : iterable of WorkerState
            Workers that could run the step, the most likely first.
        now_s : float
            Current time on the steady clock.
        """
        if self._is_request_pending or now_s < self._retry_at_s:
            return ()
        worker_ids = [
            worker.worker_id
            for worker in workers
            if worker.worker_id not in self._refused_worker_ids and not self.ticket(worker.worker_id, now_s)
        ]
        self._is_request_pending = bool(worker_ids)
        return tuple(worker_ids[:MAX_WORKERS_PER_REQUEST])

    def record_answer(self, asked: Iterable[str], tickets: Mapping[str, str], until_s: float) -> None:
        """Record an answer; workers without a ticket in it are refused."""
        self._is_request_pending = False
        self._refused_worker_ids.update(worker_id for worker_id in asked if worker_id not in tickets)
        for worker_id, text in tickets.items():
            self._ticket_by_worker[worker_id] = Ticket(text, until_s)

    def record_failure(self, now_s: float) -> None:
        """Record that a query failed, and delay the next one."""
        self._is_request_pending = False
        self._retry_at_s = now_s + _RETRY_DELAY_S

    def invalidate_ticket(self, worker_id: str) -> None:
        """Mark the ticket of a worker that rejected it as expired."""
        known = self._ticket_by_worker.get(worker_id)
        if known is not None:
            self._ticket_by_worker[worker_id] = known._replace(until_s=float('-inf'))
