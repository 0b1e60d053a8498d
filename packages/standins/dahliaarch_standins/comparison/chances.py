"""Random draws that do not depend on the decisions of a scheduler.

Each is drawn from the day's seed and the name of what it is about, so that two
schedulers meet the same luck wherever they do the same: a run that fails at its
first start fails whenever that is, and the same workers degrade.
"""

import random
from collections import Counter


class Chances:
    """Draws random values by name.

    Parameters
    ----------
    seed : int
        Seed of the day.
    """

    def __init__(self, seed: int) -> None:
        """Initialize; nothing is drawn in advance."""
        self._seed = seed
        self._count_by_names: Counter[tuple[object, ...]] = Counter()

    def about(self, *names: object) -> random.Random:
        """Return the random generator for a name."""
        return random.Random(f'{self._seed}/{"/".join(map(str, names))}')

    def nth_about(self, *names: object) -> random.Random:
        """Return the random generator for the current occurrence of a recurring event."""
        return self.about(*names, self._count_by_names[names])

    def has_come(self, *names: object) -> None:
        """Count an occurrence of a recurring event: the next one is drawn from another generator."""
        self._count_by_names[names] += 1
