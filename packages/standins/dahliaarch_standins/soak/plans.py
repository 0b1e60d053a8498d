"""Random plans of faults, and the registry of the kinds of faults."""

import random
from collections.abc import Awaitable, Callable, Sequence
from operator import attrgetter
from typing import NamedTuple

import anyio

from .settings import CONFIGURATION_KINDS, EVACUATION_KINDS, PARTITION_KINDS, SoakSettings
from .system import System

# Range of the duration of a fault, in seconds: it covers the owner's lease of 2 s and a
# worker's lease of 3 s.
_DURATION_RANGE_S = (0.3, 4.0)
# Time after the period of the other faults in which configuration changes may still begin, in seconds.
_CHANGES_AFTER_FAULTS_S = 2.0


class Fault(NamedTuple):
    """A planned fault.

    Parameters
    ----------
    name : str
        Kind of the fault.
    at_s : float
        Time from the start of the plan to its beginning, in seconds.
    for_s : float
        Duration in seconds.
    seed : int
        Seed of its other random choices.
    """

    name: str
    at_s: float
    for_s: float
    seed: int


Injection = Callable[[System, Fault, random.Random], Awaitable[None]]
_INJECTION_BY_NAME: dict[str, Injection] = {}


def register(injection: Injection) -> Injection:
    """Register a kind of fault under the name of its function."""
    _INJECTION_BY_NAME[injection.__name__] = injection
    return injection


def draw_plan(settings: SoakSettings) -> list[Fault]:
    """Return random faults, which may overlap, sorted by time."""
    rng = random.Random(settings.seed)
    names = settings.kinds or sorted(set(_INJECTION_BY_NAME).difference(EVACUATION_KINDS, PARTITION_KINDS))
    plan = [_draw_fault(rng, names, settings.faults_s) for _ in range(settings.faults)]
    for _ in range(settings.changes):
        plan.append(_draw_fault(rng, CONFIGURATION_KINDS, settings.faults_s + _CHANGES_AFTER_FAULTS_S))
    # A separate generator, so that the other faults of a seed do not change.
    evacuations = random.Random(f'{settings.seed} evacuations')
    for _ in range(settings.evacuations):
        plan.append(_draw_fault(evacuations, EVACUATION_KINDS, settings.faults_s))
    partitions = random.Random(f'{settings.seed} partitions')
    for _ in range(settings.partitions):
        plan.append(_draw_fault(partitions, PARTITION_KINDS, settings.faults_s))
    return sorted(plan, key=attrgetter('at_s'))


def _draw_fault(rng: random.Random, names: Sequence[str], until_s: float) -> Fault:
    return Fault(
        rng.choice(names),
        rng.uniform(0.5, until_s),
        rng.uniform(*_DURATION_RANGE_S),
        rng.getrandbits(32),
    )


async def inject(system: System, fault: Fault) -> None:
    """Wait until a fault is due and inject it."""
    await anyio.sleep(fault.at_s)
    await _INJECTION_BY_NAME[fault.name](system, fault, random.Random(fault.seed))
