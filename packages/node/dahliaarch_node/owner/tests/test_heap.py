"""Tests that full garbage collections of an owner with many jobs stay short.

Full collections blocked such an owner, including its takeover and its heartbeats, for
tenths of a second.
"""

import gc

import anyio
import pytest

from ...metrics import Metrics
from ..heap import GarbageCollectionTuner
from .test_takeover import InMemoryStore, InMemoryWorkers, many_jobs, OTHER_JOB_COUNT, take_over

OLDEST_GENERATION = 2
# Minimum number of container objects that a job consists of.
MIN_OBJECTS_PER_JOB = 10


@pytest.fixture
def full_collections():
    """Number of objects that each full collection traverses."""
    object_counts = []

    def record(phase, info):
        if phase == 'start' and info['generation'] == OLDEST_GENERATION:
            object_counts.append(len(gc.get_objects()))

    gc.callbacks.append(record)
    yield object_counts
    gc.callbacks.remove(record)


def test_no_full_collection_traverses_many_jobs(full_collections):
    def collect_once_ready(owner):
        if owner.is_ready:
            gc.collect()
        return owner.is_ready

    store = InMemoryStore(many_jobs())
    full_collections.clear()
    anyio.run(take_over, store, InMemoryWorkers(), collect_once_ready, 30.0)
    assert full_collections
    assert max(full_collections) < OTHER_JOB_COUNT * MIN_OBJECTS_PER_JOB


def make_cycle():
    """Return an object that reference counting does not free."""
    cyclic = []
    cyclic.append(cyclic)
    return cyclic


def test_cycles_among_frozen_objects_are_found_later():
    with GarbageCollectionTuner(Metrics()) as tuner:
        tuner.finish_loading()
        in_use = gc.get_freeze_count()
        cycles = [make_cycle() for _ in range(in_use + 1)]
        gc.collect()
        del cycles
        gc.collect()
        assert gc.get_freeze_count() < in_use * 1.1


def test_collection_thresholds_are_restored_after_an_owner():
    thresholds = gc.get_threshold()
    with GarbageCollectionTuner(Metrics()) as tuner:
        tuner.finish_loading()
        assert gc.get_threshold() != thresholds
    assert gc.get_threshold() == thresholds
    assert not gc.get_freeze_count()
