"""Tuning of garbage collection for an owner, whose heap is large and long-lived."""

import gc
import time
from typing import Literal, Self

from ..metrics import Metrics

# Collection thresholds as for `gc.set_threshold`: new container objects before the youngest
# generation is collected, and collections of a generation before the next older one is.
_THRESHOLDS = (700, 10, 5)
# Thresholds that in effect disable collections of the oldest generation.
_YOUNG_ONLY_THRESHOLDS = (700, 10, 1 << 30)
_OLDEST_GENERATION = 2
# Ratio of frozen objects to the objects in use at the last full scan above which the next full scan is due.
_FREEZE_GROWTH_FACTOR = 2


class GarbageCollectionTuner:
    """Keeps full garbage collections short while an owner holds many jobs.

    A full collection traverses every container object, and blocks heartbeats, lease
    renewals and answers in the meantime. Full collections are disabled while jobs are
    loaded, which produces no garbage. Objects that are in use after loading, and those
    that survive a later full collection, are frozen, so that the next one does not
    traverse them. Reference counting still frees frozen objects. Cycles among them are
    found by a full scan, which is due once twice as many objects are frozen as were in use.

    Parameters
    ----------
    metrics : Metrics
        Records the duration of full collections.
    """

    def __init__(self, metrics: Metrics) -> None:
        """Store the current thresholds without changing them."""
        self._metrics = metrics
        self._thresholds = gc.get_threshold()
        self._started_s = 0.0
        self._max_frozen = 0
        self._is_full_scan = False

    def __enter__(self) -> Self:
        """Disable full collections until `finish_loading` is called."""
        self._thresholds = gc.get_threshold()
        gc.set_threshold(*_YOUNG_ONLY_THRESHOLDS)
        gc.callbacks.append(self._on_collection)
        return self

    def __exit__(self, *error: object) -> None:
        """Restore the previous thresholds and unfreeze all objects."""
        gc.callbacks.remove(self._on_collection)
        gc.set_threshold(*self._thresholds)
        gc.unfreeze()

    def finish_loading(self) -> None:
        """Freeze the loaded objects and enable full collections."""
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
