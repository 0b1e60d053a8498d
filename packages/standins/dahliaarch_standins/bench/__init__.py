"""A benchmark of the scheduler's decision pass over a large pool."""

from .core import BenchResult, run_bench

__all__ = ('BenchResult', 'run_bench')
