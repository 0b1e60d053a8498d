"""Evacuations of failure domains: nothing is started there until the operators end them.

Runs in an evacuated domain continue to their ends. Starts there that no worker has
acknowledged are withdrawn, because a retry would be a start after the request. A gang with
such a start is withdrawn as a whole, so that it never runs partially. The capacity of the
domain does not count until the evacuation ends.
"""

from collections.abc import Collection, Mapping

from .clock import Moment
from .events import DomainEmptied, DomainEvacuated, DomainReopened
from .runs import Run, RunPhase
from .state import Evacuation, SchedulerState
from .workers import WorkerState


class Evacuations:
    """The failure domains that operators are evacuating.

    Parameters
    ----------
    state : SchedulerState
        The scheduler's state.
    """

    def __init__(self, state: SchedulerState) -> None:
        """Wrap a scheduler state."""
        self._state = state

    @property
    def by_domain(self) -> Mapping[str, Evacuation]:
        """Evacuations by failure domain."""
        return self._state.evacuation_by_domain

    def replace(self, domains: Collection[str], now: Moment) -> None:
        """Replace the evacuated failure domains.

        Parameters
        ----------
        domains : collection of str
            All failure domains in which nothing may be started from now on.
        now : Moment
            Current time.
        """
        state = self._state
        for ended in state.evacuation_by_domain.keys() - set(domains):
            evacuation = state.evacuation_by_domain.pop(ended)
            state.notes.append(DomainReopened(ended, now.wall_s - evacuation.since_s))
        begun = sorted(set(domains) - state.evacuation_by_domain.keys())
        state.evacuation_by_domain.update({domain: Evacuation(now.wall_s) for domain in begun})
        for worker in state.worker_by_id.values():
            worker.is_evacuated = worker.profile.domain in state.evacuation_by_domain
        for each in begun:
            _begin(state, each)

    def report_emptied(self, now: Moment) -> None:
        """Report the evacuated domains in which the last run has ended since the last call."""
        state = self._state
        waiting = {domain for domain, evacuation in state.evacuation_by_domain.items() if not evacuation.is_empty}
        if not waiting:
            return
        busy = {worker.profile.domain for worker in state.worker_by_id.values() if worker.run_count}
        for emptied in sorted(waiting - busy):
            known = state.evacuation_by_domain[emptied]
            state.evacuation_by_domain[emptied] = known._replace(is_empty=True)
            state.notes.append(DomainEmptied(emptied, now.wall_s - known.since_s))


def _begin(state: SchedulerState, domain: str) -> None:
    workers = [worker for worker in state.worker_by_id.values() if worker.profile.domain == domain]
    unacknowledged = [run for worker in workers for run in worker.run_by_key.values() if _is_unacknowledged(run)]
    running = sum(worker.run_count for worker in workers) - len(unacknowledged)
    state.notes.append(DomainEvacuated(domain, len(workers), running, len(unacknowledged)))
    for withdrawn in unacknowledged:
        state.stop_with_gang(withdrawn, 'failure domain evacuated')
    _drop_reservations(state, workers)


def _is_unacknowledged(run: Run) -> bool:
    """Return whether this owner ordered a run that its worker has not acknowledged."""
    return run.phase is RunPhase.STARTING and not run.is_confirmed and not run.is_inherited


def _drop_reservations(state: SchedulerState, workers: Collection[WorkerState]) -> None:
    """Drop the reservations that name one of the workers; new ones are made elsewhere."""
    worker_ids = {worker.worker_id for worker in workers}
    state.reservations.drop(lambda reservation: not worker_ids.isdisjoint(reservation.count_by_worker))
