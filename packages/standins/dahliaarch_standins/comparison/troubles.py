"""Random troubles of a day, of the kinds that affect decisions."""

import random
from collections.abc import Iterator, Sequence
from enum import StrEnum
from typing import NamedTuple


class Span(NamedTuple):
    """A time span on the comparison's clock, in seconds."""

    begin_s: float
    end_s: float

    def holds(self, at_s: float) -> bool:
        """Return whether a time is within the span."""
        return self.begin_s <= at_s < self.end_s


class Burst(NamedTuple):
    """An increase of the rate of one priority by a factor."""

    span: Span
    priority: int
    factor: float

    def hits(self, priority: int, at_s: float) -> bool:
        """Return whether it applies to a priority at a time."""
        return priority == self.priority and self.span.holds(at_s)


class Cancellations(NamedTuple):
    """Cancellations of a share of the jobs soon after their submission."""

    span: Span
    share: float
    within_s: float

    def hits(self, at_s: float) -> bool:
        """Return whether it may apply to a job submitted at a time."""
        return self.span.holds(at_s)


class Degradation(StrEnum):
    """Kinds of degradation of a worker."""

    SLOW = 'slow'
    STALLED = 'stalled'
    FAILING = 'failing'
    CUT_OFF = 'cut_off'
    LEAVING = 'leaving'


class DegradedWorkers(NamedTuple):
    """Degradation of a share of the workers for a period.

    Parameters
    ----------
    span : Span
        From when until when; those that leave are gone at its end.
    kind : Degradation
        What befalls them.
    share : float
        Share of all workers.
    factor : float
        Times as long as work takes on slow ones.
    """

    span: Span
    kind: Degradation
    share: float
    factor: float = 1.0


class LostOrders(NamedTuple):
    """Loss of a share of the orders to a share of the workers for a period."""

    span: Span
    workers_share: float
    orders_share: float


class Troubles(NamedTuple):
    """All troubles of a day."""

    bursts: tuple[Burst, ...] = ()
    waves: tuple[Cancellations, ...] = ()
    degraded: tuple[DegradedWorkers, ...] = ()
    lost_orders: tuple[LostOrders, ...] = ()


_BURST_FACTOR = (1.9, 2.7)
_BURST_S = (3.5, 6.0)
_LEAVERS_SHARE = (0.2, 0.4)
_LEAVERS_S = (4.0, 12.0)
_LEAVERS_WITHIN_S = 1.5
_DEGRADED_SHARE = {
    Degradation.SLOW: (0.14, 0.2),
    Degradation.STALLED: (0.1, 0.12),
    Degradation.FAILING: (0.06, 0.1),
    Degradation.CUT_OFF: (0.12, 0.17),
    Degradation.LEAVING: (0.04, 0.12),
}
_SLOW_FACTOR = (6.5, 8.6)
_DEGRADED_S = (5.0, 7.0)
# Time from a worker's notice until it is gone, in seconds.
_NOTICE_S = (2.0, 6.0)
# On one of so many days orders are lost, to which share of the workers and how many.
_DAYS_FOR_LOST_ORDERS = 4
_DEAF_SHARE = (0.3, 1.0)
_LOST_SHARE = (0.05, 0.5)
_LOST_S = (5.0, 20.0)
# A loaded day: when bursts of each priority, the most urgent first, come and how
# strong they are, and when workers leave, are cut off and leave orders unanswered.
_LOADED_BURSTS = ((3.0, 20.0, 2.0), (6.0, 20.0, 3.0), (1.0, 4.0, 2.0))
_LOADED_DEGRADED = (
    (Degradation.LEAVING, 4.0, 4.5, 0.25),
    (Degradation.CUT_OFF, 5.5, 7.0, 0.4),
    (Degradation.LEAVING, 18.0, 4.5, 0.3),
    (Degradation.CUT_OFF, 18.5, 7.0, 0.4),
)
_LOADED_LOST_ORDERS = (3.0, 26.0, 0.5, 0.4)
# Maximum random shift of a time of a loaded day, in seconds.
_LOADED_SHIFT_S = 2.0
# Maximum number of degradations of a day.
_MOST_DEGRADATIONS = 3


