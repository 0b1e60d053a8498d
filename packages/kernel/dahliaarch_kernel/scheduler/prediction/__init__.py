"""Predictions of run times."""

from .run_times import RunTimes

__all__ = ('RunTimes',)
