"""Registry of the policies that ship with the project."""

from ..registry import Registry
from .settings import PolicySettings

_LEAST_WORK_PRIORITY = '(urgent ? 1e9 : 0.0) + (1.0 + waited_s / expected_s) / (expected_s * slots + 1.0)'
_LARGEST_GANG_PRIORITY = '(urgent ? 1e9 : 0.0) + (gang ? slots : 0.0) + waited_s / 60.0'
_BEST_FIT_SCORE = 'free + memory_free + (suspect ? 1000.0 : 0.0)'
_LOST_WORK_COST = 'slots * members * (checkpointable ? 0.5 : 0.5 + ran_s)'

POLICY_REGISTRY: Registry[PolicySettings] = Registry('policy')

POLICY_REGISTRY.register('first-come')(PolicySettings(name='first-come'))
POLICY_REGISTRY.register('completion')(
    PolicySettings(name='completion', priority=_LEAST_WORK_PRIORITY, reclaim=_LOST_WORK_COST),
)
POLICY_REGISTRY.register('fragmentation')(
    PolicySettings(
        name='fragmentation',
        priority=_LARGEST_GANG_PRIORITY,
        placement_score=_BEST_FIT_SCORE,
        reclaim=_LOST_WORK_COST,
    ),
)

SHIPPED_POLICIES = {name: POLICY_REGISTRY.get(name) for name in POLICY_REGISTRY.names()}
