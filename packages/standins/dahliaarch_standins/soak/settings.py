"""What a soak is run with."""

from typing import NamedTuple


class SoakSettings(NamedTuple):
    """Size and length of one soak; times in seconds.

    Parameters
    ----------
    seed : int
        Seed of jobs and faults.
    instances, workers, callers : int
        How many of each.
    faults : int
        Faults that are drawn.
    faults_s : float
        Time over which they begin.
    settle_s : float
        Longest time for all jobs to end once the faults are over.
    kinds : tuple of str
        Kinds of faults to draw from; all when empty.
    is_crowded : bool
        Whether jobs are of many short tasks, so that some always wait: what a
        deposed owner would start wrongly.
    checks_conditions, checks_fences : bool
        Protections of the store and of the workers.
    """

    seed: int
    instances: int = 3
    workers: int = 5
    callers: int = 4
    faults: int = 6
    faults_s: float = 8.0
    settle_s: float = 30.0
    kinds: tuple[str, ...] = ()
    is_crowded: bool = False
    checks_conditions: bool = True
    checks_fences: bool = True


def control_arm(seed: int, without: str) -> SoakSettings:
    """Return a soak without a protection, which must report violations.

    Parameters
    ----------
    seed : int
        Its seed.
    without : str
        ``fences`` of the workers, or ``conditions`` of the store as well: one
        of them alone still stops a deposed owner soon.
    """
    return SoakSettings(
        seed,
        callers=1,
        kinds=('cut_owner_from_store',),
        faults=2,
        is_crowded=True,
        checks_fences=without not in {'fences', 'conditions'},
        checks_conditions=without != 'conditions',
    )
