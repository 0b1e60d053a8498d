"""Compares the scheduler's decisions with baselines under a fake clock."""

from .core import compare, Comparison
from .deployments import DEPLOYMENTS

__all__ = ('Comparison', 'DEPLOYMENTS', 'compare')
