"""Prometheus metrics of an instance."""

from .core import Metrics

__all__ = ('Metrics',)
