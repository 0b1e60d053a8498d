"""Predictions of run times."""

from .ratios import MEDIAN, next_change, RatioDistribution
from .run_times import RunTimes

__all__ = ('MEDIAN', 'RatioDistribution', 'RunTimes', 'next_change')
