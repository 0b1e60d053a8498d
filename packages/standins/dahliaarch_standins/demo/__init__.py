"""A demonstration: real daemons, jobs under failures, and the counts."""

from .core import DemoCounts, run_demo

__all__ = ('DemoCounts', 'run_demo')
