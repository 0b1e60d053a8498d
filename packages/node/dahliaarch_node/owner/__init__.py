"""The pool owner: store feeds, worker links, scheduling decisions and their persistence."""

from .core import PoolOwner

__all__ = ('PoolOwner',)
