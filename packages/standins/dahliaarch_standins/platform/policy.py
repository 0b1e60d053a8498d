"""In-memory stand-in for the external policy that consents to the use of workers."""

import secrets
import time
from collections.abc import Collection

import anyio
import msgspec

from dahliaarch_platform.http import HttpServer, Request, Response
from dahliaarch_platform.settings import Address

# Validity of a ticket and duration of a call, in seconds.
TICKET_VALIDITY_S = 1.5
DECISION_DURATION_S = 0.1


class PolicyStandIn:
    """Consents to given workers and records the tickets that it issues.

    Parameters
    ----------
    consents : collection of str
        Identifiers of the workers that the policy consents to.
    """

    def __init__(self, consents: Collection[str]) -> None:
        """Initialize without tickets."""
        self.calls = 0
        self._consenting_workers = consents
        self._expiry_by_ticket: dict[tuple[str, str, str], float] = {}
        self.server = HttpServer(self._handle_request)

    async def listen(self) -> Address:
        """Listen on a free port of the loopback address."""
        await self.server.listen(Address('127.0.0.1', 0))
        return Address('127.0.0.1', self.server.port)

    def is_valid(self, step: str, worker_id: str, ticket: str) -> bool:
        """Return whether a ticket for a step on a worker is currently valid."""
        return self._expiry_by_ticket.get((step, worker_id, ticket), 0.0) > time.monotonic()

    async def _handle_request(self, request: Request) -> Response:
        self.calls += 1
        body = msgspec.json.decode(request.body)
        await anyio.sleep(DECISION_DURATION_S)
        rows = [
            (worker_id, secrets.token_hex(4)) for worker_id in body['Workers'] if worker_id in self._consenting_workers
        ]
        for worker_id, ticket in rows:
            self._expiry_by_ticket[body['Step'], worker_id, ticket] = time.monotonic() + TICKET_VALIDITY_S
        return Response(200, msgspec.json.encode({'Healthy': rows, 'ValidMs': TICKET_VALIDITY_S * 1000}))
