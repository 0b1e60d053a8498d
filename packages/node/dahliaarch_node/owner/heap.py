"""Garbage collections of an owner, whose memory is large and lasts."""

import gc
import time
from typing import Literal, Self

from ..metrics import Metrics

# New container objects after which the youngest generation is collected, and
# collections of one generation after which the next one is.
_THRESHOLDS = (700, 10, 5)
# The same while the oldest generation is not to be collected.
_YOUNG_ONLY_THRESHOLDS = (700, 10, 1 << 30)
_OLDEST_GENERATION = 2
# So many times as many objects may be frozen as were in use when all were walked last.
_FREEZE_GROWTH_FACTOR = 2


class GarbageCollectionTuner:
    """Keeps full garbage collections short while an owner holds many jobs.

    A full collection walks every container object, and stops heartbeats, renewals of
    leases and answers meanwhile. There is none while jobs are read, which leaves no
    garbage. What is in use then, and what outlives a later one, is frozen: the next
    one does not walk it. Reference counts free frozen objects, too; cycles among
    them are found once twice as many are frozen as were in use.

    Parameters
    ----------
    metrics : Metrics
        Where the time of full collections is counted.
    """

    def __init__(self, metrics: Metrics) -> None:
        """Change nothing yet."""
        self._metrics = metrics
        self._thresholds = gc.get_threshold()
        self._started_s = 0.0
        self._max_frozen = 0
        self._is_full_scan = False

    def __enter__(self) -> Self:
        """Put full collections off until `loaded`."""
        self._thresholds = gc.get_threshold()
        gc.set_threshold(*_YOUNG_ONLY_THRESHOLDS)
        gc.callbacks.append(self._on_collection)
        return self

    def __exit__(self, *error: object) -> None:
        """Leave all to the interpreter's own settings."""
        gc.callbacks.remove(self._on_collection)
        gc.set_threshold(*self._thresholds)
        gc.unfreeze()

    def finish_loading(self) -> None:
        """Freeze what was read."""
        gc.freeze()
        self._max_frozen = gc.get_freeze_count() * _FREEZE_GROWTH_FACTOR
        gc.set_threshold(*_THRESHOLDS)

    def _on_collection(self, phase: Literal['start', 'stop'], info: dict[str, int]) -> None:
        if info['generation'] < _OLDEST_GENERATION:
            return
        if phase == 'start':
            self._started_s = time.perf_counter()
            return
        self._metrics.full_collection_s.observe(time.perf_counter() - self._started_s)
        gc.freeze()
        frozen = gc.get_freeze_count()
        if self._is_full_scan:
            self._is_full_scan = False
            self._max_frozen = frozen * _FREEZE_GROWTH_FACTOR
        elif frozen > self._max_frozen:
            self._is_full_scan = True
            gc.unfreeze()
