"""Commits the owner's transactions to the store, directly or relayed by other instances."""

from collections.abc import Callable, Sequence
from itertools import islice
from typing import Protocol

from dahliaarch_platform.store import (
    CommitResult,
    Condition,
    StoreClient,
    StoreRefusedError,
    StoreUnreachableError,
    Write,
)

from ..logs import log_event

# Maximum number of other instances through which one transaction is attempted.
_MAX_RELAYS = 2


class CommitFunction(Protocol):
    """Commits a transaction; the error raised tells whether it may have been applied."""

    async def __call__(
        self,
        conditions: Sequence[Condition],
        writes: Sequence[Write],
        removals: Sequence[str] = (),
        *,
        timeout_s: float,
    ) -> CommitResult:
        """Apply a conditional change atomically."""


class Committer:
    """Commits transactions to the store, or through other instances if it refuses or can't be reached.

    The store may refuse the owner and still serve other instances. Until its lease ends
    and another instance owns the pool, the owner relays its transactions through them.
    This is safe because the conditions of a transaction apply whichever instance commits it.

    Parameters
    ----------
    store : StoreClient
        Client of the store.
    relays : callable
        Returns functions that commit through the other instances available now.
    """

    def __init__(self, store: StoreClient, relays: Callable[[], Sequence[CommitFunction]]) -> None:
        """Initialize with the client of the store and the source of relays."""
        self._store = store
        self._relays = relays

    async def commit(
        self,
        conditions: Sequence[Condition],
        writes: Sequence[Write],
        removals: Sequence[str] = (),
        *,
        timeout_s: float,
    ) -> CommitResult:
        """Apply a conditional change atomically.

        Raises
        ------
        StoreRefusedError, StoreUnreachableError
            If the change was certainly not applied.
        StoreUnansweredError
            If the change may have been applied.
        """
        try:
            return await self._store.commit(conditions, writes, removals, timeout_s=timeout_s)
        except (StoreRefusedError, StoreUnreachableError) as error:
            refusal = error
        for relay in islice(self._relays(), _MAX_RELAYS):
            try:
                result = await relay(conditions, writes, removals, timeout_s=timeout_s)
            except (StoreRefusedError, StoreUnreachableError):
                continue
            log_event('commit_relayed', why=str(refusal), writes=len(writes), status=result.status)
            return result
        raise refusal
