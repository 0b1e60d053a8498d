"""Workers that leave the pool: by notice, or in silence."""

from .leaving import drain_leaving_workers, expire_leases

__all__ = ('drain_leaving_workers', 'expire_leases')
