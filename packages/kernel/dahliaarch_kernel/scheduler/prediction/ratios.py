"""Distributions of the ratio of run time to expected run time.

Load: queues whose runs take 0.2 to 6 times as long as expected, and of whose tasks a few in a
hundred take 7 times as long. One expected time says neither when capacity is likely to come
free nor how long a run will last that has exceeded it.
"""

import math
from array import array
from bisect import bisect_right
from collections.abc import Sequence
from itertools import accumulate, repeat

# Bins per doubling of the ratio, and the powers of 2 at the lowest and the highest edge.
_BINS_PER_DOUBLING = 6
_LOWEST_POWER = -4
_HIGHEST_POWER = 5
_BIN_COUNT = (_HIGHEST_POWER - _LOWEST_POWER) * _BINS_PER_DOUBLING
_EDGES = tuple(math.pow(2.0, _LOWEST_POWER + index / _BINS_PER_DOUBLING) for index in range(_BIN_COUNT + 1))
# Quantiles of the ratio over 7,800 runs of two deployments; the ends are those of the bins.
_PRIOR_QUANTILES = (
    (0.0, _EDGES[0]),
    (0.01, 0.2),
    (0.1, 0.55),
    (0.5, 1.05),
    (0.9, 1.8),
    (0.95, 2.3),
    (0.97, 3.2),
    (0.99, 5.8),
    (1.0, _EDGES[-1]),
)
# Weight of the prior, in observations.
_PRIOR_WEIGHT = 10.0
# Factor by which older observations decay with each new one.
_DECAY = 0.99
# A run beyond the highest edge is expected to last for this share of its age.
_OPEN_TAIL_SHARE = 0.25

MEDIAN = 0.5


class RatioDistribution:
    """Distribution of the ratio of run time to expected run time; immutable.

    Parameters
    ----------
    weights : sequence of float
        Weight of each bin; all are positive.
    """

    __slots__ = ('_conditional_by_key', '_cumulative', '_quantile_by_probability')

    def __init__(self, weights: Sequence[float]) -> None:
        """Normalize the weights."""
        total = math.fsum(weights)
        self._cumulative = (0.0, *accumulate(weight / total for weight in weights))
        self._quantile_by_probability: dict[float, float] = {}
        # Conditional quantiles by bin and probability: all runs ordered between two observations share them.
        self._conditional_by_key: dict[tuple[int, float], float] = {}

    def quantile(self, probability: float) -> float:
        """Return the ratio that a run does not exceed with a probability."""
        found = self._quantile_by_probability.get(probability)
        if found is None:
            found = self._quantile(probability)
            self._quantile_by_probability[probability] = found
        return found

    def share_above(self, ratio: float) -> float:
        """Return the share of runs that take longer than a multiple of their expected time."""
        if ratio <= _EDGES[0]:
            return 1.0
        index = _bin_of(ratio)
        low, high = self._cumulative[index], self._cumulative[index + 1]
        part = math.log(min(ratio, _EDGES[-1]) / _EDGES[index]) * _BINS_PER_DOUBLING / math.log(2.0)
        return max(0.0, 1.0 - low - part * (high - low))

    def conditional_quantile(self, ratio: float, probability: float) -> float:
        """Return the ratio that a run does not exceed with a probability, given that it has reached a ratio.

        The condition is that the run has reached the lower edge of the bin of ``ratio``, so that
        the result is constant until ``next_change``.
        """
        if ratio >= _EDGES[-1]:
            return ratio * (1.0 + _OPEN_TAIL_SHARE * 2.0 * probability)
        key = (_bin_of(ratio), probability)
        found = self._conditional_by_key.get(key)
        if found is None:
            reached = self._cumulative[key[0]]
            found = self._quantile(reached + probability * (1.0 - reached))
            self._conditional_by_key[key] = found
        return found

    def conditional_weights(self, ratio: float) -> list[float]:
        """Return the share of each bin among the runs that take longer than a ratio."""
        first = _bin_of(ratio)
        weights = self.weights(1.0 / (1.0 - self._cumulative[first]))
        return [*repeat(0.0, first), *weights[first:]]

    def weights(self, total: float) -> list[float]:
        """Return the weights of the bins, scaled to a total."""
        return [(high - low) * total for low, high in zip(self._cumulative[:-1], self._cumulative[1:], strict=True)]

    def _quantile(self, probability: float) -> float:
        index = min(bisect_right(self._cumulative, probability) - 1, _BIN_COUNT - 1)
        low, high = self._cumulative[index], self._cumulative[index + 1]
        part = min((probability - low) / (high - low), 1.0) if high > low else 1.0
        return _EDGES[index] * math.pow(2.0, part / _BINS_PER_DOUBLING)


class RatioHistogram:
    """Decaying counts of observed ratios in bins of logarithmic width."""

    __slots__ = ('_counts', 'total_weight')

    def __init__(self) -> None:
        """Start without observations."""
        self._counts = array('d', bytes(8 * _BIN_COUNT))
        self.total_weight = 0.0

    def observe(self, ratio: float, weight: float) -> None:
        """Count the ratio of a run that succeeded."""
        self._decay(weight)
        self._counts[_bin_of(ratio)] += weight

    def observe_exceeded(self, ratio: float, weight: float, current: RatioDistribution) -> None:
        """Count a run that was interrupted at a ratio: its weight goes to the ratios above, as they are distributed."""
        self._decay(weight)
        for index, share in enumerate(current.conditional_weights(ratio)):
            self._counts[index] += weight * share

    def distribution(self, prior: RatioDistribution) -> RatioDistribution:
        """Return the distribution of the observations and a prior."""
        pairs = zip(self._counts, prior.weights(_PRIOR_WEIGHT), strict=True)
        return RatioDistribution([count + weight for count, weight in pairs])

    def _decay(self, weight: float) -> None:
        factor = _DECAY**weight
        for index, count in enumerate(self._counts):
            self._counts[index] = count * factor
        self.total_weight = self.total_weight * factor + weight


def next_change(ratio: float) -> float:
    """Return the ratio above ``ratio`` at which conditional quantiles change next."""
    return _EDGES[_bin_of(ratio) + 1] if ratio < _EDGES[-1] else ratio


def _bin_of(ratio: float) -> int:
    """Return the index of the bin of a ratio; the outermost bins contain what lies beyond them."""
    return min(max(bisect_right(_EDGES, ratio) - 1, 0), _BIN_COUNT - 1)


def _prior_weights() -> list[float]:
    """Return the weights of the bins by interpolation between the quantiles of the prior."""
    shares = [_prior_share_below(edge) for edge in _EDGES]
    return [high - low for low, high in zip(shares[:-1], shares[1:], strict=True)]


def _prior_share_below(ratio: float) -> float:
    for (low, low_ratio), (high, high_ratio) in zip(_PRIOR_QUANTILES[:-1], _PRIOR_QUANTILES[1:], strict=True):
        if ratio <= high_ratio:
            return low + (high - low) * math.log(ratio / low_ratio) / math.log(high_ratio / low_ratio)
    return 1.0


PRIOR = RatioDistribution(_prior_weights())
