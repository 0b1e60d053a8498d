"""Orders to workers, some of which get no answer."""

import random
from collections.abc import Sequence
from typing import NamedTuple

from dahliaarch_kernel.scheduler import StartRun, StopRun

from .chances import Chances
from .troubles import LostOrders

# Times of the attempts of a start, and of its withdrawal, in seconds after the first.
_START_TRIES_S = (0.0, 0.3, 0.9)
_UNACKNOWLEDGED_S = 1.5
# Time between two tries of a stop, in seconds, and from its answer until a list of
# runs tells that nothing came of the start.
_STOP_AGAIN_S = 0.85
_LIST_S = 0.05


class Outcome(NamedTuple):
    """Outcome of a start.

    Parameters
    ----------
    is_certain : bool
        Whether a try was answered; else the start is taken back.
    takes_s : float
        Until it is carried out, or known not to be.
    """

    is_certain: bool
    takes_s: float


class Orders:
    """Draws which attempts of an order get no answer.

    Those tries are carried out late, when the lease that a start carries has ended.

    Parameters
    ----------
    lost : sequence of LostOrders
        When orders are lost.
    chances : Chances
        Where their luck is drawn from.
    """

    def __init__(self, lost: Sequence[LostOrders], chances: Chances) -> None:
        """Initialize without orders."""
        self._lost = lost
        self._chances = chances

    def start(self, order: StartRun, now_s: float) -> Outcome:
        """Return the outcome of a start."""
        share = self._share(order.worker_id, now_s)
        if not share:
            return Outcome(is_certain=True, takes_s=0.0)
        luck = self._chances.about('start', order.worker_id, *order.key, order.run)
        for after_s in _START_TRIES_S:
            if luck.random() >= share:
                return Outcome(is_certain=True, takes_s=after_s)
        return Outcome(is_certain=False, takes_s=_UNACKNOWLEDGED_S + _tries_s(share, luck) + _LIST_S)

    def stop_takes_s(self, order: StopRun, now_s: float) -> float:
        """Return the time until a stop reaches its worker."""
        share = self._share(order.worker_id, now_s)
        luck = self._chances.about('stop order', order.worker_id, *order.key, order.run)
        return _tries_s(share, luck)

    def _share(self, worker_id: str, now_s: float) -> float:
        """Return the share of the orders to a worker that are lost at a time."""
        return max((each.orders_share for each in self._lost if self._hits(each, worker_id, now_s)), default=0.0)

    def _hits(self, lost: LostOrders, worker_id: str, now_s: float) -> bool:
        is_deaf = self._chances.about('deaf', lost.span.begin_s, worker_id).random() < lost.workers_share
        return is_deaf and lost.span.holds(now_s)


def _tries_s(share: float, luck: random.Random) -> float:
    """Return the time for which a stop is repeated until one is answered."""
    tries = 0
    while luck.random() < share:
        tries += 1
    return tries * _STOP_AGAIN_S
