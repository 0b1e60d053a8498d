"""Attribution of all lost worth of a simulated day to causes.

Each job that earned less than its worth in time was delayed: on the way to its
last task it waited, ran for nothing, or ran where work takes longer. What it lost
is split over these delays by their length.
"""

from bisect import bisect_left
from collections import defaultdict
from collections.abc import Sequence
from typing import NamedTuple

from .ledger import Attempt, Cause, Ledger
from .scoring import costs_of_loss, DayScore, JobScore
from .workload import DrawnJob


class Loss(NamedTuple):
    """Worth lost to one cause.

    Parameters
    ----------
    cause : str
        Its name; stops have the reason of the decision.
    worth : float
        What jobs lost by it, as a share of what counts.
    waste : float
        Price of the work that it threw away, in the same unit.
    """

    cause: str
    worth: float
    waste: float


class _Task(NamedTuple):
    """The task of a step that was done last, or one that was not done."""

    attempts: list[Attempt]
    work_s: float
    wanted_accelerators: int


def losses(score: DayScore, scores: Sequence[JobScore], ledger: Ledger, until_s: float) -> list[Loss]:
    """Return the worth lost to each cause; the sum is one less the worth earned."""
    cost_by_id = costs_of_loss(scores)
    worth_by_cause: dict[str, float] = defaultdict(float)
    for each in scores:
        if not each.lost:
            continue
        delay_s_by_cause = _Delays(each.job, ledger, until_s).by_cause()
        total_s = sum(delay_s_by_cause.values())
        for cause, delay_s in delay_s_by_cause.items():
            worth_by_cause[cause] += cost_by_id[each.job.spec.job_id] * each.lost * delay_s / total_s
    waste_by_cause = {
        why: score.price * wasted / ledger.wasted for why, wasted in ledger.wasted_by_cause.items() if wasted
    }
    causes = sorted(worth_by_cause.keys() | waste_by_cause.keys())
    return [Loss(cause, worth_by_cause.get(cause, 0.0), waste_by_cause.get(cause, 0.0)) for cause in causes]


class _Delays:
    """Delays of one job, along the chain of the tasks that were done last."""

    def __init__(self, job: DrawnJob, ledger: Ledger, until_s: float) -> None:
        self._job = job
        self._ledger = ledger
        self._until_s = until_s
        self._delay_s_by_cause = defaultdict[str, float](float)

    def by_cause(self) -> dict[str, float]:
        """Return by cause how long the job was delayed, in seconds."""
        ready_s = self._job.at_s
        for number, _ in enumerate(self._job.work_s):
            if ready_s < self._until_s:
                ready_s = self._follow(self._last_task(number), ready_s)
        found = {cause: delay_s for cause, delay_s in self._delay_s_by_cause.items() if delay_s > 0}
        return found or {Cause.UNAVOIDABLE: 1.0}

    def _last_task(self, number: int) -> _Task:
        attempts = self._ledger.attempts_by_step.get((self._job.spec.job_id, number), [])
        step = self._job.spec.steps[number]
        done_s_by_index = {each.task_index: each.ended_s for each in attempts if not each.why}
        missing = [index for index in range(step.task_count) if index not in done_s_by_index]
        last = missing[0] if missing else max(done_s_by_index, key=done_s_by_index.__getitem__)
        wanted = step.demand.accelerators * (step.task_count if step.gang else 1)
        return _Task([each for each in attempts if each.task_index == last], self._job.work_s[number][last], wanted)

    def _follow(self, task: _Task, ready_s: float) -> float:
        """Record the delays of a task, and return when it was done."""
        why = ''
        for attempt in task.attempts:
            self._wait(why, task, ready_s, attempt.begun_s)
            spent_s = attempt.ended_s - attempt.begun_s
            ready_s = attempt.ended_s
            if not attempt.why:
                self._delay_s_by_cause[Cause.SLOW_WORKER] += spent_s - (task.work_s - attempt.saved_before_s)
                return ready_s
            why = attempt.why
            self._delay_s_by_cause[why] += spent_s - attempt.kept_s
        self._wait(why, task, ready_s, self._until_s)
        return self._until_s

    def _wait(self, why: str, task: _Task, from_s: float, until_s: float) -> None:
        """Record a wait: for the reason that the previous run ended early, otherwise for lack of capacity."""
        if why:
            self._delay_s_by_cause[why] += until_s - from_s
            return
        idle_s = self._idle_s(task.wanted_accelerators, from_s, until_s)
        self._delay_s_by_cause[Cause.IDLE_WHILE_WAITING] += idle_s
        self._delay_s_by_cause[Cause.WAITED_FOR_ROOM] += until_s - from_s - idle_s

    def _idle_s(self, wanted: int, from_s: float, until_s: float) -> float:
        """Return for how long at least a number of accelerators were free across the pool."""
        free_by_time = self._ledger.free_by_time
        first = max(0, bisect_left(free_by_time, (from_s, 0)) - 1)
        idle_s = 0.0
        for (at_s, free), (next_s, _) in zip(free_by_time[first:], free_by_time[first + 1 :], strict=False):
            if at_s >= until_s:
                break
            if free >= wanted:
                idle_s += max(0.0, min(next_s, until_s) - max(at_s, from_s))
        return idle_s
