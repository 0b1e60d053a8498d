"""Place of a step in the order of scheduling by urgency, by its account's level and by lateness.

Handles a load in which ordinary queues of different urgency and accounts of different size compete for capacity.
Work that was passed over for too long comes first whatever its queue and account, so that none starves.
"""

from typing import NamedTuple

from ..clock import Moment
from ..job_state import StepState
from ..mechanisms import Mechanism
from ..objectives import begin_s, slack_s
from ..prediction import RunTimes
from ..ranks import RANK_GUARANTEED, RANK_ORDINARY
from ..settings import SchedulerSettings
from .shares import AccountShares

# Number of its expected run times that a step is passed over at most, in addition to its queue's target latency.
_MAX_PASSED_OVER_RUN_TIMES = 2.0


class Precedence(NamedTuple):
    """Fields of a step's sort key between its rank and its policy's preference.

    Parameters
    ----------
    urgency : int
        Priority of its queue; 0 where it does not count.
    level : int
        Level of overuse of its account.
    is_late : bool
        Whether it can no longer meet its objective.
    """

    urgency: int = 0
    level: int = 0
    is_late: bool = False


def precedence(
    step: StepState, rank: int, shares: AccountShares, settings: SchedulerSettings, times: RunTimes, now: Moment
) -> Precedence:
    """Return the precedence of a ready step.

    Parameters
    ----------
    step : StepState
        The step.
    rank : int
        Its rank; guaranteed work has no other order than before.
    shares : AccountShares
        Levels of the accounts.
    settings : SchedulerSettings
        Limits, and the mechanisms that are disabled.
    times : RunTimes
        Predicts run times.
    now : Moment
        The current time.
    """
    if rank == RANK_GUARANTEED or not shares.is_enabled:
        return Precedence()
    has_urgency = rank == RANK_ORDINARY and settings.has(Mechanism.PRIORITY_ORDER)
    if passed_over_s(step, now) > max_passed_over_s(step, settings, times):
        return Precedence(shares.most_urgent if has_urgency else 0)
    level = shares.level_of(step.job.spec.account)
    if not has_urgency:
        return Precedence(level=level)
    return Precedence(step.job.queue.priority, level, slack_s(step, times, now.wall_s) < 0)


def passed_over_s(step: StepState, now: Moment) -> float:
    """Return for how long a ready step has waited since it became ready or since one of its tasks was started.

    The time is kept on the steady clock from the first call on, so that a jump of the wall clock does not change it.
    Steps without prerequisites have waited since they were due or accepted, also under previous owners.
    """
    if step.passed_over_since_s is None:
        waited_s = 0.0 if step.spec.after else now.wall_s - begin_s(step.job.spec, step.occurrence)
        step.passed_over_since_s = now.steady_s - max(0.0, waited_s)
    return now.steady_s - step.passed_over_since_s


def max_passed_over_s(step: StepState, settings: SchedulerSettings, times: RunTimes) -> float:
    """Return for how long a step may be passed over by more urgent work and for work of other accounts."""
    queue = step.job.queue
    own_s = _MAX_PASSED_OVER_RUN_TIMES * times.expect_s(queue.name, step.spec) + queue.target_latency_s
    return min(settings.max_passed_over_s, own_s)
