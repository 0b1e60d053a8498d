"""What a soak is run with."""

import random
from collections.abc import Mapping
from typing import NamedTuple

# Kinds of faults that change the configuration: a plan always has some, since
# others may hide that one is not followed.
CONFIGURATION_KINDS = ('change_keys', 'grow_configuration')
# Rate of a link that is slow from beginning to end, in bytes per second: the
# slowest of the platform's, 5 Mbit/s.
SLOW_BYTES_PER_S = 600_000

# Share of the jobs that crash workers: one or two of a soak.
_CRASHING_SHARE = 0.06


class SoakSettings(NamedTuple):
    """Size and length of one soak; times in seconds.

    Parameters
    ----------
    seed : int
        Seed of jobs and faults.
    instances, workers, callers : int
        How many of each.
    slow_links : int
        Instances whose links are slow from beginning to end.
    faults : int
        Faults that are drawn.
    changes : int
        Changes of the configuration that are drawn beside them.
    faults_s : float
        Time over which they begin.
    settle_s : float
        Longest time for all jobs to end once the faults are over.
    kinds : tuple of str
        Kinds of faults to draw from; all when empty.
    is_crowded : bool
        Whether jobs are of many short tasks, so that some always wait: what a
        deposed owner would start wrongly.
    crashing_share : float
        Share of the jobs whose task crashes each worker that starts it.
    keeping_ids : int
        Workers that come back under the id that they had when a task crashes them.
    without : str
        Protection that is switched off, in a control arm: one of PROTECTIONS.
    """

    seed: int
    instances: int = 3
    workers: int = 5
    callers: int = 4
    slow_links: int = 0
    faults: int = 6
    changes: int = 3
    faults_s: float = 8.0
    settle_s: float = 30.0
    kinds: tuple[str, ...] = ()
    is_crowded: bool = False
    crashing_share: float = 0.0
    keeping_ids: int = 0
    without: str = ''


def draw_settings(seed: int, instances: int = 3, workers: int = 5) -> SoakSettings:
    """Return a soak of some size; some links are slow in half of all cases."""
    choice = random.Random(f'{seed} sizes')
    slow_links = choice.choice((0, choice.randint(1, instances - 1)))
    share = instances / 3
    return SoakSettings(
        seed,
        instances=instances,
        workers=workers,
        callers=int(4 * share),
        slow_links=slow_links,
        faults=int(6 * share),
        faults_s=8.0 + 2.0 * (share - 1),
        crashing_share=_CRASHING_SHARE,
        keeping_ids=choice.randint(0, workers),
    )


# Protections of the store and of the workers, and the faults that they are for.
PROTECTIONS: Mapping[str, tuple[str, ...]] = {
    # A write of progress that is carried out late, after a newer one.
    'conditions': ('lose_store_answers', 'kill_instance'),
    # Orders of an owner that does not know of its successor.
    'fences': ('cut_owner_from_store', 'pause_instance'),
    # A start that is carried out after its stop.
    'run numbers': ('late_orders',),
    # A version of the configuration that no watch tells of.
    'updates': CONFIGURATION_KINDS,
}


def control_arm(seed: int, without: str) -> SoakSettings:
    """Return a soak without a protection, under the faults that it is for."""
    return SoakSettings(seed, callers=2, changes=0, kinds=PROTECTIONS[without], is_crowded=True, without=without)
