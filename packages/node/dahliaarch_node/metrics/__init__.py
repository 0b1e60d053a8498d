"""Counters and latency histograms, served as text."""

from .core import Metrics

__all__ = ('Metrics',)
