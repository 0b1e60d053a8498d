"""Handles requests of callers; every instance can answer them."""

import time
from collections.abc import Awaitable, Callable
from functools import partial
from http import HTTPStatus
from typing import NamedTuple

import anyio
import msgspec

from dahliaarch_kernel.admission import Verdict
from dahliaarch_kernel.codec import decode, encode
from dahliaarch_kernel.configuration import AccessDeniedError, authorize, find_queue, Queue, RouteNotFoundError
from dahliaarch_kernel.errors import JobRejectedError
from dahliaarch_kernel.scheduler import JobProgress
from dahliaarch_kernel.workload import check_job, JobSpec
from dahliaarch_platform.documents import decode_job
from dahliaarch_platform.http import Request, Response
from dahliaarch_platform.store import STORE_FAILURES, StoreClient

from ..configuration import ConfigurationFollower
from ..logs import log_event
from ..metrics import Metrics
from ..ownership import Ownership
from ..peers import (
    AcceptCancel,
    Accepted,
    AcceptJob,
    AskPending,
    AskState,
    JobUpdate,
    MAY_BE_ADDED,
    Mesh,
    Message,
    PeerSilentError,
    PendingReply,
    StateReply,
    UnansweredWrite,
)
from ..records import cancel_key, job_key, JobRecord, progress_key
from .acceptance import (
    cancel_missing_job,
    STORE_WRITE_TIMEOUT_S,
    write_cancellation,
    write_job,
    WriteOutcome,
    WriteStatus,
)
from .admission import AdmissionControl, RefusedCall

# Timeout of requests to the owner, in seconds: long enough for the retransmission of
# a lost packet, and short enough to query the store afterwards.
_OWNER_TIMEOUT_S = 0.4
# How long the owner may delay its reply to a state request while the job is about to
# end, in seconds. Callers ask when their last task ends, shortly before that end is
# stored, and an urgent job may be late by the time they ask again.
_END_WAIT_S = 0.25
# Time limit for writing to the store directly, before the owner is asked to, in seconds.
_LOCAL_WRITE_TIMEOUT_S = 0.35
# Timeout of reads from the store, in seconds.
_STORE_READ_TIMEOUT_S = 0.6
# How long a refusal for load is held back, in seconds: an attempt through another instance that began
# before has then been written, if it ever is, and the store shows it.
_SETTLE_S = STORE_WRITE_TIMEOUT_S
_JOB_ID_LENGTH = 16
_HEX_DIGITS = frozenset('0123456789abcdef')
_TOKEN_SCHEME = 'Token '  # noqa: S105


_StoreWrite = Callable[[float], Awaitable[WriteOutcome]]


class _AuthorizedRequest(NamedTuple):
    """A request with its queue, client account and job id, after authorization."""

    request: Request
    queue: Queue
    account: str
    job_id: str

    def refused(self, reason: str) -> RefusedCall:
        """Return the description of this request as a refused one."""
        return RefusedCall(reason, self.request.target, self.job_id, self.queue, self.account)


