"""What an instance knows for refusals: outages of the store, the owner's digest and recent submissions."""

import time
from collections.abc import Mapping
from typing import Any, NamedTuple

from dahliaarch_kernel.admission import (
    assess,
    Candidate,
    decode_digest,
    digest_age_s,
    KnownDigest,
    MIN_RETRY_AFTER_S,
    Outages,
    Refusal,
    retry_after_s,
    Verdict,
)
from dahliaarch_kernel.configuration import Account, Queue
from dahliaarch_kernel.scheduler import Mechanism, Moment, SchedulerSettings
from dahliaarch_kernel.workload import JobSpec
from dahliaarch_platform.http import Response

from ..clock import steady_s
from ..logs import log_event
from ..metrics import Metrics
from .acceptance import WriteOutcome, WriteStatus

# Outcomes of store calls without an answer, as reported by the client of the store.
_NOT_SENT = 'not_sent'
_UNANSWERED = 'unanswered'
# An interrupted watch is no evidence of an outage.
_WATCH = 'watch'
_TOO_MANY_REQUESTS = 429
_SERVER_ERROR = 500
_UNAVAILABLE = 503
# Number of submitted jobs that are remembered because this instance has tried to write them.
_MAX_REMEMBERED_JOBS = 4096
# Time after an outage of the store during which writes that got no answer may still take effect, in seconds.
_LATE_WRITE_S = 5.0
# Time after a write without an answer during which it may still take effect, in seconds.
_UNKNOWN_OUTCOME_S = 10.0
# Ratio to its share below which an account gets the shorter values of Retry-After.
_FULL_SHARE_RATIO = 1.0


class RefusedCall(NamedTuple):
    """A request that is refused.

    Parameters
    ----------
    reason : str
        The reason, for the log and the metrics.
    target : str
        Target of the request.
    job_id : str
        Id of the job; empty for requests on a queue.
    queue : Queue or None
        The queue, if known.
    account : str
        The client account.
    verdict : Verdict or None
        The decision, if the job is refused for load.
    """

    reason: str
    target: str
    job_id: str = ''
    queue: Queue | None = None
    account: str = ''
    verdict: Verdict | None = None


