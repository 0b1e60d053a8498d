"""Decides whether a submitted job is refused for load.

Load: jobs that are accepted but cannot begin while they have a value keep capacity from
others, and their callers learn only at the end that nothing came of them.
"""

from enum import StrEnum
from typing import NamedTuple

from ..scheduler import Mechanism, Moment, SchedulerSettings
from ..scheduler.objectives import longest_chain_s
from ..workload import JobSpec
from .bounds import Candidate, start_bound_s
from .digest import KnownDigest

# How many times as long as its estimate a step may be expected to take once run times have been learned.
_MAX_UNDERESTIMATE = 3.0
# Ratio to its share above which an account is far over it.
_FAR_OVER_RATIO = 3.0
# Factor on the time limit of accounts that are not far over their share, so that those that are get refused first.
_USUAL_LIMIT_FACTOR = 1.5
# Largest amount by which the clock of the owner may be ahead of the clock here, in seconds.
_MAX_CLOCK_LEAD_S = 0.5


class Reason(StrEnum):
    """Why a job is accepted, or refused for load."""

    DISABLED = 'disabled'
    UNKNOWN_OWNER = 'unknown owner'
    NO_DIGEST = 'no digest'
    OTHER_EPOCH = 'other epoch'
    OLD_DIGEST = 'old digest'
    NOT_EXPRESSIBLE = 'not expressible'
    IN_TIME = 'in time'
    TOO_LATE = 'too late'


class Verdict(NamedTuple):
    """Decision on a submitted job, and its inputs.

    Parameters
    ----------
    reason : Reason
        The reason.
    start_bound_s : float
        Lower bound of the time until the job begins, in seconds.
    limit_s : float
        Largest bound with which it is accepted, in seconds.
    digest_age_s : float
        Age of the digest, in seconds.
    account_ratio : float or None
        Ratio of the account's usage to its share, if known.
    """

    reason: Reason
    start_bound_s: float = 0.0
    limit_s: float = 0.0
    digest_age_s: float = 0.0
    account_ratio: float | None = None

    @property
    def is_refused(self) -> bool:
        """Whether the job is refused."""
        return self.reason is Reason.TOO_LATE

    @property
    def excess_s(self) -> float:
        """How much of the waiting work has to be served until the job would be accepted, in seconds."""
        return max(0.0, self.start_bound_s - self.limit_s)


def assess(
    candidate: Candidate,
    known: KnownDigest | None,
    owner_epoch: int | None,
    now: Moment,
    settings: SchedulerSettings,
) -> Verdict:
    """Return the decision on a submitted job.

    Parameters
    ----------
    candidate : Candidate
        The job.
    known : KnownDigest or None
        The last digest that was received.
    owner_epoch : int or None
        Epoch of the newest owner that is known.
    now : Moment
        Current time.
    settings : SchedulerSettings
        Limits.
    """
    if not settings.has(Mechanism.ADMISSION):
        return Verdict(Reason.DISABLED)
    if owner_epoch is None:
        return Verdict(Reason.UNKNOWN_OWNER)
    if known is None:
        return Verdict(Reason.NO_DIGEST)
    if known.digest.epoch != owner_epoch:
        return Verdict(Reason.OTHER_EPOCH)
    age_s = digest_age_s(known, now, settings)
    if age_s is None:
        return Verdict(Reason.OLD_DIGEST)
    if not _is_expressible(candidate.spec):
        return Verdict(Reason.NOT_EXPRESSIBLE)
    bound_s = start_bound_s(candidate, known.digest, age_s, settings.certain_work_share)
    ratio = known.digest.ratio_by_account.get(candidate.spec.account)
    limit_s = settings.worthless_factor * _largest_objective_s(candidate)
    if ratio is None or ratio <= _FAR_OVER_RATIO:
        limit_s *= _USUAL_LIMIT_FACTOR
    return Verdict(Reason.TOO_LATE if bound_s > limit_s else Reason.IN_TIME, bound_s, limit_s, age_s, ratio)


def digest_age_s(known: KnownDigest, now: Moment, settings: SchedulerSettings) -> float | None:
    """Return the age of a digest in seconds, or None if it is too old or the clocks disagree about it."""
    since_receipt_s = now.steady_s - known.received_s
    since_made_s = now.wall_s - known.digest.made_wall_s
    if since_receipt_s < 0 or since_made_s < since_receipt_s - _MAX_CLOCK_LEAD_S:
        return None
    age_s = max(since_receipt_s, since_made_s)
    return age_s if age_s <= settings.max_digest_age_s else None


def _is_expressible(spec: JobSpec) -> bool:
    """Return whether the digest tells enough about a job: it begins at once, and its objective is known."""
    has_objective = all(step.estimate_s > 0 and not step.lasting for step in spec.steps)
    return has_objective and not spec.repeats


def _largest_objective_s(candidate: Candidate) -> float:
    """Return the longest time that the objective of a job may allow, whatever its run times turn out to be."""
    queue = candidate.queue
    chain_s = longest_chain_s(candidate.spec.steps, lambda step: _MAX_UNDERESTIMATE * step.estimate_s)
    return queue.stretch * chain_s + queue.target_latency_s
