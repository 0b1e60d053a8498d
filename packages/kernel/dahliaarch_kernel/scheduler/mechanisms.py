"""Scheduling mechanisms, each of which can be disabled to measure its effect."""

from enum import StrEnum


class Mechanism(StrEnum):
    """Names of the scheduling mechanisms, as used in settings."""

    #: Reserve capacity for waiting gangs.
    GANG_RESERVATIONS = 'gang_reservations'
    #: Let more urgent work use reserved capacity.
    RESERVATION_RANKS = 'reservation_ranks'
    #: Learn the paces of workers, and prefer fast workers for urgent work.
    WORKER_PACES = 'worker_paces'
    #: Correct job owners' estimates by observed run times.
    LEARNED_TIMES = 'learned_times'
    #: Move stalled runs to other workers.
    MOVES_OF_STALLED = 'moves_of_stalled'
    #: Use workers last on which tasks recently failed or were slow.
    SUSPECTS_LAST = 'suspects_last'
    #: Let work wait for free capacity near its data or within one rack.
    NEAR_FIRST = 'near_first'
    #: Preempt the cheapest runs for urgent work.
    CHEAP_VICTIMS = 'cheap_victims'
    #: Fill the fullest workers first.
    PACKING = 'packing'
    #: Order work by the shares of client accounts, and reclaim from those over their share first.
    ACCOUNT_SHARES = 'account_shares'
    #: Order ordinary work by the priorities of its queues.
    PRIORITY_ORDER = 'priority_order'
    #: Plan with quantiles of run times rather than with one expected time.
    RUN_TIME_QUANTILES = 'run_time_quantiles'
    #: Learn paces from gangs too, let evidence decay with time, and share it by rack and kind.
    GANG_PACES = 'gang_paces'
    #: Move runs off leaving workers as soon as there is capacity elsewhere.
    EARLY_MOVES = 'early_moves'
    #: Refuse jobs that cannot start in time, and compute when callers should return.
    ADMISSION = 'admission'
