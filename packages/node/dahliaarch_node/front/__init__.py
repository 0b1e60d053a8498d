"""The callers' side: requests are checked, kept and answered."""

from .core import Front

__all__ = ('Front',)
