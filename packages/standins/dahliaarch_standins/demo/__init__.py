"""A demonstration that runs jobs on real daemons with injected faults and counts the outcomes."""

from .core import DemoCounts, run_demo

__all__ = ('DemoCounts', 'run_demo')
