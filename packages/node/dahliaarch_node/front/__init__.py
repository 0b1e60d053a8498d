"""HTTP API for callers: checks, stores and answers requests."""

from .core import Front

__all__ = ('Front',)