class AdmissionControl:
    """Decides on submissions, and computes `Retry-After` of all refusals.

    Parameters
    ----------
    settings : SchedulerSettings
        Limits, and whether the mechanism is enabled.
    metrics : Metrics
        Counts refusals.
    """

    def __init__(self, settings: SchedulerSettings, metrics: Metrics) -> None:
        """Start without a digest or a known outage."""
        self._settings = settings
        self._metrics = metrics
        self._outages = Outages()
        self._known: KnownDigest | None = None
        # Number of attempts of this instance to write a job that may have had an effect, oldest job first.
        self._attempts_by_job: dict[str, int] = {}
        # Time at which the latest write of a job that got no answer became known, oldest first.
        self._unanswered_s_by_job: dict[str, float] = {}

    def observe_store_call(self, call: str, outcome: str, took_s: float) -> None:
        """Record the outcome of a call to the store, as reported by its client, and how long the call took."""
        now_s = steady_s()
        if call == _WATCH and outcome == _UNANSWERED:
            return
        if outcome in {_NOT_SENT, _UNANSWERED}:
            self._outages.record_failure(now_s - took_s)
        elif outcome.isdecimal() and (int(outcome) == _TOO_MANY_REQUESTS or int(outcome) >= _SERVER_ERROR):
            self._outages.record_failure(now_s)
        else:
            self._outages.record_answer(now_s)

    def receive_digest(self, epoch: int, data: bytes) -> None:
        """Record a digest, unless it is malformed or a newer one is known."""
        digest = decode_digest(data)
        if digest is None or digest.epoch != epoch:
            log_event('digest_malformed', epoch=epoch, size_bytes=len(data))
            return
        known = self._known
        if known is not None and (digest.epoch, digest.made_wall_s) < (known.digest.epoch, known.digest.made_wall_s):
            # A clock of the owner that was set back must not keep its last digest in use.
            if digest.epoch == known.digest.epoch:
                self._known = None
            return
        self._known = KnownDigest(digest, steady_s())

    def assess(
        self, spec: JobSpec, queue: Queue, account_by_name: Mapping[str, Account], owner_epoch: int | None
    ) -> Verdict:
        """Return the decision on a submitted job."""
        account = account_by_name.get(spec.account)
        guaranteed = 0 if account is None else account.guaranteed_accelerators
        return assess(Candidate(spec, queue, guaranteed), self._known, owner_epoch, _now(), self._settings)

    def record_attempt(self, job_id: str) -> bool:
        """Record that this instance tries to write a job; return whether no earlier attempt may have had an effect."""
        attempts = self._attempts_by_job.pop(job_id, 0)
        self._attempts_by_job[job_id] = attempts + 1
        _drop_oldest(self._attempts_by_job)
        return not attempts

    def settle_attempt(self, job_id: str, outcome: WriteOutcome, *, is_first: bool) -> WriteOutcome:
        """Record the outcome of an attempt; return the outcome of all attempts of this instance to write the job.

        An attempt that failed says nothing about earlier ones, which may have written the job or may still do so.
        """
        if outcome.status is WriteStatus.UNKNOWN:
            self.record_unanswered(job_id)
        if outcome.status is WriteStatus.NO_SUCH_JOB:
            # Earlier attempts fail as well, however late they are applied.
            self._attempts_by_job.pop(job_id, None)
        if outcome.status is not WriteStatus.NOT_KEPT:
            return outcome
        attempts = self._attempts_by_job.get(job_id, 0) - 1
        if attempts > 0:
            self._attempts_by_job[job_id] = attempts
        else:
            self._attempts_by_job.pop(job_id, None)
        if is_first and not self.is_outcome_unknown(job_id):
            return outcome
        return WriteOutcome(WriteStatus.UNKNOWN)

    def record_unanswered(self, job_id: str) -> None:
        """Record that a write of a job, by this instance or another, got no answer."""
        self._unanswered_s_by_job.pop(job_id, None)
        self._unanswered_s_by_job[job_id] = steady_s()
        _drop_oldest(self._unanswered_s_by_job)

    def unanswered_jobs(self) -> list[str]:
        """Return the jobs of which a write without an answer may still take effect."""
        return [job_id for job_id in self._unanswered_s_by_job if self.is_outcome_unknown(job_id)]

    def is_outcome_unknown(self, job_id: str) -> bool:
        """Return whether a write of a job got no answer and may still take effect."""
        unanswered_s = self._unanswered_s_by_job.get(job_id)
        return unanswered_s is not None and steady_s() - unanswered_s < _UNKNOWN_OUTCOME_S

    def may_have_been_written(self, job_id: str) -> bool:
        """Return whether a job may be written by an earlier attempt that a read of the store does not show."""
        if job_id in self._attempts_by_job or self.is_outcome_unknown(job_id):
            return True
        return self._outages.was_under_way_within(_LATE_WRITE_S, steady_s())

    def refuse(self, call: RefusedCall) -> Response:
        """Return the refusal of a request, and log it with its inputs."""
        now = _now()
        age_s, ratio = self._account_ratio(call.account, now)
        left_s = self._outages.expected_left_s(now.steady_s) if call.verdict is None else call.verdict.excess_s
        seconds = self._retry_after_s(call, left_s, ratio)
        self._metrics.refusals.labels(call.reason).inc()
        self._metrics.retry_after_s.observe(seconds)
        inputs = {} if call.verdict is None else call.verdict._asdict()
        log_event(
            'request_refused',
            target=call.target,
            queue=call.queue.name if call.queue else '',
            account=call.account,
            retry_after_s=seconds,
            expected_left_s=round(left_s, 3),
            outage_age_s=round(self._outages.age_s(now.steady_s), 3),
            **{'digest_age_s': age_s, 'account_ratio': ratio, **inputs, 'reason': call.reason},
        )
        return Response(_UNAVAILABLE, header_by_name={'Retry-After': str(seconds)})

    def _retry_after_s(self, call: RefusedCall, left_s: float, ratio: float | None) -> int:
        if not self._settings.has(Mechanism.ADMISSION):
            return MIN_RETRY_AFTER_S
        is_urgent = call.queue is not None and call.queue.priority == 0
        is_favoured = is_urgent or (ratio is not None and ratio < _FULL_SHARE_RATIO)
        timeout_s = 0.0 if call.queue is None else call.queue.timeout_s
        return retry_after_s(Refusal(call.job_id or call.target, left_s, is_favoured, timeout_s))

    def _account_ratio(self, account: str, now: Moment) -> tuple[float | None, float | None]:
        """Return the age of the digest and, by it, the ratio of an account to its share; None where unknown."""
        if self._known is None:
            return None, None
        age_s = digest_age_s(self._known, now, self._settings)
        if age_s is None:
            return None, None
        return age_s, self._known.digest.ratio_by_account.get(account)


def _drop_oldest(remembered: dict[str, Any]) -> None:
    if len(remembered) > _MAX_REMEMBERED_JOBS:
        del remembered[next(iter(remembered))]


def _now() -> Moment:
    return Moment(steady_s(), time.time())
