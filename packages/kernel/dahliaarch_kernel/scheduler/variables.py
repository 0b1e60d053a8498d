"""Variables that the scheduler passes to policy programs."""

from ..policies import CandidateVariables, JobVariables, VictimVariables
from ..workload import Resources, weighted_cores
from .job_state import StepState
from .objectives import slack_s
from .paces.learning import SLOW_FACTOR
from .prediction import RunTimes
from .runs import Run
from .standing import SortKey
from .workers import WorkerState

# Workers that are slower than expected by more than this factor are used last.
_SUSPECT_SLOWNESS = 2.0


def is_suspect(worker: WorkerState) -> bool:
    """Return whether tasks recently failed or were much slower than expected on a worker."""
    return bool(worker.failed_jobs) or worker.slowness > _SUSPECT_SLOWNESS


def is_slow(worker: WorkerState) -> bool:
    """Return whether tasks take longer on a worker than on healthy ones."""
    return worker.slowdown > SLOW_FACTOR * worker.slowdown_margin


def job_variables(step: StepState, standing: SortKey, times: RunTimes, wall_s: float) -> JobVariables:
    """Return the variables of a step for a priority program."""
    pending_count = len(step.pending)
    return JobVariables(
        urgent=step.job.queue.priority == 0,
        guaranteed=standing.rank == 0,
        waited_s=max(0.0, wall_s - standing.begun_s),
        expected_s=times.expect_s(step.job.queue.name, step.spec),
        slack_s=slack_s(step, times, wall_s),
        slots=float(pending_count * step.spec.demand.accelerators),
        members=float(pending_count),
        gang=step.spec.gang,
    )


def candidate_variables(worker: WorkerState, step: StepState, free: Resources) -> CandidateVariables:
    """Return the variables of a worker for placement programs."""
    capacity = worker.profile.capacity
    return CandidateVariables(
        free=float(free.accelerators),
        slots=float(capacity.accelerators),
        block=float(step.spec.demand.accelerators),
        memory_free=free.memory_mb / max(capacity.memory_mb, 1),
        suspect=is_suspect(worker),
    )


def victim_variables(run: Run, step: StepState, members: int, now_s: float) -> VictimVariables:
    """Return the variables of a run for a reclaim program."""
    return VictimVariables(
        ran_s=max(0.0, now_s - run.started_s),
        left_s=run.left_s(now_s),
        slots=weighted_cores(run.demand),
        checkpointable=step.spec.checkpoints,
        members=float(members),
    )
