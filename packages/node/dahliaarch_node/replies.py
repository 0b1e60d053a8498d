"""Handlers for messages from other instances."""

from functools import singledispatchmethod

from dahliaarch_kernel.codec import decode
from dahliaarch_platform.advice import ADVICE_FAILURES, AdviceClient
from dahliaarch_platform.store import STORE_FAILURES, StoreClient

from .configuration import ConfigurationFollower
from .front import AdmissionControl
from .front.acceptance import cancel_missing_job, write_cancellation, write_job, WriteOutcome, WriteStatus
from .logs import log_event
from .membership import Membership
from .owner import PoolOwner
from .owner.messages import JobCancelled, JobListed
from .ownership import Owner, Ownership
from .peers import (
    AcceptCancel,
    Accepted,
    AcceptJob,
    AskConfiguration,
    AskPending,
    AskPolicy,
    AskState,
    CommitFor,
    Heartbeat,
    HeartbeatReply,
    Hello,
    JobUpdate,
    MAY_BE_ADDED,
    Message,
    PendingReply,
    PolicyReply,
    PoolDigest,
    StateReply,
    UnansweredWrite,
)
from .records import job_key, JobRecord
from .relaying import commit_for_peer

# Timeout for a write on behalf of another instance, in seconds: the remainder of the time for
# which that instance holds the client's request.
_WRITE_TIMEOUT_S = 0.45
# Timeout for a read of the store, in seconds.
_READ_TIMEOUT_S = 0.4


class PeerReplies:
    """Answers messages from other instances.

    Parameters
    ----------
    store : StoreClient
        Client of the store.
    follower : ConfigurationFollower
        Provides the current configuration.
    ownership : Ownership
        Tracks which instance owns the pool.
    advice : AdviceClient or None
        Client of the external policy, if one is configured.
    """

    def __init__(
        self,
        store: StoreClient,
        follower: ConfigurationFollower,
        ownership: Ownership,
        advice: AdviceClient | None,
    ) -> None:
        """Initialize without a pool owner; `owner`, `membership` and `admission` are set later."""
        self._advice = advice
        self.owner: PoolOwner | None = None
        self.membership: Membership | None = None
        self.admission: AdmissionControl | None = None
        self._store = store
        self._follower = follower
        self._ownership = ownership

    async def answer(self, message: Message) -> Message | None:
        """Return the reply to a message, or None if it needs none."""
        return await self._reply(message)

    @singledispatchmethod
    async def _reply(self, message: object) -> Message | None:
        raise NotImplementedError(type(message).__name__)

    @_reply.register
    async def _(self, message: Hello) -> None:
        if self.membership is not None:
            self.membership.add(message.member)

    @_reply.register
    async def _(self, message: Heartbeat) -> Message | None:
        self._ownership.observe(Owner(message.owner, message.epoch))
        if self.membership is not None:
            self.membership.record_version(message.owner, message.version)
        return HeartbeatReply(self._follower.version, self._ownership.newest_epoch)

    @_reply.register
    async def _(self, message: PoolDigest) -> None:
        if self.admission is not None:
            self.admission.receive_digest(message.epoch, message.data)

    @_reply.register
    async def _(self, message: AskConfiguration) -> Message | None:
        return self._follower.updates.build_part(message, self._follower.current, self._follower.revision)

    @_reply.register
    async def _(self, message: AskState) -> Message | None:
        job = None if self.owner is None else self.owner.scheduler.job_by_id.get(message.job_id)
        if job is None or self.owner is None:
            may_be_added = self.admission is not None and self.admission.is_outcome_unknown(message.job_id)
            return StateReply(is_known=False, phase=MAY_BE_ADDED if may_be_added else '')
        if job.is_end_near and message.wait_s > 0:
            await self.owner.end_notifier.wait(message.job_id, message.wait_s)
        return StateReply(True, job.shown_phase.value, job.has_ended and job.is_end_saved)

    @_reply.register
    async def _(self, message: AskPending) -> Message | None:
        if self.owner is None or not self.owner.is_ready:
            return PendingReply(is_ready=False)
        return PendingReply(True, self.owner.scheduler.count_pending_jobs(message.queue))

    @_reply.register
    async def _(self, message: JobUpdate) -> None:
        self._forward_to_owner(message.job_id, message.record, message.revision, is_cancel=message.is_cancel)

    @_reply.register
    async def _(self, message: AcceptJob) -> Message | None:
        is_first_attempt = self.admission is None or self.admission.record_attempt(message.job_id)
        outcome = await write_job(self._store, message.job_id, message.record, _WRITE_TIMEOUT_S)
        if self.admission is not None:
            outcome = self.admission.settle_attempt(message.job_id, outcome, is_first=is_first_attempt)
        if outcome.status is WriteStatus.KEPT and outcome.revision:
            self._forward_to_owner(message.job_id, message.record, outcome.revision, is_cancel=False)
        return _acceptance_reply(outcome)

    @_reply.register
    async def _(self, message: UnansweredWrite) -> None:
        if self.admission is not None:
            self.admission.record_unanswered(message.job_id)

    @_reply.register
    async def _(self, message: AcceptCancel) -> Message | None:
        if self._store.is_suspect:
            return Accepted(is_done=False, is_certain=True)
        try:
            item = await self._store.get(job_key(message.job_id), timeout_s=_READ_TIMEOUT_S)
        except STORE_FAILURES:
            return Accepted(is_done=False, is_certain=True)
        write = cancel_missing_job if item is None else write_cancellation
        outcome = await write(self._store, message.job_id, _WRITE_TIMEOUT_S)
        if outcome.status is WriteStatus.KEPT:
            self._forward_to_owner(message.job_id, b'', outcome.revision, is_cancel=True)
        return _acceptance_reply(outcome)

    @_reply.register
    async def _(self, message: AskPolicy) -> Message | None:
        if self._advice is None:
            return PolicyReply(is_answered=False)
        try:
            tickets = await self._advice.ask(message.step, message.worker_ids, timeout_s=message.timeout_s)
        except ADVICE_FAILURES as error:
            log_event('advice_failed', step=message.step, asked=len(message.worker_ids), why=str(error))
            return PolicyReply(is_answered=False)
        return PolicyReply(True, dict(tickets))

    @_reply.register
    async def _(self, message: CommitFor) -> Message | None:
        return await commit_for_peer(self._store, message)

    def _forward_to_owner(self, job_id: str, record: bytes, revision: int, *, is_cancel: bool) -> None:
        """Pass an update to the pool owner if it runs here; otherwise the owner learns of it from its watch."""
        if self.owner is None:
            return
        if is_cancel:
            self.owner.post(JobCancelled(job_id))
            return
        job = decode(record, JobRecord, 'job record')
        self.owner.post(JobListed(job.spec, job.queue, revision, job.owner_epoch))


def _acceptance_reply(outcome: WriteOutcome) -> Accepted:
    return Accepted(
        is_done=outcome.status is WriteStatus.KEPT,
        is_certain=outcome.status is not WriteStatus.UNKNOWN,
        is_missing=outcome.status is WriteStatus.NO_SUCH_JOB,
    )
