"""Runs of tasks, as the scheduler believes them to be."""

from enum import StrEnum

from ..workload import Resources, TaskKey


class RunPhase(StrEnum):
    """What is known of a run."""

    STARTING = 'starting'
    RUNNING = 'running'
    STOPPING = 'stopping'


class Run:
    """One run of one task on one worker; holds capacity until it ends.

    Parameters
    ----------
    key : TaskKey
        The task.
    number : int
        Number of the run.
    worker_id : str
        Where it runs.
    demand : Resources
        What it holds.
    started_s : float
        When the start was ordered, steady clock.
    work_s : float
        Expected run time from start to end.

    Attributes
    ----------
    slowdown : float
        Times as long as its work is expected to take where it runs.
    began_from_checkpoint : bool
        Whether it went on from saved work.
    has_reported_pace : bool
        Whether its worker's pace was learned from it.
    report_span_s, report_gain : float
        Time between the last two reports of progress that lie apart far enough
        to tell, and the percent done in it.
    isolation_s : float
        How long it must have run before others may start beside it; 0 unless
        workers crashed under its task.
    is_confirmed : bool
        Whether its worker acknowledged its start or listed it: before that the
        start may still be carried out, whatever a list of runs says.
    was_absent : bool
        Whether its worker has listed its runs since the start was sent, without it.
    is_inherited : bool
        Whether a previous owner assigned it, and its worker has not listed it since:
        a list that leaves it out rules it out, for orders of that owner are refused.
    assigned_s : float
        When its start was decided, seconds since 1970.
    """

    __slots__ = (
        '_baseline_percent',
        '_baseline_s',
        'assigned_s',
        'is_inherited',
        'isolation_s',
        'began_from_checkpoint',
        'checkpoint',
        'demand',
        'has_reported_pace',
        'is_confirmed',
        'key',
        'progressed_s',
        'number',
        'percent',
        'phase',
        'rank',
        'report_gain',
        'report_span_s',
        'seen_s',
        'slowdown',
        'started_s',
        'was_absent',
        'work_s',
        'worker_id',
    )

    def __init__(
        self,
        key: TaskKey,
        number: int,
        worker_id: str,
        demand: Resources,
        started_s: float,
        work_s: float,
    ) -> None:
        """Record a start that was ordered."""
        self.key = key
        self.number = number
        self.worker_id = worker_id
        self.demand = demand
        self.started_s = started_s
        self.work_s = work_s
        self.phase = RunPhase.STARTING
        self.checkpoint = ''
        self.began_from_checkpoint = False
        self.has_reported_pace = False
        self.is_confirmed = False
        self.was_absent = False
        self.is_inherited = False
        self.assigned_s = 0.0
        self.isolation_s = 0.0
        self.slowdown = 1.0
        self.percent = 0.0
        self.progressed_s = started_s
        self.seen_s = started_s
        self.report_span_s = 0.0
        self.report_gain = 0.0
        self._baseline_s: float | None = started_s
        self._baseline_percent = 0.0
        self.rank = 0

    @property
    def ran_s(self) -> float:
        """How long it was known to run, in seconds."""
        return self.seen_s - self.started_s

    @property
    def is_isolated(self) -> bool:
        """Whether workers crashed under its task, and it has not gone on for longer yet."""
        return self.isolation_s > 0 and self.ran_s <= self.isolation_s

    def mark_sent(self, started_s: float) -> None:
        """Note when its start is sent, steady clock: its assignment was kept meanwhile."""
        self.started_s = started_s
        self.progressed_s = started_s
        self.seen_s = started_s
        self.was_absent = False
        if self._baseline_s is not None:
            self._baseline_s = started_s

    def went_on(self) -> None:
        """Note that it did not begin at the beginning of its work, or not when it was noted."""
        self._baseline_s = None

    def saw_progress(self, percent: float, now_s: float) -> None:
        """Take in a report of progress."""
        self._update_measured_pace(percent, now_s)
        self.seen_s = now_s
        if percent > self.percent:
            self.percent = percent
            self.progressed_s = now_s

    def _update_measured_pace(self, percent: float, now_s: float) -> None:
        """Note what was done since an earlier report that lies far enough apart."""
        if self._baseline_s is None:
            # What a checkpoint held was not done in this run.
            self._baseline_s, self._baseline_percent = now_s, percent
            return
        if now_s - self._baseline_s < _MIN_MEASURED_SPAN_S:
            return
        self.report_span_s = now_s - self._baseline_s
        self.report_gain = max(0.0, percent - self._baseline_percent)
        self._baseline_s, self._baseline_percent = now_s, percent

    def may_have_ended(self, at_s: float) -> bool:
        """Tell whether it is expected to have ended since it was listed, at a time by the steady clock."""
        return at_s > self.seen_s and self.left_s(at_s) <= _MIN_LEFT_S

    def left_s(self, now_s: float) -> float:
        """Return the expected time to its end."""
        estimated_left_s = self.started_s + self.work_s - now_s
        if self.percent < _MIN_PACE_PERCENT:
            return max(estimated_left_s, _MIN_LEFT_S)
        # The pace so far predicts more than any estimate made before.
        pace_s = (self.seen_s - self.started_s) / self.percent
        left_s = pace_s * (100.0 - self.percent) - (now_s - self.seen_s)
        return max(left_s, _MIN_LEFT_S)


# Reports that lie closer together say little of a pace, in seconds.
_MIN_MEASURED_SPAN_S = 0.35
# Below this share the pace is mostly start-up time.
_MIN_PACE_PERCENT = 8.0
# A run that should have ended is expected at any moment.
_MIN_LEFT_S = 0.1
