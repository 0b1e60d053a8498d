"""The owner of the pool: feeds, links to workers, decisions and their records."""

from .core import PoolOwner

__all__ = ('PoolOwner',)
