"""Gain of each scheduling mechanism: the same days simulated with and without it."""

import statistics
from collections.abc import Iterator, Mapping, Sequence
from itertools import product
from typing import NamedTuple

from dahliaarch_kernel.scheduler import Mechanism, SchedulerSettings

from .days import Play, play_all
from .drawing import deployment_named, DRAWN

# Half-width of a 95% confidence interval, in standard errors.
_MARGIN_ERRORS = 1.96


class Effect(NamedTuple):
    """Gain of a mechanism on one deployment.

    Parameters
    ----------
    mechanism : str
        Its name.
    deployment : str
        Where: the name of a deployment, or of days on drawn ones.
    gain : float
        Mean of what counts with it, less that without it.
    margin : float
        Half of the interval that holds the true mean 95 times of 100.
    days : int
        How many days.
    """

    mechanism: str
    deployment: str
    gain: float
    margin: float
    days: int


def ablate(
    seeds: Sequence[int],
    load: float = 1.0,
    mechanisms: Sequence[Mechanism] = tuple(Mechanism),
    deployments: Sequence[str] = ('zones', 'meters', 'cars', DRAWN),
    workers: int = 1,
) -> list[Effect]:
    """Return the gain of each mechanism on the same days.

    Parameters
    ----------
    seeds : sequence of int
        One day each on every deployment.
    load : float
        Multiple of the rates.
    mechanisms : sequence of Mechanism
        Which are switched off, one at a time.
    deployments : sequence of str
        Names of deployments, or ``drawn``.
    workers : int
        Processes that play days.
    """
    arms: list[frozenset[Mechanism]] = [frozenset(), *(frozenset((each,)) for each in mechanisms)]
    places = list(product(arms, deployments))
    plays = [play for without, name in places for play in _plays(name, seeds, load, without)]
    nets = iter([score.net for score in play_all(plays, workers)])
    net_by_arm = {place: [next(nets) for _ in seeds] for place in places}
    return [_effect(net_by_arm, each, name) for each in mechanisms for name in deployments]


def _plays(name: str, seeds: Sequence[int], load: float, without: frozenset[Mechanism]) -> Iterator[Play]:
    settings = SchedulerSettings(without=without)
    for seed in seeds:
        yield Play('ours', deployment_named(name, seed), seed, load, settings)


def _effect(
    net_by_arm: Mapping[tuple[frozenset[Mechanism], str], Sequence[float]], mechanism: Mechanism, name: str
) -> Effect:
    pairs = zip(net_by_arm[frozenset(), name], net_by_arm[frozenset((mechanism,)), name], strict=True)
    gains = [on - off for on, off in pairs]
    error = statistics.stdev(gains) / len(gains) ** 0.5 if len(gains) > 1 else float('inf')
    return Effect(str(mechanism), name, statistics.fmean(gains), _MARGIN_ERRORS * error, len(gains))
