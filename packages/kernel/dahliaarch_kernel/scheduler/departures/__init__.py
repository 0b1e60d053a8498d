"""Workers that leave the pool: by notice, or in silence."""

from .gangs import note_lost_member, stop_broken_gangs
from .leaving import drain_leaving_workers, expire_leases
from .moving import find_moves, Move, order_move

__all__ = (
    'Move',
    'drain_leaving_workers',
    'expire_leases',
    'find_moves',
    'note_lost_member',
    'order_move',
    'stop_broken_gangs',
)
