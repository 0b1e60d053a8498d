"""HTTP client for the API of an instance; failures are returned as values."""

from enum import StrEnum
from http import HTTPStatus
from typing import Any, NamedTuple

import httpx
from result import Err, Ok, Result

# Timeout of a request in seconds.
_TIMEOUT_S = 5.0


class FailureKind(StrEnum):
    """Reason why a call failed."""

    NOT_REACHED = 'not reached'
    OUTCOME_UNKNOWN = 'outcome unknown: ask again with the same id'
    REFUSED = 'refused: it has not run and will not'
    NO_ACCESS = 'the key is not in force'
    NOT_FOUND = 'no such queue'
    GONE = 'no such job'
    MALFORMED = 'malformed'


class CallFailure(NamedTuple):
    """A failed call: its reason and the detail given by the server or the HTTP client."""

    kind: FailureKind
    detail: str


_KIND_BY_STATUS: dict[int, FailureKind] = {
    HTTPStatus.BAD_REQUEST: FailureKind.MALFORMED,
    HTTPStatus.UNAUTHORIZED: FailureKind.NO_ACCESS,
    HTTPStatus.NOT_FOUND: FailureKind.NOT_FOUND,
    HTTPStatus.GONE: FailureKind.GONE,
    HTTPStatus.REQUEST_ENTITY_TOO_LARGE: FailureKind.MALFORMED,
    HTTPStatus.TOO_MANY_REQUESTS: FailureKind.REFUSED,
    HTTPStatus.SERVICE_UNAVAILABLE: FailureKind.REFUSED,
}


class Client:
    """Synchronous HTTP client of an instance.

    Parameters
    ----------
    url : str
        Base URL of an instance.
    key : str
        API key of a client account; empty for requests without authentication.
    """

    def __init__(self, url: str, key: str) -> None:
        """Create the HTTP client without sending a request."""
        headers = {'Authorization': f'Token {key}'} if key else {}
        self._http = httpx.Client(base_url=url, headers=headers, timeout=_TIMEOUT_S)

    def submit(self, queue: str, job_id: str, body: bytes) -> Result[str, CallFailure]:
        """Submit a job; `body` is the request body."""
        return self._call('POST', queue + job_id, body).map(lambda _: '')

    def state(self, queue: str, job_id: str) -> Result[str, CallFailure]:
        """Return the state of a job."""
        return self._call('GET', queue + job_id).map(lambda reply: str(reply.json()['State']))

    def cancel(self, queue: str, job_id: str) -> Result[str, CallFailure]:
        """Cancel a job."""
        return self._call('DELETE', queue + job_id).map(lambda _: '')

    def status(self) -> Result[dict[str, Any], CallFailure]:
        """Return the pool status as seen by the instance."""
        return self._call('GET', '/status').map(lambda reply: dict(reply.json()))

    def _call(self, method: str, path: str, body: bytes = b'') -> Result[httpx.Response, CallFailure]:
        try:
            reply = self._http.request(method, path, content=body)
        except httpx.ConnectError as error:
            return Err(CallFailure(FailureKind.NOT_REACHED, str(error)))
        except httpx.HTTPError as error:
            return Err(CallFailure(FailureKind.OUTCOME_UNKNOWN, str(error)))
        if reply.is_success:
            return Ok(reply)
        kind = _KIND_BY_STATUS.get(reply.status_code, FailureKind.OUTCOME_UNKNOWN)
        return Err(CallFailure(kind, reply.text or str(reply.status_code)))
