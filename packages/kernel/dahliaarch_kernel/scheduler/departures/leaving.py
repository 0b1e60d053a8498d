"""Drains workers that are about to leave, and gives up silent workers whose leases have ended."""

from collections.abc import Iterable

from ..clock import Moment
from ..crashes import retain_silent_loss
from ..events import EndKind, LossCause
from ..mechanisms import Mechanism
from ..prediction.observations import observe_end
from ..state import SchedulerState
from ..successors import note_given_up
from ..workers import WorkerState
from .assessing import Departure, departures, may_stop, Timing, timing
from .gangs import note_lost_member
from .stopping import stop_departing


def expire_leases(state: SchedulerState, now: Moment) -> None:
    """Give up silent workers whose leases have ended, and remove their runs."""
    for worker in tuple(state.worker_by_id.values()):
        if worker.is_silent and now.steady_s > worker.lease.latest_end_s():
            _give_up(state, worker, now)


def drain_leaving_workers(state: SchedulerState, now: Moment) -> None:
    """Stop runs that are not expected to end before their workers leave, so that they restart elsewhere.

    Those that wait for capacity elsewhere are left to the scheduling pass until the last moment.
    """
    for worker in state.worker_by_id.values():
        if worker.profile.draining:
            _drain(state, departures(state, worker, now), now)


def _give_up(state: SchedulerState, worker: WorkerState, now: Moment) -> None:
    state.record_losses(worker, LossCause.LEASE_ENDED)
    retain_silent_loss(state, worker, now)
    note_given_up(state, worker)
    for run in tuple(worker.run_by_key.values()):
        note_lost_member(state, run)
        step = state.step_of(run.key)
        if step is not None:
            observe_end(state.times, step, run, EndKind.LAPSED, now.steady_s)
        state.remove_run(run)
    worker.replace_unassigned_runs(())
    worker.is_lapsed = worker.is_lapsed or _is_known_idle(state, worker, now)
    if not worker.is_listed:
        del state.worker_by_id[worker.worker_id]


def _is_known_idle(state: SchedulerState, worker: WorkerState, now: Moment) -> bool:
    """Return whether a worker that was given up runs nothing, and no delayed start can run on its next incarnation."""
    # A worker without a known lease was never contacted: no lease of it has ended.
    if not worker.lease.latest_end_s() or worker.worker_id in state.awaited_incarnations:
        return False
    return not any(sent_s + worker.late_order_s > now.steady_s for sent_s in worker.unanswered_starts.values())


def _drain(state: SchedulerState, leaving: Iterable[Departure], now: Moment) -> None:
    for departure in leaving:
        if not state.settings.has(Mechanism.EARLY_MOVES):
            state.stop_with_gang(departure.run, 'worker leaves')
            continue
        due = _due_timing(departure, now)
        if due is not None and may_stop(departure.step):
            stop_departing(state, departure, due, now)


def _due_timing(departure: Departure, now: Moment) -> Timing | None:
    """Return why a run has to be stopped now, or None if it may wait."""
    when = timing(departure)
    if when is Timing.AT_ONCE:
        return when
    return Timing.LAST_MOMENT if departure.is_last_moment(now.steady_s) else None
