"""Runs of tasks on workers, as the scheduler knows them."""

import math
from enum import StrEnum

from ..workload import Resources, TaskKey
from .prediction import MEDIAN, next_change, RatioDistribution


class RunPhase(StrEnum):
    """Phase of a run, as far as known."""

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
        Worker that runs it.
    demand : Resources
        Resources that it holds.
    started_s : float
        When the start was ordered, on the steady clock.
    work_s : float
        Expected run time from start to end.

    Attributes
    ----------
    slowdown : float
        Factor by which the run is expected to take longer on its worker than on a sound one.
    began_from_checkpoint : bool
        Whether it resumed from a checkpoint.
    began_cold : bool
        Whether it started while its worker was warming up, so that its run time tells little about others.
    has_reported_pace : bool
        Whether its worker's pace was learned from it.
    report_span_s, report_gain : float
        Time between the last two progress reports that are far enough apart to measure a
        pace, and the progress made in that time, in percent.
    isolation_s : float
        How long it must run before other tasks may start on its worker, in seconds; 0
        unless its task is a suspect.
    is_confirmed : bool
        Whether its worker has acknowledged the start or listed the run. Until then the
        start may still be carried out, even if a list of runs omits it.
    was_unlisted : bool
        Whether its worker has sent a list of runs since the start was sent, without this one.
    is_inherited : bool
        Whether a previous owner assigned it and its worker has not listed it since. A list
        that omits it proves it is not running, since the worker refuses late orders of that owner.
    assigned_s : float
        When its start was decided, in seconds since 1970.
    ratios : RatioDistribution or None
        Distribution of its run time over `work_s`, as known when it was ordered; None if
        run times are predicted by the expected time alone.
    """

    __slots__ = (
        '_baseline_percent',
        '_baseline_s',
        '_median_end_s',
        '_median_since_s',
        '_median_valid_until_s',
        'assigned_s',
        'is_inherited',
        'isolation_s',
        'began_cold',
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
        'ratios',
        'report_gain',
        'report_span_s',
        'last_seen_s',
        'slowdown',
        'started_s',
        'was_unlisted',
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
        """Create a run whose start has been decided."""
        self.key = key
        self.number = number
        self.worker_id = worker_id
        self.demand = demand
        self.started_s = started_s
        self.work_s = work_s
        self.phase = RunPhase.STARTING
        self.checkpoint = ''
        self.began_from_checkpoint = False
        self.began_cold = False
        self.has_reported_pace = False
        self.is_confirmed = False
        self.was_unlisted = False
        self.is_inherited = False
        self.assigned_s = 0.0
        self.isolation_s = 0.0
        self.slowdown = 1.0
        self.percent = 0.0
        self.progressed_s = started_s
        self.last_seen_s = started_s
        self.report_span_s = 0.0
        self.report_gain = 0.0
        self._baseline_s: float | None = started_s
        self._baseline_percent = 0.0
        self._median_end_s = 0.0
        self._median_since_s = 0.0
        self._median_valid_until_s = _NEVER_S
        self.ratios: RatioDistribution | None = None
        self.rank = 0

    @property
    def ran_s(self) -> float:
        """How long the run is known to have lasted, in seconds."""
        return self.last_seen_s - self.started_s

    @property
    def is_isolated(self) -> bool:
        """Whether its task is a suspect and the run has not outlasted its isolation time yet."""
        return self.isolation_s > 0 and self.ran_s <= self.isolation_s

    @property
    def shows_run_time(self) -> bool:
        """Whether the time from its start to its end is the usual run time of its task."""
        return not (self.began_from_checkpoint or self.began_cold or self.is_inherited)

    def mark_sent(self, started_s: float) -> None:
        """Set the start time, on the steady clock, when the order is sent: it waited for the assignment to be saved."""
        self.started_s = started_s
        self.progressed_s = started_s
        self.last_seen_s = started_s
        self.was_unlisted = False
        self._median_valid_until_s = _NEVER_S
        if self._baseline_s is not None:
            self._baseline_s = started_s

    def discard_pace_baseline(self) -> None:
        """Discard the pace baseline: the run did not start from the beginning, or its start time is not exact."""
        self._baseline_s = None

    def record_progress(self, percent: float, now_s: float) -> None:
        """Record a progress report."""
        self._update_measured_pace(percent, now_s)
        self.last_seen_s = now_s
        self._median_valid_until_s = _NEVER_S
        if percent > self.percent:
            self.percent = percent
            self.progressed_s = now_s

    def _update_measured_pace(self, percent: float, now_s: float) -> None:
        """Measure the progress since an earlier report that is far enough apart."""
        if self._baseline_s is None:
            # Work restored from a checkpoint was not done in this run.
            self._baseline_s, self._baseline_percent = now_s, percent
            return
        if now_s - self._baseline_s < _MIN_MEASURED_SPAN_S:
            return
        self.report_span_s = now_s - self._baseline_s
        self.report_gain = max(0.0, percent - self._baseline_percent)
        self._baseline_s, self._baseline_percent = now_s, percent

    def may_have_ended(self, at_s: float) -> bool:
        """Return whether the run, last listed earlier, is expected to have ended by a time on the steady clock."""
        return at_s > self.last_seen_s and self.expected_left_s(at_s) <= _MIN_LEFT_S

    def predicted_s(self, probability: float) -> float:
        """Return the run time that it was expected, when it was ordered, not to exceed with a probability.

        The result is 0 if its run time is not the usual one of its task, or if no distribution is known.
        """
        if self.ratios is None or not self.shows_run_time:
            return 0.0
        return self.work_s * self.ratios.quantile(probability)

    def expected_left_s(self, now_s: float) -> float:
        """Return the remaining time by the expected run time or the measured pace, whatever the distribution."""
        return max(self._expected_end_s() - now_s, _MIN_LEFT_S)

    def left_s(self, now_s: float, probability: float = MEDIAN) -> float:
        """Return the remaining time that the run does not exceed with a probability, in seconds."""
        if self.ratios is None or self.work_s <= 0:
            return self.expected_left_s(now_s)
        if probability != MEDIAN:
            return max(self._end_quantile_s(now_s, self.ratios, probability) - now_s, _MIN_LEFT_S)
        # A pass asks for the median of each run on each worker; it changes with reports and when the age of the run
        # reaches another bin.
        if not self._median_since_s <= now_s < self._median_valid_until_s:
            self._median_since_s = now_s
            self._median_end_s = self._end_quantile_s(now_s, self.ratios, MEDIAN)
            ratio = (now_s - self.started_s) / self.work_s
            self._median_valid_until_s = self.started_s + self.work_s * next_change(ratio)
        return max(self._median_end_s - now_s, _MIN_LEFT_S)

    def _expected_end_s(self) -> float:
        """Return the time at which the run ends by its expected run time or by its measured pace."""
        if self.percent < _MIN_PACE_PERCENT:
            return self.started_s + self.work_s
        # The measured pace is a better predictor than the estimate made before the start.
        percent = min(self.percent, 100.0)
        pace_s = (self.last_seen_s - self.started_s) / percent
        return self.last_seen_s + pace_s * (100.0 - percent)

    def _end_quantile_s(self, now_s: float, ratios: RatioDistribution, probability: float) -> float:
        """Return the time by which the run ends with a probability, given its age and its progress."""
        reached = (now_s - self.started_s) / self.work_s
        if self.percent < _MIN_PACE_PERCENT:
            return self.started_s + self.work_s * ratios.conditional_quantile(reached, probability)
        # The less work is left, the less the rest of the run differs from the measured pace.
        uncertainty = max(0.0, 1.0 - self.percent / 100.0)
        factor = math.pow(ratios.quantile(probability) / ratios.quantile(MEDIAN), uncertainty)
        ratio = (self._expected_end_s() - self.started_s) / self.work_s * factor
        shortest = ratios.conditional_quantile(reached, _SHORTEST_PROBABILITY)
        longest = ratios.conditional_quantile(reached, _LONGEST_PROBABILITY)
        return self.started_s + self.work_s * min(max(ratio, shortest), longest)


# Before all times on the steady clock.
_NEVER_S = float('-inf')
# Range of run times, given its age, within which a run's reported progress may place its end: a worker's false
# percentages have no more effect than that.
_SHORTEST_PROBABILITY = 0.01
_LONGEST_PROBABILITY = 0.99
# Minimum time between two reports for measuring a pace, in seconds.
_MIN_MEASURED_SPAN_S = 0.35
# Below this progress, in percent, the measured pace is dominated by start-up time.
_MIN_PACE_PERCENT = 8.0
# Minimum remaining time, in seconds: a run past its expected end may end at any moment.
_MIN_LEFT_S = 0.1
