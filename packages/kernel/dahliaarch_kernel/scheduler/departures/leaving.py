"""Drains workers that are about to leave, and gives up silent workers whose leases have ended."""

from ..clock import Moment
from ..crashes import retain_silent_loss
from ..events import EndKind, LossCause
from ..prediction.observations import observe_end
from ..runs import RunPhase
from ..state import SchedulerState
from ..successors import note_given_up
from ..workers import WorkerState

# Margin between the last possible stop and a worker's departure, in seconds.
_LEAVE_MARGIN_S = 0.3


def expire_leases(state: SchedulerState, now: Moment) -> None:
    """Give up silent workers whose leases have ended, and remove their runs."""
    for worker in tuple(state.worker_by_id.values()):
        if worker.is_silent and now.steady_s > worker.lease.latest_end_s():
            _give_up(state, worker, now)


def drain_leaving_workers(state: SchedulerState, now: Moment) -> None:
    """Stop runs that are not expected to end before their workers leave, so that they restart elsewhere."""
    for worker in state.worker_by_id.values():
        if worker.profile.draining and not worker.is_silent:
            _drain(state, worker, now)


def _give_up(state: SchedulerState, worker: WorkerState, now: Moment) -> None:
    state.record_losses(worker, LossCause.LEASE_ENDED)
    retain_silent_loss(state, worker, now)
    note_given_up(state, worker)
    for run in tuple(worker.run_by_key.values()):
        step = state.step_of(run.key)
        if step is not None:
            observe_end(state.times, step, run, EndKind.LAPSED, now.steady_s)
        state.remove_run(run)
    worker.is_lapsed = worker.is_lapsed or _is_known_idle(state, worker, now)
    if not worker.is_listed:
        del state.worker_by_id[worker.worker_id]


def _is_known_idle(state: SchedulerState, worker: WorkerState, now: Moment) -> bool:
    """Return whether a worker that was given up runs nothing, and no delayed start can run on its next incarnation."""
    # A worker without a known lease was never contacted: no lease of it has ended.
    if not worker.lease.latest_end_s() or worker.worker_id in state.awaited_incarnations:
        return False
    return not any(sent_s + worker.late_order_s > now.steady_s for sent_s in worker.unanswered_starts.values())


def _drain(state: SchedulerState, worker: WorkerState, now: Moment) -> None:
    leaves_at_s = worker.leaves_at_s
    if leaves_at_s is None or now.steady_s > leaves_at_s - state.settings.stop_timeout_s - _LEAVE_MARGIN_S:
        return
    for run in tuple(worker.run_by_key.values()):
        ends_s = now.steady_s + run.left_s(now.steady_s)
        if run.phase is RunPhase.RUNNING and ends_s > leaves_at_s:
            state.stop_with_gang(run, 'worker leaves')
