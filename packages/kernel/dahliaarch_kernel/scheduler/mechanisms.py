"""Mechanisms that decide, each of which can be switched off to see what it is worth."""

from enum import StrEnum


class Mechanism(StrEnum):
    """Names of the mechanisms, as settings have them."""

    #: Room is kept for gangs that wait.
    GANG_RESERVATIONS = 'gang_reservations'
    #: Room that is kept may be used by more urgent work.
    RESERVATION_RANKS = 'reservation_ranks'
    #: Workers' paces are learned, and urgent work takes fast workers.
    WORKER_PACES = 'worker_paces'
    #: Owners' estimates are corrected by what was seen.
    LEARNED_TIMES = 'learned_times'
    #: Runs that are stalled are moved.
    MOVES_OF_STALLED = 'moves_of_stalled'
    #: Workers on which tasks failed or crawled of late are used last.
    SUSPECTS_LAST = 'suspects_last'
    #: Work waits for a place near its data or in one rack.
    NEAR_FIRST = 'near_first'
    #: The cheapest runs are stopped for urgent work.
    CHEAP_VICTIMS = 'cheap_victims'
    #: Full workers are filled first.
    PACKING = 'packing'
