"""Tests that the check of configuration versions reports violations, and nothing else."""

import itertools

import pytest

from dahliaarch_standins.soak.contact import DisturbanceTracker, QUIET_PERIOD_S
from dahliaarch_standins.soak.following import Answer, APPLY_S, ConfigurationCheck
from dahliaarch_standins.soak.versions import API_KEY, OTHER_KEY, Probe, Version

IN_FORCE_IN_TIME = 'a configuration is in force in time'
NO_OLDER_VERSION = 'no version goes back'
INCARNATION = 7


def version(number, acknowledged_s, keys=(API_KEY,)):
    return Version(number, frozenset(keys), frozenset(('urgent', f'only-{number}')), acknowledged_s)


class CheckedVersions:
    """Check with version 1 acknowledged at 0 s, version 2 at 10 s and instances undisturbed since 0 s."""

    def __init__(self, slow_names=()):
        self.contact = DisturbanceTracker(('a', 'b'), slow_names)
        self.contact.begin(('a', 'b'))
        self.contact.end(('a', 'b'), 0.0)
        self.versions = [version(1, 0.0), version(2, 10.0, (API_KEY, OTHER_KEY))]
        self.check = ConfigurationCheck(self.versions, self.contact, APPLY_S)

    def violated_promises(self, route, status, sent_s, key=API_KEY, incarnation=INCARNATION):
        before = len(self.check.violations)
        self.check.check_answer(Answer('a', incarnation, Probe(route, key), status, sent_s))
        return [each.promise for each in self.check.violations[before:]]


@pytest.fixture
def checked():
    return CheckedVersions()


def test_an_older_version_is_a_violation_only_after_the_bound(checked):
    assert not checked.violated_promises('only-2', 404, 10.0 + APPLY_S - 0.1)
    assert checked.violated_promises('only-2', 404, 10.0 + APPLY_S + 0.1) == [IN_FORCE_IN_TIME]


@pytest.mark.parametrize(
    ('route', 'key', 'status'),
    [('only-1', API_KEY, 400), ('only-2', API_KEY, 404), ('urgent', OTHER_KEY, 401)],
    ids=['a route that has gone', 'a route that has come', 'a key that has come'],
)
def test_an_older_version_is_recognized_by_its_routes_and_keys(checked, route, key, status):
    assert checked.violated_promises(route, status, 20.0, key) == [IN_FORCE_IN_TIME]


def test_a_removed_key_must_be_refused_after_the_bound(checked):
    checked.versions.append(version(3, 20.0))
    assert not checked.violated_promises('urgent', 400, 21.0, OTHER_KEY)
    assert checked.violated_promises('urgent', 400, 23.0, OTHER_KEY) == [IN_FORCE_IN_TIME]


def test_a_version_may_be_in_force_before_the_bound(checked):
    assert not checked.violated_promises('only-2', 400, 10.1)
    checked.versions.append(version(3, 20.0))
    assert not checked.violated_promises('only-2', 404, 20.1)


@pytest.mark.parametrize('status', [503, 504, 429])
def test_an_answer_without_a_clear_version_is_not_checked(checked, status):
    assert not checked.violated_promises('only-2', status, 20.0)
    assert not checked.check.checked


def test_a_recently_disturbed_instance_is_exempt_from_the_bound(checked):
    checked.contact.begin(('a',))
    assert not checked.violated_promises('only-2', 404, 20.0)
    checked.contact.end(('a',), 21.0)
    assert not checked.violated_promises('only-2', 404, 21.0 + QUIET_PERIOD_S - 0.1)
    assert checked.violated_promises('only-2', 404, 21.0 + QUIET_PERIOD_S + 0.1) == [IN_FORCE_IN_TIME]


def test_a_disturbance_of_another_instance_gives_no_exemption(checked):
    checked.contact.begin(('b',))
    assert checked.violated_promises('only-2', 404, 20.0) == [IN_FORCE_IN_TIME]


def test_overlapping_disturbances_exempt_until_the_last_ends(checked):
    checked.contact.begin(('a',))
    checked.contact.begin(('a',))
    checked.contact.end(('a',), 12.0)
    assert not checked.violated_promises('only-2', 404, 20.0)


def test_a_request_that_a_disturbance_may_affect_is_not_checked(checked):
    checked.contact.begin(('a',))
    checked.contact.end(('a',), 20.5)
    assert not checked.violated_promises('only-2', 404, 20.0)


def test_lost_store_history_extends_the_bound(checked):
    checked.contact.record_history_loss(11.0)
    assert not checked.violated_promises('only-2', 404, 13.0)
    assert checked.violated_promises('only-2', 404, 11.0 + QUIET_PERIOD_S + 0.1) == [IN_FORCE_IN_TIME]


def test_a_slow_instance_is_exempt_while_fast_ones_are_disturbed():
    checked = CheckedVersions(slow_names=('a',))
    checked.contact.begin(('b',))
    assert not checked.violated_promises('only-2', 404, 20.0)
    checked.contact.end(('b',), 20.0)
    assert checked.violated_promises('only-2', 404, 20.1 + QUIET_PERIOD_S) == [IN_FORCE_IN_TIME]


def test_an_incarnation_must_not_return_to_an_older_version(checked):
    assert not checked.violated_promises('only-2', 400, 10.1)
    assert checked.violated_promises('only-1', 400, 10.2) == [NO_OLDER_VERSION]


def test_another_incarnation_may_have_an_older_version(checked):
    assert not checked.violated_promises('only-2', 400, 10.1)
    assert not checked.violated_promises('only-1', 400, 10.2, incarnation=INCARNATION + 1)


def test_a_disturbed_instance_must_not_return_to_old_versions(checked):
    checked.contact.begin(('a',))
    assert not checked.violated_promises('only-2', 400, 10.1)
    assert checked.violated_promises('only-2', 404, 10.2) == [NO_OLDER_VERSION]


def test_each_promise_is_reported_once_per_incarnation(checked):
    promises = itertools.chain.from_iterable(
        checked.violated_promises('only-2', 404, 20.0 + part / 10) for part in range(5)
    )
    assert list(promises) == [IN_FORCE_IN_TIME]
