"""Which faults come when in a soak, and the kinds that there are."""

import random
from collections.abc import Awaitable, Callable, Sequence
from operator import attrgetter
from typing import NamedTuple

import anyio

from .settings import CONFIGURATION_KINDS, SoakSettings
from .system import System

# How long a fault lasts, in seconds: around the owner's lease of 2 and a
# worker's of 3.
_DURATION_RANGE_S = (0.3, 4.0)
# Changes also come in this time after the last of the other faults, in seconds.
_CHANGES_AFTER_FAULTS_S = 2.0


class Fault(NamedTuple):
    """One fault of a plan.

    Parameters
    ----------
    name : str
        Its kind.
    at_s : float
        When it begins, seconds from the start.
    for_s : float
        How long it lasts.
    seed : int
        Seed of what else it chooses.
    """

    name: str
    at_s: float
    for_s: float
    seed: int


Injection = Callable[[System, Fault, random.Random], Awaitable[None]]
_INJECTION_BY_NAME: dict[str, Injection] = {}


def register(injection: Injection) -> Injection:
    """Add a kind of fault under the name of its function."""
    _INJECTION_BY_NAME[injection.__name__] = injection
    return injection


def draw_plan(settings: SoakSettings) -> list[Fault]:
    """Return faults that come in series and overlap, by time."""
    choice = random.Random(settings.seed)
    names = settings.kinds or sorted(_INJECTION_BY_NAME)
    plan = [_draw_fault(choice, names, settings.faults_s) for _ in range(settings.faults)]
    for _ in range(settings.changes):
        plan.append(_draw_fault(choice, CONFIGURATION_KINDS, settings.faults_s + _CHANGES_AFTER_FAULTS_S))
    return sorted(plan, key=attrgetter('at_s'))


def _draw_fault(choice: random.Random, names: Sequence[str], until_s: float) -> Fault:
    return Fault(
        choice.choice(names),
        choice.uniform(0.5, until_s),
        choice.uniform(*_DURATION_RANGE_S),
        choice.getrandbits(32),
    )


async def inject(system: System, fault: Fault) -> None:
    """Wait for a fault's time, and let it happen."""
    await anyio.sleep(fault.at_s)
    await _INJECTION_BY_NAME[fault.name](system, fault, random.Random(fault.seed))
