"""Evacuates failure domains, as operators do, and checks that nothing is started there."""

import time
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from dahliaarch_platform.operators import EVACUATIONS_PREFIX

from ..platform import StoreStandIn, WorkerStandIn
from .violations import Violation

# Longest time from a request until nothing is started in its failure domain any more, in seconds.
EVACUATE_S = 5.0


class EvacuationPeriod(NamedTuple):
    """A period in which a failure domain was evacuated, on the monotonic clock."""

    domain: str
    begin_s: float
    end_s: float = float('inf')

    def forbids(self, domain: str, at_s: float) -> bool:
        """Return whether a start at this time in this domain came too late."""
        return domain == self.domain and self.begin_s + EVACUATE_S < at_s < self.end_s


class EvacuationRequests:
    """The operators' requests to evacuate failure domains.

    Parameters
    ----------
    store : StoreStandIn
        Store to which the requests are written.
    """

    def __init__(self, store: StoreStandIn) -> None:
        """Start without a request."""
        self._store = store
        self._ended: list[EvacuationPeriod] = []
        self._period_by_domain: dict[str, EvacuationPeriod] = {}

    @property
    def periods(self) -> list[EvacuationPeriod]:
        """All periods so far, including those that have not ended."""
        return [*self._ended, *self._period_by_domain.values()]

    def begin(self, domain: str) -> None:
        """Request an evacuation; a request that is in force is written again."""
        self._store.put(EVACUATIONS_PREFIX + domain, b'{}')
        self._period_by_domain.setdefault(domain, EvacuationPeriod(domain, time.monotonic()))

    def end(self, domain: str) -> None:
        """Withdraw a request; without one, nothing changes."""
        period = self._period_by_domain.pop(domain, None)
        if period is not None:
            self._ended.append(period._replace(end_s=time.monotonic()))
            self._store.remove(EVACUATIONS_PREFIX + domain)


def starts_in_evacuated_domains(
    periods: Iterable[EvacuationPeriod], workers: Iterable[WorkerStandIn]
) -> Iterator[Violation]:
    """Yield the starts in failure domains that had been evacuated for longer than the bound."""
    all_periods = tuple(periods)
    for worker in workers:
        for start in worker.starts:
            if any(period.forbids(worker.domain, start.at_s) for period in all_periods):
                detail = f'{start.worker} in {worker.domain}: {start.task}, {start.run}'
                yield Violation('nothing starts in an evacuated failure domain', detail)
