"""A benchmark of one pass of decisions over a large pool."""

from .core import BenchResult, run_bench

__all__ = ('BenchResult', 'run_bench')