class Front:
    """Checks, stores and answers requests of callers.

    Parameters
    ----------
    store : StoreClient
        Client of the store.
    follower : ConfigurationFollower
        Provides the active configuration.
    ownership : Ownership
        Provides the owner of the pool.
    mesh : Mesh
        Sends messages to the owner.
    metrics : Metrics
        Counts requests and measures their latency.
    admission : AdmissionControl
        Decides on refusals for load, and when refused callers should return.
    """

    def __init__(
        self,
        store: StoreClient,
        follower: ConfigurationFollower,
        ownership: Ownership,
        mesh: Mesh,
        metrics: Metrics,
        admission: AdmissionControl,
    ) -> None:
        """Store the collaborators."""
        self._store = store
        self._follower = follower
        self._ownership = ownership
        self._mesh = mesh
        self._metrics = metrics
        self._admission = admission

    async def answer(self, request: Request) -> Response:
        """Answer one request; exceptions result in status 500."""
        started_s = time.monotonic()
        try:
            operation, response = await self._route(request)
        except Exception as error:
            log_event('request_failed', method=request.method, target=request.target, why=repr(error))
            operation, response = 'failed', Response(HTTPStatus.INTERNAL_SERVER_ERROR)
        self._metrics.requests.labels(operation, str(int(response.status))).inc()
        self._metrics.request_s.labels(operation).observe(time.monotonic() - started_s)
        if response.status >= HTTPStatus.BAD_REQUEST or operation in _LOGGED_OPERATIONS:
            log_event(
                'request_answered',
                operation=operation,
                target=request.target,
                status=int(response.status),
                took_s=round(time.monotonic() - started_s, 4),
                configuration=self._follower.version,
            )
        return response

    async def _route(self, request: Request) -> tuple[str, Response]:
        configuration = self._follower.current
        if configuration is None:
            return 'no_configuration', self._admission.refuse(RefusedCall('no configuration', request.target))
        try:
            queue = find_queue(configuration, request.header('host'), request.path)
        except RouteNotFoundError:
            return 'no_queue', Response(HTTPStatus.NOT_FOUND)
        key = request.header('authorization').removeprefix(_TOKEN_SCHEME)
        try:
            account = authorize(configuration, queue, key)
        except AccessDeniedError:
            return 'no_access', Response(HTTPStatus.UNAUTHORIZED)
        job_id = request.path.removeprefix(queue.path_prefix).lstrip('/')
        call = _AuthorizedRequest(request, queue, account, job_id)
        if not job_id:
            return 'pending', await self._pending(call)
        if len(job_id) != _JOB_ID_LENGTH or not _HEX_DIGITS.issuperset(job_id):
            return 'malformed', Response(HTTPStatus.BAD_REQUEST)
        return await self._job_operation(call)

    async def _job_operation(self, call: _AuthorizedRequest) -> tuple[str, Response]:
        match call.request.method:
            case 'POST':
                return 'submit', await self._submit(call)
            case 'GET':
                return 'state', await self._state(call)
            case 'DELETE':
                return 'cancel', await self._cancel(call)
        return 'malformed', Response(HTTPStatus.METHOD_NOT_ALLOWED)

    async def _submit(self, call: _AuthorizedRequest) -> Response:
        try:
            spec = decode_job(call.request.body, call.job_id, call.account, call.queue.name, time.time())
            check_job(spec)
        except JobRejectedError as error:
            log_event('job_rejected', job=call.job_id, why=str(error))
            return _json(HTTPStatus.BAD_REQUEST, {'error': str(error)})
        refusal = await self._refuse_for_load(call, spec)
        if refusal is not None:
            return refusal
        owner = self._ownership.owner
        record = encode(JobRecord(spec, call.queue, 0 if owner is None else owner.epoch))
        write_to_store = partial(write_job, self._store, call.job_id, record)
        is_first_attempt = self._admission.record_attempt(call.job_id)
        outcome = await self._write(write_to_store, AcceptJob(call.job_id, record))
        if outcome.status is WriteStatus.KEPT and outcome.revision:
            self._notify_owner(JobUpdate(call.job_id, record, outcome.revision, is_cancel=False))
        if outcome.status is WriteStatus.UNKNOWN:
            self._notify_owner(UnansweredWrite(call.job_id))
        outcome = self._admission.settle_attempt(call.job_id, outcome, is_first=is_first_attempt)
        if outcome.status is WriteStatus.NO_SUCH_JOB:
            return self._admission.refuse(call.refused('cancelled'))
        return self._write_response(call, outcome)

    async def _refuse_for_load(self, call: _AuthorizedRequest, spec: JobSpec) -> Response | None:
        """Return the refusal of a job that can't begin in time, or None if it is to be accepted.

        A job that may have been accepted before, by a caller's earlier attempt, is not refused.
        The store is read only for jobs that would be refused otherwise.
        """
        if not self._assess(call, spec).is_refused or self._admission.may_have_been_written(call.job_id):
            return None
        await anyio.sleep(_SETTLE_S)
        try:
            item = await self._store.get(job_key(call.job_id), timeout_s=_STORE_READ_TIMEOUT_S)
        except STORE_FAILURES:
            return None
        if item is None and _may_be_added(await self._ask_owner(AskState(call.job_id))):
            self._admission.record_unanswered(call.job_id)
        verdict = self._assess(call, spec)
        if item is not None or not verdict.is_refused or self._admission.may_have_been_written(call.job_id):
            return None
        return self._admission.refuse(call.refused('load')._replace(verdict=verdict))

    def _assess(self, call: _AuthorizedRequest, spec: JobSpec) -> Verdict:
        configuration = self._follower.current
        owner = self._ownership.owner
        account_by_name = {} if configuration is None else configuration.account_by_name
        return self._admission.assess(spec, call.queue, account_by_name, None if owner is None else owner.epoch)

    async def _cancel(self, call: _AuthorizedRequest) -> Response:
        write = write_cancellation
        reply = await self._ask_owner(AskState(call.job_id))
        if isinstance(reply, StateReply) and reply.is_known:
            if reply.has_ended:
                return Response(HTTPStatus.OK)
        elif self._store.is_suspect:
            return self._write_response(call, await self._write_through_owner(AcceptCancel(call.job_id)))
        else:
            try:
                item = await self._store.get(job_key(call.job_id), timeout_s=_STORE_READ_TIMEOUT_S)
            except STORE_FAILURES as error:
                log_event('cancel_outcome_unknown', job=call.job_id, why=str(error))
                return self._write_response(call, await self._write_through_owner(AcceptCancel(call.job_id)))
            if item is None:
                write = cancel_missing_job
        write_to_store = partial(write, self._store, call.job_id)
        outcome = await self._write(write_to_store, AcceptCancel(call.job_id))
        if outcome.status is WriteStatus.KEPT:
            self._notify_owner(JobUpdate(call.job_id, b'', outcome.revision, is_cancel=True))
        return self._write_response(call, outcome)

    async def _state(self, call: _AuthorizedRequest) -> Response:
        reply = await self._ask_owner(AskState(call.job_id, _END_WAIT_S), _END_WAIT_S)
        if isinstance(reply, StateReply) and reply.is_known:
            return _json(HTTPStatus.OK, {'State': reply.phase})
        if _may_be_added(reply):
            self._admission.record_unanswered(call.job_id)
        if self._store.is_suspect:
            log_event('state_unknown', job=call.job_id, why='the store does not answer')
            return self._admission.refuse(call.refused('state unknown'))
        try:
            return await self._state_in_store(call)
        except STORE_FAILURES as error:
            log_event('state_unknown', job=call.job_id, why=str(error))
            return self._admission.refuse(call.refused('state unknown'))

    async def _state_in_store(self, call: _AuthorizedRequest) -> Response:
        """Read a job's state from the store; only a current read may report that the job doesn't exist.

        A write that got no answer may still add the job.
        """
        if await self._store.get(job_key(call.job_id), timeout_s=_STORE_READ_TIMEOUT_S) is None:
            if not await self._may_still_be_added(call.job_id):
                return Response(HTTPStatus.GONE)
            log_event('state_unknown', job=call.job_id, why='a write of the job got no answer')
            return self._admission.refuse(call.refused('state unknown'))
        item = await self._store.get(progress_key(call.job_id), timeout_s=_STORE_READ_TIMEOUT_S)
        phase = 'queued' if item is None else decode(item.value, JobProgress, 'progress').phase
        return _json(HTTPStatus.OK, {'State': phase})

    async def _may_still_be_added(self, job_id: str) -> bool:
        """Return whether a write without an answer may still add a job: none can once the job has been cancelled."""
        if not self._admission.is_outcome_unknown(job_id):
            return False
        return await self._store.get(cancel_key(job_id), timeout_s=_STORE_READ_TIMEOUT_S) is None

    async def _pending(self, call: _AuthorizedRequest) -> Response:
        if call.request.method != 'GET':
            return Response(HTTPStatus.METHOD_NOT_ALLOWED)
        reply = await self._ask_owner(AskPending(call.queue.name))
        if isinstance(reply, PendingReply) and reply.is_ready:
            return _json(HTTPStatus.OK, {'Pending': reply.job_count})
        log_event('pending_unknown', queue=call.queue.name)
        return self._admission.refuse(call.refused('pending unknown'))

    async def _ask_owner(self, message: Message, wait_s: float = 0.0) -> Message | None:
        owner = self._ownership.owner
        if owner is None:
            return None
        address = (owner.member.host, owner.member.port)
        try:
            return await self._mesh.ask(address, message, timeout_s=_OWNER_TIMEOUT_S + wait_s)
        except PeerSilentError as error:
            log_event('owner_silent', owner=owner.member.instance, epoch=owner.epoch, why=str(error))
            return None

    async def _write(self, write_to_store: _StoreWrite, message: AcceptJob | AcceptCancel) -> WriteOutcome:
        """Write to the store; ask the owner to write if that fails here."""
        if self._ownership.owner is None or self._ownership.is_owner:
            return await write_to_store(STORE_WRITE_TIMEOUT_S)
        own = await write_to_store(_LOCAL_WRITE_TIMEOUT_S)
        if own.status in _FINAL_STATUSES:
            return own
        other = await self._write_through_owner(message)
        if other.status is WriteStatus.NOT_KEPT and own.status is WriteStatus.UNKNOWN:
            return own
        return other

    async def _write_through_owner(self, message: AcceptJob | AcceptCancel) -> WriteOutcome:
        """Ask the owner to write what this instance could not write to the store."""
        owner = self._ownership.owner
        if owner is None or self._ownership.is_owner:
            return WriteOutcome(WriteStatus.NOT_KEPT)
        address = (owner.member.host, owner.member.port)
        try:
            reply = await self._mesh.ask(address, message, timeout_s=STORE_WRITE_TIMEOUT_S - _LOCAL_WRITE_TIMEOUT_S)
        except PeerSilentError as error:
            log_event('write_through_owner_unanswered', job=message.job_id, why=str(error))
            return WriteOutcome(WriteStatus.UNKNOWN)
        if not isinstance(reply, Accepted):
            return WriteOutcome(WriteStatus.UNKNOWN)
        if reply.is_missing:
            return WriteOutcome(WriteStatus.NO_SUCH_JOB)
        if reply.is_done:
            return WriteOutcome(WriteStatus.KEPT)
        return WriteOutcome(WriteStatus.NOT_KEPT if reply.is_certain else WriteStatus.UNKNOWN)

    def _write_response(self, call: _AuthorizedRequest, outcome: WriteOutcome) -> Response:
        if outcome.status is WriteStatus.NOT_KEPT:
            return self._admission.refuse(call.refused('not written'))
        return Response(_HTTP_STATUS_BY_WRITE_STATUS[outcome.status])

    def _notify_owner(self, update: JobUpdate | UnansweredWrite) -> None:
        owner = self._ownership.owner
        if owner is not None:
            self._mesh.send((owner.member.host, owner.member.port), update)


# Outcomes that the store has answered.
_FINAL_STATUSES = frozenset((WriteStatus.KEPT, WriteStatus.NO_SUCH_JOB))
_LOGGED_OPERATIONS = frozenset(('submit', 'cancel'))
_HTTP_STATUS_BY_WRITE_STATUS = {
    WriteStatus.KEPT: HTTPStatus.OK,
    WriteStatus.UNKNOWN: HTTPStatus.GATEWAY_TIMEOUT,
    WriteStatus.NO_SUCH_JOB: HTTPStatus.GONE,
}


def _may_be_added(reply: Message | None) -> bool:
    """Return whether the owner knows of a write of a job that got no answer and may still be applied."""
    return isinstance(reply, StateReply) and not reply.is_known and reply.phase == MAY_BE_ADDED


def _json(status: HTTPStatus, fields: dict[str, object]) -> Response:
    return Response(status, msgspec.json.encode(fields))
