"""The platform's store and workers, in memory, over the published protocol."""

from .faults import Faults
from .store import StoreStandIn
from .workers import WorkerStandIn

__all__ = ('Faults', 'StoreStandIn', 'WorkerStandIn')
