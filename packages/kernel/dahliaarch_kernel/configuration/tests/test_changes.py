"""Tests of configuration changes between arbitrary versions and of request routing."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from .. import (
    Account,
    apply_change,
    build_configuration,
    ChangeMismatchError,
    ConfigurationParts,
    diff_configurations,
    EMPTY_CONFIGURATION,
    find_queue,
    Queue,
    RouteNotFoundError,
    ServiceSettings,
)

HOSTS = ('a.example', 'b.example')
PREFIXES = ('/', '/x/', '/x/y/', '/z/')


def queues():
    return st.builds(
        Queue,
        name=st.sampled_from([f'q{number}' for number in range(8)]),
        host=st.sampled_from(HOSTS),
        path_prefix=st.sampled_from(PREFIXES),
        service=st.sampled_from(('s', 't')),
        priority=st.integers(0, 2),
    )


def accounts():
    name = st.sampled_from(('crew', 'desk', 'depot'))
    return name.flatmap(
        lambda account_name: st.builds(
            Account,
            st.just(account_name),
            st.lists(st.sampled_from((account_name + '1', account_name + '2')), unique=True).map(tuple),
        )
    )


def configurations(version):
    parts = st.builds(
        ConfigurationParts,
        version=st.just(version),
        queues=st.lists(queues(), max_size=8),
        services=st.lists(st.builds(ServiceSettings, st.sampled_from(('s', 't')), st.booleans()), max_size=2),
        accounts=st.lists(accounts(), max_size=3),
    )
    return parts.map(build_configuration)


@given(configurations(3), configurations(8))
def test_applying_a_difference_yields_the_later_version(before, after):
    assert apply_change(before, diff_configurations(before, after)) == after
    assert apply_change(EMPTY_CONFIGURATION, diff_configurations(EMPTY_CONFIGURATION, after)) == after


@given(configurations(3), configurations(8))
def test_applying_a_change_leaves_its_base_version_unmodified(before, after):
    queues_before = dict(before.queue_by_name)
    apply_change(before, diff_configurations(before, after))
    assert before.queue_by_name == queues_before


def test_a_change_with_another_base_version_is_rejected():
    change = diff_configurations(build_configuration(ConfigurationParts(3)), build_configuration(ConfigurationParts(8)))
    with pytest.raises(ChangeMismatchError):
        apply_change(build_configuration(ConfigurationParts(4)), change)


def test_equal_entries_are_not_part_of_a_change():
    existing_queues = [Queue(f'q{number}', 'a.example', f'/{number}/', 's') for number in range(100)]
    before = build_configuration(ConfigurationParts(3, existing_queues))
    after = build_configuration(ConfigurationParts(8, [*existing_queues, Queue('new', 'a.example', '/new/', 's')]))
    assert [queue.name for queue in diff_configurations(before, after).queues] == ['new']


@given(configurations(3), st.sampled_from(HOSTS), st.sampled_from(('/x/y/1', '/x/1', '/z/', '/', 'w')))
def test_a_request_finds_the_longest_prefix_of_its_host(configuration, host, path):
    matching = [
        len(queue.path_prefix)
        for queue in configuration.queue_by_name.values()
        if queue.host == host and path.startswith(queue.path_prefix)
    ]
    if not matching:
        with pytest.raises(RouteNotFoundError):
            find_queue(configuration, host, path)
        return
    found = find_queue(configuration, f'{host.upper()}:80', path)
    assert found.host == host
    assert len(found.path_prefix) == max(matching)