def draw_troubles(priorities: Sequence[int], length_s: float, seed: int) -> Troubles:
    """Return the troubles of one day.

    Parameters
    ----------
    priorities : sequence of int
        Priorities of the kinds of requests.
    length_s : float
        Length of the day's traffic.
    seed : int
        Seed of the draw.
    """
    choice = random.Random(seed)
    bursts = [_draw_burst(choice, priorities, length_s) for _ in range(choice.randint(1, 2))]
    waves = [_draw_wave(choice, length_s) for _ in range(choice.randint(0, 1))]
    degraded = [_draw_degraded(choice, length_s) for _ in range(choice.randint(0, _MOST_DEGRADATIONS))]
    return Troubles(tuple(bursts), tuple(waves), tuple(degraded), tuple(_draw_lost_orders(length_s, seed)))


def draw_loaded(priorities: Sequence[int], seed: int) -> Troubles:
    """Return the troubles of a day on which all kinds coincide, at random times.

    Bursts of each priority overlap, workers leave and are cut off, and half of them
    leave orders unanswered.
    """
    choice = random.Random(f'{seed}/loaded')
    bursts = [
        Burst(_shifted(choice, begin_s, lasts_s), priority, factor)
        for priority, (begin_s, lasts_s, factor) in zip(priorities, _LOADED_BURSTS, strict=False)
    ]
    degraded = [
        DegradedWorkers(_shifted(choice, begin_s, lasts_s), kind, share)
        for kind, begin_s, lasts_s, share in _LOADED_DEGRADED
    ]
    begin_s, lasts_s, workers_share, orders_share = _LOADED_LOST_ORDERS
    lost = LostOrders(_shifted(choice, begin_s, lasts_s), workers_share, orders_share)
    return Troubles(tuple(bursts), (), tuple(degraded), (lost,))


def _shifted(choice: random.Random, begin_s: float, lasts_s: float) -> Span:
    begin_s = max(0.0, begin_s + choice.uniform(-_LOADED_SHIFT_S, _LOADED_SHIFT_S))
    return Span(begin_s, begin_s + lasts_s)


def _draw_lost_orders(length_s: float, seed: int) -> Iterator[LostOrders]:
    """Yield losses of orders, drawn from a separate generator so that other troubles of a seed do not change."""
    choice = random.Random(f'{seed}/orders')
    if choice.randrange(_DAYS_FOR_LOST_ORDERS) == 0:
        span = _draw_span(choice, length_s, _LOST_S)
        yield LostOrders(span, choice.uniform(*_DEAF_SHARE), choice.uniform(*_LOST_SHARE))


def _draw_burst(choice: random.Random, priorities: Sequence[int], length_s: float) -> Burst:
    span = _draw_span(choice, length_s, _BURST_S)
    return Burst(span, choice.choice(priorities), choice.uniform(*_BURST_FACTOR))


def _draw_wave(choice: random.Random, length_s: float) -> Cancellations:
    span = _draw_span(choice, length_s, _LEAVERS_S)
    return Cancellations(span, choice.uniform(*_LEAVERS_SHARE), _LEAVERS_WITHIN_S)


def _draw_degraded(choice: random.Random, length_s: float) -> DegradedWorkers:
    kind = choice.choice(tuple(Degradation))
    span = _draw_span(choice, length_s, _NOTICE_S if kind is Degradation.LEAVING else _DEGRADED_S)
    factor = choice.uniform(*_SLOW_FACTOR) if kind is Degradation.SLOW else 1.0
    return DegradedWorkers(span, kind, choice.uniform(*_DEGRADED_SHARE[kind]), factor)


def _draw_span(choice: random.Random, length_s: float, lasts_s: tuple[float, float]) -> Span:
    begin_s = choice.uniform(0.0, 0.8 * length_s)
    return Span(begin_s, begin_s + choice.uniform(*lasts_s))
