"""The scheduler of one worker pool: placement and preemption decisions, without I/O or clock access."""

from .assignments import Assignment, StepAssignments
from .clock import Moment
from .effects import AskAdvice, Effect, StartRun, StopRun
from .events import EndKind
from .job_state import JobPhase, JobState
from .mechanisms import Mechanism
from .progress import JobProgress, StepProgress
from .scheduler import Scheduler
from .settings import SchedulerSettings
from .state import AssignmentsPart, part_of, parts_of
from .workers import Lease, WorkerProfile, WorkerState

__all__ = (
    'AskAdvice',
    'Assignment',
    'AssignmentsPart',
    'Effect',
    'EndKind',
    'JobPhase',
    'JobProgress',
    'JobState',
    'Lease',
    'Mechanism',
    'Moment',
    'Scheduler',
    'SchedulerSettings',
    'StartRun',
    'StepAssignments',
    'StepProgress',
    'StopRun',
    'WorkerProfile',
    'WorkerState',
    'part_of',
    'parts_of',
)
