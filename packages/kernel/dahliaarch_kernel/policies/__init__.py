"""Scheduling policies: short programs that decide priority, placement and preemption."""

from .core import compile_policy, Policy
from .settings import PolicySettings
from .shipped import SHIPPED_POLICIES
from .variables import CandidateVariables, JobVariables, VictimVariables

__all__ = (
    'CandidateVariables',
    'JobVariables',
    'Policy',
    'PolicySettings',
    'SHIPPED_POLICIES',
    'VictimVariables',
    'compile_policy',
)
