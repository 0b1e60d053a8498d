"""Settings of a soak."""

import random
from collections.abc import Mapping
from typing import NamedTuple

# Kinds of faults that change the configuration. They are drawn in addition to the other
# faults, which may hide that an instance does not follow a change.
CONFIGURATION_KINDS = ('change_keys', 'grow_configuration')
# Kinds of faults that evacuate failure domains. They are drawn in addition to the other faults.
EVACUATION_KINDS = ('evacuate_domains',)
# Kinds of faults that cut a region off, or send signals to an instance that is stopping; drawn in addition as well.
PARTITION_KINDS = ('cut_region', 'signal_stopping_instance')
# Seeds below this number have no evacuations, so that those that are kept as regressions play as before.
FIRST_SEED_WITH_EVACUATIONS = 10_000
# Seeds below this number have no limits per worker, for the same reason.
FIRST_SEED_WITH_LIMITS = 20_000
# Seeds below this number have no such faults, for the same reason.
FIRST_SEED_WITH_PARTITIONS = 40_000
# Rate of a permanently slow link, in bytes per second: the slowest link of the platform
# has 5 Mbit/s.
SLOW_BYTES_PER_S = 600_000

# Share of jobs that crash workers: one or two jobs per soak.
_CRASHING_SHARE = 0.06
# Share of jobs whose steps limit the number of their tasks on one worker.
_LIMITED_SHARE = 0.5


class SoakSettings(NamedTuple):
    """Size and duration of one soak; times in seconds.

    Parameters
    ----------
    seed : int
        Seed of jobs and faults.
    instances, workers, callers : int
        Numbers of instances, workers and callers.
    slow_links : int
        Number of instances with permanently slow links.
    faults : int
        Number of random faults.
    changes : int
        Number of random configuration changes in addition to the faults.
    evacuations : int
        Number of random evacuations of failure domains in addition to the faults.
    partitions : int
        Number of random faults of `PARTITION_KINDS` in addition to the faults.
    faults_s : float
        Period in which the faults begin.
    settle_s : float
        Longest time until all jobs have ended after the faults are over.
    kinds : tuple of str
        Kinds of faults to draw from; all kinds if empty.
    is_crowded : bool
        Whether jobs consist of many short tasks, so that some tasks always wait,
        which a deposed owner could start by mistake.
    crashing_share : float
        Share of jobs whose task crashes each worker that starts it.
    limited_share : float
        Share of jobs whose steps limit the number of their tasks on one worker.
    keeping_ids : int
        Number of workers that return under their previous id after a task crashed them.
    without : str
        Protection that a control arm disables, a key of `PROTECTIONS`; empty for none.
    """

    seed: int
    instances: int = 3
    workers: int = 5
    callers: int = 4
    slow_links: int = 0
    faults: int = 6
    changes: int = 3
    evacuations: int = 0
    partitions: int = 0
    faults_s: float = 8.0
    settle_s: float = 30.0
    kinds: tuple[str, ...] = ()
    is_crowded: bool = False
    crashing_share: float = 0.0
    limited_share: float = 0.0
    keeping_ids: int = 0
    without: str = ''


def draw_settings(seed: int, instances: int = 3, workers: int = 5) -> SoakSettings:
    """Return settings of a soak; half of all seeds have some slow links."""
    rng = random.Random(f'{seed} sizes')
    slow_links = rng.choice((0, rng.randint(1, instances - 1)))
    share = instances / 3
    evacuations = rng.randint(0, 2) if seed >= FIRST_SEED_WITH_EVACUATIONS else 0
    return SoakSettings(
        seed,
        instances=instances,
        workers=workers,
        callers=int(4 * share),
        slow_links=slow_links,
        faults=int(6 * share),
        evacuations=evacuations,
        partitions=2 if seed >= FIRST_SEED_WITH_PARTITIONS else 0,
        faults_s=8.0 + 2.0 * (share - 1),
        crashing_share=_CRASHING_SHARE,
        limited_share=_LIMITED_SHARE if seed >= FIRST_SEED_WITH_LIMITS else 0.0,
        keeping_ids=rng.randint(0, workers),
    )


# Protections of the store and of the workers, and the faults that each guards against.
PROTECTIONS: Mapping[str, tuple[str, ...]] = {
    # A write of progress that is executed late, after a newer one.
    'conditions': ('lose_store_answers', 'kill_instance'),
    # Orders of a deposed owner that does not know of its successor.
    'fences': ('cut_owner_from_store', 'pause_instance'),
    # A start that is executed after its stop.
    'run numbers': ('late_orders',),
    # A version of the configuration that no watch reports.
    'updates': CONFIGURATION_KINDS,
}


def control_arm(seed: int, without: str) -> SoakSettings:
    """Return settings of a soak without a protection, under the faults that it guards against."""
    return SoakSettings(seed, callers=2, changes=0, kinds=PROTECTIONS[without], is_crowded=True, without=without)
