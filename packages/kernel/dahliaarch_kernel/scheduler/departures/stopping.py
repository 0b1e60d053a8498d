"""Orders the stops of runs on leaving workers, and notes what they lose and spare."""

from ...workload import weighted_cores
from ..clock import Moment
from ..events import RunsMoved
from ..state import SchedulerState
from .assessing import Departure, Timing


def stop_departing(state: SchedulerState, departure: Departure, timing: Timing, now: Moment) -> None:
    """Stop a run on a leaving worker with its gang."""
    step = departure.step
    saved = 'progress saved' if step.spec.checkpoints else 'nothing saved'
    members = departure.members
    cores = sum(weighted_cores(run.demand) for run in members)
    done = sum(weighted_cores(run.demand) * max(0.0, now.steady_s - run.started_s) for run in members)
    # Work that is not saved is lost whenever the stop comes: an earlier one spares the rest of it.
    spared_s = 0.0 if step.spec.checkpoints else max(0.0, departure.last_stop_s - now.steady_s)
    state.notes.append(
        RunsMoved(
            departure.run.worker_id,
            step.step_key,
            saved,
            timing.value,
            len(members),
            0.0 if step.spec.checkpoints else done,
            cores * spared_s,
        )
    )
    state.stop_with_gang(departure.run, f'worker leaves: {saved}, {timing}')
