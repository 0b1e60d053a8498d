"""The platform's store and workers, in memory, over the published protocol."""

from .faults import Faults
from .policy import PolicyStandIn
from .store import StoreStandIn
from .workers import WorkerStandIn

__all__ = ('Faults', 'PolicyStandIn', 'StoreStandIn', 'WorkerStandIn')
