"""Chances that don't depend on what a scheduler does.

Each is drawn from the day's seed and the name of what it is about, so that two
schedulers meet the same luck wherever they do the same: a run that fails at its
first start fails whenever that is, and the same workers degrade.
"""

import random
from collections import Counter


class Chances:
    """Draws by name.

    Parameters
    ----------
    seed : int
        Seed of the day.
    """

    def __init__(self, seed: int) -> None:
        """Start; nothing is drawn in advance."""
        self._seed = seed
        self._count_by_names: Counter[tuple[object, ...]] = Counter()

    def about(self, *names: object) -> random.Random:
        """Return the source of what is drawn about something."""
        return random.Random(f'{self._seed}/{"/".join(map(str, names))}')

    def nth_about(self, *names: object) -> random.Random:
        """Return the source of what is drawn for the n-th time, n being how often it has come to pass."""
        return self.about(*names, self._count_by_names[names])

    def has_come(self, *names: object) -> None:
        """Note that something has come to pass: the next time is drawn anew."""
        self._count_by_names[names] += 1
