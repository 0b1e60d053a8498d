"""Makes the owner's transactions: at the store, or through instances that the store does not turn away."""

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

# Other instances that are tried with one transaction, at most.
_MAX_RELAYS = 2


class Commit(Protocol):
    """Makes a transaction, or tells by its failure whether it may have been made."""

    async def __call__(
        self,
        conditions: Sequence[Condition],
        writes: Sequence[Write],
        removals: Sequence[str] = (),
        *,
        timeout_s: float,
    ) -> CommitResult:
        """Apply a change under conditions, all of it or nothing."""


class Committer:
    """Makes transactions where that is possible.

    A store may turn the owner away and serve other instances. Until its lease ends and
    one of them owns the pool, the owner goes on through them: the conditions of its
    transactions hold whoever makes them.

    Parameters
    ----------
    store : StoreClient
        The store.
    relays : callable
        Returns the ways to have a transaction made by other instances now.
    """

    def __init__(self, store: StoreClient, relays: Callable[[], Sequence[Commit]]) -> None:
        """Start with the store alone."""
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
        """Apply a change under conditions, all of it or nothing.

        Raises
        ------
        StoreRefusedError, StoreUnreachableError
            When it was certainly not made.
        StoreUnansweredError
            When it may have been made.
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
