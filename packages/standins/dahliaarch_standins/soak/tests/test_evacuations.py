"""Tests of the check of evacuated failure domains."""

import pytest

from dahliaarch_standins.platform import StoreStandIn, WorkerStandIn
from dahliaarch_standins.platform.workers import Started
from dahliaarch_standins.soak import draw_settings
from dahliaarch_standins.soak.evacuations import (
    EVACUATE_S,
    EvacuationPeriod,
    EvacuationRequests,
    starts_in_evacuated_domains,
)
from dahliaarch_standins.soak.plans import draw_plan
from dahliaarch_standins.soak.settings import FIRST_SEED_WITH_EVACUATIONS

TASK = f'{"a" * 16}.0.0.0'


@pytest.mark.parametrize(
    ('domain', 'at_s', 'is_late'),
    [
        ('z0', 99.0, False),
        ('z0', 100.0 + EVACUATE_S - 0.1, False),
        ('z0', 100.0 + EVACUATE_S + 0.1, True),
        ('z1', 100.0 + EVACUATE_S + 0.1, False),
        ('z0', 110.1, False),
    ],
    ids=['before', 'within the bound', 'after the bound', 'elsewhere', 'after the end'],
)
def test_a_start_in_an_evacuated_domain_is_reported(domain, at_s, is_late):
    worker = WorkerStandIn('w', 'svc', 'r0', StoreStandIn())
    worker.domain = domain
    worker.starts = [Started('w', TASK, 1, 9, at_s)]
    found = list(starts_in_evacuated_domains([EvacuationPeriod('z0', 100.0, 110.0)], [worker]))
    assert bool(found) is is_late


def test_overlapping_requests_for_a_domain_are_one_evacuation():
    store = StoreStandIn()
    requests = EvacuationRequests(store)
    requests.begin('z0')
    requests.begin('z0')
    requests.end('z0')
    requests.end('z0')
    (period,) = requests.periods
    assert period.begin_s <= period.end_s < float('inf')
    assert not store.keys('op/')


def test_kept_seeds_have_no_evacuations_and_the_same_faults():
    settings = draw_settings(FIRST_SEED_WITH_EVACUATIONS + 2)
    assert not draw_settings(FIRST_SEED_WITH_EVACUATIONS - 1).evacuations
    with_evacuations = draw_plan(settings._replace(evacuations=2))
    others = [fault for fault in with_evacuations if fault.name != 'evacuate_domains']
    assert others == draw_plan(settings._replace(evacuations=0))
    assert len(with_evacuations) == len(others) + 2
