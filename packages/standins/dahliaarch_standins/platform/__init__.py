"""In-memory stand-ins for the platform's store, workers and external policy, served over the published protocol."""

from .faults import Faults
from .policy import PolicyStandIn
from .store import StoreStandIn
from .workers import WorkerStandIn

__all__ = ('Faults', 'PolicyStandIn', 'StoreStandIn', 'WorkerStandIn')
